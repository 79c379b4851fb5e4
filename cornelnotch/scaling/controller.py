"""Order servers while this host holds the duties."""

import math
from dataclasses import replace

from cornelnotch.duties.api import DutyHolder
from cornelnotch.duties.models import CallOutcome, Claim
from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.engine_estimates import PRIOR_RATES
from cornelnotch.gateway.models import Autoscaling, ServerRecord, Service
from cornelnotch.kernel.events import Event
from cornelnotch.kernel.tasks import TaskSupervisor
from cornelnotch.scaling.api import OrderApi
from cornelnotch.scaling.fleet_view import count_serving, list_fleets, measure_cost
from cornelnotch.scaling.history import DemandHistory
from cornelnotch.scaling.models import (
    DomainFleet,
    EngineSupply,
    OrderKey,
    ServerKind,
    ServerOrder,
    ServiceNeed,
    Work,
)
from cornelnotch.scaling.needs import count_busy_servers, find_need
from cornelnotch.scaling.orders import OrderBook
from cornelnotch.scaling.planner import plan_domains
from cornelnotch.scaling.reclaims import ReclaimWatch

__all__ = ["ScalingController"]

TICK_MS = 500.0
# Demand is averaged over this time, within which few long prompts even out.
DEMAND_WINDOW_MS = 2000.0
# Calls to the API at the same time; a silent API holds up this many orders.
MAX_CALLS = 4
# Nothing is released before demand has been collected for this long.
MIN_HISTORY_MS = 5000.0
# A service that gets no requests for this long keeps its least number of servers only.
MIN_IDLE_MS = 30_000.0
# Nothing is released if at least this share of the hosts does not report.
MAX_MISSING_SHARE = 1.0 / 3.0
# Nothing is released if the entries of servers were read longer ago; a host reads them
# every 0.6 s, and another one within 1.1 s if that one fails.
MAX_LISTING_AGE_MS = 3000.0
# A holder without a valid claim for this long is none any more.
MAX_LAPSE_MS = 2000.0
UNKNOWN_RATES = "unknown-rates"
NO_REQUESTS = "no-requests"
MS_PER_SECOND = 1000.0


