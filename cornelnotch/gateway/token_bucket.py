"""Limit a rate of events, without clocks."""

__all__ = ["TokenBucket"]

MS_PER_SECOND = 1000.0
# Tokens accumulate for this long at most, but always up to one.
BURST_MS = 250.0


class TokenBucket:
    """Token bucket that is empty at first; `per_second` must be positive.

    No tokens accumulate before the time `start_ms`.
    """

    def __init__(self, per_second: float, start_ms: float) -> None:
        self._per_second = per_second
        self._tokens = 0.0
        self.start_ms = start_ms
        self._updated_ms = start_ms

    def set_rate(self, per_second: float, now: float) -> None:
        """Change the rate; tokens that have accumulated remain up to the new burst."""
        self._refill(now)
        self._per_second = per_second
        self._tokens = min(self._tokens, self._get_burst())

    def take(self) -> None:
        """Take one token, which must be available."""
        self._tokens -= 1.0

    def find_delay_ms(self, now: float, ahead: int = 0) -> float:
        """Return the time in ms until a token is available after `ahead` others."""
        self._refill(now)
        missing = ahead + 1 - self._tokens
        delay_ms = max(missing, 0.0) / self._per_second * MS_PER_SECOND
        return max(self.start_ms - now, 0.0) + delay_ms

    def _refill(self, now: float) -> None:
        elapsed_ms = now - self._updated_ms
        if elapsed_ms <= 0:
            return
        added = elapsed_ms * self._per_second / MS_PER_SECOND
        self._tokens = min(self._tokens + added, self._get_burst())
        self._updated_ms = now

    def _get_burst(self) -> float:
        return max(self._per_second * BURST_MS / MS_PER_SECOND, 1.0)
