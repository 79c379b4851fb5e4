"""View of configuration and members shared by the tasks of a host."""

from collections.abc import Callable

from cornelnotch.configuration import (
    Configuration,
    ConfigurationState,
    ShardPlan,
    plan_shards,
)
from cornelnotch.membership import Member, MemberState, MemberTable, ServerTable
from cornelnotch.routing.ownership import rank_dispatchers, rank_writers

__all__ = ["FleetView"]


class FleetView:
    """Latest configuration, its shards and the live hosts."""

    def __init__(self, table: MemberTable, servers: ServerTable) -> None:
        self.configuration = Configuration()
        self.plans: dict[str, ShardPlan] = {}
        self.leaving_servers: frozenset[str] = frozenset()
        self._table = table
        self._servers = servers
        self._listeners: list[Callable[[], None]] = []
        self._rankings: dict[str, list[str]] = {}

    @property
    def name(self) -> str:
        """Return this host's name."""
        return self._table.name

    @property
    def region(self) -> str:
        """Return this host's region."""
        return self.configuration.find_region(self._table.local_member.place)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Register `listener` to be called after each change."""
        self._listeners.append(listener)

    def apply_configuration(self, state: ConfigurationState) -> None:
        """Replace the configuration and recompute the shards."""
        self.configuration = state.configuration
        self.plans = plan_shards(self.configuration)
        self.apply_members()

    def apply_members(self) -> None:
        """Apply changes of members and leaving servers."""
        self.leaving_servers = self._servers.list_leaving()
        self._rankings.clear()
        for listener in self._listeners:
            listener()

    def list_live(self) -> list[Member]:
        """Return the hosts that are eligible for duties.

        The last hosts keep their duties until they stop.
        """
        leaving = MemberState.LEAVING
        return self._table.list_live() or [
            m for m in self._table.members.values() if m.state is leaving
        ]

    def list_known(self) -> list[Member]:
        """Return all known hosts except those marked dead."""
        members = self._table.members.values()
        return [m for m in members if m.state is not MemberState.DEAD]

    def find_incarnation(self, name: str) -> int:
        """Return the incarnation of a host, which increases at each restart.

        Return -1 for an unknown host.
        """
        member = self._table.members.get(name)
        return member.incarnation if member is not None else -1

    def rank_dispatchers(self, shard: str) -> list[str]:
        """Return hosts in order of preference as the dispatcher of `shard`."""
        ranking = self._rankings.get(shard)
        if ranking is None:
            plan = self.plans[shard]
            ranking = rank_dispatchers(plan, self.configuration, self.list_live())
            self._rankings[shard] = ranking
        return ranking

    def rank_writers(self, stream: int) -> list[str]:
        """Return hosts in order of preference as the writer of a claim stream."""
        key = f"claims/{stream}"
        ranking = self._rankings.get(key)
        if ranking is None:
            ranking = rank_writers(stream, self.list_live())
            self._rankings[key] = ranking
        return ranking
