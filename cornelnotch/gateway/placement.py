"""Select the server for a request, without sockets or clocks."""

import random
from collections.abc import Collection
from dataclasses import dataclass, replace

from cornelnotch.gateway.engine_estimates import find_prefill_budget
from cornelnotch.gateway.engine_rates import EngineRateTable
from cornelnotch.gateway.loads import LoadAggregates, add_usages
from cornelnotch.gateway.models import CallerRequest, Route, WorkKind
from cornelnotch.gateway.rate_limits import RateLimitTable
from cornelnotch.gateway.servers import ServerView
from cornelnotch.kernel.hashing import rank_owners
from cornelnotch.pressure.call_choice import CallChooser, CallEstimate
from cornelnotch.pressure.held_bytes import HeldBytes, measure_request_bytes
from cornelnotch.pressure.observed_load import ObservedLoads
from cornelnotch.wire.messages import EngineRates, ServerUsage

__all__ = ["Placement", "PlacementNeed", "Placer"]

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
    """

    server: ServerView
    cost_ms: float
    prefill_tokens: int
    candidates: int
    source: ServerView | None = None


@dataclass(frozen=True, slots=True)
class PlacementNeed:
    """Constraints on placing a request, beside its route and prompt.

    `reserved` names the engines reserved for `latency_sensitive` streams, whose
    inter-token gaps must not exceed `latency_sensitive_gap_ms`. `current` names the
    server at which the request is queued, if any, for about `current_wait_ms` more.
    """

    priority: int
    excluded: Collection[str]
    latency_sensitive: bool = False
    reserved: frozenset[str] = frozenset()
    latency_sensitive_gap_ms: float = 0.0
    current: str = ""
    current_wait_ms: float = 0.0


class Placer:
    """Select servers by estimated cost, as seen from one host."""

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
        self._held_bytes = held_bytes or HeldBytes("")
        self.aggregates = LoadAggregates({})
        self._loads = loads or ObservedLoads()
        self._calls = CallChooser(self._loads, generator or random.Random())
        self._engine_rates = engine_rates or EngineRateTable()
        self._rate_limits = rate_limits or RateLimitTable()
        self._domain = domain
        self._regions = regions

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
        unlimited = [s for s in candidates if not self._is_limited(s)] or candidates
        usual = [s for s in unlimited if s.record.name not in need.reserved]
        owner = self._find_owner(usual or unlimited, request)
        best: Placement | None = None
        compared, estimates = candidates, {}
        if self.states_loads(candidates, route, now):
            estimates = {s.record.name: self.estimate_call(s, now) for s in candidates}
            if not need.current:
                compared = self._draw(unlimited, estimates)
        for server in compared:
            prefill = self._count_prefill(server, request, server is owner)
            rates = self._get_rates_now(server, now)
            estimate = estimates.get(server.record.name)
            cost = self._compute_load_cost(
                server, route, need.priority, prefill, rates, now, estimate
            )
            cost += self._compute_prefill_cost(request, prefill, rates)
            cost += self._compute_gap_cost(server, need, prefill, rates)
            cost += self._compute_permit_cost(server, need, now)
            if server.record.name == need.current:
                cost -= MOVE_COST_MS
            if best is None or cost < best.cost_ms:
                best = Placement(server, cost, prefill, len(candidates))
        if best is None:
            return best
        source = self._find_source(best.server, servers, request, now)
        return replace(best, source=source)

    def states_loads(self, servers: list[ServerView], route: Route, now: float) -> bool:
        """Return whether a call may use the loads that these servers state."""
        return route.kind is not WorkKind.STREAM and self._calls.knows_any(servers, now)

    def estimate_call(self, server: ServerView, now: float) -> CallEstimate:
        """Return what a call may expect at a server that states its load."""
        others = self.aggregates.get(server.record.name, now)
        return self._calls.estimate(server, others, now)

    def is_near(self, server: ServerView) -> bool:
        """Return whether a server is in the region of this host."""
        return self._is_near(server.record.domain)

    def _draw(
        self, servers: list[ServerView], estimates: dict[str, CallEstimate]
    ) -> list[ServerView]:
        near = [self.is_near(server) for server in servers]
        found = [estimates[server.record.name] for server in servers]
        return self._calls.draw(servers, found, near)

    def measure_usage(self, server: ServerView, now: float) -> ServerUsage:
        """Return the load of a server from this host and, if known, others."""
        own = server.measure_usage(now)
        others = self.aggregates.get(server.record.name, now)
        return own if others is None else add_usages(own, others)

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
        rates = self._get_rates(chosen)
        if (
            tokens < MIN_SHARED_PREFILL_MS * rates.read_rate
            or shared[-1].name in chosen.cached_parts
        ):
            return None
        others = [
            s
            for s in servers
            if s is not chosen and not s.failures and not self._is_limited(s)
        ]
        holders = [s for s in others if shared[-1].name in s.cached_parts]
        if holders:
            return max(holders, key=lambda s: s.cached_parts[shared[-1].name])
        return self._find_owner(others, request) if others else None

    def _is_limited(self, server: ServerView) -> bool:
        return self._rate_limits.find(server.record) is not None

    def _compute_permit_cost(
        self, server: ServerView, need: PlacementNeed, now: float
    ) -> float:
        """Return the expected wait for a permit under the server's rate limit."""
        if not self._is_limited(server):
            return 0.0
        if server.record.name == need.current:
            return need.current_wait_ms
        return max(server.permit_ms - now, 0.0)

    def _get_rates(self, server: ServerView) -> EngineRates:
        return self._engine_rates.get(server.record.name, server.record.service)

    def _get_rates_now(self, server: ServerView, now: float) -> EngineRates:
        """Return the rates of an engine at the pace that it states now."""
        rates = self._get_rates(server)
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

    def _find_owner(
        self, candidates: list[ServerView], request: CallerRequest
    ) -> ServerView | None:
        """Return the server that all hosts prefer for the shared parts of a request."""
        shared = request.prompt[:-1]
        usual = self._engine_rates.get_average(candidates[0].record.service)
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
        estimate: CallEstimate | None = None,
    ) -> float:
        cost = self._compute_distance_cost(server.record.domain)
        usage = self.measure_usage(server, now)
        if route.kind is not WorkKind.STREAM:
            cost += FAILURE_COST_MS * min(usage.failures, MAX_FAILURES)
            if estimate is not None:
                return cost + estimate.cost_ms
            return cost + CALL_COST_MS * (usage.running + usage.waiting)
        cost += self._estimate_tokens_ahead(usage, priority, prefill) / rates.read_rate
        cost += FULL_BATCH_COST_MS * usage.running / server.record.slots
        cost += FAILURE_COST_MS * min(usage.failures, MAX_FAILURES)
        excess_requests = usage.running + usage.waiting + 1 - server.record.slots
        return cost + SLOT_OCCUPANCY_MS / server.record.slots * max(excess_requests, 0)

    @staticmethod
    def _estimate_tokens_ahead(
        usage: ServerUsage, priority: int, prefill: int
    ) -> float:
        """Return the expected number of queued tokens prefilled before a prompt."""
        mean = max(sum(usage.backlog) / max(usage.waiting, 1), 1.0)
        share = min(
            max(SAME_PRIORITY_SHARE * prefill / mean, MIN_SAME_PRIORITY_SHARE), 1.0
        )
        same_priority_tokens = sum(usage.backlog[priority : priority + 1])
        return usage.sent + sum(usage.backlog[:priority]) + share * same_priority_tokens

    @staticmethod
    def _compute_prefill_cost(
        request: CallerRequest, prefill: int, rates: EngineRates
    ) -> float:
        own = request.prompt[-1].tokens if request.prompt else prefill
        repeated_tokens = max(prefill - own, 0)
        return (prefill + repeated_tokens * REPEATED_PREFILL_WEIGHT) / rates.read_rate

    @staticmethod
    def _compute_gap_cost(
        server: ServerView, need: PlacementNeed, prefill: int, rates: EngineRates
    ) -> float:
        """Return the cost of long prompts on latency-sensitive streams."""
        if not need.reserved:
            return 0.0
        is_reserved = server.record.name in need.reserved
        if need.latency_sensitive:
            return 0.0 if is_reserved else UNRESERVED_COST_MS
        if not is_reserved:
            return 0.0
        budget_share = prefill / find_prefill_budget(
            rates, need.latency_sensitive_gap_ms
        )
        interference = (budget_share - INTERFERENCE_FREE_SHARE) / (
            1.0 - INTERFERENCE_FREE_SHARE
        )
        return INTERFERENCE_COST_MS * min(max(interference, 0.0), 1.0)

    def _compute_distance_cost(self, domain: str) -> float:
        if domain == self._domain:
            return 0.0
        return DOMAIN_COST_MS if self._is_near(domain) else REGION_COST_MS

    def _is_near(self, domain: str) -> bool:
        """Return whether a failure domain is in the region of this host."""
        return domain == self._domain or (
            self._regions.get(domain) == self._regions.get(self._domain)
        )
