"""Rank the requests of a service by urgency; no I/O.

The priority of a workspace goes before that of the route. Among requests of equal
workspaces the route decides, so that an engine without room does not preempt a chat
for a long prompt that its queue has let wait.
"""

from dataclasses import dataclass

from cornelnotch.gateway.models import Route, RoutingTable, Workspace

__all__ = ["MAX_RANKS", "Urgency", "UrgencyRanks", "find_urgency"]

# Servers tell this many ranks apart, the first of which is the most urgent one.
MAX_RANKS = 10


@dataclass(frozen=True, order=True, slots=True)
class Urgency:
    """Order of a request: first by `priority`, then by the priority of its route."""

    priority: int
    route_priority: int


def find_urgency(route: Route, workspace: Workspace | None) -> Urgency:
    """Return the urgency of a request; the route decides for workspaces without one."""
    priority = route.priority
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    return Urgency(priority, route.priority)


class UrgencyRanks:
    """Ranks of all urgencies that a configuration allows, by service."""

    def __init__(self) -> None:
        self._table: RoutingTable | None = None
        self._ranks: dict[str, dict[Urgency, int]] = {}

    def find_rank(self, table: RoutingTable, service: str, urgency: Urgency) -> int:
        """Return the rank of a request at a service, 0 for the most urgent ones."""
        if self._table is not table:
            self._table = table
            self._ranks.clear()
        ranks = self._ranks.get(service)
        if ranks is None:
            ranks = self._ranks[service] = _create_ranks(table, service)
        # Without priorities of workspaces there are no ranks. A request that an earlier
        # configuration routed may have another urgency than all of these.
        fallback = min(max(urgency.priority, 0), MAX_RANKS - 1)
        return ranks.get(urgency, fallback)


def _create_ranks(table: RoutingTable, service: str) -> dict[Urgency, int]:
    workspaces = (table.workspaces or {}).values()
    own_priorities = {w.priority for w in workspaces if w.priority is not None}
    if not own_priorities:
        return {}
    route_priorities = {
        route.priority
        for routes in table.routes.values()
        for route in routes
        if any(share.service == service for share in route.shares)
    }
    urgencies = sorted(
        Urgency(priority, route_priority)
        for route_priority in route_priorities
        for priority in own_priorities | {route_priority}
    )
    if len(urgencies) <= MAX_RANKS:
        return {urgency: rank for rank, urgency in enumerate(urgencies)}
    count = len(urgencies)
    return {u: index * MAX_RANKS // count for index, u in enumerate(urgencies)}
