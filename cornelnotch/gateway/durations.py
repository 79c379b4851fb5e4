"""Estimate how long requests take, from recent ones of the same route; no I/O."""

import math
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

__all__ = ["DurationTracker", "RequestDuration", "RunningRequest"]

# Recent requests of a route from which durations are estimated.
REMEMBERED_REQUESTS = 50
# Requests count as similar if their allowances of output tokens differ by this factor.
SIMILAR_FACTOR = 2.0
MIN_SIMILAR_REQUESTS = 8
# Part of a resumed stream that is always left.
MIN_REMAINING_SHARE = 0.05


@dataclass(slots=True)
class RequestDuration:
    """Time to the first event and from there to the end, in ms.

    `tokens` is the most that the request may generate, or 0 if it names no limit, and
    `events` the number of events received.
    """

    first_ms: float
    rest_ms: float = 0.0
    tokens: int = 0
    events: int = 0

    def scale_rest_ms(self, tokens: int) -> float:
        """Return the time to generate `tokens` at the same pace, if both are known."""
        if not tokens or not self.tokens:
            return self.rest_ms
        return self.rest_ms * tokens / self.tokens


@dataclass(slots=True, eq=False)
class RunningRequest:
    """A request that has not ended; `begun_ms` is None before its first event."""

    arrived_ms: float
    tokens: int
    begun_ms: float | None = None


@dataclass(slots=True)
class RouteDurations:
    """Requests of one route that have ended recently, and those that run."""

    ended: deque[RequestDuration] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_REQUESTS)
    )
    running: set[RunningRequest] = field(default_factory=set)

    def list_overdue(self, now: float, tokens: int, rest_ms: float) -> list[float]:
        """Return how long streams run that already take longer than `rest_ms`.

        They show that a service has turned slow before they end.
        """
        begun = [
            RequestDuration(0.0, now - request.begun_ms, request.tokens)
            for request in self.running
            if request.begun_ms is not None
        ]
        found = [duration.scale_rest_ms(tokens) for duration in begun]
        return [duration_ms for duration_ms in found if duration_ms > rest_ms]


def _find_quantile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that at least `share` of the values do not exceed."""
    ordered = sorted(values)
    return ordered[max(math.ceil(share * len(ordered)) - 1, 0)]


def _is_similar(tokens: int, other: int) -> bool:
    if not tokens or not other:
        return tokens == other
    return 1.0 / SIMILAR_FACTOR <= tokens / other <= SIMILAR_FACTOR


class DurationTracker:
    """Durations of the recent and the running requests of each route."""

    def __init__(self) -> None:
        self._routes: dict[str, RouteDurations] = {}

    def _find_route(self, route: str) -> RouteDurations:
        return self._routes.setdefault(route, RouteDurations())

    def start(self, route: str, request: RunningRequest) -> None:
        """Add a request that has arrived."""
        self._find_route(route).running.add(request)

    def finish(self, route: str, request: RunningRequest) -> None:
        """Remove a request that has ended, whatever its outcome."""
        self._find_route(route).running.discard(request)

    def record(self, route: str, duration: RequestDuration) -> None:
        """Record the duration of a request that was answered completely."""
        self._find_route(route).ended.append(duration)

    def estimate_ms(
        self, route: str, share: float, request: RequestDuration, now: float
    ) -> float | None:
        """Return the time that a request still takes, or None for unknown routes.

        At least `share` of similar requests took no longer. `request` has waited for
        `first_ms`, and its caller has received `events` of a stream that it resumes.
        """
        durations = self._routes.get(route)
        if durations is None or not durations.ended:
            return None
        known = list(durations.ended)
        tokens = request.tokens
        similar = [d for d in known if _is_similar(tokens, d.tokens)]
        if len(similar) >= MIN_SIMILAR_REQUESTS:
            known = similar
            found = [d.scale_rest_ms(tokens) for d in known]
        else:
            # Without similar requests, it is not known whether the allowance binds.
            found = [max(d.rest_ms, d.scale_rest_ms(tokens)) for d in known]
        rest_ms = _find_quantile(found, share)
        overdue = durations.list_overdue(now, tokens, rest_ms)
        rest_ms = _find_quantile([*found, *overdue], share)
        if request.events:
            events = _find_quantile([d.events for d in known], share)
            remaining = 1.0 - request.events / max(events, 1.0)
            rest_ms *= max(remaining, MIN_REMAINING_SHARE)
        first_ms = _find_quantile([d.first_ms for d in durations.ended], share)
        return max(first_ms - request.first_ms, 0.0) + rest_ms
