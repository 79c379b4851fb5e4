"""Play prompts of several priorities on hosts and engines, in virtual time.

Prompts wait for admission as they do on a host: they are told a wait, move to better
engines and are refused. A window is judged by whether prompts of a priority got nothing
while less urgent, longer ones began.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from cornelnotch.gateway.admission_queue import AdmissionQueue, QueueEntry
from cornelnotch.gateway.direct_admission import (
    draw_share,
    find_spread_ms,
    has_short_target,
    is_within_share,
    may_send_directly,
)
from cornelnotch.gateway.engine_estimates import EngineEstimate
from cornelnotch.gateway.engine_search import has_room, may_ask_another
from cornelnotch.gateway.flow import MAX_SERVER_CHANGES
from cornelnotch.gateway.models import PromptPart
from cornelnotch.gateway.placement import PlacementNeed
from cornelnotch.gateway.reservation import (
    choose_reserved,
    find_latency_sensitive_gap_ms,
)
from cornelnotch.gateway.retry_after import is_infeasible
from cornelnotch.gateway.servers import ServerView
from cornelnotch.testing.enginemodel import EngineRequest, EngineShape
from cornelnotch.testing.prefix_fleet import (
    ROUTE,
    FleetEngine,
    FleetHost,
    FleetRun,
    PrefixFleet,
    PrefixOutcome,
    PrefixPrompt,
    create_call,
)

__all__ = [
    "Burst",
    "Inversion",
    "PriorityFleet",
    "PromptKind",
    "create_load",
    "find_inversions",
]

WINDOW_MS = 5000.0
WINDOW_STEP_MS = 1000.0
# What counts as an inversion: prompts without a response in a window, as a number and
# as a share of their kind, and the size of less urgent ones that began there.
MIN_UNSERVED = 10
MIN_UNSERVED_SHARE = 1.0 / 12.0
MIN_SIZE_RATIO = 2.0


@dataclass(frozen=True, slots=True)
class PromptKind:
    """Prompts with one priority and their callers' limits; `spread` is that of a log.

    Callers wait for a first token up to `patience_ms` and leave after `deadline_ms`.
    """

    name: str
    priority: int
    per_s: float
    prefixes: int
    shared_tokens: int
    own_tokens: int
    spread: float
    answer_tokens: int
    gap_ms: float
    target_ms: float
    patience_ms: float
    deadline_ms: float


@dataclass(frozen=True, slots=True)
class Burst:
    """A time in which one kind arrives `factor` times as often."""

    kind: str
    from_ms: float
    to_ms: float
    factor: float


@dataclass(slots=True)
class PriorityPrompt(PrefixPrompt):
    """A prompt of a kind."""

    kind: PromptKind | None = None


@dataclass(slots=True)
class PriorityOutcome(PrefixOutcome):
    """What a caller got, and why a prompt without response was not served."""

    refused: bool = False
    # The longest wait that a controller stated, and the number of engines asked.
    stated_ms: float = 0.0
    asked: int = 0

    @property
    def is_served(self) -> bool:
        """Return whether the first token came before the caller left."""
        kind = get_kind(self.request)
        return 0.0 < self.first_ms <= kind.deadline_ms


@dataclass(frozen=True, slots=True)
class Inversion:
    """A window in which a kind got nothing while less urgent, longer prompts began."""

    kind: str
    from_ms: float
    requests: int
    unserved: int


def get_kind(request: object) -> PromptKind:
    """Return the kind of a prompt."""
    assert isinstance(request, PriorityPrompt)
    assert request.kind is not None
    return request.kind


def create_load(
    kinds: Sequence[PromptKind], bursts: Sequence[Burst], seconds: float, seed: int
) -> list[PriorityPrompt]:
    """Return seeded prompts of all kinds."""
    generator = random.Random(seed)
    prompts: list[PriorityPrompt] = []
    for kind in kinds:
        at_ms = 0.0
        while at_ms < seconds * 1000.0:
            factor = 1.0
            for burst in bursts:
                if burst.kind == kind.name and burst.from_ms <= at_ms < burst.to_ms:
                    factor *= burst.factor
            at_ms += generator.expovariate(kind.per_s * factor) * 1000.0
            prompts.append(_create_prompt(kind, len(prompts), at_ms, generator))
    return prompts


def _create_prompt(
    kind: PromptKind, number: int, at_ms: float, generator: random.Random
) -> PriorityPrompt:
    shared = f"{kind.name} {generator.randrange(kind.prefixes)}"
    drawn = generator.lognormvariate(-(kind.spread**2) / 2.0, kind.spread)
    own = max(min(int(kind.own_tokens * drawn), 8 * kind.own_tokens), 1)
    return PriorityPrompt(
        f"{kind.name} #{number}",
        at_ms,
        False,
        shared,
        kind.shared_tokens,
        own,
        kind.answer_tokens,
        kind.priority,
        parts=(PromptPart(shared, kind.shared_tokens),),
        kind=kind,
    )


@dataclass(slots=True)
class Search:
    """The engines that have told a waiting prompt that it would come too late."""

    overloaded: set[str] = field(default_factory=set)
    changes: int = 0


@dataclass(slots=True)
class PriorityEngine(FleetEngine):
    """An engine that prefills the most urgent prompts first.

    `most_held` is the highest number of requests that it held at one time.
    """

    most_held: int = 0

    def admit(self, run: EngineRequest) -> None:
        """Admit a request."""
        FleetEngine.admit(self, run)
        self.most_held = max(self.most_held, len(self.runs))
        self.runs.sort(key=lambda other: other.outcome.request.priority)


@dataclass(slots=True)
class PriorityFleet(PrefixFleet):
    """Hosts and engines with the admission of prompts as hosts have it."""

    kinds: tuple[PromptKind, ...] = ()
    _searches: dict[str, Search] = field(default_factory=dict)

    def _create_engine(
        self, view: ServerView, queue: AdmissionQueue, shape: EngineShape
    ) -> FleetEngine:
        queue.least_urgent = max(kind.priority for kind in self.kinds)
        return PriorityEngine(view, queue, shape, free_ms=self.now)

    def list_engines(self) -> list[PriorityEngine]:
        """Return all engines that were ever listed and not replaced."""
        engines = self.engines.values()
        return [engine for engine in engines if isinstance(engine, PriorityEngine)]

    def _create_estimate(self, name: str) -> EngineEstimate:
        separates_start = any(has_short_target(kind.target_ms) for kind in self.kinds)
        return EngineEstimate(name, separates_start=separates_start)

    def _find_sensitive_gap_ms(self) -> float:
        return find_latency_sensitive_gap_ms(kind.gap_ms for kind in self.kinds)

    def _create_need(
        self, prompt: PrefixPrompt, excluded: frozenset[str], current: str = ""
    ) -> PlacementNeed:
        kind = get_kind(prompt)
        gap_ms = self._find_sensitive_gap_ms()
        records = [e.view.record for e in self.engines.values() if e.is_listed]
        sensitive = {
            name: sum(f.latency_sensitive for f in e.view.in_flight.values())
            for name, e in self.engines.items()
        }
        return PlacementNeed(
            prompt.priority,
            excluded,
            0 < kind.gap_ms <= gap_ms,
            choose_reserved(records, {}, sensitive),
            gap_ms,
            current,
            spread_ms=find_spread_ms(kind.target_ms),
        )

    def _list_usable(self, host: FleetHost, excluded: frozenset[str]):
        listed = [v for n, v in host.views.items() if self.engines[n].is_listed]
        usable = [v for v in listed if self.now >= v.ejected_until_ms] or listed
        return [view for view in usable if view.record.name not in excluded]

    def _place(
        self,
        host: FleetHost,
        prompt: PrefixPrompt,
        outcome: PrefixOutcome,
        excluded: frozenset[str],
    ) -> None:
        assert isinstance(outcome, PriorityOutcome)
        search = self._searches.setdefault(prompt.name, Search())
        self._drop_ended(host)
        without = excluded | search.overloaded
        usable = self._list_usable(host, without)
        if not usable:
            outcome.refused = True
            return
        need = self._create_need(prompt, without)
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
        engine.waiting[prompt.name] = run
        self._ask(run, engine)

    def _ask(self, run: FleetRun, engine: FleetEngine) -> None:
        """Ask an engine's controller for admission; act on the wait that it states."""
        assert engine.queue is not None
        prompt, kind = run.prompt, get_kind(run.prompt)
        entry = QueueEntry(
            prompt.name,
            run.host.name,
            prompt.priority,
            prompt.parts,
            prompt.own_tokens,
            prompt.at_ms,
            self.now,
            self._may_send_directly(run),
            gap_ms=kind.gap_ms if run.in_flight.latency_sensitive else 0.0,
            target_ms=kind.target_ms,
        )
        entry = engine.queue.add_or_refresh(entry)
        if entry.granted:
            engine.admit(engine.waiting.pop(prompt.name))
        engine.admit_granted(self.now)
        if entry.granted:
            return
        run.in_flight.prefill_tokens = engine.queue.count_uncached_tokens(entry)
        wait_ms = engine.queue.estimate_wait_ms(entry, self.now)
        assert isinstance(run.outcome, PriorityOutcome)
        run.outcome.stated_ms = max(run.outcome.stated_ms, wait_ms)
        left_ms = kind.patience_ms - (self.now - prompt.at_ms)
        if is_infeasible(wait_ms, left_ms):
            self._skip_overloaded(run, engine)

    def _may_send_directly(self, run: FleetRun) -> bool:
        """Return whether a prompt is sent without a grant, as `GatewayContext` does."""
        view, estimates = run.host_view, run.host.placer.estimates
        summary_ms = estimates.aggregates.at_ms
        view.finish(run.in_flight)
        usage = estimates.measure_usage(view, self.now)
        recent = view.count_since(summary_ms)
        view.start(run.in_flight)
        name, slots = view.record.name, view.record.slots
        drawn = draw_share(run.host.name, name, summary_ms)
        if not is_within_share(usage, slots, len(self.hosts), recent, drawn):
            return False
        return may_send_directly(
            run.in_flight.prefill_tokens,
            run.prompt.priority,
            get_kind(run.prompt).target_ms,
            usage,
            slots,
            estimates.get_rates(view),
        )

    def _withdraw(self, run: FleetRun, engine: FleetEngine) -> None:
        assert engine.queue is not None
        engine.waiting.pop(run.prompt.name, None)
        engine.queue.remove(run.prompt.name)
        run.host_view.finish(run.in_flight)
        engine.view.finish(run.in_flight)

    def _skip_overloaded(self, run: FleetRun, engine: FleetEngine) -> None:
        """Ask another engine, or refuse the prompt."""
        outcome = run.outcome
        assert isinstance(outcome, PriorityOutcome)
        self._withdraw(run, engine)
        search = self._searches[run.prompt.name]
        search.overloaded.add(engine.view.record.name)
        outcome.asked = len(search.overloaded)
        if self._searches_on(run, search):
            self._place(run.host, run.prompt, run.answer, frozenset())
            return
        outcome.refused = True

    def _searches_on(self, run: FleetRun, search: Search) -> bool:
        kind = get_kind(run.prompt)
        others = self._list_usable(run.host, frozenset(search.overloaded))
        has_room_elsewhere = has_room(
            others,
            run.host.placer.estimates,
            kind.priority,
            run.in_flight.prefill_tokens,
            kind.patience_ms - (self.now - run.prompt.at_ms),
            self.now,
        )
        least_urgent = max(other.priority for other in self.kinds)
        is_least_urgent = kind.priority >= least_urgent
        asked = len(search.overloaded)
        return may_ask_another(asked, is_least_urgent, has_room_elsewhere)

    def _recheck(self, run: FleetRun, engine: FleetEngine) -> None:
        """Let a waiting prompt leave, move or ask again."""
        prompt, kind = run.prompt, get_kind(run.prompt)
        if self.now - prompt.at_ms > kind.deadline_ms:
            self._withdraw(run, engine)
            return
        search = self._searches[prompt.name]
        if search.changes < MAX_SERVER_CHANGES and self._has_better(run, search):
            search.changes += 1
            self._withdraw(run, engine)
            self._place(run.host, prompt, run.answer, frozenset())
            return
        self._ask(run, engine)

    def _has_better(self, run: FleetRun, search: Search) -> bool:
        host, view = run.host, run.host_view
        view.finish(run.in_flight)
        excluded = frozenset(search.overloaded)
        need = self._create_need(run.prompt, excluded, view.record.name)
        usable = self._list_usable(host, excluded)
        call = create_call(run.prompt)
        placed = host.placer.choose(usable, ROUTE, call, need, self.now)
        view.start(run.in_flight)
        return placed is not None and placed.server is not view

    def _publish(self, now: float) -> None:
        PrefixFleet._publish(self, now)
        for engine in self.engines.values():
            if engine.is_down or engine.is_silent:
                continue
            for run in list(engine.waiting.values()):
                assert isinstance(run, FleetRun)
                if run.prompt.name in engine.waiting:
                    self._recheck(run, engine)

    def _create_outcome(self, prompt: PrefixPrompt) -> PrefixOutcome:
        return PriorityOutcome(prompt)


