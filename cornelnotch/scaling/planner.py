"""Choose how many servers of which kind each domain gets; no I/O.

Callers that lose their requests cost far more than idle servers, so that servers are
added as soon as they are needed, and taken away only while the others suffice.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

from cornelnotch.gateway.models import Autoscaling
from cornelnotch.scaling.models import (
    DomainFleet,
    DomainPlan,
    KindCount,
    ServerKind,
    ServiceNeed,
)

__all__ = ["plan_domains", "plan_targets"]

# Spot servers of one domain beyond its even share, so that cheap domains get more of
# them but the loss of one does not take most of them.
SPREAD_FACTOR = 1.25
# A server that is there already is preferred to one that costs a little less, as its
# caches are warm and an exchange takes the time of a boot.
KEPT_COST_SHARE = 0.85


@dataclass(slots=True)
class DomainTarget:
    """Servers allotted to one domain so far."""

    fleet: DomainFleet
    counts: dict[ServerKind, int] = field(
        default_factory=lambda: dict.fromkeys(ServerKind, 0)
    )

    def count(self) -> int:
        """Return the number of servers of both kinds."""
        return sum(self.counts.values())


class Allotment:
    """Allots servers one by one, each where it costs least."""

    def __init__(
        self, bounds: Autoscaling, fleets: Sequence[DomainFleet], total: int, kept: int
    ) -> None:
        self._bounds = bounds
        self._targets = {fleet.domain: DomainTarget(fleet) for fleet in fleets}
        self._total = total
        self._spread = math.ceil(SPREAD_FACTOR * total / max(len(fleets), 1))
        self._spot_limit = max(total - kept, 0)

    def fill(self, domains: Sequence[str], count: int) -> int:
        """Allot `count` servers to some domains; return how many found no room."""
        for left in range(count, 0, -1):
            options = [
                (self._find_cost(target, kind), target.count(), target.fleet.domain)
                + (kind,)
                for name in domains
                for target in [self._targets[name]]
                for kind in ServerKind
                if self._has_room(target, kind)
            ]
            if not options:
                return left
            _, _, domain, kind = min(options)
            self._targets[domain].counts[kind] += 1
        return 0

    def count(self) -> int:
        """Return the number of servers allotted so far."""
        return sum(target.count() for target in self._targets.values())

    def list_plans(self) -> list[DomainPlan]:
        """Return what has been allotted."""
        return [
            DomainPlan(
                name,
                target.counts[ServerKind.ON_DEMAND],
                target.counts[ServerKind.SPOT],
            )
            for name, target in self._targets.items()
        ]

    def _has_room(self, target: DomainTarget, kind: ServerKind) -> bool:
        if target.count() >= self._bounds.maximum:
            return False
        if kind is ServerKind.ON_DEMAND:
            return True
        limit = min(self._spot_limit, max(self._spread, 1))
        return target.fleet.spot_available and target.counts[kind] < limit

    def _find_cost(self, target: DomainTarget, kind: ServerKind) -> float:
        cost = target.fleet.price or 0.0
        if kind is ServerKind.SPOT:
            cost *= self._bounds.spot_price
        if target.counts[kind] < target.fleet.get(kind).level:
            cost *= KEPT_COST_SHARE
        return cost


def plan_targets(
    bounds: Autoscaling,
    fleets: Sequence[DomainFleet],
    needs: Mapping[str, ServiceNeed],
) -> list[DomainPlan]:
    """Return the servers that each domain is to have in the end.

    `needs` are those of the callers in each region. A region gets what its own callers
    need; what has no room there goes to other regions. The loss of all spot servers of
    one domain leaves the lasting need.
    """
    priced = [fleet for fleet in fleets if fleet.price is not None]
    if not priced:
        return []
    given: dict[str, int] = {}
    for fleet in fleets:
        if fleet.price is None:
            count = fleet.on_demand.kept + fleet.spot.kept
            given[fleet.region] = given.get(fleet.region, 0) + count
    by_region: dict[str, list[str]] = {fleet.region: [] for fleet in priced}
    for fleet in priced:
        by_region[fleet.region].append(fleet.domain)
    wanted = {
        region: max(math.ceil(need.full) - given.get(region, 0), 0)
        for region, need in needs.items()
    }
    # One server is left to a service that gets no requests.
    at_least = max(len(priced) * bounds.minimum, 1)
    at_most = len(priced) * bounds.maximum
    lasting = math.ceil(sum(need.lasting for need in needs.values()))
    lasting = max(lasting - sum(given.values()), 0)
    total = max(sum(wanted.values()), at_least, _cover_loss(lasting, priced))
    total = min(total, at_most)
    kept = min(lasting, total)
    allotment = Allotment(bounds, priced, total, kept)
    for fleet in priced:
        allotment.fill([fleet.domain], bounds.minimum)
    unmet = 0
    for region, count in sorted(wanted.items()):
        names = by_region.get(region, [])
        left = max(count - len(names) * bounds.minimum, 0)
        unmet += allotment.fill(names, left) if names else left
    unmet = max(unmet, total - allotment.count())
    allotment.fill([fleet.domain for fleet in priced], unmet)
    return allotment.list_plans()


def _cover_loss(lasting: int, fleets: Sequence[DomainFleet]) -> int:
    """Return the servers of which one domain's even share may be lost.

    Spot servers beyond the need cost less than on-demand servers in their place.
    """
    domains = sum(fleet.spot_available for fleet in fleets)
    return math.ceil(lasting * domains / (domains - 1)) if domains > 1 else lasting


def plan_domains(
    bounds: Autoscaling,
    fleets: Sequence[DomainFleet],
    needs: Mapping[str, ServiceNeed],
    may_reduce: bool,
) -> list[DomainPlan]:
    """Return the servers to order now, on the way to the target of each domain.

    Servers are taken away only if `may_reduce`, and only as far as those that serve and
    stay are enough for the secure need. So an on-demand server goes only once the spot
    server that replaces it serves.
    """
    targets = {plan.domain: plan for plan in plan_targets(bounds, fleets, needs)}
    priced = [fleet for fleet in fleets if fleet.domain in targets]
    kept = sum(fleet.on_demand.kept + fleet.spot.kept for fleet in fleets)
    secure = math.ceil(sum(need.secure for need in needs.values()))
    spare = max(kept - secure, 0) if may_reduce else 0
    plans = {f.domain: _add(f, bounds, targets[f.domain]) for f in priced}
    for kind in (ServerKind.ON_DEMAND, ServerKind.SPOT):
        for fleet in sorted(priced, key=lambda f: (-(f.price or 0.0), f.domain)):
            plan, count = plans[fleet.domain], fleet.get(kind)
            surplus = count.level - targets[fleet.domain].get(kind)
            # Ordered servers that do not serve yet are no part of what is kept.
            idle = count.level - count.kept
            surplus = min(surplus, plan.on_demand + plan.spot - bounds.minimum)
            released = min(surplus, spare + idle) if may_reduce else 0
            if released <= 0:
                continue
            spare -= max(released - idle, 0)
            plans[fleet.domain] = _set_count(plan, kind, count.level - released)
    return list(plans.values())


def _set_count(plan: DomainPlan, kind: ServerKind, count: int) -> DomainPlan:
    if kind is ServerKind.SPOT:
        return replace(plan, spot=count)
    return replace(plan, on_demand=count)


def _add(fleet: DomainFleet, bounds: Autoscaling, target: DomainPlan) -> DomainPlan:
    """Return what is there and ordered, with the servers added that have room.

    Missing on-demand servers come first: they are certain to be had.
    """
    room = bounds.maximum - _count_held(fleet.on_demand) - _count_held(fleet.spot)
    missing = max(target.on_demand - fleet.on_demand.level, 0)
    on_demand = min(missing, max(room, 0))
    missing = max(target.spot - fleet.spot.level, 0)
    spot = min(missing, max(room - on_demand, 0))
    return DomainPlan(
        fleet.domain, fleet.on_demand.level + on_demand, fleet.spot.level + spot
    )


def _count_held(count: KindCount) -> int:
    """Return the servers that are there or ordered, whichever is more."""
    return max(count.serving, count.level)
