"""Simulate one shard with modelled engines in virtual time, without sockets.

The shard is the production code of a node; only its servers and callers are modelled,
so that policies can be compared on the same seeded arrivals within seconds.
"""

import random
from collections import Counter
from dataclasses import dataclass, field

from cornelnotch.queueing import Grant, PreemptionNotice, Refusal, Shard, create_shard
from cornelnotch.queueing.models import ClassConfig, Effect, ServerConfig, ShardConfig
from cornelnotch.wire.messages import ClassOccupancy, PermitAsk, PermitRelease

__all__ = [
    "Arrival",
    "ModelClass",
    "ModelEngine",
    "ModelResult",
    "RefusalRecord",
    "ShardModel",
    "create_arrivals",
    "create_rule",
]

STEP_MS = 10.0
TICK_MS = 20.0
STALL_TIMEOUT_MS = 2000.0


@dataclass(frozen=True, slots=True)
class ModelClass:
    """Traffic of a service class; rates are per second and times in ms."""

    name: str
    tier: int
    rate: float
    tokens: float
    first_token_ms: float
    deadline_ms: float
    between_tokens_ms: float = 71.0
    longest_wait_ms: float = 5000.0
    floor: float = 0.02
    burst_rate: float = 0.0
    burst_start_ms: float = 0.0
    burst_end_ms: float = 0.0
    spread: float = 0.4


@dataclass(slots=True)
class Arrival:
    """Request and its result."""

    name: str
    model: ModelClass
    workspace: str
    time_ms: float
    tokens: int
    generated: int = 0
    first_token_at_ms: float | None = None
    end_ms: float | None = None
    result: str = "open"
    wasted: int = 0
    dispatches: int = 0
    excluded: frozenset[str] = frozenset()

    def is_attained(self) -> bool:
        """Return whether the complete response met its latency targets."""
        if self.result != "done" or self.first_token_at_ms is None:
            return False
        if self.end_ms is None:
            return False
        if self.first_token_at_ms - self.time_ms > self.model.first_token_ms:
            return False
        ms_per_token = (self.end_ms - self.first_token_at_ms) / max(self.tokens - 1, 1)
        return ms_per_token <= self.model.between_tokens_ms


@dataclass(slots=True)
class ModelEngine:
    """Modelled engine; a `slowdown` above 1 makes it a straggler."""

    name: str
    slots: int = 8
    token_ms: float = 20.0
    prefill_ms: float = 60.0
    slowdown: float = 1.0
    crash_ms: float = float("inf")
    recover_ms: float = float("inf")

    def is_down(self, now: float) -> bool:
        """Return whether the engine is down at `now`."""
        return self.crash_ms <= now < self.recover_ms


@dataclass(slots=True)
class Stream:
    """Response that an engine is generating for a request."""

    arrival: Arrival
    engine: ModelEngine
    started_ms: float
    worked_ms: float = 0.0
    paused: bool = False
    stalled_ms: float = 0.0
    first_ms: float | None = None
    generated: int = 0


@dataclass(frozen=True, slots=True)
class RefusalRecord:
    """Refusal with the occupancy of the shard at that time."""

    time_ms: float
    arrival: Arrival
    reason: str
    occupancy: tuple[ClassOccupancy, ...]


