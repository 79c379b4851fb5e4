"""Model of queue scheduling: all short event histories of a shard with two slots.

A state is the history of events that led to it. The shard is the production code of
a node and is rebuilt by replaying the history. Time advances in steps no longer than
the margin within which urgent requests are served, like the ticks of a node.
"""

from dataclasses import dataclass, field
from enum import StrEnum

from minicheck import Protocol

from cornelnotch.queueing import (
    Grant,
    Refusal,
    Shard,
    TieredDiscipline,
    create_shard,
)
from cornelnotch.queueing.models import (
    ClassConfig,
    Effect,
    QueuedRequest,
    RunningRequest,
    ServerConfig,
    ShardConfig,
)
from cornelnotch.wire.messages import PermitAsk, PermitRelease

__all__ = ["THREE_TIERS", "TWO_TIERS", "OrderMutant", "create_order_protocol"]

TICK_MS = 20.0
WAIT_EVENT_MS = 340.0
LONGEST_WAIT_MS = 300.0
SERVICE_MS = 100.0
DEADLINE_MS = {"high": 520.0, "mid": 100_000.0, "low": 100_000.0}
TIERS = {"high": 1, "mid": 3, "low": 5}
TWO_TIERS = ("high", "low", "finish", "wait")
THREE_TIERS = ("high", "mid", "low", "finish")
QUEUE_PLACES = 3
THREE_TIER_QUEUE_PLACES = 2
SLOTS = 2


class OrderMutant(StrEnum):
    """Scheduler variant: unmodified (`NONE`) or with the described fault."""

    NONE = "none"
    NO_VICTIM = "refuse the newcomer whatever waits below it"
    NO_DISPLACEMENT = "never displace a lower tier"
    NO_LONGEST_WAIT = "never serve an overdue class"
    NO_VICTIM_RESCUE = "send a victim away while something below it runs"
    NO_QUEUE_FLOOR = "keep no queue place for a class"


class NoVictimDiscipline(TieredDiscipline):
    """Mutant that always rejects the arriving request."""

    def choose_victim(self, newcomer: QueuedRequest) -> QueuedRequest:
        """Return the arriving request."""
        return newcomer


class NoLongestWaitDiscipline(TieredDiscipline):
    """Mutant that never prioritizes an overdue class.

    It serves the floor of a class only if no other class is delayed.
    """

    def _choose_overdue(
        self, now: float, running: dict[str, int]
    ) -> QueuedRequest | None:
        return None


class NoQueueFloorDiscipline(TieredDiscipline):
    """Mutant that reserves no queue places for a class."""

    def has_reserved_queue_place(self, item: QueuedRequest) -> bool:
        """Return False for all requests."""
        return False


class NoDisplacementShard(Shard):
    """Mutant that never displaces a running request of a lower tier."""

    def _choose_victim(self, item: QueuedRequest, now: float) -> RunningRequest | None:
        return None


@dataclass(slots=True)
class Replay:
    """Shard after a replayed history, with the invariants it violated."""

    shard: Shard
    now: float = 0.0
    number: int = 0
    low_waits_since: float | None = None
    shed_for_lower: bool = False
    starved: bool = False
    shut_out: bool = False
    sizes: list[int] = field(default_factory=list)


def _create_rule() -> ShardConfig:
    return ShardConfig(
        "order",
        "tiered",
        "adaptive",
        True,
        QUEUE_PLACES / SLOTS,
        SERVICE_MS,
        {
            name: ClassConfig(name, tier, 300.0, None, LONGEST_WAIT_MS, 0.0)
            for name, tier in TIERS.items()
        },
        {"s": ServerConfig("s", "127.0.0.1:1", SLOTS, False)},
        {},
    )


class NoVictimRescueShard(Shard):
    """Mutant that rejects a queue victim without trying to free a slot for it."""

    def _make_room(self, item: QueuedRequest, now: float) -> list[Effect]:
        victim = self.discipline.choose_victim(item)
        if victim is item:
            return super()._make_room(item, now)
        self.discipline.remove(victim.request_id)
        return [self._refuse(victim, "queue-full", 0.0)]


class SmallShard(Shard):
    """Shard with a short queue, which short histories can fill."""

    places = QUEUE_PLACES

    def find_queue_capacity(self) -> int:
        """Return the queue length of the model."""
        return self.places


class SmallNoDisplacementShard(NoDisplacementShard, SmallShard):
    """Mutant without displacement, with a short queue."""


class SmallNoVictimRescueShard(NoVictimRescueShard, SmallShard):
    """Mutant that frees no slot for a queue victim, with a short queue."""


