"""Specify the order rule: every short history of a shard with two servers' slots.

A state is the history of events that led to it; the shard is the node's own and
is built again from the history. Time advances in steps no longer than the margin
within which urgent requests are served, as the node's ticks do.
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
    ClassRule,
    Effect,
    Running,
    ServerRule,
    ShardRule,
    Waiting,
)
from cornelnotch.wire.messages import PermitAsk, PermitFinish

__all__ = ["THREE_TIERS", "TWO_TIERS", "OrderMutant", "create_order_protocol"]

TICK_MS = 20.0
LONG_MS = 340.0
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
    """Name the mechanism that a mutant lacks."""

    NONE = "none"
    NO_VICTIM = "refuse the newcomer whatever waits below it"
    NO_DISPLACEMENT = "never displace a lower tier"
    NO_LONGEST_WAIT = "never serve an overdue class"
    NO_VICTIM_RESCUE = "send a victim away while something below it runs"
    NO_QUEUE_FLOOR = "keep no queue place for a class"


class NoVictimDiscipline(TieredDiscipline):
    """Refuse the newcomer; a mutant."""

    def choose_victim(self, newcomer: Waiting) -> Waiting:
        """Return the newcomer."""
        return newcomer


class NoLongestWaitDiscipline(TieredDiscipline):
    """Keep floors only while that costs nothing; a mutant."""

    def _choose_overdue(self, now: float, running: dict[str, int]) -> Waiting | None:
        return None


class NoQueueFloorDiscipline(TieredDiscipline):
    """Keep no queue places; a mutant."""

    def has_queue_floor(self, item: Waiting) -> bool:
        """Return False."""
        return False


class NoDisplacementShard(Shard):
    """Let lower tiers keep their places; a mutant."""

    def _choose_victim(self, item: Waiting, now: float) -> Running | None:
        return None


@dataclass(slots=True)
class Replay:
    """Hold the shard after a history and what it decided on the way."""

    shard: Shard
    now: float = 0.0
    number: int = 0
    low_waits_since: float | None = None
    shed_for_lower: bool = False
    starved: bool = False
    shut_out: bool = False
    sizes: list[int] = field(default_factory=list)


def _create_rule() -> ShardRule:
    return ShardRule(
        "order",
        "tiered",
        "adaptive",
        True,
        QUEUE_PLACES / SLOTS,
        SERVICE_MS,
        {
            name: ClassRule(name, tier, 300.0, None, LONGEST_WAIT_MS, 0.0)
            for name, tier in TIERS.items()
        },
        {"s": ServerRule("s", "127.0.0.1:1", SLOTS, False)},
        {},
    )


class NoVictimRescueShard(Shard):
    """Refuse victims without trying to displace for them; a mutant."""

    def _make_room(self, item: Waiting, now: float) -> list[Effect]:
        victim = self.discipline.choose_victim(item)
        if victim is item:
            return super()._make_room(item, now)
        self.discipline.remove(victim.request_id)
        return [self._refuse(victim, "queue-full", 0.0)]


class SmallShard(Shard):
    """Bound the queue tightly, so that short histories fill it."""

    places = QUEUE_PLACES

    def count_queue_places(self) -> int:
        """Return the bound of the specification."""
        return self.places


class SmallNoDisplacementShard(NoDisplacementShard, SmallShard):
    """Combine the tight bound with the mutant."""


class SmallNoVictimRescueShard(NoVictimRescueShard, SmallShard):
    """Combine the tight bound with the mutant."""


class OrderSystem:
    """Generate histories of the specification or of one of its mutants."""

    def __init__(
        self, mutant: OrderMutant, depth: int, events: tuple[str, ...]
    ) -> None:
        self._mutant = mutant
        self._events = events
        self._depth = depth
        self._last: tuple[tuple[str, ...], Replay] | None = None

    def list_steps(self, values: tuple) -> list[tuple[str, tuple]]:
        """Return every longer history by one event."""
        (history,) = values
        if len(history) >= self._depth:
            return []
        return [(event, ((*history, event),)) for event in self._events]

    def replay(self, history: tuple[str, ...]) -> Replay:
        """Run a history from an empty shard."""
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
        kind: type[SmallShard] = SmallShard
        if self._mutant is OrderMutant.NO_VICTIM_RESCUE:
            kind = SmallNoVictimRescueShard
        if self._mutant is OrderMutant.NO_DISPLACEMENT:
            kind = SmallNoDisplacementShard
        small = kind(rule, discipline, shard._balancer)
        if "mid" in self._events:
            small.places = THREE_TIER_QUEUE_PLACES
            small.configure(rule, frozenset())
        return small

    def arrive(self, replay: Replay, name: str) -> None:
        """Let a request of class `name` arrive."""
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
        self._take(replay, replay.shard.ask(ask, replay.now))

    def finish(self, replay: Replay) -> None:
        """Let the longest-running request finish."""
        active = [r for r in replay.shard.running.values() if not r.displaced]
        if not active:
            return
        oldest = min(active, key=lambda r: r.order)
        finish = PermitFinish(
            oldest.request_id, "order", "s", "done", SERVICE_MS, 10.0, 1.0, 2
        )
        self._take(replay, replay.shard.finish(finish, replay.now))

    def wait(self, replay: Replay) -> None:
        """Let a long time pass in ticks."""
        for _ in range(int(LONG_MS / TICK_MS)):
            replay.now += TICK_MS
            self._take(replay, replay.shard.schedule(replay.now))

    def _take(self, replay: Replay, effects: list[Effect]) -> None:
        granted = [e for e in effects if isinstance(e, Grant)]
        for effect in effects:
            if isinstance(effect, Refusal):
                self._audit(replay, effect)
        self._audit_wait(replay, granted)

    @staticmethod
    def _audit(replay: Replay, refusal: Refusal) -> None:
        name = refusal.request_id.partition("-")[0]
        tier = TIERS[name]
        waiting = {row.class_name: row.waiting for row in refusal.occupancy}
        if refusal.reason == "queue-full" and waiting.get(name, 0) == 0:
            replay.shut_out = True
        for row in refusal.occupancy:
            if row.tier <= tier:
                continue
            above_floor = row.running > row.floor_places
            above_queue = refusal.reason == "queue-full" and row.waiting > 1
            if above_floor or above_queue:
                replay.shed_for_lower = True

    @staticmethod
    def _audit_wait(replay: Replay, granted: list[Grant]) -> None:
        """Note a place that went to the high class while the low was overdue."""
        counts = dict.fromkeys(TIERS, 0)
        for running in replay.shard.running.values():
            counts[running.class_name] += 1
        waits = replay.shard.discipline.count("low") > 0 and counts["low"] == 0
        for grant in granted:
            name = grant.request_id.partition("-")[0]
            since = replay.low_waits_since
            if name == "high" and waits and since is not None:
                late = replay.now - since > LONGEST_WAIT_MS + TICK_MS
                if late and grant.reason != "displaced-lower-tier":
                    replay.starved = True
        if not waits:
            replay.low_waits_since = None
        elif replay.low_waits_since is None:
            replay.low_waits_since = replay.now

    def holds(self, values: dict, name: str) -> bool:
        """Tell whether a history keeps the promise `name`."""
        history = values["history"]
        if self._last is None or self._last[0] != history:
            # Every invariant asks for the same history in turn.
            self._last = (history, self.replay(history))
        return not getattr(self._last[1], name)


EVENTS = {
    "high": lambda system, replay: system.arrive(replay, "high"),
    "mid": lambda system, replay: system.arrive(replay, "mid"),
    "low": lambda system, replay: system.arrive(replay, "low"),
    "finish": lambda system, replay: system.finish(replay),
    "wait": lambda system, replay: system.wait(replay),
}


def create_order_protocol(
    mutant: OrderMutant = OrderMutant.NONE,
    depth: int = 6,
    events: tuple[str, ...] = TWO_TIERS,
) -> Protocol:
    """Return the specification up to `depth` events, or a mutant to be caught.

    Two tiers and time, or three tiers within a moment.
    """
    system = OrderSystem(mutant, depth, events)
    return Protocol(
        name=f"order: {mutant.value}",
        candidate=False,
        fields=("history",),
        initial=((),),
        transitions=system.list_steps,
        invariants={
            "not_shed_for_lower": lambda s: system.holds(s, "shed_for_lower"),
            "no_starvation": lambda s: system.holds(s, "starved"),
            "not_shut_out": lambda s: system.holds(s, "shut_out"),
        },
    )
