"""Track the rate limits that servers announce, without sockets or clocks.

An overloaded server states in its responses how many requests per second it accepts
from all hosts together. The limit is in force as long as its responses state it, and
ends with the server process.
"""

from dataclasses import dataclass

from cornelnotch.gateway.models import ServerRecord

__all__ = ["RateLimit", "RateLimitTable"]


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit of one boot of a server in requests per second, None if withdrawn."""

    server: str
    boot_ms: int
    per_second: float | None
    observed_ms: float


class RateLimitTable:
    """The latest known rate limit of each server."""

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}

    def observe(
        self, server: str, boot_ms: int, per_second: float | None, now: float
    ) -> bool:
        """Record what a response states; return whether that changes the limit."""
        known = self._limits.get(server)
        if known is None and per_second is None:
            return False
        if known is not None and boot_ms < known.boot_ms:
            return False
        self._limits[server] = RateLimit(server, boot_ms, per_second, now)
        return known is None or (known.boot_ms, known.per_second) != (
            boot_ms,
            per_second,
        )

    def find(self, record: ServerRecord) -> RateLimit | None:
        """Return the limit in force for a server, or None if it has none."""
        limit = self._limits.get(record.name)
        if limit is None or limit.boot_ms != record.boot_ms:
            return None
        return limit if limit.per_second is not None else None

    def count(self) -> int:
        """Return the number of servers with a limit."""
        return sum(limit.per_second is not None for limit in self._limits.values())
