"""Status and readiness of one host."""

from collections.abc import Callable
from dataclasses import asdict, dataclass

from cornelnotch import __version__
from cornelnotch.configuration.follower import ConfigurationFollower
from cornelnotch.kernel import Clock, Event, EventLog, rank_owners
from cornelnotch.membership import MemberState, Prober
from cornelnotch.routing.fleet import FleetView
from cornelnotch.settings import NodeSettings

__all__ = ["HostStatus", "StatusReader"]

CHECK_INTERVAL_MS = 1000.0


@dataclass(frozen=True, slots=True)
class HostStatus:
    """Readiness of a host with the reason if it refuses requests; ages in ms."""

    host: str
    release: str
    ready: bool
    reason: str
    draining: bool
    version: int
    log_age_ms: float
    shared_log_age_ms: float
    peer_age_ms: float
    members: dict[str, str]
    leaving_servers: list[str]
    queued: dict[str, int]


class StatusReader:
    """Reader of the state of one host."""

    def __init__(
        self,
        settings: NodeSettings,
        fleet: FleetView,
        follower: ConfigurationFollower,
        prober: Prober,
        clock: Clock,
        events: EventLog,
    ) -> None:
        self.draining = False
        self.count_queued: Callable[[], dict[str, int]] = dict
        self._events = events
        self._settings = settings
        self._fleet = fleet
        self._follower = follower
        self._prober = prober
        self._clock = clock

    async def run(self) -> None:
        """Log when the host starts or stops refusing requests, until cancelled."""
        logged_reason: str | None = "no-configuration"
        while True:
            refusal_reason = self.find_refusal_reason()
            if refusal_reason is not None and refusal_reason != logged_reason:
                self._events.record(Event.HOST_REFUSING, reason=refusal_reason)
            elif refusal_reason is None and logged_reason is not None:
                self._events.record(Event.HOST_SERVING)
            logged_reason = refusal_reason
            await self._clock.sleep(CHECK_INTERVAL_MS)

    def find_refusal_reason(self) -> str | None:
        """Return why the host must refuse requests, or None."""
        if self._fleet.configuration.version < 0:
            return "no-configuration"
        if self.is_isolated():
            return "isolated"
        limit = self._settings.timing.stale_limit_ms
        if limit and self._prober.find_shared_log_age_ms() > limit:
            return "stale-configuration"
        return None

    def is_isolated(self) -> bool:
        """Return whether neither the log nor any peer has responded recently."""
        limit = self._settings.timing.isolation_ms
        if self._follower.find_log_age_ms() <= limit:
            return False
        alone = len(self._prober.table.members) == 1
        peer_age = self._clock.read() - self._prober.last_peer_message_ms
        return not alone and peer_age > limit

    def describe(self) -> HostStatus:
        """Return the status shown to operators."""
        refusal_reason = self.find_refusal_reason()
        members = self._prober.table.members.values()
        return HostStatus(
            self._fleet.name,
            __version__,
            refusal_reason is None and not self.draining,
            refusal_reason or "",
            self.draining,
            self._fleet.configuration.version,
            min(self._follower.find_log_age_ms(), 1e12),
            self._prober.find_shared_log_age_ms(),
            self._clock.read() - self._prober.last_peer_message_ms,
            {m.name: m.state.value for m in members},
            sorted(self._fleet.leaving_servers),
            self.count_queued(),
        )

    def describe_json(self) -> dict[str, object]:
        """Return the status as a dictionary."""
        return asdict(self.describe())

    def list_entries(self, workspace: str, place: str | None) -> list[str]:
        """Return the addresses of live hosts in the caller's order of preference.

        Hosts of the caller's region come first; leaving hosts are left out.
        """
        members = {
            m.name: m
            for m in self._prober.table.members.values()
            if m.state is MemberState.ALIVE
        }
        if self.find_refusal_reason() is not None:
            members.pop(self._fleet.name, None)
        region = self._fleet.configuration.find_region(place) if place else None
        ranked = rank_owners(f"entry/{workspace}", members)
        ranked.sort(key=lambda name: self._is_other_region(members[name].place, region))
        return [members[name].http for name in ranked]

    def _is_other_region(self, place: str, region: str | None) -> bool:
        if region is None:
            return False
        return self._fleet.configuration.find_region(place) != region
