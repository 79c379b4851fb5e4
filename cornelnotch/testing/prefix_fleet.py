"""Play prompts with shared prefixes on engines and several hosts, in virtual time.

Each host knows its own requests at once and those of others from totals that lag. It
learns what an engine caches only from the uncached tokens of its own grants.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace

from cornelnotch.gateway.admission_queue import AdmissionQueue
from cornelnotch.gateway.engine_estimates import EngineEstimate
from cornelnotch.gateway.engine_rates import EngineRateTable
from cornelnotch.gateway.models import (
    CallerRequest,
    Engine,
    PromptPart,
    Route,
    ServerRecord,
    ServiceShare,
    WorkKind,
)
from cornelnotch.gateway.placement import (
    GrantedPrompt,
    Placement,
    PlacementNeed,
    Placer,
)
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.prefix.strategy import WeighedStrategy
from cornelnotch.testing.enginemodel import (
    EngineModel,
    EngineRequest,
    EngineShape,
    Outcome,
    PlacedRequest,
)
from cornelnotch.wire.messages import EngineRates, LoadSummary

__all__ = [
    "FleetEvent",
    "FleetShape",
    "PrefixFleet",
    "PrefixOutcome",
    "PrefixPrompt",
    "create_call",
    "create_prompts",
]

SERVICE = "llm"
SUMMARY_INTERVAL_MS = 250.0
# After this time without a first token, a host leaves a silent engine.
SILENCE_LIMIT_MS = 1000.0
ROUTE = Route(
    "r", "", "/", WorkKind.STREAM, 1e9, 1e9, 1, 1, (ServiceShare(SERVICE, 1.0),)
)


@dataclass(slots=True)
class PrefixPrompt(PlacedRequest):
    """A prompt with several shared parts; `shared` and `shared_tokens` sum them up."""

    parts: tuple[PromptPart, ...] = ()


@dataclass(slots=True)
class PrefixOutcome(Outcome):
    """Latencies of a prompt, and the share of it that its engine had cached.

    `granted_ms` is when it was sent to its last engine, 0 if it never was.
    """

    cached_share: float = 0.0
    granted_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Number of hosts and engines, and by how much hosts are wrong.

    `rate_error` is a factor on the rates of engines, `count_error` on the number of
    hosts, from which the traffic of all is estimated.
    """

    engines: int = 8
    hosts: int = 12
    weighed: bool = True
    rate_error: float = 1.0
    count_error: float = 1.0
    cache_tokens: int = 575_000
    regions: tuple[str, ...] = ("a",)


def create_prompts(
    seed: int,
    seconds: float,
    per_s: float,
    prefixes: int,
    shared_tokens: int = 13_300,
    mean_own_tokens: int = 3720,
    hot_share: float = 0.0,
) -> list[PrefixPrompt]:
    """Return prompts that arrive at random and share one of several prefixes.

    `hot_share` of them share the same one.
    """
    generator = random.Random(seed)
    prompts: list[PrefixPrompt] = []
    at_ms = 0.0
    while at_ms < seconds * 1000.0:
        at_ms += generator.expovariate(per_s) * 1000.0
        is_hot = generator.random() < hot_share
        name = "hot" if is_hot else f"thing {generator.randrange(prefixes)}"
        own = int(mean_own_tokens * generator.lognormvariate(-0.32, 0.8)) + 1
        part = PromptPart(name, shared_tokens)
        prompts.append(
            PrefixPrompt(
                f"p{len(prompts)}",
                at_ms,
                False,
                name,
                shared_tokens,
                own,
                60,
                parts=(part,),
            )
        )
    return prompts


def create_call(prompt: PrefixPrompt) -> CallerRequest:
    """Return the request of a prompt."""
    own = PromptPart(f"own {prompt.name}", prompt.own_tokens)
    return CallerRequest(
        prompt.name,
        "POST",
        "/",
        "",
        "/",
        [],
        prompt=(*prompt.parts, own),
        prompt_tokens=prompt.shared_tokens + prompt.own_tokens,
    )


@dataclass(slots=True)
class FleetHost:
    """One host with its views of the engines."""

    name: str
    placer: Placer
    views: dict[str, ServerView]
    rates: EngineRateTable


@dataclass(slots=True)
class FleetRun(EngineRequest):
    """A request at an engine, with the host that sent it."""

    host: FleetHost = field(kw_only=True)
    host_view: ServerView = field(kw_only=True)
    prompt: PrefixPrompt = field(kw_only=True)
    answer: PrefixOutcome = field(kw_only=True)
    expected_tokens: int = 0


