"""Choose servers by weighing cached prefixes against the wait; no I/O."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from cornelnotch.gateway.models import (
    CallerRequest,
    Engine,
    PromptPart,
    Route,
    WorkKind,
)
from cornelnotch.gateway.placement import (
    FAILURE_COST_MS,
    FULL_BATCH_COST_MS,
    MAX_FAILURES,
    MIN_SHARED_PREFILL_MS,
    MOVE_COST_MS,
    SLOT_OCCUPANCY_MS,
    GrantedPrompt,
    OwnerStrategy,
    Placement,
    PlacementNeed,
    PlacementStrategy,
    ServerEstimates,
    compute_gap_cost,
    estimate_tokens_ahead,
)
from cornelnotch.gateway.servers import ServerView
from cornelnotch.kernel.hashing import rank_owners
from cornelnotch.prefix import estimates as terms
from cornelnotch.prefix.replication import (
    MAX_HOLDERS,
    compute_stagger,
    count_holders,
)
from cornelnotch.prefix.traffic import PromptSample, ServiceTraffic
from cornelnotch.wire.messages import EngineRates, ServerUsage

__all__ = ["PrefixTotals", "WeighedStrategy"]

NO_USAGE = ServerUsage("", 0, 0, 0, 0, 0, [])
UNKNOWN_ENGINE = Engine(0)
# Cache memory of an engine that does not state it, as the admission queue assumes.
UNKNOWN_CACHE_TOKENS = 400_000
# Probability that the first server by hash holds a prefix of which a host that has just
# started knows nothing: in a deployment that has run for a while nearly all are held.
STARTING_CHANCE = 0.8
# Utilization that such a host assumes; a ms of prefill delays others by 5 ms then.
STARTING_UTILIZATION = 0.6
# Each consecutive failure may be a crash that lost the cache; without this share, three
# failures cost less than prefilling the prefix elsewhere.
HELD_AFTER_FAILURE = 0.5
# From this probability on, a server is a source to copy from.
MIN_SOURCE_CHANCE = 0.5


@dataclass(frozen=True, slots=True)
class Demand:
    """Rates of a service over all hosts; rates are per ms and server."""

    own_rate: float
    inserted_rate: float
    mean_inserted: float
    mean_own: float
    mean_use_rate: float
    confirmed_share: float
    is_informed: bool


@dataclass(frozen=True, slots=True)
class Prefix:
    """The shared parts of a prompt with what is probable at servers.

    `holders` names the servers that hold the prefix by hash, `ranked` those that come
    first. `holder_chance` is the probability that a holder caches the parts,
    `spread_chances` that any server caches each part, though this host knows nothing of
    it. `stagger` delays this host's use of a new holder.
    """

    shared: Sequence[PromptPart]
    tokens: int
    ranked: tuple[str, ...]
    holders: tuple[str, ...]
    holder_chance: float
    spread_chances: tuple[float, ...]
    stagger: float


@dataclass(slots=True)
class PrefixTotals:
    """Tokens of shared parts expected to be cached, and those that were."""

    expected_tokens: int = 0
    held_tokens: int = 0
    shared_tokens: int = 0


@dataclass(slots=True)
class Choice:
    """The best candidate so far."""

    server: ServerView
    cost_ms: float
    prefill_tokens: float
    saved_ms: float
    wait_ms: float
    is_copied: bool


class WeighedStrategy(PlacementStrategy):
    """Choose the server with the least expected time for this and the next prompts."""

    def __init__(
        self,
        host: str,
        estimates: ServerEstimates,
        find_engine: Callable[[str], Engine | None],
        count_hosts: Callable[[], int],
    ) -> None:
        self.totals = PrefixTotals()
        self._host = host
        self._estimates = estimates
        self._find_engine = find_engine
        self._count_hosts = count_hosts
        self._usual = OwnerStrategy(estimates)
        self._traffic: dict[str, ServiceTraffic] = {}

    def choose(
        self,
        candidates: list[ServerView],
        servers: list[ServerView],
        route: Route,
        request: CallerRequest,
        need: PlacementNeed,
        now: float,
    ) -> Placement:
        """Return the candidate with the lowest cost; calls follow the usual rule."""
        if route.kind is not WorkKind.STREAM or not request.prompt:
            return self._usual.choose(candidates, servers, route, request, need, now)
        service = candidates[0].record.service
        engine = self._find_engine(service) or UNKNOWN_ENGINE
        demand = self._measure_demand(service, len(servers), now)
        prefix = self._describe_prefix(candidates, request, engine, demand, need, now)
        weighing = Weighing(
            self._estimates, request, need, engine, demand, prefix, service, now
        )
        return weighing.choose(candidates, servers)

    def record_grant(
        self, server: ServerView, prompt: GrantedPrompt, now: float
    ) -> None:
        """Learn from what the engine's controller knows to be cached."""
        shared_tokens = sum(part.tokens for part in prompt.shared)
        total = shared_tokens + prompt.own_tokens
        if total <= 0:
            # A call that needed a grant because its server has a rate limit.
            return
        service = server.record.service
        traffic = self._traffic.setdefault(service, ServiceTraffic())
        uncached = min(max(prompt.uncached_tokens, 0), total)
        held = min(total - uncached, shared_tokens)
        expected = max(
            shared_tokens - max(prompt.expected_tokens - prompt.own_tokens, 0), 0
        )
        sample = PromptSample(
            prompt.shared, prompt.own_tokens, uncached, expected, held
        )
        traffic.record(sample, now)
        self.totals.expected_tokens += expected
        self.totals.held_tokens += held
        self.totals.shared_tokens += shared_tokens
        server.record_cached(prompt.shared, now)

    def _measure_demand(self, service: str, servers: int, now: float) -> Demand:
        traffic = self._traffic.get(service)
        if traffic is None or not traffic.is_informed(now):
            return Demand(0.0, 0.0, 0.0, 0.0, 0.0, 1.0, is_informed=False)
        hosts = max(self._count_hosts(), 1)
        share = hosts / max(servers, 1)
        return Demand(
            traffic.read_own_rate(now) * share,
            traffic.read_inserted_rate(now) * share,
            traffic.read_mean_inserted(now),
            traffic.read_mean_own(now),
            traffic.estimate_mean_use_rate(hosts, now),
            traffic.read_confirmed_share(now),
            is_informed=True,
        )

    def _describe_prefix(
        self,
        candidates: list[ServerView],
        request: CallerRequest,
        engine: Engine,
        demand: Demand,
        need: PlacementNeed,
        now: float,
    ) -> Prefix:
        """Return what this host expects of the shared parts of a prompt."""
        shared = request.prompt[:-1]
        tokens = sum(part.tokens for part in shared)
        service = candidates[0].record.service
        rates = self._estimates.get_average_rates(service)
        if tokens < MIN_SHARED_PREFILL_MS * rates.read_rate:
            return Prefix(shared, tokens, (), (), 0.0, (0.0,) * len(shared), 0.0)
        name = shared[-1].name
        ranked = self._rank(candidates, name, need)
        stagger = compute_stagger(self._host, name)
        if not demand.is_informed:
            chances = (0.0,) * len(shared)
            return Prefix(
                shared, tokens, ranked, ranked[:1], STARTING_CHANCE, chances, stagger
            )
        hosts = max(self._count_hosts(), 1)
        traffic = self._traffic[service]
        use_rate = traffic.estimate_use_rate(name, hosts, now)
        proven_rate = traffic.find_proven_use_rate(name, hosts, now)
        count = self._count_holders(proven_rate, tokens, engine, demand, rates, stagger)
        lifetime_ms = estimate_lifetime(engine, demand, 0)
        chance = terms.estimate_reuse(use_rate / count, lifetime_ms)
        return Prefix(
            shared,
            tokens,
            ranked,
            ranked[:count],
            chance * demand.confirmed_share,
            self._estimate_spread(service, shared, len(candidates), lifetime_ms, now),
            stagger,
        )

    def _count_holders(
        self,
        use_rate: float,
        tokens: int,
        engine: Engine,
        demand: Demand,
        rates: EngineRates,
        stagger: float,
    ) -> int:
        work_ms = demand.mean_own / rates.read_rate
        copy_ms = terms.estimate_copy_ms(
            tokens, engine.kv_token_bytes, engine.link_mbps
        )
        again_ms = min(tokens / rates.read_rate, copy_ms)
        utilization = demand.inserted_rate / rates.read_rate
        return count_holders(use_rate, work_ms, utilization, again_ms, stagger)

    def _estimate_spread(
        self,
        service: str,
        shared: Sequence[PromptPart],
        servers: int,
        lifetime_ms: float,
        now: float,
    ) -> tuple[float, ...]:
        """Return the probability of each part at servers that do not hold the prefix.

        A part with many continuations is cached wherever one of them is. The last part
        is expected only at the holders.
        """
        traffic = self._traffic[service]
        hosts = max(self._count_hosts(), 1)
        chances = []
        for part in shared[:-1]:
            spread = min(traffic.count_continuations(part.name), servers)
            use_rate = traffic.estimate_use_rate(part.name, hosts, now)
            chance = terms.estimate_reuse(use_rate / max(spread, 1), lifetime_ms)
            chances.append(chance * spread / servers)
        return (*chances, 0.0)

    def _rank(
        self, candidates: list[ServerView], name: str, need: PlacementNeed
    ) -> tuple[str, ...]:
        """Return the servers that all hosts prefer for a part, best first."""
        unlimited = [s for s in candidates if not self._estimates.is_limited(s)]
        unlimited = unlimited or candidates
        usual = [s for s in unlimited if s.record.name not in need.reserved]
        names = (server.record.name for server in usual or unlimited)
        return tuple(rank_owners(name, names)[:MAX_HOLDERS])


