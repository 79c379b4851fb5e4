"""Select the server for a request, without sockets or clocks."""

import random
from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence
from dataclasses import dataclass, replace

from cornelnotch.gateway.engine_estimates import find_prefill_budget
from cornelnotch.gateway.engine_rates import EngineRateTable
from cornelnotch.gateway.loads import LoadAggregates, add_usages
from cornelnotch.gateway.models import CallerRequest, PromptPart, Route, WorkKind
from cornelnotch.gateway.rate_limits import RateLimitTable
from cornelnotch.gateway.servers import ServerView
from cornelnotch.kernel.hashing import rank_owners
from cornelnotch.pressure.call_choice import CallChooser, CallEstimate
from cornelnotch.pressure.held_bytes import HeldBytes, measure_request_bytes
from cornelnotch.pressure.observed_load import ObservedLoads
from cornelnotch.wire.messages import EngineRates, ServerUsage

__all__ = [
    "GrantedPrompt",
    "OwnerStrategy",
    "Placement",
    "PlacementNeed",
    "PlacementStrategy",
    "Placer",
    "ServerEstimates",
    "compute_gap_cost",
    "estimate_tokens_ahead",
]

# Prefilling shared parts again takes capacity from all requests queued at the server.
REPEATED_PREFILL_WEIGHT = 6.0
# Round-trip times to another failure domain and to another region.
DOMAIN_COST_MS = 2.0
REGION_COST_MS = 70.0
# A full batch slows each of its streams as much as this queueing delay.
FULL_BATCH_COST_MS = 500.0
# Cost of each running or waiting request on routes without streams.
CALL_COST_MS = 20.0
# Approximate time that a request occupies a slot. A full engine frees one slot per
# this time divided by its number of slots.
SLOT_OCCUPANCY_MS = 2500.0
# Cost per consecutive failure, and the most failures that count.
FAILURE_COST_MS = 700.0
MAX_FAILURES = 4
# Cost to latency-sensitive streams of a prompt that fills a whole inter-token gap.
INTERFERENCE_COST_MS = 3000.0
# Prompts below this share of the prefill budget per inter-token gap have no such cost,
# since they leave room for others.
INTERFERENCE_FREE_SHARE = 1.0 / 3.0
# Expected delay of a latency-sensitive stream that shares an engine with long prompts.
UNRESERVED_COST_MS = 250.0
# The admission queue grants short prompts before long ones. A prompt of mean length
# counts the first share of the tokens queued at its priority, others in proportion to
# their length, but at least the second share and at most all. Counting all for every
# prompt moves prompts away from engines that cache their parts, which costs repeated
# prefill.
SAME_PRIORITY_SHARE = 0.7
MIN_SAME_PRIORITY_SHARE = 0.1
# Minimum gain for which a queued request moves to another server. Load reports of other
# hosts lag by this much, so a smaller gain may not be real.
MOVE_COST_MS = 250.0
# Shared prompt parts with a shorter prefill have no preferred server and are not
# fetched from other servers.
MIN_SHARED_PREFILL_MS = 14.0


@dataclass(frozen=True, slots=True)
class Placement:
    """A selected server with its cost.

    `source` is a server that probably caches prompt parts that the selected one lacks.
    `saved_ms` is the expected prefill time that cached parts save, `wait_ms` the
    expected wait before the prefill; strategies that do not estimate them leave them 0.
    """

    server: ServerView
    cost_ms: float
    prefill_tokens: int
    candidates: int
    source: ServerView | None = None
    saved_ms: float = 0.0
    wait_ms: float = 0.0

    def list_event_fields(self) -> dict[str, object]:
        """Return what a log event states of the selected server."""
        return {
            "server": self.server.record.name,
            "software": self.server.record.software,
            "cost_ms": round(self.cost_ms, 1),
            "prefill": self.prefill_tokens,
            "candidates": self.candidates,
            "source": self.source.record.name if self.source else "",
            "saved_ms": round(self.saved_ms, 1),
            "wait_ms": round(self.wait_ms, 1),
        }


@dataclass(frozen=True, slots=True)
class PlacementNeed:
    """Constraints on placing a request, beside its route and prompt.

    `reserved` names the engines reserved for `latency_sensitive` streams, whose
    inter-token gaps must not exceed `latency_sensitive_gap_ms`. `current` names the
    server at which the request is queued, if any, for about `current_wait_ms` more.
    Servers whose costs differ by less than `spread_ms` are chosen from at random.
    """

    priority: int
    excluded: Collection[str]
    latency_sensitive: bool = False
    reserved: frozenset[str] = frozenset()
    latency_sensitive_gap_ms: float = 0.0
    current: str = ""
    current_wait_ms: float = 0.0
    spread_ms: float = 0.0