@dataclass(slots=True)
class FleetEngine(EngineModel):
    """An engine that caches shared and own parts, and may be stopped."""

    is_silent: bool = False
    is_down: bool = False
    is_listed: bool = True

    def take_runs(self, before_ms: float = float("inf")) -> list[FleetRun]:
        """Remove and return the requests that were sent before a time."""
        taken = []
        for run in [*self.runs, *self.waiting.values()]:
            assert isinstance(run, FleetRun)
            if run.in_flight.started_ms < before_ms:
                taken.append(run)
        for run in taken:
            self.waiting.pop(run.prompt.name, None)
            if run in self.runs:
                self.runs.remove(run)
            if self.queue is not None:
                self.queue.remove(run.prompt.name)
        return taken

    def admit(self, run: EngineRequest) -> None:
        """Admit a request; a part is cached only with all parts before it."""
        assert isinstance(run, FleetRun)
        prompt = run.prompt
        run.in_flight.sent = True
        run.prompt_tokens = prompt.own_tokens + prompt.shared_tokens
        run.unread_tokens = run.prompt_tokens
        for part in prompt.parts:
            if part.name not in self.cache:
                break
            run.unread_tokens -= part.tokens
        for part in (*prompt.parts, PromptPart(prompt.name, prompt.own_tokens)):
            self.cache[part.name] = part.tokens
            self.cache.move_to_end(part.name)
        while sum(self.cache.values()) > self.shape.cache_tokens:
            self.cache.popitem(last=False)
        run.answer.cached_share = 1.0 - run.unread_tokens / run.prompt_tokens
        run.in_flight.prefill_tokens = run.unread_tokens
        self.read_tokens += run.unread_tokens
        self.runs.append(run)
        grant = GrantedPrompt(
            prompt.parts, prompt.own_tokens, run.expected_tokens, run.unread_tokens
        )
        now = max(self.free_ms, prompt.at_ms)
        run.answer.granted_ms = now
        run.host.placer.record_grant(run.host_view, grant, now)


@dataclass(slots=True)
class FleetEvent:
    """A change of the fleet at a time."""

    at_ms: float
    apply: Callable[["PrefixFleet"], None]