class OrderTransitions:
    """Transition system of the scheduler or of one of its mutants."""

    def __init__(
        self, mutant: OrderMutant, depth: int, events: tuple[str, ...]
    ) -> None:
        self._mutant = mutant
        self._events = events
        self._depth = depth
        self._last_replay: tuple[tuple[str, ...], Replay] | None = None

    def list_steps(self, values: tuple) -> list[tuple[str, tuple]]:
        """Return all extensions of a history by one event."""
        (history,) = values
        if len(history) >= self._depth:
            return []
        return [(event, ((*history, event),)) for event in self._events]

    def replay(self, history: tuple[str, ...]) -> Replay:
        """Replay a history on an empty shard."""
        replay = Replay(self._create_shard())
        for event in history:
            EVENTS[event](self, replay)
        return replay

    def _create_shard(self) -> Shard:
        rule = _create_rule()
        shard = create_shard(rule)
        discipline = TieredDiscipline()
        if self._mutant is OrderMutant.NO_VICTIM:
            discipline = NoVictimDiscipline()
        elif self._mutant is OrderMutant.NO_LONGEST_WAIT:
            discipline = NoLongestWaitDiscipline()
        elif self._mutant is OrderMutant.NO_QUEUE_FLOOR:
            discipline = NoQueueFloorDiscipline()
        shard_type: type[SmallShard] = SmallShard
        if self._mutant is OrderMutant.NO_VICTIM_RESCUE:
            shard_type = SmallNoVictimRescueShard
        if self._mutant is OrderMutant.NO_DISPLACEMENT:
            shard_type = SmallNoDisplacementShard
        model_shard = shard_type(rule, discipline, shard._balancer)
        if "mid" in self._events:
            model_shard.places = THREE_TIER_QUEUE_PLACES
            model_shard.configure(rule, frozenset())
        return model_shard

    def arrive(self, replay: Replay, name: str) -> None:
        """Enqueue a request of class `name`."""
        replay.number += 1
        ask = PermitAsk(
            f"{name}-{replay.number}",
            "host",
            "order",
            name,
            TIERS[name],
            "w",
            "",
            0.0,
            DEADLINE_MS[name],
            [],
            0,
        )
        self._check_effects(replay, replay.shard.request_permit(ask, replay.now))

    def finish_request(self, replay: Replay) -> None:
        """Finish the longest-running request."""
        active = [r for r in replay.shard.running.values() if not r.displaced]
        if not active:
            return
        oldest = min(active, key=lambda r: r.order)
        finish = PermitRelease(
            oldest.request_id, "order", "s", "done", SERVICE_MS, 10.0, 1.0, 2
        )
        self._check_effects(replay, replay.shard.finish_request(finish, replay.now))

    def wait(self, replay: Replay) -> None:
        """Advance time by `WAIT_EVENT_MS` in ticks."""
        for _ in range(int(WAIT_EVENT_MS / TICK_MS)):
            replay.now += TICK_MS
            self._check_effects(replay, replay.shard.schedule(replay.now))

    def _check_effects(self, replay: Replay, effects: list[Effect]) -> None:
        granted = [e for e in effects if isinstance(e, Grant)]
        for effect in effects:
            if isinstance(effect, Refusal):
                self._check_refusal(replay, effect)
        self._check_starvation(replay, granted)

    @staticmethod
    def _check_refusal(replay: Replay, refusal: Refusal) -> None:
        name = refusal.request_id.partition("-")[0]
        tier = TIERS[name]
        waiting = {row.class_name: row.waiting for row in refusal.occupancy}
        if refusal.reason == "queue-full" and waiting.get(name, 0) == 0:
            replay.shut_out = True
        for row in refusal.occupancy:
            if row.tier <= tier:
                continue
            runs_above_floor = row.running > row.floor_places
            queues_above_floor = refusal.reason == "queue-full" and row.waiting > 1
            if runs_above_floor or queues_above_floor:
                replay.shed_for_lower = True

    @staticmethod
    def _check_starvation(replay: Replay, granted: list[Grant]) -> None:
        """Detect a slot granted to the high class while the low class is overdue."""
        counts = dict.fromkeys(TIERS, 0)
        for running in replay.shard.running.values():
            counts[running.class_name] += 1
        low_is_waiting = replay.shard.discipline.count("low") > 0 and counts["low"] == 0
        for grant in granted:
            name = grant.request_id.partition("-")[0]
            since = replay.low_waits_since
            if name == "high" and low_is_waiting and since is not None:
                is_overdue = replay.now - since > LONGEST_WAIT_MS + TICK_MS
                if is_overdue and grant.reason != "displaced-lower-tier":
                    replay.starved = True
        if not low_is_waiting:
            replay.low_waits_since = None
        elif replay.low_waits_since is None:
            replay.low_waits_since = replay.now

    def satisfies(self, values: dict, name: str) -> bool:
        """Return whether a history satisfies the invariant `name`."""
        history = values["history"]
        if self._last_replay is None or self._last_replay[0] != history:
            # The invariants are checked one after another for the same history.
            self._last_replay = (history, self.replay(history))
        return not getattr(self._last_replay[1], name)


EVENTS = {
    "high": lambda system, replay: system.arrive(replay, "high"),
    "mid": lambda system, replay: system.arrive(replay, "mid"),
    "low": lambda system, replay: system.arrive(replay, "low"),
    "finish": lambda system, replay: system.finish_request(replay),
    "wait": lambda system, replay: system.wait(replay),
}


def create_order_protocol(
    mutant: OrderMutant = OrderMutant.NONE,
    depth: int = 6,
    events: tuple[str, ...] = TWO_TIERS,
) -> Protocol:
    """Return the scheduling model, or a mutant that violates an invariant.

    Histories have up to `depth` events. `TWO_TIERS` includes an event that advances
    time; `THREE_TIERS` does not.
    """
    system = OrderTransitions(mutant, depth, events)
    return Protocol(
        name=f"order: {mutant.value}",
        candidate=False,
        fields=("history",),
        initial=((),),
        transitions=system.list_steps,
        invariants={
            "not_shed_for_lower": lambda s: system.satisfies(s, "shed_for_lower"),
            "no_starvation": lambda s: system.satisfies(s, "starved"),
            "not_shut_out": lambda s: system.satisfies(s, "shut_out"),
        },
    )
