"""A fluid computation of a scaled fleet: demand and capacity as rates, no requests."""

from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from cornelnotch.duties.models import CallOutcome
from cornelnotch.gateway.models import Autoscaling, Engine, ServerRecord, Service
from cornelnotch.kernel import ManualClock, create_event_log
from cornelnotch.observation.metrics import NodeMetrics
from cornelnotch.scaling.api import OrderApi
from cornelnotch.scaling.controller import ScalingController
from cornelnotch.scaling.history import DemandHistory
from cornelnotch.scaling.models import ServerKind
from cornelnotch.scaling.tests.fake_holder import FakeHolder
from cornelnotch.wire.messages import DemandRow, DemandTotals, EngineRates

__all__ = ["FluidFleet", "FluidResult"]

STEP_MS = 100.0
TICK_MS = 500.0
REPORT_MS = 1000.0
BOOT_MS = 4000.0
NOTICE_MS = 2400.0
NO_SPOT_MS = 9000.0
SPOT_PRICE = 0.18
# Tokens per ms that an engine prefills; the other rates leave slots and memory free.
PREFILL_RATE = 61.8
SLOTS = 64
# Share of requests by priority and the length of their prompts.
MIX = ((0, 0.3, 1500), (1, 0.4, 9200), (2, 0.3, 17_000))
MEAN_TOKENS = sum(share * tokens for _, share, tokens in MIX)
DOMAINS = {"a1": 0.8, "a2": 1.0, "a3": 1.25, "b1": 0.9, "b2": 1.0, "b3": 1.1}


@dataclass(slots=True)
class FluidServer:
    """A server that serves from one time until another."""

    domain: str
    spot: bool
    ready_ms: float
    released_ms: float = float("inf")
    gone_ms: float = float("inf")


@dataclass(slots=True)
class FluidResult:
    """Shares of requests served and of the cost without scaling that was saved."""

    offered: float = 0.0
    served: float = 0.0
    urgent_offered: float = 0.0
    urgent_served: float = 0.0
    cost: float = 0.0
    full_cost: float = 0.0

    @property
    def served_share(self):
        return self.served / self.offered

    @property
    def urgent_share(self):
        return self.urgent_served / self.urgent_offered

    @property
    def saved_share(self):
        return 1.0 - self.cost / self.full_cost


class CallBudget(FakeHolder):
    """Permits a number of calls per second."""

    def __init__(self, clock, calls_per_s):
        super().__init__()
        self._clock = clock
        self._interval_ms = 1000.0 / calls_per_s
        self._next_ms = 0.0

    def may_call(self):
        if self._clock.read() < self._next_ms:
            return False
        self._next_ms = self._clock.read() + self._interval_ms
        return True


@dataclass
class FluidApi(OrderApi):
    """Executes orders; every `lost_every`-th late and unanswered."""

    fleet: "FluidFleet"
    lost_every: int = 0
    late_ms: float = 3000.0
    calls: int = 0

    async def place_order(self, claim, order, is_current):
        self.calls += 1
        if self.lost_every and self.calls % self.lost_every == 0:
            now = self.fleet.clock.read()
            self.fleet.late.append((now + self.late_ms, order))
            return CallOutcome.UNANSWERED
        return self.fleet.execute(order)


