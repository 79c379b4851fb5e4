"""Judge and describe the state of one host."""

from collections.abc import Callable
from dataclasses import asdict, dataclass

from cornelnotch import __version__
from cornelnotch.configuration.follower import ConfigurationFollower
from cornelnotch.kernel import Clock, Event, EventLog, rank_owners
from cornelnotch.membership import MemberState, Prober
from cornelnotch.routing.fleet import FleetView
from cornelnotch.settings import NodeSettings

__all__ = ["HostStatus", "StatusReader"]

CHECK_MS = 1000.0


@dataclass(frozen=True, slots=True)
class HostStatus:
    """Tell whether a host takes work, and if not why; ages in ms."""

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
    """Read the state of one host from its tasks."""

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
        """Record when the host stops or starts taking work, until cancelled."""
        known: str | None = "no-configuration"
        while True:
            obstacle = self.find_obstacle()
            if obstacle is not None and obstacle != known:
                self._events.record(Event.HOST_REFUSING, reason=obstacle)
            elif obstacle is None and known is not None:
                self._events.record(Event.HOST_SERVING)
            known = obstacle
            await self._clock.sleep(CHECK_MS)

    def find_obstacle(self) -> str | None:
        """Return why the host must not take work, or None."""
        if self._fleet.configuration.version < 0:
            return "no-configuration"
        if self.is_isolated():
            return "isolated"
        limit = self._settings.timing.stale_limit_ms
        if limit and self._prober.read_log_age() > limit:
            return "stale-configuration"
        return None

    def is_isolated(self) -> bool:
        """Tell whether neither the log nor any other host has been heard."""
        limit = self._settings.timing.isolation_ms
        if self._follower.read_log_age() <= limit:
            return False
        alone = len(self._prober.table.members) == 1
        peer_age = self._clock.read() - self._prober.peer_heard_ms
        return not alone and peer_age > limit

    def describe(self) -> HostStatus:
        """Return the state for operators."""
        obstacle = self.find_obstacle()
        members = self._prober.table.members.values()
        return HostStatus(
            self._fleet.name,
            __version__,
            obstacle is None and not self.draining,
            obstacle or "",
            self.draining,
            self._fleet.configuration.version,
            min(self._follower.read_log_age(), 1e12),
            self._prober.read_log_age(),
            self._clock.read() - self._prober.peer_heard_ms,
            {m.name: m.state.value for m in members},
            sorted(self._fleet.leaving_servers),
            self.count_queued(),
        )

    def describe_json(self) -> dict[str, object]:
        """Return the state as plain data."""
        return asdict(self.describe())

    def list_entries(self, workspace: str, place: str | None) -> list[str]:
        """Return addresses for a caller, best first; never a leaving host."""
        members = {
            m.name: m
            for m in self._prober.table.members.values()
            if m.state is MemberState.ALIVE
        }
        if self.find_obstacle() is not None:
            members.pop(self._fleet.name, None)
        region = self._fleet.configuration.find_region(place) if place else None
        ranked = rank_owners(f"entry/{workspace}", members)
        ranked.sort(key=lambda name: self._is_far(members[name].place, region))
        return [members[name].http for name in ranked]

    def _is_far(self, place: str, region: str | None) -> bool:
        if region is None:
            return False
        return self._fleet.configuration.find_region(place) != region