def estimate_tokens_ahead(usage: ServerUsage, priority: int, prefill: float) -> float:
    """Return the expected number of queued tokens prefilled before a prompt."""
    mean = max(sum(usage.backlog) / max(usage.waiting, 1), 1.0)
    share = min(max(SAME_PRIORITY_SHARE * prefill / mean, MIN_SAME_PRIORITY_SHARE), 1.0)
    same_priority_tokens = sum(usage.backlog[priority : priority + 1])
    return usage.sent + sum(usage.backlog[:priority]) + share * same_priority_tokens


def compute_gap_cost(
    server: ServerView, need: PlacementNeed, prefill: float, rates: EngineRates
) -> float:
    """Return the cost of long prompts on latency-sensitive streams, in ms."""
    if not need.reserved:
        return 0.0
    is_reserved = server.record.name in need.reserved
    if need.latency_sensitive:
        return 0.0 if is_reserved else UNRESERVED_COST_MS
    if not is_reserved:
        return 0.0
    budget_share = prefill / find_prefill_budget(rates, need.latency_sensitive_gap_ms)
    interference = (budget_share - INTERFERENCE_FREE_SHARE) / (
        1.0 - INTERFERENCE_FREE_SHARE
    )
    return INTERFERENCE_COST_MS * min(max(interference, 0.0), 1.0)


class ServerEstimates:
    """What a host knows of the load, rates and limits of servers."""

    def __init__(
        self,
        domain: str,
        regions: dict[str, str],
        engine_rates: EngineRateTable | None = None,
        rate_limits: RateLimitTable | None = None,
        loads: ObservedLoads | None = None,
    ) -> None:
        self.aggregates = LoadAggregates({})
        self._loads = loads or ObservedLoads()
        self._engine_rates = engine_rates or EngineRateTable()
        self._rate_limits = rate_limits or RateLimitTable()
        self._domain = domain
        self._regions = regions

    def measure_usage(self, server: ServerView, now: float) -> ServerUsage:
        """Return the load of a server from this host and, if known, others."""
        own = server.measure_usage(now)
        others = self.aggregates.get(server.record.name, now)
        return own if others is None else add_usages(own, others)

    def is_limited(self, server: ServerView) -> bool:
        """Return whether a server has a rate limit."""
        return self._rate_limits.find(server.record) is not None

    def get_rates(self, server: ServerView) -> EngineRates:
        """Return the rates of an engine, or the mean rates of its service."""
        return self._engine_rates.get(server.record.name, server.record.service)

    def get_rates_now(self, server: ServerView, now: float) -> EngineRates:
        """Return the rates of an engine at the pace that it states now."""
        rates = self.get_rates(server)
        record = server.record
        pace = self._loads.find_pace(record.name, record.boot_ms, now)
        if pace == 1.0:
            return rates
        return replace(
            rates,
            read_rate=rates.read_rate / pace,
            chunk_rate=rates.chunk_rate / pace,
            event_ms=rates.event_ms * pace,
        )

    def is_near(self, server: ServerView) -> bool:
        """Return whether a server is in the region of this host."""
        domain = server.record.domain
        return domain == self._domain or (
            self._regions.get(domain) == self._regions.get(self._domain)
        )

    def get_average_rates(self, service: str) -> EngineRates:
        """Return the mean rates of a service."""
        return self._engine_rates.get_average(service)

    def compute_permit_cost(
        self, server: ServerView, need: PlacementNeed, now: float
    ) -> float:
        """Return the expected wait in ms for a permit under a rate limit."""
        if not self.is_limited(server):
            return 0.0
        if server.record.name == need.current:
            return need.current_wait_ms
        return max(server.permit_ms - now, 0.0)

    def compute_distance_cost(self, domain: str) -> float:
        """Return the round-trip time to a failure domain, in ms."""
        return self.compute_distance_between(self._domain, domain)

    def compute_distance_between(self, first: str, second: str) -> float:
        """Return the round-trip time between two failure domains, in ms."""
        if first == second:
            return 0.0
        if self._regions.get(first) == self._regions.get(second):
            return DOMAIN_COST_MS
        return REGION_COST_MS


@dataclass(frozen=True, slots=True)
class GrantedPrompt:
    """A prompt that may be sent to an engine.

    `expected_tokens` were expected to be prefilled when the engine was chosen. Its
    controller believes that it lacks `uncached_tokens`.
    """

    shared: Sequence[PromptPart]
    own_tokens: int
    expected_tokens: int
    uncached_tokens: int


