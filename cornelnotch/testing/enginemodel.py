"""Simulate requests on engines in virtual time, to evaluate request placement.

An engine runs one step after another. A step prefills up to one chunk of the prompts
that were admitted first and generates a token for each decoding stream, so every
stream is delayed by the chunk that is prefilled in the same step.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from cornelnotch.gateway.admission_queue import AdmissionQueue, QueueEntry
from cornelnotch.gateway.engine_estimates import EngineEstimate
from cornelnotch.gateway.models import (
    CallerRequest,
    PromptPart,
    Route,
    ServerRecord,
    ServiceShare,
    WorkKind,
)
from cornelnotch.gateway.placement import PlacementNeed, Placer
from cornelnotch.gateway.reservation import choose_reserved
from cornelnotch.gateway.servers import InFlightRequest, ServerView

__all__ = ["EngineModel", "EngineShape", "Outcome", "PlacedRequest", "play_requests"]

FAILURE_DOMAIN = "a"
# Interval at which hosts report the progress of a stream.
REPORT_INTERVAL_MS = 1500.0


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Performance parameters of an engine.

    `pair_ms` is the attention cost for each pair of a prefilled token and a token
    before it.
    """

    step_ms: float = 6.55
    step_per_stream_ms: float = 0.165
    chunk_tokens: int = 1024
    tokens_per_ms: float = 62.4
    pair_ms: float = 0.525e-6
    event_tokens: int = 3
    slots: int = 64
    cache_tokens: int = 400_000


@dataclass(slots=True)
class PlacedRequest:
    """Request of a workload; `shared` names the shared prefix of its prompt."""

    name: str
    at_ms: float
    latency_sensitive: bool
    shared: str
    shared_tokens: int
    own_tokens: int
    answer_tokens: int
    priority: int = 1
    gap_ms: float = 0.0
    target_ms: float = 0.0


@dataclass(slots=True)
class Outcome:
    """Latencies that the caller of a request observed, in ms."""

    request: PlacedRequest
    first_ms: float = 0.0
    longest_gap_ms: float = 0.0


@dataclass(slots=True)
class EngineRequest:
    """Request that an engine runs or that waits for admission."""

    outcome: Outcome
    in_flight: InFlightRequest
    unread_tokens: int
    remaining_tokens: int
    prompt_tokens: int = 0
    buffered_tokens: int = 0
    last_event_ms: float = 0.0
    last_report_ms: float = 0.0


@dataclass(slots=True)
class EngineModel:
    """Simulated engine with its running requests, prefix cache and prefill count."""

    view: ServerView
    queue: AdmissionQueue | None = None
    shape: EngineShape = EngineShape()
    runs: list[EngineRequest] = field(default_factory=list)
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)
    waiting: dict[str, EngineRequest] = field(default_factory=dict)
    free_ms: float = 0.0
    read_tokens: int = 0

    def submit(self, run: EngineRequest, now: float) -> None:
        """Add a request to the admission queue, or admit it if there is no queue."""
        if self.queue is None:
            self.admit(run)
            return
        request = run.outcome.request
        self.waiting[request.name] = run
        self.queue.add_or_refresh(_create_entry(request, now))
        self.admit_granted(now)

    def admit_granted(self, now: float) -> None:
        """Admit the requests that the admission queue grants."""
        if self.queue is not None:
            for entry in self.queue.grant(now):
                self.admit(self.waiting.pop(entry.request_id))

    def admit(self, run: EngineRequest) -> None:
        """Admit a request; cached prompt parts are not prefilled again."""
        request = run.outcome.request
        run.in_flight.sent = True
        run.unread_tokens = request.own_tokens
        run.prompt_tokens = request.own_tokens + request.shared_tokens
        if request.shared in self.cache:
            self.cache.move_to_end(request.shared)
        else:
            run.unread_tokens += request.shared_tokens
            self.cache[request.shared] = request.shared_tokens
        while sum(self.cache.values()) > self.shape.cache_tokens:
            self.cache.popitem(last=False)
        run.in_flight.prefill_tokens = run.unread_tokens
        self.read_tokens += run.unread_tokens
        self.runs.append(run)

    def step(self) -> None:
        """Run one step and record the tokens that callers receive."""
        chunk = self.shape.chunk_tokens
        prefilled = 0
        attention_pairs = 0
        decoding = []
        for run in self.runs:
            part = min(run.unread_tokens, chunk - prefilled)
            run.unread_tokens -= part
            prefilled += part
            attention_pairs += part * (run.prompt_tokens - run.unread_tokens)
            if run.unread_tokens == 0:
                decoding.append(run)
        shape = self.shape
        duration = shape.step_ms + shape.step_per_stream_ms * len(decoding)
        duration += prefilled / shape.tokens_per_ms + attention_pairs * shape.pair_ms
        self.free_ms += duration
        for run in decoding:
            self._generate_token(run)

    def _generate_token(self, run: EngineRequest) -> None:
        run.remaining_tokens -= 1
        run.buffered_tokens += 1
        if run.buffered_tokens < self.shape.event_tokens and run.remaining_tokens > 0:
            return
        run.buffered_tokens = 0
        outcome = run.outcome
        if not run.last_event_ms:
            if self.queue is not None:
                self.queue.mark_prefilled(outcome.request.name, self.free_ms)
            run.last_report_ms = self.free_ms
            outcome.first_ms = self.free_ms - outcome.request.at_ms
        else:
            gap = self.free_ms - run.last_event_ms
            outcome.longest_gap_ms = max(outcome.longest_gap_ms, gap)
        run.last_event_ms = self.free_ms
        self.view.record_received(run.in_flight, self.free_ms)
        run.in_flight.record_events(1, self.free_ms)
        if (
            run.remaining_tokens <= 0
            or self.free_ms - run.last_report_ms >= REPORT_INTERVAL_MS
        ):
            self._report_progress(run)
        if run.remaining_tokens <= 0:
            self.view.finish(run.in_flight)
            self.view.record_cached(
                [_create_shared_part(outcome.request)], self.free_ms
            )
            self.runs.remove(run)
            if self.queue is not None:
                self.queue.remove(outcome.request.name)

    def _report_progress(self, run: EngineRequest) -> None:
        """Report the progress of a stream to the admission queue."""
        run.last_report_ms = self.free_ms
        progress = run.in_flight.take_progress()
        if self.queue is not None and progress is not None:
            name = run.outcome.request.name
            self.queue.record_progress(name, progress, self.free_ms)


