"""Track the rate limits that servers announce, without sockets or clocks.

An overloaded server states in its responses how many requests per second it accepts
from all hosts together. The limit is in force as long as its responses state it, and
ends with the server process. Hosts that get no responses of the server learn of its
limit from other hosts.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from cornelnotch.gateway.models import ServerRecord
from cornelnotch.wire.messages import RateLimitNotice

__all__ = ["RateLimit", "RateLimitTable"]

MS_PER_SECOND = 1000.0
# Interval of a server that accepts nothing, after which it is tried again.
MAX_INTERVAL_MS = 5000.0
# Only recent observations are reported to other hosts, which may have newer ones.
REPORTED_AGE_MS = 2000.0
# The age of another host's observation excludes the time that its report took, so it
# replaces an own observation only if it is newer by more than this.
REPORT_DELAY_MS = 300.0
# Limits of servers that are no longer listed are forgotten after this time, since an
# entry may expire while its server runs.
UNLISTED_TTL_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit of one boot of a server in requests per second, None if withdrawn.

    It was observed at `observed_ms`, by another host unless `is_own`.
    """

    server: str
    boot_ms: int
    per_second: float | None
    observed_ms: float
    is_own: bool = True

    @property
    def interval_ms(self) -> float:
        """Return the mean time between two requests at the limit, in ms."""
        if not self.per_second:
            return MAX_INTERVAL_MS
        return min(MS_PER_SECOND / self.per_second, MAX_INTERVAL_MS)

    def create_notice(self, now: float) -> RateLimitNotice:
        """Return the message that announces this limit to other hosts."""
        age_ms = round(max(now - self.observed_ms, 0.0), 1)
        return RateLimitNotice(self.server, self.boot_ms, self.per_second, age_ms)


class RateLimitTable:
    """The latest known rate limit of each server."""

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}
        self._summarized: dict[str, tuple[int, float | None]] = {}

    def observe(
        self, server: str, boot_ms: int, per_second: float | None, now: float
    ) -> bool:
        """Record what a response states; return whether that changes the limit."""
        if per_second is None and server not in self._limits:
            return False
        return self._update(RateLimit(server, boot_ms, per_second, now))

    def merge(self, notice: RateLimitNotice, now: float) -> bool:
        """Record what another host observed; return whether that changes the limit."""
        observed_ms = now - notice.age_ms
        limit = RateLimit(
            notice.server, notice.boot_ms, notice.per_second, observed_ms, False
        )
        known = self._limits.get(notice.server)
        if known is None and notice.per_second is None:
            return False
        if known is not None and known.boot_ms == limit.boot_ms:
            delay_ms = REPORT_DELAY_MS if known.is_own else 0.0
            if observed_ms <= known.observed_ms + delay_ms:
                return False
        return self._update(limit)

    def _update(self, limit: RateLimit) -> bool:
        known = self._limits.get(limit.server)
        if known is not None and limit.boot_ms < known.boot_ms:
            return False
        self._limits[limit.server] = limit
        return known is None or (known.boot_ms, known.per_second) != (
            limit.boot_ms,
            limit.per_second,
        )

    def find(self, record: ServerRecord) -> RateLimit | None:
        """Return the limit in force for a server, or None if it has none."""
        limit = self._limits.get(record.name)
        if limit is None or limit.boot_ms != record.boot_ms:
            return None
        return limit if limit.per_second is not None else None

    def find_latest(self, server: str) -> RateLimit | None:
        """Return the limit in force for the last known boot of a server."""
        limit = self._limits.get(server)
        return limit if limit is not None and limit.per_second is not None else None

    def count(self) -> int:
        """Return the number of servers with a limit."""
        return sum(limit.per_second is not None for limit in self._limits.values())

    def set_summary(self, notices: Iterable[RateLimitNotice]) -> None:
        """Set what all hosts were last told."""
        self._summarized = {n.server: (n.boot_ms, n.per_second) for n in notices}

    def list_corrections(self, now: float) -> list[RateLimitNotice]:
        """Return own recent observations that differ from what all hosts were told."""
        return [
            limit.create_notice(now)
            for limit in self._limits.values()
            if limit.is_own
            and now - limit.observed_ms <= REPORTED_AGE_MS
            and self._summarized.get(limit.server) != (limit.boot_ms, limit.per_second)
        ]

    def list_notices(self, now: float) -> list[RateLimitNotice]:
        """Return all known limits, including withdrawn ones, for other hosts."""
        return [limit.create_notice(now) for limit in self._limits.values()]

    def drop_unlisted(self, servers: Collection[str], now: float) -> None:
        """Forget old limits of servers other than `servers`."""
        for name, limit in list(self._limits.items()):
            if name not in servers and now - limit.observed_ms > UNLISTED_TTL_MS:
                del self._limits[name]
