"""Compute the timeouts after which a request moves to another server."""

from cornelnotch.gateway.models import Route, WorkKind
from cornelnotch.gateway.retry_after import estimate_caller_timeout_ms

__all__ = [
    "LOST_AFTER_SILENCES",
    "find_copy_timeout_s",
    "find_max_gap_s",
    "find_response_timeout_s",
    "find_stall_timeout_s",
]

# The response to a call that takes this many times its target is probably lost.
RESPONSE_TIMEOUT_TARGETS = 2.5
MIN_RESPONSE_TIMEOUT_MS = 400.0
# Long prompts on the same engine delay streams; only longer gaps count as stalls.
STALL_GAPS = 5.0
MIN_STALL_MS = 1200.0
# Factor on the longest silence of a sound server after which a server counts as lost.
LOST_AFTER_SILENCES = 2.0
# Time that a stream takes to go on from its copy, before its caller gives up.
COPY_RESUME_MS = 400.0


def find_response_timeout_s(route: Route, ran: int) -> float | None:
    """Return the response timeout of the next dispatch in s, or None for no limit.

    `ran` is the number of earlier dispatches that may have run.
    """
    if route.kind is not WorkKind.REPEATABLE or ran + 1 >= route.attempts:
        return None
    return (
        max(route.target_ms * RESPONSE_TIMEOUT_TARGETS, MIN_RESPONSE_TIMEOUT_MS)
        / 1000.0
    )


def find_stall_timeout_s(route: Route, ran: int) -> float | None:
    """Return the gap in s after which a stream is resumed elsewhere, or None for never.

    `ran` is the number of dispatches that may have run, including the current one.
    """
    if not route.resumable or ran >= route.attempts:
        return None
    return find_max_gap_s(route)


def find_copy_timeout_s(route: Route) -> float:
    """Return the gap in s after which a stream goes on from its copy.

    A sound server that stands still does not notice that its connection is closed, so
    it is left once it counts as lost, or before the caller gives up.
    """
    gap_s = find_max_gap_s(route)
    patience_ms = estimate_caller_timeout_ms(route, float("inf")) - COPY_RESUME_MS
    return max(gap_s, min(LOST_AFTER_SILENCES * gap_s, patience_ms / 1000.0))


def find_max_gap_s(route: Route) -> float:
    """Return the gap after which a stream counts as stalled, in s."""
    return max(route.target_itl_ms * STALL_GAPS, MIN_STALL_MS) / 1000.0
