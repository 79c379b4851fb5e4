"""Keep this host's repeats within its part of what the fleet may add."""

from collections import deque

__all__ = ["RepeatBudget"]

# Requests are spread unevenly over hosts, so that not all of it is used.
SAFETY_SHARE = 0.75


class RepeatBudget:
    """Allow repeats up to a share of the requests in a sliding window."""

    def __init__(self, share: float, extra: float, window_ms: float) -> None:
        self._share = share
        self._extra = extra
        self._window_ms = window_ms
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self.hosts = 1

    def deposit(self, now: float) -> None:
        """Count one request of a caller."""
        self._requests.append(now)

    def allows(self, now: float) -> bool:
        """Tell whether a repeat is left."""
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window_ms:
                times.popleft()
        limit = self._share * len(self._requests) + self._extra / self.hosts
        return len(self._repeats) + 1 <= limit * SAFETY_SHARE

    def withdraw(self, now: float) -> bool:
        """Take one repeat; tell whether the budget allows it."""
        allowed = self.allows(now)
        if allowed:
            self._repeats.append(now)
        return allowed
