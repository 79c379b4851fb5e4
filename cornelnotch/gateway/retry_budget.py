"""Limit the retries of this host to its share of the fleet's retry budget."""

from collections import deque

__all__ = ["RetryBudget"]

# Requests are spread unevenly over hosts, so part of the budget is left unused.
SAFETY_SHARE = 0.75


class RetryBudget:
    """Allow retries up to a share of the requests in a sliding window.

    The hosts divide `extra` further retries per window evenly among them. The process
    started at `started_ms`; what the one before it spent in the window is not known.
    """

    def __init__(
        self,
        share: float,
        extra: float,
        window_ms: float,
        started_ms: float = float("-inf"),
    ) -> None:
        self._share = share
        self._extra = extra
        self._window_ms = window_ms
        self._started_ms = started_ms
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self.host_count = 1

    def set_bounds(self, share: float, extra: float, window_ms: float) -> None:
        """Replace the limits; what was counted stays."""
        self._share = share
        self._extra = extra
        self._window_ms = window_ms

    def record_request(self, now: float) -> None:
        """Count one caller request."""
        self._requests.append(now)

    def can_retry(self, now: float) -> bool:
        """Return whether the budget allows another retry."""
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self._window_ms:
                times.popleft()
        shared = self._share * len(self._requests) * SAFETY_SHARE
        return len(self._retries) + 1 <= shared + self._find_extra(now)

    def _find_extra(self, now: float) -> float:
        """Return the further retries of this host.

        In its first window these are only what the process before it left unused.
        """
        is_first_window = now - self._started_ms < self._window_ms
        safety = 1.0 - SAFETY_SHARE if is_first_window else SAFETY_SHARE
        return self._extra / self.host_count * safety

    def try_acquire(self, now: float) -> bool:
        """Use up one retry if the budget allows it; return whether it did."""
        allowed = self.can_retry(now)
        if allowed:
            self._retries.append(now)
        return allowed