class ScalingController:
    """Plans servers from demand and sends orders under the claim of this host."""

    def __init__(
        self,
        context: GatewayContext,
        tasks: TaskSupervisor,
        holder: DutyHolder,
        api: OrderApi,
        history: DemandHistory,
    ) -> None:
        self._context = context
        self._tasks = tasks
        self._holder = holder
        self._api = api
        self._history = history
        duties = context.settings.duties
        self._first_window_ms = max(duties.window_s * MS_PER_SECOND, MIN_HISTORY_MS)
        self._book = OrderBook(duties.fenced, duties.lease_ms + TICK_MS)
        self._reclaims = ReclaimWatch()
        self._claim: Claim | None = None
        self._held_since_ms = 0.0
        self._valid_ms = float("-inf")
        self._reclaimed: dict[OrderKey, int] = {}
        self._calls = 0
        self._unpriced: set[tuple[str, str]] = set()
        self._held: dict[str, str] = {}
        self._needs: dict[str, ServiceNeed] = {}

    async def run(self) -> None:
        """Plan and order until cancelled."""
        while True:
            await self._context.clock.sleep(TICK_MS)
            self.step()

    def step(self) -> None:
        """Plan once and start the calls that are due."""
        now = self._context.clock.read()
        self._history.forget_old(now)
        self._note_reclaims(now)
        claim = self._holder.find_claim()
        if claim is None:
            # A claim whose lease has ended is renewed, unless another host has claimed.
            if now - self._valid_ms > MAX_LAPSE_MS:
                self._reclaimed.clear()
            return
        self._valid_ms = now
        self._report_reclaims()
        if self._claim is None or claim.token != self._claim.token:
            self._book.forget_desired()
            self._held_since_ms = now
        self._claim = claim
        self._book.clear_wanted()
        for service, bounds in self._list_scaled():
            self._plan(service, bounds, now)
        self._send(claim, now)

    def measure_cost(self) -> float:
        """Return the price per second of the servers of all scaled services."""
        return sum(
            measure_cost(bounds, self._list_records(service.name))
            for service, bounds in self._list_scaled()
        )

    def measure_need(self) -> float:
        """Return the number of servers that callers need, with room for bursts."""
        return sum(need.full for need in self._needs.values())

    def _list_scaled(self) -> list[tuple[Service, Autoscaling]]:
        services = self._context.table.services.values()
        return [(s, s.autoscaling) for s in services if s.autoscaling is not None]

    def _list_records(self, service: str | None = None) -> list[ServerRecord]:
        views = self._context.pool.servers.values()
        return [v.record for v in views if service in {None, v.record.service}]

    def _list_staying(self) -> list[ServerRecord]:
        """Return the servers that neither the platform nor they say to be leaving."""
        views = self._context.pool.servers.values()
        return [view.record for view in views if not view.leaving]

    def _note_reclaims(self, now: float) -> None:
        scaled = {service.name for service, _ in self._list_scaled()}
        staying = self._list_staying()
        lost: dict[OrderKey, int] = {}
        for record in self._reclaims.list_new(self._list_records()):
            key = OrderKey(record.service, record.domain, ServerKind.SPOT)
            serving = count_serving(staying, key)
            if record.service not in scaled:
                continue
            if not self._book.explains_release(key, serving, now):
                lost[key] = lost.get(key, 0) + 1
        for key, count in lost.items():
            self._book.note_reclaimed(key.service, key.domain, now)
            self._reclaimed[key] = self._reclaimed.get(key, 0) + count

    def _report_reclaims(self) -> None:
        """Count and log reclaimed servers; only the holder does, once for all hosts."""
        for key, count in self._reclaimed.items():
            self._context.metrics.count_reclaimed_servers(
                key.service, key.domain, count
            )
            self._context.events.record(
                Event.SERVERS_RECLAIMED,
                service=key.service,
                domain=key.domain,
                count=count,
            )
        self._reclaimed.clear()

    def _plan(self, service: Service, bounds: Autoscaling, now: float) -> None:
        regions = self._context.settings.regions
        fleets = list_fleets(
            service.name,
            bounds,
            self._list_staying(),
            regions,
            lambda key, serving: self._book.find_level(key, serving, now),
            lambda name, domain: self._book.is_spot_available(name, domain, now),
        )
        self._log_unpriced(service.name, fleets)
        needs = self._find_needs(service, bounds, now)
        held = self._find_hold(service, needs, now)
        self._log_hold(service.name, held)
        if held == UNKNOWN_RATES and any(
            f.on_demand.kept + f.spot.kept for f in fleets
        ):
            # The rates assumed without measurements may be far off.
            return
        minimum = bounds.minimum
        for plan in plan_domains(bounds, fleets, needs, not held):
            fleet = next(f for f in fleets if f.domain == plan.domain)
            if (
                held == NO_REQUESTS
                and fleet.on_demand.level + fleet.spot.level >= minimum
            ):
                # Without requests there is nothing to derive a better fleet from.
                continue
            for kind in ServerKind:
                key = OrderKey(service.name, plan.domain, kind)
                self._book.update(key, plan.get(kind), fleet.get(kind).serving, now)

    def _find_supply(self, service: Service) -> EngineSupply:
        records = self._list_records(service.name)
        slots = sum(r.slots for r in records) // len(records) if records else 1
        if service.engine is None:
            return EngineSupply(0.0, 0.0, slots)
        rates = self._context.engine_rates.get_average(service.name)
        return EngineSupply(
            rates.read_rate,
            rates.event_ms,
            slots,
            service.engine.cache_tokens,
        )

    def _find_needs(
        self, service: Service, bounds: Autoscaling, now: float
    ) -> dict[str, ServiceNeed]:
        """Return the need of each region, scaled up for hosts that do not report."""
        supply = self._find_supply(service)
        regions = self._context.settings.regions
        domains: dict[str, set[str]] = {}
        for domain in self._history.list_domains(service.name):
            domains.setdefault(regions.get(domain, domain), set()).add(domain)
        urgent = self._history.list_priorities(service.name, now)[:1]
        reporting = max(self._history.count_reporting(now), 1)
        missing = self._context.count_known_hosts() / reporting
        factor = min(max(missing, 1.0), 1.0 / (1.0 - MAX_MISSING_SHARE))
        needs = {}
        for region, names in domains.items():
            busy = self._measure_busy(service.name, names, supply, now, None)
            first = urgent[0] if urgent else None
            most_urgent = self._measure_busy(service.name, names, supply, now, first)
            need = find_need(busy, most_urgent, bounds.boot_ms)
            needs[region] = replace(
                need,
                full=need.full * factor,
                secure=need.secure * factor,
                lasting=need.lasting * factor,
            )
        self._needs[service.name] = ServiceNeed(
            sum(need.full for need in needs.values()),
            sum(need.secure for need in needs.values()),
            sum(need.lasting for need in needs.values()),
        )
        return needs

    def _measure_busy(
        self,
        service: str,
        domains: set[str],
        supply: EngineSupply,
        now: float,
        priority: int | None,
    ) -> list[float]:
        works: list[Work] = self._history.measure(
            service, domains, now, DEMAND_WINDOW_MS, priority
        )
        return [count_busy_servers(work, supply) for work in works]

    def _find_hold(
        self, service: Service, needs: dict[str, ServiceNeed], now: float
    ) -> str:
        """Return why no server may be released now, empty if some may be."""
        age_ms = self._history.measure_age_ms(now)
        is_needed = any(need.full > 0 for need in needs.values())
        rates = self._context.engine_rates.get_average(service.name)
        if is_needed and service.engine is not None and rates is PRIOR_RATES:
            return UNKNOWN_RATES
        if not is_needed and age_ms < MIN_IDLE_MS:
            return NO_REQUESTS
        known = self._context.count_known_hosts()
        missing = known - self._history.count_reporting(now)
        if now - self._held_since_ms < self._first_window_ms:
            return "new-holder"
        if age_ms < MIN_HISTORY_MS:
            return "short-history"
        if missing >= known * MAX_MISSING_SHARE and missing > 0:
            return "hosts-missing"
        if now - self._context.find_listed_ms() > MAX_LISTING_AGE_MS:
            return "old-entries"
        return ""

    def _log_hold(self, service: str, reason: str) -> None:
        if self._held.get(service) != reason:
            self._held[service] = reason
            self._context.events.record(
                Event.REDUCTION_HELD, service=service, reason=reason or "none"
            )

    def _log_unpriced(self, service: str, fleets: list[DomainFleet]) -> None:
        for fleet in fleets:
            key = (service, fleet.domain)
            if fleet.price is None and key not in self._unpriced:
                self._unpriced.add(key)
                self._context.events.record(
                    Event.DOMAIN_UNPRICED,
                    service=service,
                    domain=fleet.domain,
                    remedy="add its price to zone_prices",
                )

    def _send(self, claim: Claim, now: float) -> None:
        while self._calls < MAX_CALLS:
            due = self._book.list_due(claim, now)
            if not due or not self._holder.may_call():
                return
            order = due[0]
            self._book.note_sent(order)
            self._calls += 1
            self._tasks.start("order", self._place(claim, order))

    async def _place(self, claim: Claim, order: ServerOrder) -> None:
        outcome = CallOutcome.UNANSWERED
        try:
            outcome = await self._api.place_order(
                claim, order, lambda: self._holder.find_claim() == claim
            )
        finally:
            self._calls -= 1
            self._note_outcome(claim, order, outcome)

    def _note_outcome(
        self, claim: Claim, order: ServerOrder, outcome: CallOutcome
    ) -> None:
        now = self._context.clock.read()
        key = order.key
        service = self._context.table.services.get(key.service)
        bounds = service.autoscaling if service else None
        boot_ms = bounds.boot_ms if bounds else 0.0
        if self._book.note_outcome(order, claim, outcome, boot_ms, now):
            self._holder.note_conflict(claim)
        self._context.metrics.count_server_order(
            key.service, key.domain, key.kind, outcome
        )
        need = self._needs.get(key.service, ServiceNeed(0.0, 0.0, 0.0))
        accepted = outcome is CallOutcome.ACCEPTED
        self._context.events.record(
            Event.SERVERS_ORDERED if accepted else Event.ORDER_FAILED,
            service=key.service,
            domain=key.domain,
            kind=key.kind.value,
            count=order.count,
            serving=count_serving(self._list_staying(), key),
            outcome=outcome.value,
            token=claim.token,
            needed=round(need.full, 1),
            secure=math.ceil(need.secure),
            lasting=math.ceil(need.lasting),
        )
