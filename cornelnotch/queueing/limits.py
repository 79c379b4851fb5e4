"""Limit rate and concurrency per workspace."""

from collections.abc import Callable
from dataclasses import dataclass

from cornelnotch.queueing.models import WorkspaceLimits

__all__ = ["TokenBucket", "WorkspaceLimiter"]

CONCURRENT_RETRY_MS = 500.0
MS_PER_SECOND = 1000.0


@dataclass(slots=True)
class TokenBucket:
    """Token bucket that refills at a rate per second up to a burst."""

    tokens: float
    updated_ms: float

    def take(self, rate: float, burst: int, now: float) -> float | None:
        """Take a token, or return the ms until one is available."""
        elapsed = now - self.updated_ms
        self.tokens = min(burst, self.tokens + elapsed * rate / MS_PER_SECOND)
        self.updated_ms = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return None
        return (1.0 - self.tokens) * MS_PER_SECOND / rate


class WorkspaceLimiter:
    """Rate and concurrency limits that operators set for workspaces."""

    def __init__(self) -> None:
        self._rules: dict[str, WorkspaceLimits] = {}
        self._buckets: dict[str, TokenBucket] = {}

    def configure(self, rules: dict[str, WorkspaceLimits]) -> None:
        """Replace the limits."""
        self._rules = rules
        for name in [n for n in self._buckets if n not in rules]:
            del self._buckets[name]

    def check(
        self, workspace: str, count: Callable[[str], int], now: float
    ) -> float | None:
        """Return None if admitted, otherwise the ms after which to retry."""
        rule = self._rules.get(workspace)
        if rule is None:
            return None
        if rule.concurrent is not None and count(workspace) >= rule.concurrent:
            return CONCURRENT_RETRY_MS
        if rule.requests_per_second is None:
            return None
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = TokenBucket(float(rule.burst), now)
            self._buckets[workspace] = bucket
        return bucket.take(rule.requests_per_second, rule.burst, now)