@dataclass
class FluidFleet:
    """Forty-five engines in six domains of two regions, behind two hosts."""

    counts: tuple[int, ...] = (8, 8, 8, 7, 7, 7)
    maximum: int = 10
    calls_per_s: float = 2.0
    lost_every: int = 0
    servers: list[FluidServer] = field(default_factory=list)
    late: list = field(default_factory=list)
    no_spot_until_ms: dict[str, float] = field(default_factory=dict)

    def __post_init__(self):
        self.clock = ManualClock(1000.0)
        self.history = DemandHistory()
        self.totals = {
            host: {priority: 0.0 for priority, _, _ in MIX} for host in ("h1", "h2")
        }
        self.sequence = 0
        for domain, count in zip(DOMAINS, self.counts, strict=True):
            self.servers += [FluidServer(domain, False, 0.0) for _ in range(count)]
        self.capacity = sum(self.counts) * PREFILL_RATE * 1000.0 / MEAN_TOKENS
        self.bounds = Autoscaling(1, self.maximum, BOOT_MS, SPOT_PRICE, dict(DOMAINS))
        self.holder = CallBudget(self.clock, self.calls_per_s)
        self.api = FluidApi(self, self.lost_every)
        self.context = self._create_context()
        tasks: Any = self
        self.controller = ScalingController(
            self.context, tasks, self.holder, self.api, self.history
        )

    def _create_context(self):
        duties = SimpleNamespace(fenced=True, window_s=5.0, lease_ms=3000.0)
        regions = {domain: domain[0] for domain in DOMAINS}
        rates = EngineRates("", PREFILL_RATE, PREFILL_RATE, 10.0, 1.0)
        service = Service("llm", Engine(600_000), self.bounds)
        return SimpleNamespace(
            clock=self.clock,
            events=create_event_log("fluid"),
            metrics=NodeMetrics("fluid", self.clock),
            settings=SimpleNamespace(duties=duties, regions=regions),
            table=SimpleNamespace(services={"llm": service}),
            pool=SimpleNamespace(servers={}),
            engine_rates=SimpleNamespace(get_average=lambda name: rates),
            find_listed_ms=self.clock.read,
            count_known_hosts=lambda: 2,
        )

    def start(self, name, work):
        """Run a call, which awaits nothing, to its end."""
        try:
            work.send(None)
        except StopIteration:
            return
        raise RuntimeError("a call of the fluid computation waits")

    def execute(self, order):
        """Execute an order; a spot order where there are none is a conflict."""
        now = self.clock.read()
        spot = order.key.kind is ServerKind.SPOT
        domain = order.key.domain
        staying = [
            s
            for s in self.servers
            if s.domain == domain and s.spot == spot and s.released_ms > now
        ]
        added = order.count - len(staying)
        if spot and added > 0 and now < self.no_spot_until_ms.get(domain, 0.0):
            return CallOutcome.CONFLICT
        self.servers += [FluidServer(domain, spot, now + BOOT_MS) for _ in range(added)]
        for server in staying[order.count :]:
            self._release(server)
        return CallOutcome.ACCEPTED

    def reclaim(self, domain):
        """Take back all spot servers of a domain."""
        now = self.clock.read()
        self.no_spot_until_ms[domain] = now + NOTICE_MS + NO_SPOT_MS
        for server in self.servers:
            if server.domain == domain and server.spot and server.released_ms > now:
                self._release(server)

    def _release(self, server):
        server.released_ms = self.clock.read()
        server.gone_ms = server.released_ms + NOTICE_MS

    def _list_entries(self):
        now = self.clock.read()
        views = {}
        for number, server in enumerate(self.servers):
            if server.ready_ms <= now < server.gone_ms:
                leaving = server.released_ms <= now
                record = ServerRecord(
                    f"i-{number}",
                    "llm",
                    "10.0.0.1:80",
                    server.domain,
                    SLOTS,
                    leaving,
                    1,
                    reclaimable=server.spot,
                )
                views[record.name] = SimpleNamespace(record=record, leaving=leaving)
        return views

    def _report(self):
        self.sequence += 1
        now = self.clock.read()
        for (host, totals), domain in zip(self.totals.items(), "ab", strict=True):
            rows = [
                DemandRow(
                    "llm",
                    priority,
                    int(totals[priority]),
                    0,
                    0,
                    int(totals[priority] * tokens),
                    int(totals[priority] * 20),
                    0,
                    0.0,
                )
                for priority, _, tokens in MIX
            ]
            self.history.add(
                DemandTotals(host, 1, f"{domain}1", self.sequence, rows), now
            )

    def run(self, duration_s, load, events=None):
        """Offer `load(s)`, a share of the capacity; call `events` at their second."""
        result = FluidResult()
        todo = dict(events or {})
        for step in range(int(duration_s * 1000.0 / STEP_MS)):
            elapsed_s = step * STEP_MS / 1000.0
            for at_s in [at for at in todo if at <= elapsed_s]:
                todo.pop(at_s)()
            self._advance(load(elapsed_s), result)
            if step * STEP_MS % REPORT_MS == 0:
                self._report()
            if step * STEP_MS % TICK_MS == 0:
                self.context.pool.servers = self._list_entries()
                self.controller.step()
            self.clock.advance(STEP_MS)
        return result

    def _advance(self, load, result):
        now = self.clock.read()
        for at_ms, order in [item for item in self.late if item[0] <= now]:
            self.late.remove((at_ms, order))
            self.execute(order)
        requests = load * self.capacity * STEP_MS / 1000.0
        for totals in self.totals.values():
            for priority, share, _ in MIX:
                totals[priority] += requests * share / 2
        ready = [s for s in self.servers if s.ready_ms <= now < s.released_ms]
        room = len(ready) * PREFILL_RATE * STEP_MS
        for priority, share, tokens in MIX:
            served = min(requests * share * tokens, room)
            room -= served
            result.offered += requests * share
            result.served += served / tokens
            if priority == 0:
                result.urgent_offered += requests * share
                result.urgent_served += served / tokens
        for server in self.servers:
            if now < server.gone_ms:
                price = DOMAINS[server.domain] * (SPOT_PRICE if server.spot else 1.0)
                result.cost += price * STEP_MS
        for domain, count in zip(DOMAINS, self.counts, strict=True):
            result.full_cost += count * DOMAINS[domain] * STEP_MS
