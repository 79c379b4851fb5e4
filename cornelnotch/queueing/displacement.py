"""Choose which running requests wait in their engines, and which go on."""

from collections.abc import Callable, Iterable

from cornelnotch.balancing.servers import ServerState
from cornelnotch.queueing.models import Running, Waiting

__all__ = ["choose_displaced", "list_resumable"]


def _is_usable(server: ServerState | None, now: float) -> bool:
    """Tell whether an urgent request would be served well by `server`."""
    if server is None or server.leaving or server.slow:
        return False
    return now >= server.ejected_until_ms


def choose_displaced(
    item: Waiting,
    running: Iterable[Running],
    counts: dict[str, int],
    get_floor_places: Callable[[str], int],
    servers: dict[str, ServerState],
    now: float,
) -> Running | None:
    """Return the newest lowest-tier request outside its floor, below `item`."""
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
    displaced: Iterable[Running], servers: dict[str, ServerState]
) -> list[Running]:
    """Return displaced requests whose own server has a free slot, best first."""
    ready = [
        running
        for running in displaced
        if (server := servers.get(running.server)) is not None
        and server.slots > server.busy + server.external
    ]
    return sorted(ready, key=lambda running: (running.tier, running.order))
