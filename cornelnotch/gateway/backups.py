"""Choose which streams copy their KV cache to a second engine; pure.

A stream that may not be repeated fails with its engine, unless another engine holds a
copy of its KV cache and can resume the same run. This guards against engines that crash
during long chats. The cost of a copy grows with the size of prompt and output, its
benefit with the duration of the stream.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cornelnotch.gateway.models import Route, Service, WorkKind
from cornelnotch.gateway.servers import ServerView
from cornelnotch.kernel.hashing import rank_owners

__all__ = ["ExposureTracker", "choose_backup", "is_worth_backup"]

# A copy pays off for streams that last this long per token of their prompt.
MIN_EXPOSURE_MS_PER_TOKEN = 1.0
# Weight of the newest stream in the moving average of its route.
NEWEST_WEIGHT = 0.1


@dataclass(slots=True)
class Exposure:
    """Average duration of a route's streams, in ms, and their prompt tokens."""

    stream_ms: float
    tokens: float


class ExposureTracker:
    """Moving averages of the duration and prompt size of each route's streams."""

    def __init__(self) -> None:
        self._routes: dict[str, Exposure] = {}

    def record(self, route: str, stream_ms: float, tokens: int) -> None:
        """Update the averages with a stream that has ended."""
        average = self._routes.setdefault(route, Exposure(stream_ms, tokens))
        average.stream_ms += NEWEST_WEIGHT * (stream_ms - average.stream_ms)
        average.tokens += NEWEST_WEIGHT * (tokens - average.tokens)

    def find(self, route: str) -> Exposure | None:
        """Return the averages of a route, or None before its first stream."""
        return self._routes.get(route)


def is_worth_backup(route: Route, service: Service, exposure: Exposure | None) -> bool:
    """Return whether copies are worth their cost for the streams of a route."""
    if service.engine is None or not service.engine.accepts_copies or exposure is None:
        return False
    if route.kind is not WorkKind.STREAM or route.resumable:
        return False
    return exposure.stream_ms >= MIN_EXPOSURE_MS_PER_TOKEN * exposure.tokens


def choose_backup(
    name: str,
    server: ServerView,
    others: Iterable[ServerView],
    regions: Mapping[str, str],
) -> ServerView | None:
    """Return the engine that stores the copy of run `name`, by region if possible."""
    region = regions.get(server.record.domain)
    healthy = [
        other
        for other in others
        if other.record.name != server.record.name
        and not other.failures
        and other.record.software == server.record.software
    ]
    same_region = [o for o in healthy if regions.get(o.record.domain) == region]
    by_name = {other.record.name: other for other in same_region or healthy}
    ranked = rank_owners(f"backup {name}", by_name)
    return by_name[ranked[0]] if ranked else None