@dataclass(slots=True)
class ModelResult:
    """Results of one simulation run."""

    arrivals: list[Arrival]
    refusals: list[RefusalRecord] = field(default_factory=list)
    pauses: int = 0

    def compute_attainment(self, class_name: str) -> float:
        """Return the fraction of a class's requests that met their targets."""
        matching = [a for a in self.arrivals if a.model.name == class_name]
        return sum(a.is_attained() for a in matching) / max(len(matching), 1)

    def count_attained(self, class_name: str) -> int:
        """Return the number of a class's requests that met their targets."""
        return sum(a.is_attained() for a in self.arrivals if a.model.name == class_name)

    def compute_waste(self) -> float:
        """Return the fraction of generated tokens that no caller could use."""
        generated = sum(a.generated + a.wasted for a in self.arrivals)
        lost = sum(
            a.wasted + (a.generated if a.result != "done" else 0) for a in self.arrivals
        )
        return lost / max(generated, 1)

    def compute_goodput(self) -> float:
        """Return tokens of complete responses per second of the arrival period."""
        end_ms = max((a.time_ms for a in self.arrivals), default=1.0)
        return (
            sum(a.generated for a in self.arrivals if a.result == "done")
            / end_ms
            * 1000
        )

    def find_longest_gap(
        self, class_name: str, start_ms: float, end_ms: float
    ) -> float:
        """Return the longest time in ms between completed requests of a class."""
        ends = sorted(
            a.end_ms
            for a in self.arrivals
            if a.model.name == class_name and a.result == "done" and a.end_ms
        )
        times_ms = [start_ms, *(e for e in ends if start_ms < e < end_ms), end_ms]
        return max(b - a for a, b in zip(times_ms, times_ms[1:], strict=False))


def create_arrivals(
    classes: list[ModelClass], duration_ms: float, seed: int, workspaces: int = 10
) -> list[Arrival]:
    """Return seeded Poisson arrivals with log-normal lengths."""
    generator = random.Random(seed)
    arrivals: list[Arrival] = []
    for model in classes:
        now = 0.0
        while True:
            bursting = model.burst_start_ms <= now < model.burst_end_ms
            rate = model.burst_rate if bursting else model.rate
            now += generator.expovariate(rate) * 1000.0
            if now >= duration_ms:
                break
            tokens = generator.lognormvariate(0.0, model.spread) * model.tokens
            arrivals.append(
                Arrival(
                    f"{model.name}-{len(arrivals)}",
                    model,
                    f"w{generator.randrange(workspaces)}",
                    now,
                    max(int(tokens), 2),
                )
            )
    arrivals.sort(key=lambda a: a.time_ms)
    return arrivals


def create_rule(
    classes: list[ModelClass],
    engines: list[ModelEngine],
    discipline: str = "tiered",
    balancer: str = "adaptive",
    queue_per_slot: float = 6.0,
) -> ShardConfig:
    """Return a shard configuration for the classes and engines."""
    return ShardConfig(
        "model",
        discipline,
        balancer,
        True,
        queue_per_slot,
        800.0,
        {
            c.name: ClassConfig(
                c.name, c.tier, c.first_token_ms, None, c.longest_wait_ms, c.floor
            )
            for c in classes
        },
        {e.name: ServerConfig(e.name, "127.0.0.1:1", e.slots, False) for e in engines},
        {},
    )