def _create_entry(request: PlacedRequest, now: float) -> QueueEntry:
    parts = (_create_shared_part(request),)
    return QueueEntry(
        request.name,
        "host",
        request.priority,
        parts,
        request.own_tokens,
        now,
        now,
        gap_ms=request.gap_ms,
        target_ms=request.target_ms,
    )


def _create_shared_part(request: PlacedRequest) -> PromptPart:
    return PromptPart(request.shared, request.shared_tokens)


def _create_call(request: PlacedRequest) -> CallerRequest:
    own = PromptPart(f"own {request.name}", request.own_tokens)
    return CallerRequest(
        request.name,
        "POST",
        "/",
        "",
        "/",
        [],
        prompt=(_create_shared_part(request), own),
        prompt_tokens=request.shared_tokens + request.own_tokens,
    )


def create_engines(
    count: int, queued: bool = False, shape: EngineShape | None = None
) -> list[EngineModel]:
    """Return idle engines of one failure domain; if `queued`, with admission queues."""
    shape = shape or EngineShape()
    engines = []
    for number in range(count):
        name = f"engine-{number}"
        record = ServerRecord(
            name, "llm", f"10.0.0.{number}:80", FAILURE_DOMAIN, shape.slots
        )
        estimate = EngineEstimate(name)
        queue = (
            AdmissionQueue(shape.slots, shape.cache_tokens, estimate)
            if queued
            else None
        )
        engines.append(EngineModel(ServerView(record), queue, shape))
    return engines


def play_requests(
    requests: list[PlacedRequest],
    engines: list[EngineModel],
    placer: Placer,
    reserve: bool = True,
) -> list[Outcome]:
    """Simulate requests in order of arrival and return the observed latencies."""
    share = (ServiceShare("llm", 1.0),)
    route = Route("r", "", "/", WorkKind.STREAM, 1e9, 1e9, 1, 1, share)
    models = {engine.view.record.name: engine for engine in engines}
    outcomes = []
    for request in sorted(requests, key=lambda r: r.at_ms):
        _advance(engines, request.at_ms)
        views = [engine.view for engine in engines]
        reserved = _choose_reserved(engines) if reserve else frozenset()
        need = PlacementNeed(
            request.priority, (), request.latency_sensitive, reserved, request.gap_ms
        )
        placed = placer.choose(views, route, _create_call(request), need, request.at_ms)
        assert placed is not None
        in_flight = InFlightRequest(
            request.name,
            request.at_ms,
            placed.prefill_tokens,
            request.priority,
            latency_sensitive=request.latency_sensitive,
        )
        placed.server.start(in_flight)
        outcome = Outcome(request)
        outcomes.append(outcome)
        run = EngineRequest(outcome, in_flight, 0, request.answer_tokens)
        models[placed.server.record.name].submit(run, request.at_ms)
    _advance(engines, float("inf"))
    return outcomes


def _choose_reserved(engines: list[EngineModel]) -> frozenset[str]:
    views = [engine.view for engine in engines]
    latency_sensitive = {
        v.record.name: sum(f.latency_sensitive for f in v.in_flight.values())
        for v in views
    }
    return choose_reserved([view.record for view in views], {}, latency_sensitive)


def _advance(engines: list[EngineModel], until_ms: float) -> None:
    for engine in engines:
        while engine.runs and engine.free_ms < until_ms:
            engine.step()
            engine.admit_granted(engine.free_ms)
        if until_ms != float("inf"):
            engine.free_ms = max(engine.free_ms, until_ms)