def find_inversions(outcomes: Sequence[PriorityOutcome]) -> list[Inversion]:
    """Return the windows in which a kind got nothing while less urgent ones began."""
    found = []
    last_ms = max(outcome.request.at_ms for outcome in outcomes)
    kinds = {get_kind(outcome.request) for outcome in outcomes}
    for kind in sorted(kinds, key=lambda k: k.priority):
        own = [o for o in outcomes if get_kind(o.request) is kind]
        size = kind.shared_tokens + kind.own_tokens
        longer = [
            o
            for o in outcomes
            if get_kind(o.request).priority > kind.priority
            and o.request.own_tokens + o.request.shared_tokens > MIN_SIZE_RATIO * size
        ]
        from_ms = 0.0
        while from_ms + WINDOW_MS <= last_ms:
            to_ms = from_ms + WINDOW_MS
            sent = [o for o in own if from_ms <= o.request.at_ms < to_ms]
            unserved = sum(not o.is_served for o in sent)
            begun = [o for o in longer if from_ms <= o.granted_ms < to_ms]
            if (
                begun
                and unserved >= MIN_UNSERVED
                and unserved > MIN_UNSERVED_SHARE * len(sent)
            ):
                found.append(Inversion(kind.name, from_ms, len(sent), unserved))
            from_ms += WINDOW_STEP_MS
    return found