class PlacementStrategy(ABC):
    """A rule that selects one of several servers."""

    @abstractmethod
    def choose(
        self,
        candidates: list[ServerView],
        servers: list[ServerView],
        route: Route,
        request: CallerRequest,
        need: PlacementNeed,
        now: float,
    ) -> Placement:
        """Return the best of `candidates`, which is not empty.

        `servers` also contains excluded servers, which may be sources of cached parts.
        """

    @abstractmethod
    def record_grant(
        self, server: ServerView, prompt: GrantedPrompt, now: float
    ) -> None:
        """Note that a prompt may be sent to a server."""


class Placer:
    """Select servers by a strategy, as seen from one host."""

    def __init__(
        self,
        domain: str,
        regions: dict[str, str],
        engine_rates: EngineRateTable | None = None,
        rate_limits: RateLimitTable | None = None,
        loads: ObservedLoads | None = None,
        generator: random.Random | None = None,
        held_bytes: HeldBytes | None = None,
    ) -> None:
        loads = loads or ObservedLoads()
        self.estimates = ServerEstimates(
            domain, regions, engine_rates, rate_limits, loads
        )
        generator = generator or random.Random()
        self.strategy: PlacementStrategy = OwnerStrategy(self.estimates, generator)
        self._held_bytes = held_bytes or HeldBytes("")
        self._calls = CallChooser(loads, generator)

    @property
    def aggregates(self) -> LoadAggregates:
        """Return the loads that other hosts put on servers."""
        return self.estimates.aggregates

    def choose(
        self,
        servers: list[ServerView],
        route: Route,
        request: CallerRequest,
        need: PlacementNeed,
        now: float,
    ) -> Placement | None:
        """Return the server with the lowest cost, or None if all are excluded."""
        candidates = [s for s in servers if s.record.name not in need.excluded]
        size = measure_request_bytes(request)
        candidates = self._held_bytes.list_with_room(candidates, size, now)
        if not candidates:
            return None
        if self.states_loads(candidates, route, now):
            return self._choose_for_call(candidates, need, now)
        return self.strategy.choose(candidates, servers, route, request, need, now)

    def states_loads(self, servers: list[ServerView], route: Route, now: float) -> bool:
        """Return whether a call may use the loads that these servers state."""
        return route.kind is not WorkKind.STREAM and self._calls.knows_any(servers, now)

    def estimate_call(self, server: ServerView, now: float) -> CallEstimate:
        """Return what a call may expect at a server that states its load."""
        others = self.aggregates.get(server.record.name, now)
        return self._calls.estimate(server, others, now)

    def is_near(self, server: ServerView) -> bool:
        """Return whether a server is in the region of this host."""
        return self.estimates.is_near(server)

    def _choose_for_call(
        self, candidates: list[ServerView], need: PlacementNeed, now: float
    ) -> Placement:
        """Return the best of a few servers for a call, by the loads that they state.

        Comparing all would send the calls of all hosts to the server that looks empty.
        """
        estimates = self.estimates
        expected = {s.record.name: self.estimate_call(s, now) for s in candidates}
        compared = candidates
        if not need.current:
            unlimited = [s for s in candidates if not estimates.is_limited(s)]
            drawn = unlimited or candidates
            near = [self.is_near(server) for server in drawn]
            found = [expected[server.record.name] for server in drawn]
            compared = self._calls.draw(drawn, found, near)
        costs = []
        for server in compared:
            usage = estimates.measure_usage(server, now)
            cost = estimates.compute_distance_cost(server.record.domain)
            cost += FAILURE_COST_MS * min(usage.failures, MAX_FAILURES)
            cost += expected[server.record.name].cost_ms
            cost += estimates.compute_permit_cost(server, need, now)
            if server.record.name == need.current:
                cost -= MOVE_COST_MS
            costs.append(cost)
        best = min(range(len(compared)), key=costs.__getitem__)
        return Placement(compared[best], costs[best], 0, len(candidates))

    def measure_usage(self, server: ServerView, now: float) -> ServerUsage:
        """Return the load of a server from this host and, if known, others."""
        return self.estimates.measure_usage(server, now)

    def record_grant(
        self, server: ServerView, prompt: GrantedPrompt, now: float
    ) -> None:
        """Note that a prompt may be sent to a server."""
        self.strategy.record_grant(server, prompt, now)


