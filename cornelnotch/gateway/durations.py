"""Estimate how long requests take, from those that have ended; no I/O.

As in RFC 6298, an estimate is a smoothed mean plus a multiple of the mean deviation.
"""

from dataclasses import dataclass, field

__all__ = ["DurationTracker", "SmoothedValue"]

MEAN_WEIGHT = 1.0 / 8.0
DEVIATION_WEIGHT = 1.0 / 4.0
DEVIATIONS = 4.0


@dataclass(slots=True)
class SmoothedValue:
    """Smoothed mean and mean deviation of a value; None before the first sample."""

    mean: float | None = None
    deviation: float = 0.0

    def record(self, sample: float) -> None:
        """Update mean and deviation with a sample."""
        if self.mean is None:
            self.mean, self.deviation = sample, sample / 2.0
            return
        error = sample - self.mean
        self.deviation += DEVIATION_WEIGHT * (abs(error) - self.deviation)
        self.mean += MEAN_WEIGHT * error

    def estimate_high(self) -> float | None:
        """Return a value that few samples exceed, or None without samples."""
        return None if self.mean is None else self.mean + DEVIATIONS * self.deviation


@dataclass(slots=True)
class RouteDurations:
    """Time of a route's requests to the first event, and from there per token."""

    first: SmoothedValue = field(default_factory=SmoothedValue)
    per_token: SmoothedValue = field(default_factory=SmoothedValue)


class DurationTracker:
    """Durations of the requests of each route, in ms."""

    def __init__(self) -> None:
        self._routes: dict[str, RouteDurations] = {}

    def record(self, route: str, first_ms: float, rest_ms: float, tokens: int) -> None:
        """Record a request that got its first event after `first_ms`.

        It ended `rest_ms` later and was to generate at most `tokens`, or 0 if unknown.
        """
        durations = self._routes.setdefault(route, RouteDurations())
        durations.first.record(first_ms)
        durations.per_token.record(rest_ms / max(tokens, 1))

    def estimate_ms(self, route: str, elapsed_ms: float, tokens: int) -> float | None:
        """Return the time that a request still takes, or None for unknown routes.

        The request has waited for `elapsed_ms` and has no response yet.
        """
        durations = self._routes.get(route)
        if durations is None:
            return None
        first_ms = durations.first.estimate_high()
        token_ms = durations.per_token.estimate_high()
        if first_ms is None or token_ms is None:
            return None
        return max(first_ms - elapsed_ms, 0.0) + token_ms * max(tokens, 1)
