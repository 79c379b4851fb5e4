"""Track the graceful shutdown of a host; no I/O."""

from cornelnotch.kernel.clock import Clock

__all__ = ["Drain"]


class Drain:
    """Start and end of the grace period of a host; times in ms."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_ms: float | None = None
        self.end_ms = float("inf")

    def start(self, duration_ms: float) -> None:
        """Start to drain; all requests must have ended after `duration_ms`."""
        self._started_ms = self._clock.read()
        self.end_ms = self._started_ms + duration_ms

    @property
    def has_started(self) -> bool:
        """Return whether the host is draining."""
        return self._started_ms is not None

    def measure_age_ms(self, at_ms: float) -> float | None:
        """Return the time from the start to `at_ms` in ms, or None before the start.

        The time is negative if `at_ms` is before the start.
        """
        return None if self._started_ms is None else at_ms - self._started_ms