class OwnerStrategy(PlacementStrategy):
    """Prefer one owner of each shared prompt part, by hash and fixed costs."""

    def __init__(
        self, estimates: ServerEstimates, generator: random.Random | None = None
    ) -> None:
        self._estimates = estimates
        self._generator = generator or random.Random()

    def choose(
        self,
        candidates: list[ServerView],
        servers: list[ServerView],
        route: Route,
        request: CallerRequest,
        need: PlacementNeed,
        now: float,
    ) -> Placement:
        """Return the candidate with the lowest cost."""
        estimates = self._estimates
        unlimited = [s for s in candidates if not estimates.is_limited(s)] or candidates
        usual = [s for s in unlimited if s.record.name not in need.reserved]
        owner = self._find_owner(usual or unlimited, request)
        best: Placement | None = None
        for server in candidates:
            prefill = self._count_prefill(server, request, server is owner)
            rates = estimates.get_rates_now(server, now)
            cost = self._compute_load_cost(
                server, route, need.priority, prefill, rates, now
            )
            cost += self._compute_prefill_cost(request, prefill, rates)
            cost += compute_gap_cost(server, need, prefill, rates)
            cost += estimates.compute_permit_cost(server, need, now)
            if server.record.name == need.current:
                cost -= MOVE_COST_MS
            if need.spread_ms:
                cost += need.spread_ms * self._generator.random()
            if best is None or cost < best.cost_ms:
                best = Placement(server, cost, prefill, len(candidates))
        assert best is not None
        source = self._find_source(best.server, servers, request, now)
        return replace(best, source=source)

    def record_grant(
        self, server: ServerView, prompt: GrantedPrompt, now: float
    ) -> None:
        """Ignore the prompt; parts are recorded when a response has ended."""

    def _find_source(
        self,
        chosen: ServerView,
        servers: list[ServerView],
        request: CallerRequest,
        now: float,
    ) -> ServerView | None:
        """Return a server to fetch shared parts from if `chosen` lacks them."""
        shared = request.prompt[:-1]
        tokens = sum(part.tokens for part in shared)
        rates = self._estimates.get_rates(chosen)
        if (
            tokens < MIN_SHARED_PREFILL_MS * rates.read_rate
            or shared[-1].name in chosen.cached_parts
        ):
            return None
        others = [
            s
            for s in servers
            if s is not chosen and not s.failures and not self._estimates.is_limited(s)
        ]
        holders = [s for s in others if shared[-1].name in s.cached_parts]
        if holders:
            return max(holders, key=lambda s: s.cached_parts[shared[-1].name])
        return self._find_owner(others, request) if others else None

    def _find_owner(
        self, candidates: list[ServerView], request: CallerRequest
    ) -> ServerView | None:
        """Return the server that all hosts prefer for the shared parts of a request."""
        shared = request.prompt[:-1]
        usual = self._estimates.get_average_rates(candidates[0].record.service)
        if (
            sum(part.tokens for part in shared)
            < MIN_SHARED_PREFILL_MS * usual.read_rate
        ):
            return None
        names = {server.record.name: server for server in candidates}
        return names[rank_owners(shared[-1].name, names)[0]]

    @staticmethod
    def _count_prefill(server: ServerView, request: CallerRequest, owner: bool) -> int:
        """Return the number of prompt tokens probably not cached by the server."""
        cached = 0
        for part in request.prompt[:-1]:
            if not owner and part.name not in server.cached_parts:
                break
            cached += part.tokens
        return max(request.prompt_tokens - cached, 0)

    def _compute_load_cost(
        self,
        server: ServerView,
        route: Route,
        priority: int,
        prefill: int,
        rates: EngineRates,
        now: float,
    ) -> float:
        cost = self._estimates.compute_distance_cost(server.record.domain)
        usage = self._estimates.measure_usage(server, now)
        if route.kind is not WorkKind.STREAM:
            cost += FAILURE_COST_MS * min(usage.failures, MAX_FAILURES)
            return cost + CALL_COST_MS * (usage.running + usage.waiting)
        cost += estimate_tokens_ahead(usage, priority, prefill) / rates.read_rate
        cost += FULL_BATCH_COST_MS * usage.running / server.record.slots
        cost += FAILURE_COST_MS * min(usage.failures, MAX_FAILURES)
        excess_requests = usage.running + usage.waiting + 1 - server.record.slots
        return cost + SLOT_OCCUPANCY_MS / server.record.slots * max(excess_requests, 0)

    @staticmethod
    def _compute_prefill_cost(
        request: CallerRequest, prefill: int, rates: EngineRates
    ) -> float:
        own = request.prompt[-1].tokens if request.prompt else prefill
        repeated_tokens = max(prefill - own, 0)
        return (prefill + repeated_tokens * REPEATED_PREFILL_WEIGHT) / rates.read_rate