class ShardModel:
    """Discrete-time simulation of arrivals, a shard and engines."""

    def __init__(self, rule: ShardConfig, engines: list[ModelEngine]) -> None:
        self.shard: Shard = create_shard(rule)
        self._engines = {engine.name: engine for engine in engines}
        self._streams: dict[str, Stream] = {}
        self._arrivals: dict[str, Arrival] = {}
        self._active: Counter[str] = Counter()
        self._result = ModelResult([])

    def run(self, arrivals: list[Arrival], duration_ms: float) -> ModelResult:
        """Simulate the arrivals and return the results."""
        self._result = ModelResult(arrivals)
        pending = list(reversed(arrivals))
        now = 0.0
        while now < duration_ms:
            now += STEP_MS
            while pending and pending[-1].time_ms <= now:
                arrival = pending.pop()
                self._arrivals[arrival.name] = arrival
                self._request_permit(arrival, now)
            self._count_streams()
            for stream in list(self._streams.values()):
                self._advance(stream, now)
            if now % TICK_MS < STEP_MS:
                self._apply_effects(self.shard.schedule(now), now)
        return self._result

    def _request_permit(self, arrival: Arrival, now: float) -> None:
        ask = PermitAsk(
            arrival.name,
            "host",
            "model",
            arrival.model.name,
            arrival.model.tier,
            arrival.workspace,
            arrival.workspace,
            now - arrival.time_ms,
            arrival.model.deadline_ms - (now - arrival.time_ms),
            sorted(arrival.excluded),
            0,
        )
        self._apply_effects(self.shard.request_permit(ask, now), now)

    def _apply_effects(self, effects: list[Effect], now: float) -> None:
        for effect in effects:
            if isinstance(effect, Grant):
                arrival = self._arrivals[effect.request_id]
                arrival.dispatches += 1
                engine = self._engines[effect.server]
                self._streams[effect.request_id] = Stream(arrival, engine, now)
            elif isinstance(effect, PreemptionNotice):
                self._result.pauses += effect.paused
                stream = self._streams.get(effect.request_id)
                if stream is not None:
                    stream.paused = effect.paused
            elif isinstance(effect, Refusal):
                self._record_refusal(effect, now)

    def _record_refusal(self, refusal: Refusal, now: float) -> None:
        arrival = self._arrivals[refusal.request_id]
        arrival.result = refusal.reason
        arrival.end_ms = now
        record = RefusalRecord(now, arrival, refusal.reason, refusal.occupancy)
        self._result.refusals.append(record)

    def _advance(self, stream: Stream, now: float) -> None:
        arrival = stream.arrival
        if now - arrival.time_ms > arrival.model.deadline_ms:
            self._complete(stream, now, "deadline-cut", "cancelled")
            return
        if stream.engine.is_down(now):
            self._retry(stream, now, "broken")
            return
        if stream.paused:
            return
        share = self._compute_share(stream.engine)
        stream.worked_ms += STEP_MS * share
        engine = stream.engine
        ready = stream.worked_ms - engine.prefill_ms * engine.slowdown
        generated = max(int(ready / (engine.token_ms * engine.slowdown)), 0)
        stream.stalled_ms = (
            0.0 if generated > stream.generated else stream.stalled_ms + STEP_MS
        )
        if generated > stream.generated:
            self._record_tokens(stream, generated - stream.generated, now)
        if arrival.generated >= arrival.tokens:
            self._complete(stream, now, "done", "done")
        elif stream.stalled_ms > STALL_TIMEOUT_MS:
            self._retry(stream, now, "stalled")

    def _count_streams(self) -> None:
        self._active.clear()
        for stream in self._streams.values():
            if not stream.paused:
                self._active[stream.engine.name] += 1

    def _compute_share(self, engine: ModelEngine) -> float:
        """Return the relative speed of streams, below 1 if they exceed the slots."""
        return min(1.0, engine.slots / max(self._active[engine.name], 1))

    def _record_tokens(self, stream: Stream, count: int, now: float) -> None:
        arrival = stream.arrival
        if stream.first_ms is None:
            stream.first_ms = now
            elapsed = now - stream.started_ms
            self._apply_effects(
                self.shard.record_first_token(arrival.name, elapsed, now), now
            )
        if arrival.first_token_at_ms is None:
            arrival.first_token_at_ms = now
        stream.generated += count
        arrival.generated = min(arrival.generated + count, arrival.tokens)

    def _complete(self, stream: Stream, now: float, result: str, outcome: str) -> None:
        arrival = stream.arrival
        arrival.result = result
        arrival.end_ms = now
        self._finish(stream, now, outcome)

    def _retry(self, stream: Stream, now: float, outcome: str) -> None:
        arrival = stream.arrival
        arrival.excluded = arrival.excluded | {stream.engine.name}
        self._finish(stream, now, outcome)
        self._request_permit(arrival, now)

    def _finish(self, stream: Stream, now: float, outcome: str) -> None:
        arrival = stream.arrival
        self._streams.pop(arrival.name, None)
        first = stream.first_ms
        ms_per_token = 0.0
        if first is not None and stream.generated > 1:
            ms_per_token = (now - first) / (stream.generated - 1)
        finish = PermitRelease(
            arrival.name,
            "model",
            stream.engine.name,
            outcome,
            now - stream.started_ms,
            (first or now) - stream.started_ms,
            ms_per_token,
            stream.generated,
        )
        self._apply_effects(self.shard.finish_request(finish, now), now)