@dataclass(slots=True)
class PrefixFleet:
    """Hosts and engines that play prompts."""

    shape: FleetShape = FleetShape()
    engines: dict[str, FleetEngine] = field(default_factory=dict)
    hosts: list[FleetHost] = field(default_factory=list)
    outcomes: list[PrefixOutcome] = field(default_factory=list)
    now: float = 0.0
    wasted_dispatches: int = 0
    _boots: int = 0
    _summary_ms: float = float("-inf")

    def __post_init__(self) -> None:
        for number in range(self.shape.engines):
            self.add_engine(f"engine-{number}")
        self.hosts = [
            self._create_host(f"host-{number}") for number in range(self.shape.hosts)
        ]

    def add_engine(self, name: str) -> None:
        """Start an engine with an empty cache, or start it again."""
        self._boots += 1
        shape = EngineShape(tokens_per_ms=61.0, cache_tokens=self.shape.cache_tokens)
        domain = self.shape.regions[len(self.engines) % len(self.shape.regions)]
        if name in self.engines:
            domain = self.engines[name].view.record.domain
        record = ServerRecord(
            name, SERVICE, "10.0.0.1:80", domain, shape.slots, boot_ms=self._boots
        )
        estimate = self._create_estimate(name)
        queue = AdmissionQueue(shape.slots, shape.cache_tokens, estimate)
        self.engines[name] = self._create_engine(ServerView(record), queue, shape)
        for host in self.hosts:
            host.views[name] = ServerView(record)

    def _create_engine(
        self, view: ServerView, queue: AdmissionQueue, shape: EngineShape
    ) -> FleetEngine:
        return FleetEngine(view, queue, shape, free_ms=self.now)

    def _create_estimate(self, name: str) -> EngineEstimate:
        return EngineEstimate(name)

    def _create_host(self, name: str) -> FleetHost:
        rates = EngineRateTable()
        regions = {domain: domain for domain in self.shape.regions}
        generator = random.Random(name)
        placer = Placer(self.shape.regions[0], regions, rates, generator=generator)
        engine = Engine(self.shape.cache_tokens)
        if self.shape.weighed:
            placer.strategy = WeighedStrategy(
                name, placer.estimates, lambda service: engine, self._count_hosts
            )
        views = {n: ServerView(e.view.record) for n, e in self.engines.items()}
        return FleetHost(name, placer, views, rates)

    def _count_hosts(self) -> int:
        """Return the number of hosts that hosts believe in."""
        return round(len(self.hosts) * self.shape.count_error)

    def replace_host(self, index: int) -> None:
        """Replace a host by one that has just started."""
        self.hosts[index] = self._create_host(f"new-{self.hosts[index].name}")

    def crash(self, name: str) -> None:
        """Stop an engine; its requests are sent to others by their hosts."""
        engine = self.engines[name]
        engine.is_down = True
        for run in engine.take_runs():
            self._fail(run, engine, frozenset())

    def silence(self, name: str) -> None:
        """Let an engine accept requests without answering any more."""
        self.engines[name].is_silent = True

    def _leave_silent(self, engine: FleetEngine, now: float) -> None:
        for run in engine.take_runs(now - SILENCE_LIMIT_MS):
            self._fail(run, engine, frozenset())

    def _fail(
        self, run: FleetRun, engine: FleetEngine, excluded: frozenset[str]
    ) -> None:
        """Send a request that an engine did not answer to another one."""
        self.wasted_dispatches += 1
        name = engine.view.record.name
        run.host_view.finish(run.in_flight)
        engine.view.finish(run.in_flight)
        run.host_view.record_failure(self.now)
        self._place(run.host, run.prompt, run.answer, excluded | {name})

    def unlist(self, name: str) -> None:
        """Let an engine leave: it ends its requests and gets no more."""
        self.engines[name].is_listed = False

    def play(
        self, prompts: Sequence[PrefixPrompt], events: Sequence[FleetEvent] = ()
    ) -> list[PrefixOutcome]:
        """Play prompts, spread over the hosts, and return what their callers got."""
        left = sorted(events, key=lambda event: event.at_ms)
        generator = random.Random(1)
        for prompt in sorted(prompts, key=lambda p: p.at_ms):
            while left and left[0].at_ms <= prompt.at_ms:
                event = left.pop(0)
                self._advance(event.at_ms)
                event.apply(self)
            self._advance(prompt.at_ms)
            host = self.hosts[generator.randrange(len(self.hosts))]
            outcome = self._create_outcome(prompt)
            self.outcomes.append(outcome)
            self._place(host, prompt, outcome, frozenset())
        self._advance(self.now + 600_000.0)
        return self.outcomes

    def _create_outcome(self, prompt: PrefixPrompt) -> PrefixOutcome:
        return PrefixOutcome(prompt)

    def _place(
        self,
        host: FleetHost,
        prompt: PrefixPrompt,
        outcome: PrefixOutcome,
        excluded: frozenset[str],
    ) -> None:
        self._drop_ended(host)
        listed = [
            view for name, view in host.views.items() if self.engines[name].is_listed
        ]
        usable = [v for v in listed if self.now >= v.ejected_until_ms] or listed
        need = PlacementNeed(prompt.priority, excluded)
        call = create_call(prompt)
        placed = host.placer.choose(usable, ROUTE, call, need, self.now)
        assert placed is not None
        run = self._start_run(host, prompt, outcome, placed, need)
        engine = self.engines[placed.server.record.name]
        if engine.is_down:
            self._fail(run, engine, excluded)
            return
        if not engine.runs:
            engine.free_ms = max(engine.free_ms, self.now)
        engine.submit(run, self.now)

    def _start_run(
        self,
        host: FleetHost,
        prompt: PrefixPrompt,
        outcome: PrefixOutcome,
        placed: Placement,
        need: PlacementNeed,
    ) -> FleetRun:
        """Count a prompt as in flight at the engine that was chosen for it."""
        in_flight = InFlightRequest(
            prompt.name,
            self.now,
            placed.prefill_tokens,
            prompt.priority,
            latency_sensitive=need.latency_sensitive,
        )
        placed.server.start(in_flight)
        self.engines[placed.server.record.name].view.start(in_flight)
        return FleetRun(
            outcome,
            in_flight,
            0,
            prompt.answer_tokens,
            host=host,
            host_view=placed.server,
            prompt=prompt,
            answer=outcome,
            expected_tokens=placed.prefill_tokens,
        )

    def _drop_ended(self, host: FleetHost) -> None:
        for name, view in host.views.items():
            known = self.engines[name].view.in_flight
            for request_id in [r for r in view.in_flight if r not in known]:
                del view.in_flight[request_id]

    def _advance(self, now: float) -> None:
        while self._summary_ms + SUMMARY_INTERVAL_MS <= now < float("inf"):
            following = max(
                self._summary_ms + SUMMARY_INTERVAL_MS, now - SUMMARY_INTERVAL_MS
            )
            self._advance_engines(following)
            self._summary_ms = following
            self._publish(following)
        self._advance_engines(now)

    def _advance_engines(self, now: float) -> None:
        self.now = now
        for engine in self.engines.values():
            if engine.is_silent or engine.is_down:
                self._leave_silent(engine, now)
                continue
            while engine.free_ms < now:
                if engine.runs:
                    engine.step()
                elif engine.waiting:
                    engine.free_ms = min(engine.free_ms + 1.0, now)
                else:
                    engine.free_ms = now
                    break
                engine.admit_granted(engine.free_ms)

    def _publish(self, now: float) -> None:
        """Give all hosts the total loads, as collected now."""
        totals = [engine.view.measure_usage(now) for engine in self.engines.values()]
        summary = LoadSummary("collector", totals, [], [])
        rates = [self._read_rates(engine) for engine in self.engines.values()]
        services = dict.fromkeys(self.engines, SERVICE)
        for host in self.hosts:
            host.rates.update(rates, services)
            self._drop_ended(host)
            own = [v.measure_usage(now) for v in host.views.values() if v.in_flight]
            host.placer.aggregates.update(summary, own, now)

    def _read_rates(self, engine: FleetEngine) -> EngineRates:
        assert engine.queue is not None
        rates = engine.queue.estimate.rates
        error = self.shape.rate_error
        return replace(
            rates,
            read_rate=rates.read_rate * error,
            chunk_rate=rates.chunk_rate * error,
        )
