"""Track the rate limits and brittleness that servers announce, without I/O.

An overloaded server states in its responses how many requests per second it accepts
from all hosts together. The limit is in force as long as its responses state it, and
ends with the server process. Hosts that get no responses of the server learn of its
limit from other hosts. A brittle server states how many requests per second it can
reject without falling over, which holds as long, and for its next process at first.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace

from cornelnotch.gateway.models import ServerRecord
from cornelnotch.wire.messages import RateLimitNotice

__all__ = ["RateLimit", "RateLimitTable"]

MS_PER_SECOND = 1000.0
# Interval of a server that accepts nothing, after which it is tried again.
MAX_INTERVAL_MS = 5000.0
# Interval of a server that is only brittle, which is no limit.
MIN_INTERVAL_MS = 0.01
# Only recent observations are reported to other hosts, which may have newer ones.
REPORTED_AGE_MS = 2000.0
# The age of another host's observation excludes the time that its report took, so it
# replaces an own observation only if it is newer by more than this.
REPORT_DELAY_MS = 300.0
# Limits of servers that are no longer listed are forgotten after this time, since an
# entry may expire while its server runs.
UNLISTED_TTL_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class StatedLimit:
    """What one boot of a server stated about its rate limit and its brittleness."""

    boot_ms: int
    per_second: float | None
    rejections_borne: float | None


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Rate limit of one boot of a server in requests per second, None if withdrawn.

    It was observed at `observed_ms`, by another host unless `is_own`. A brittle server
    bears `rejections_borne` per second, which is None for others.
    """

    server: str
    boot_ms: int
    per_second: float | None
    observed_ms: float
    is_own: bool = True
    rejections_borne: float | None = None

    @property
    def is_in_force(self) -> bool:
        """Return whether the server is limited or brittle."""
        return self.per_second is not None or self.rejections_borne is not None

    @property
    def interval_ms(self) -> float:
        """Return the mean time between two requests at the limit, in ms."""
        if self.per_second is None:
            return MIN_INTERVAL_MS
        if not self.per_second:
            return MAX_INTERVAL_MS
        return min(MS_PER_SECOND / self.per_second, MAX_INTERVAL_MS)

    def create_notice(self, now: float) -> RateLimitNotice:
        """Return the message that announces this limit to other hosts."""
        age_ms = round(max(now - self.observed_ms, 0.0), 1)
        return RateLimitNotice(
            self.server, self.boot_ms, self.per_second, age_ms, self.rejections_borne
        )

    def get_stated(self) -> StatedLimit:
        """Return what the server stated."""
        return StatedLimit(self.boot_ms, self.per_second, self.rejections_borne)


class RateLimitTable:
    """The latest known rate limit of each server."""

    def __init__(self) -> None:
        self._limits: dict[str, RateLimit] = {}
        self._summarized: dict[str, StatedLimit] = {}

    def observe(
        self,
        server: str,
        boot_ms: int,
        per_second: float | None,
        now: float,
        rejections_borne: float | None = None,
    ) -> bool:
        """Record what a response states; return whether that changes the limit."""
        limit = RateLimit(server, boot_ms, per_second, now, True, rejections_borne)
        if not limit.is_in_force and server not in self._limits:
            return False
        return self._update(limit)

    def merge(self, notice: RateLimitNotice, now: float) -> bool:
        """Record what another host observed; return whether that changes the limit."""
        observed_ms = now - notice.age_ms
        limit = RateLimit(
            notice.server,
            notice.boot_ms,
            notice.per_second,
            observed_ms,
            False,
            notice.rejections_borne,
        )
        known = self._limits.get(notice.server)
        if known is None and not limit.is_in_force:
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
        return known is None or known.get_stated() != limit.get_stated()

    def find(self, record: ServerRecord) -> RateLimit | None:
        """Return the limit in force for a server, or None if it has none."""
        limit = self._limits.get(record.name)
        if limit is None or not limit.is_in_force:
            return None
        if limit.boot_ms == record.boot_ms:
            return limit
        if limit.boot_ms > record.boot_ms or limit.rejections_borne is None:
            return None
        return replace(limit, boot_ms=record.boot_ms, per_second=None)

    def find_latest(self, server: str) -> RateLimit | None:
        """Return the limit in force for the last known boot of a server."""
        limit = self._limits.get(server)
        return limit if limit is not None and limit.is_in_force else None

    def count(self) -> int:
        """Return the number of servers with a limit."""
        return sum(limit.is_in_force for limit in self._limits.values())

    def set_summary(self, notices: Iterable[RateLimitNotice]) -> None:
        """Set what all hosts were last told."""
        self._summarized = {
            n.server: StatedLimit(n.boot_ms, n.per_second, n.rejections_borne)
            for n in notices
        }

    def list_corrections(self, now: float) -> list[RateLimitNotice]:
        """Return own recent observations that differ from what all hosts were told."""
        return [
            limit.create_notice(now)
            for limit in self._limits.values()
            if limit.is_own
            and now - limit.observed_ms <= REPORTED_AGE_MS
            and self._summarized.get(limit.server) != limit.get_stated()
        ]

    def list_notices(self, now: float) -> list[RateLimitNotice]:
        """Return all known limits, including withdrawn ones, for other hosts."""
        return [limit.create_notice(now) for limit in self._limits.values()]

    def drop_unlisted(self, servers: Collection[str], now: float) -> None:
        """Forget old limits of servers other than `servers`."""
        for name, limit in list(self._limits.items()):
            if name not in servers and now - limit.observed_ms > UNLISTED_TTL_MS:
                del self._limits[name]