def estimate_lifetime(engine: Engine, demand: Demand, running: int) -> float:
    """Return how long an engine that runs some requests keeps an unused part, in ms."""
    memory = engine.cache_tokens or UNKNOWN_CACHE_TOKENS
    free = max(memory - running * demand.mean_inserted, 0.0)
    return terms.estimate_lifetime_ms(free, demand.inserted_rate)


def estimate_known(
    server: ServerView, part: str, lifetime_ms: float, now: float
) -> float:
    """Return the probability that a part is cached by what this host sent there."""
    used_ms = server.cached_parts.get(part)
    if used_ms is None:
        return 0.0
    return terms.estimate_held(now - used_ms, lifetime_ms)


class Weighing:
    """The choice of a server for one prompt."""

    def __init__(
        self,
        estimates: ServerEstimates,
        request: CallerRequest,
        need: PlacementNeed,
        engine: Engine,
        demand: Demand,
        prefix: Prefix,
        service_name: str,
        now: float,
    ) -> None:
        self._estimates = estimates
        self._request = request
        self._need = need
        self._engine = engine
        self._demand = demand
        self._prefix = prefix
        self._now = now
        self._memory = engine.cache_tokens or UNKNOWN_CACHE_TOKENS
        self._source: ServerView | None = None
        self._source_chance = 0.0
        # Later requests go where the queues are short, so what a prefill costs them
        # depends on the mean of the service, not on the engine that runs it.
        service = estimates.get_average_rates(service_name)
        self._mean_read_rate = service.read_rate
        utilization = STARTING_UTILIZATION
        if demand.is_informed:
            utilization = demand.inserted_rate / self._mean_read_rate
        self._delay_per_ms = terms.estimate_delay_to_next_ms(1.0, utilization)

    def choose(
        self, candidates: list[ServerView], servers: list[ServerView]
    ) -> Placement:
        """Return the candidate with the lowest cost."""
        self._find_source(servers)
        best: Choice | None = None
        for server in candidates:
            best = self._weigh(server, best)
        assert best is not None
        return Placement(
            best.server,
            best.cost_ms,
            round(best.prefill_tokens),
            len(candidates),
            self._source if best.is_copied else None,
            best.saved_ms,
            best.wait_ms,
        )

    def _find_source(self, servers: list[ServerView]) -> None:
        """Find the server that most probably holds the prefix, if copies are usable."""
        engine = self._engine
        if not self._prefix.ranked or not engine.kv_token_bytes or not engine.link_mbps:
            return
        for server in servers:
            if server.count_failures(self._now) or self._estimates.is_limited(server):
                continue
            held = self._estimate_held_tokens(server, 0)
            chance = held / self._prefix.tokens
            if chance >= MIN_SOURCE_CHANCE and chance > self._source_chance:
                self._source, self._source_chance = server, chance

    def _estimate_held_tokens(self, server: ServerView, running: int) -> float:
        """Return the expected number of shared tokens that a server caches."""
        prefix = self._prefix
        lifetime_ms = estimate_lifetime(self._engine, self._demand, running)
        is_holder = server.record.name in prefix.holders
        chance = 1.0
        held = 0.0
        for index, part in enumerate(prefix.shared):
            known = estimate_known(server, part.name, lifetime_ms, self._now)
            prior = prefix.holder_chance if is_holder else prefix.spread_chances[index]
            chance = min(chance, terms.combine_chances(known, prior))
            held += chance * part.tokens
        # A prefix that exceeds the memory evicts its own beginning.
        if prefix.tokens > self._memory:
            return 0.0
        return held * HELD_AFTER_FAILURE ** server.count_failures(self._now)

    def _measure_usage(self, server: ServerView) -> ServerUsage:
        """Return the load of a server, without a copy if this host adds nothing."""
        if server.in_flight:
            return self._estimates.measure_usage(server, self._now)
        others = self._estimates.aggregates.get(server.record.name, self._now)
        return others if others is not None else NO_USAGE

    def _weigh(self, server: ServerView, best: Choice | None) -> Choice:
        """Return the better of a server and the best so far."""
        need = self._need
        usage = self._measure_usage(server)
        rates = self._estimates.get_rates(server)
        held = self._estimate_held_tokens(server, usage.running)
        prefill = max(self._request.prompt_tokens - held, 0.0)
        prefill_ms = prefill / rates.read_rate
        copied_ms = self._estimate_copied_ms(server, prefill, rates)
        is_copied = copied_ms < prefill_ms
        backlog_ms = (
            estimate_tokens_ahead(usage, need.priority, prefill) / rates.read_rate
        )
        wait_ms = backlog_ms + self._estimate_other_wait_ms(server, usage)
        first_ms = wait_ms + min(prefill_ms, copied_ms)
        cost = first_ms + self._estimates.compute_distance_cost(server.record.domain)
        cost += self._estimate_stream_harm_ms(server, usage, rates, prefill)
        cost += self._estimate_next_ms(usage, rates, prefill)
        if server.record.name == need.current:
            cost -= MOVE_COST_MS
        cost += self._estimate_opening_ms(server, held, rates)
        if best is not None and cost >= best.cost_ms:
            return best
        saved_ms = held / rates.read_rate
        return Choice(server, cost, prefill, saved_ms, wait_ms, is_copied)

    def _estimate_other_wait_ms(self, server: ServerView, usage: ServerUsage) -> float:
        """Return the wait for slots, memory and permits, and after failures."""
        wait_ms = terms.estimate_slot_wait_ms(
            usage.running + usage.waiting,
            server.record.slots,
            self._memory,
            self._demand.mean_inserted,
            SLOT_OCCUPANCY_MS,
        )
        failures = max(usage.failures, server.count_failures(self._now))
        wait_ms += FAILURE_COST_MS * min(failures, MAX_FAILURES)
        return wait_ms + self._estimates.compute_permit_cost(
            server, self._need, self._now
        )

    def _estimate_copied_ms(
        self, server: ServerView, prefill: float, rates: EngineRates
    ) -> float:
        """Return the expected time to copy the prefix and prefill the rest."""
        source = self._source
        if source is None or source is server:
            return float("inf")
        own = self._request.prompt_tokens - self._prefix.tokens
        missing = max(prefill - own, 0.0)
        if missing < MIN_SHARED_PREFILL_MS * rates.read_rate:
            return float("inf")
        copy_ms = terms.estimate_copy_ms(
            missing, self._engine.kv_token_bytes, self._engine.link_mbps
        )
        copy_ms += self._estimates.compute_distance_between(
            server.record.domain, source.record.domain
        )
        failed_ms = (1.0 - self._source_chance) * missing / rates.read_rate
        return own / rates.read_rate + copy_ms + failed_ms

    def _estimate_stream_harm_ms(
        self,
        server: ServerView,
        usage: ServerUsage,
        rates: EngineRates,
        prefill: float,
    ) -> float:
        """Return the delay that a prompt causes to the streams that run at a server."""
        harm_ms = FULL_BATCH_COST_MS * usage.running / server.record.slots
        harm_ms += compute_gap_cost(server, self._need, prefill, rates)
        sensitive_gap_ms = self._need.latency_sensitive_gap_ms
        chunk_rate = rates.chunk_rate * rates.ease
        stall_ms = terms.estimate_stall_ms(
            prefill, chunk_rate, rates.event_ms, sensitive_gap_ms
        )
        return harm_ms + min(usage.tight, usage.running) * stall_ms

    def _estimate_next_ms(
        self,
        usage: ServerUsage,
        rates: EngineRates,
        prefill: float,
    ) -> float:
        """Return what the prefill and what it evicts cost the next requests."""
        demand = self._demand
        delay_ms = prefill / self._mean_read_rate * self._delay_per_ms
        lifetime_ms = estimate_lifetime(self._engine, demand, usage.running)
        shared_rate = max(demand.inserted_rate - demand.own_rate, 0.0)
        live_share = terms.estimate_live_share(
            demand.own_rate, shared_rate, demand.mean_use_rate, lifetime_ms
        )
        return delay_ms + terms.estimate_eviction_ms(
            prefill, live_share, rates.read_rate
        )

    def _estimate_opening_ms(
        self, server: ServerView, held: float, rates: EngineRates
    ) -> float:
        """Return what a copy of the prefix at a further server costs the next prompts.

        Hosts choose a ranked server as the next holder at different costs, so that they
        do not all move at once. A copy at any other server is known to this host alone,
        so that the next prompt is prefilled again.
        """
        prefix = self._prefix
        if not prefix.ranked:
            return 0.0
        missing_ms = max(prefix.tokens - held, 0.0) / rates.read_rate
        if server.record.name in prefix.ranked:
            return prefix.stagger * missing_ms
        return missing_ms
