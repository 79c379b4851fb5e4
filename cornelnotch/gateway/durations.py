"""Estimate how long requests take, from recent ones of the same route; no I/O."""

import math
import statistics
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field

__all__ = ["DurationTracker", "RequestDuration", "RunningRequest"]

# Recent requests of a route from which durations are estimated.
REMEMBERED_REQUESTS = 50
# Fewer requests do not show whether durations grow with the allowance of tokens.
MIN_COMPARED_REQUESTS = 8
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


@dataclass(slots=True, eq=False)
class RunningRequest:
    """A request that has not ended; `begun_ms` is None before its first event."""

    received_ms: float
    tokens: int
    begun_ms: float | None = None
    writing_ms: float = 0.0
    writing_from_ms: float | None = None

    def start_writing(self, now: float) -> None:
        """Note that the host writes to the caller, who may let it wait."""
        self.writing_from_ms = now

    def finish_writing(self, now: float) -> None:
        """Note that the caller has taken what was written."""
        self.writing_ms = self._measure_writing_ms(now)
        self.writing_from_ms = None

    def measure_rest_ms(self, now: float) -> float:
        """Return the time since the first event without that of writing."""
        if self.begun_ms is None:
            return 0.0
        return now - self.begun_ms - self._measure_writing_ms(now)

    def _measure_writing_ms(self, now: float) -> float:
        if self.writing_from_ms is None:
            return self.writing_ms
        return self.writing_ms + now - self.writing_from_ms


@dataclass(slots=True)
class RouteDurations:
    """Requests of one route that have ended recently, and those that run."""

    ended: deque[RequestDuration] = field(
        default_factory=lambda: deque(maxlen=REMEMBERED_REQUESTS)
    )
    running: set[RunningRequest] = field(default_factory=set)

    def list_overdue(self, now: float) -> list[RequestDuration]:
        """Return the streams that already take longer than any that has ended.

        They show that a service has turned slow before they end.
        """
        longest_ms = max(duration.rest_ms for duration in self.ended)
        running = [
            RequestDuration(0.0, request.measure_rest_ms(now), request.tokens)
            for request in self.running
        ]
        return [duration for duration in running if duration.rest_ms > longest_ms]

    def find_slowest_event_ms(self, now: float) -> float | None:
        """Return the longest mean time of an event in recent streams, if there are any.

        A running stream has received at most one event for each token.
        """
        paces = [d.rest_ms / d.events for d in self.ended if d.events]
        if not paces:
            return None
        running = [d.rest_ms / d.tokens for d in self.list_overdue(now) if d.tokens]
        return max([*paces, *running])


def _find_quantile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that at least `share` of the values do not exceed."""
    ordered = sorted(values)
    return ordered[max(math.ceil(share * len(ordered)) - 1, 0)]


def _measure_spread(values: Sequence[float]) -> float:
    """Return the standard deviation of positive values relative to their mean."""
    mean = statistics.fmean(values)
    return statistics.pstdev(values) / mean if mean else 0.0


def _grows_with_allowance(durations: Sequence[RequestDuration]) -> bool:
    """Return whether the allowance of output tokens explains the durations.

    It does not where requests mostly end before they reach it.
    """
    named = [duration for duration in durations if duration.tokens]
    if len(named) < MIN_COMPARED_REQUESTS:
        return False
    per_token = [duration.rest_ms / duration.tokens for duration in named]
    whole = [duration.rest_ms for duration in named]
    return _measure_spread(per_token) < _measure_spread(whole)


def _list_rest_ms(durations: Sequence[RequestDuration], tokens: int) -> list[float]:
    """Return the times that a request with an allowance of `tokens` would take."""
    if not tokens or not _grows_with_allowance(durations):
        return [duration.rest_ms for duration in durations]
    return [d.rest_ms * tokens / d.tokens for d in durations if d.tokens]


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

    def find_bound_ms(
        self, route: str, request: RequestDuration, now: float
    ) -> float | None:
        """Return the most time that a request may still take, or None if unbounded.

        Only the output tokens that a request is allowed bound its response, at the
        slowest recent pace: a response may be longer than all before it. An event holds
        at least one token.
        """
        durations = self._routes.get(route)
        if durations is None or not request.tokens:
            return None
        slowest_ms = durations.find_slowest_event_ms(now)
        if slowest_ms is None:
            return None
        first_ms = max(duration.first_ms for duration in durations.ended)
        events = max(request.tokens - request.events, 1)
        return max(first_ms - request.first_ms, 0.0) + events * slowest_ms

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
        known = [*durations.ended, *durations.list_overdue(now)]
        rest_ms = _find_quantile(_list_rest_ms(known, request.tokens), share)
        if request.events:
            events = _find_quantile([d.events for d in durations.ended], share)
            remaining = 1.0 - request.events / max(events, 1.0)
            rest_ms *= max(remaining, MIN_REMAINING_SHARE)
        first_ms = _find_quantile([d.first_ms for d in durations.ended], share)
        return max(first_ms - request.first_ms, 0.0) + rest_ms
