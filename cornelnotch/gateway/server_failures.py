"""Record what a failed dispatch says about its server; no I/O."""

from cornelnotch.gateway.dispatch import DispatchOutcome, UpstreamResponse
from cornelnotch.gateway.models import WorkKind
from cornelnotch.gateway.servers import ServerView

__all__ = ["record_failed_dispatch"]

FAILURES = frozenset({DispatchOutcome.NOT_SENT, DispatchOutcome.BROKEN})


def record_failed_dispatch(
    view: ServerView, response: UpstreamResponse, kind: WorkKind, now: float
) -> bool:
    """Record a failed dispatch of a request; return whether its link may be cut."""
    if response.head is not None and response.head.other_server:
        view.disable_until_relisted()
        return False
    if response.outcome not in FAILURES:
        return False
    if response.timed_out and kind is WorkKind.STREAM:
        view.record_silence(now)
    else:
        view.record_failure(now)
    return response.timed_out or response.outcome is DispatchOutcome.NOT_SENT
