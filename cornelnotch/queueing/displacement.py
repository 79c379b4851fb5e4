"""Choose which running requests are displaced and which are resumed."""

from collections.abc import Callable, Iterable

from cornelnotch.balancing.servers import ServerState
from cornelnotch.queueing.models import QueuedRequest, RunningRequest

__all__ = ["choose_displaced", "list_resumable"]


def _is_usable(server: ServerState | None, now: float) -> bool:
    """Return whether `server` is healthy enough for an urgent request."""
    if server is None or server.leaving or server.slow:
        return False
    return now >= server.ejected_until_ms


def choose_displaced(
    item: QueuedRequest,
    running: Iterable[RunningRequest],
    counts: dict[str, int],
    get_floor_places: Callable[[str], int],
    servers: dict[str, ServerState],
    now: float,
) -> RunningRequest | None:
    """Return the newest lowest-tier request below `item` and outside its floor."""
    candidates = [
        candidate
        for candidate in running
        if candidate.tier > item.tier
        and not candidate.displaced
        and counts[candidate.class_name] > get_floor_places(candidate.class_name)
        and _is_usable(servers.get(candidate.server), now)
    ]
    return max(candidates, key=lambda c: (c.tier, c.order), default=None)


def list_resumable(
    displaced: Iterable[RunningRequest], servers: dict[str, ServerState]
) -> list[RunningRequest]:
    """Return displaced requests whose server has a free slot, in order of priority."""
    ready = [
        running
        for running in displaced
        if (server := servers.get(running.server)) is not None
        and server.slots > server.busy + server.external
    ]
    return sorted(ready, key=lambda running: (running.tier, running.order))
