"""Strict priority between tiers with reserved floors, by deadline within a tier.

A free slot is granted by the first rule that applies:

1. To a class that occupies fewer slots than its floor and has been granted none for
   its longest wait, the most overdue first.
2. To a waiting class that occupies fewer slots than its floor, provided that the head
   of every higher tier would still meet its target, or its deadline once the target is
   missed, after waiting for one more slot.
3. To the highest waiting tier. Within it, to the request that must start soonest to
   meet its target. If all are late, which means that they can no longer meet their
   target, to the one that must start soonest to meet its deadline.

A displaced request, which was paused in favour of a higher tier, waits for a slot on
its own server and takes precedence over the queued requests of its tier.

A class that occupies fewer queue places than its floor is always admitted. Otherwise,
when the queue is full, the lowest tier that occupies more queue places than its floor
is evicted first, late requests before the others and the newest first. A new request
is itself refused only when no queued request ranks below it and no running request of
a lower tier outside its floor can be displaced.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from sortedcontainers import SortedList

from cornelnotch.kernel import register_plugin
from cornelnotch.queueing.disciplines import Discipline, QueueChoice
from cornelnotch.queueing.models import ClassConfig, QueuedRequest, RunningRequest

__all__ = ["ClassQueue", "TieredDiscipline"]


def _rank_timely(item: QueuedRequest) -> tuple[float, int]:
    return (item.target_start_ms, item.order)


def _rank_late(item: QueuedRequest) -> tuple[float, int]:
    return (item.deadline_start_ms, item.order)


@dataclass(slots=True)
class ClassQueue:
    """Queued requests of one class.

    `unserved_since_ms` is when the class was last granted a slot or began to wait.
    """

    rule: ClassConfig
    timely: SortedList = field(default_factory=lambda: SortedList(key=_rank_timely))
    late: SortedList = field(default_factory=lambda: SortedList(key=_rank_late))
    unserved_since_ms: float = 0.0

    def __len__(self) -> int:
        return len(self.timely) + len(self.late)

    def get_head(self) -> QueuedRequest | None:
        """Return the next request of this class to serve."""
        if self.timely:
            return self.timely[0]
        return self.late[0] if self.late else None

    def get_eviction_candidate(self) -> QueuedRequest | None:
        """Return the newest late request, or the newest of all if none is late."""
        candidates = self.late or self.timely
        return max(candidates, key=lambda item: item.order, default=None)

    def move_late_requests(self, now: float) -> None:
        """Move requests that can no longer meet their target to the late queue."""
        while self.timely and self.timely[0].target_start_ms < now:
            item = self.timely.pop(0)
            item.late = True
            self.late.add(item)


def _rank_head(item: QueuedRequest) -> tuple[bool, float, int]:
    return (item.late, _get_latest_start(item), item.order)


@register_plugin("discipline", "tiered")
class TieredDiscipline(Discipline):
    """Strict priority between tiers with reserved floors, by deadline within a tier."""

    def __init__(self) -> None:
        self._queues: dict[tuple[str, int], ClassQueue] = {}
        self._items: dict[str, QueuedRequest] = {}
        self._rules: dict[str, ClassConfig] = {}
        self._slots = 0
        self._queue_places = 0

    def configure(
        self, classes: dict[str, ClassConfig], slots: int, places: int
    ) -> None:
        """Apply class configurations and sizes; queued requests keep their order."""
        self._rules = classes
        self._slots = slots
        self._queue_places = places
        for key, queue in self._queues.items():
            queue.rule = classes.get(key[0], queue.rule)

    def add(self, item: QueuedRequest, now: float) -> None:
        """Enqueue a request by its class and tier."""
        key = (item.class_name, item.tier)
        queue = self._queues.get(key)
        if queue is None:
            queue = ClassQueue(self._rules[item.class_name])
            self._queues[key] = queue
        if not queue:
            queue.unserved_since_ms = now
        item.late = item.target_start_ms < now
        (queue.late if item.late else queue.timely).add(item)
        self._items[item.request_id] = item

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove and return the queued request with this ID, or return None."""
        item = self._items.pop(request_id, None)
        if item is None:
            return None
        queue = self._queues[(item.class_name, item.tier)]
        (queue.late if item.late else queue.timely).remove(item)
        return item

    def find(self, request_id: str) -> QueuedRequest | None:
        """Return the queued request with this ID, or None."""
        return self._items.get(request_id)

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that can no longer meet their deadline."""
        expired = []
        for queue in self._queues.values():
            queue.move_late_requests(now)
            while queue.late and queue.late[0].deadline_start_ms < now:
                expired.append(queue.late[0])
                self.remove(queue.late[0].request_id)
        return expired

    def choose(
        self,
        now: float,
        running: dict[str, int],
        place_wait_ms: float,
        floors: bool = True,
    ) -> QueueChoice | None:
        """Return the next request by the rules in the module docstring."""
        heads = self._list_heads()
        if not heads:
            return None
        if floors:
            overdue = self._choose_overdue(now, running)
            if overdue is not None:
                return QueueChoice(overdue, "longest-wait", by_floor=True)
            floor = self._choose_floor(heads, now, running, place_wait_ms)
            if floor is not None:
                return QueueChoice(floor, "floor", by_floor=True)
        return QueueChoice(heads[0], "late" if heads[0].late else "tier")

    def choose_victim(self, newcomer: QueuedRequest) -> QueuedRequest:
        """Return the lowest-ranked queued request, or `newcomer`."""
        lowest = sorted(
            (q for q in self._queues.values() if q),
            key=lambda q: -self._get_tier(q),
        )
        for queue in lowest:
            candidate = queue.get_eviction_candidate()
            assert candidate is not None
            if candidate.tier < newcomer.tier:
                break
            if len(queue) <= self._get_queue_floor(candidate.class_name):
                continue
            later = candidate.late and not newcomer.late
            if candidate.tier > newcomer.tier or later:
                return candidate
        return newcomer

    def list_urgent(self, now: float, margin_ms: float) -> list[QueuedRequest]:
        """Return queue heads that must start within the margin, highest tier first.

        A late request must start in time for its deadline, others for their target.
        """
        heads = self._list_heads()
        heads += [q.late[0] for q in self._queues.values() if q.timely and q.late]
        urgent = [item for item in heads if _get_latest_start(item) - now <= margin_ms]
        return sorted(urgent, key=lambda item: (item.tier, *_rank_head(item)))

    def list_waiting(self) -> Iterable[QueuedRequest]:
        """Return all queued requests."""
        return self._items.values()

    def size(self) -> int:
        """Return the number of queued requests."""
        return len(self._items)

    def count(self, class_name: str) -> int:
        """Return the number of queued requests of a class."""
        return sum(len(q) for key, q in self._queues.items() if key[0] == class_name)

    def record_service(self, class_name: str, now: float) -> None:
        """Restart the measurement of a class's longest wait."""
        for key, queue in self._queues.items():
            if key[0] == class_name:
                queue.unserved_since_ms = now

    def get_floor_places(self, class_name: str) -> int:
        """Return the slots reserved for a class: at least one per shard."""
        rule = self._rules.get(class_name)
        return max(1, int(rule.floor * self._slots)) if rule else 0

    def has_reserved_queue_place(self, item: QueuedRequest) -> bool:
        """Return whether the class occupies fewer queue places than its floor."""
        return self.count(item.class_name) < self._get_queue_floor(item.class_name)

    def _get_queue_floor(self, class_name: str) -> int:
        rule = self._rules.get(class_name)
        return max(1, int(rule.floor * self._queue_places)) if rule else 0

    @staticmethod
    def _get_tier(queue: ClassQueue) -> int:
        head = queue.get_head()
        return head.tier if head else 0

    def _list_heads(self) -> list[QueuedRequest]:
        """Return the head of every queue in strict order."""
        heads = [q.get_head() for q in self._queues.values()]
        present = [head for head in heads if head is not None]
        present.sort(key=lambda item: (item.tier, *_rank_head(item)))
        return present

    def _is_below_floor(self, class_name: str, running: dict[str, int]) -> bool:
        return running.get(class_name, 0) < self.get_floor_places(class_name)

    def _choose_overdue(
        self, now: float, running: dict[str, int]
    ) -> QueuedRequest | None:
        overdue = [
            (now - q.unserved_since_ms - q.rule.longest_wait_ms, q)
            for q in self._queues.values()
            if q
            and now - q.unserved_since_ms >= q.rule.longest_wait_ms
            and self._is_below_floor(q.rule.name, running)
        ]
        if not overdue:
            return None
        return max(overdue, key=lambda pair: pair[0])[1].get_head()

    def _choose_floor(
        self,
        heads: list[QueuedRequest],
        now: float,
        running: dict[str, int],
        place_wait_ms: float,
    ) -> QueuedRequest | None:
        """Return a head below its floor that makes no higher tier miss its target."""
        highest = heads[0].tier
        for position, item in enumerate(heads):
            if item.tier == highest:
                continue
            if not self._is_below_floor(item.class_name, running):
                continue
            if self._can_heads_wait(heads[:position], item.tier, now, place_wait_ms):
                return item
        return None

    @staticmethod
    def _can_heads_wait(
        heads: list[QueuedRequest], tier: int, now: float, place_wait_ms: float
    ) -> bool:
        """Return whether every head above `tier` can wait for one more slot."""
        higher = [h for h in heads if h.tier < tier]
        return all(_get_latest_start(h) - now > place_wait_ms for h in higher)

    def can_resume_within_floor(
        self,
        item: RunningRequest,
        now: float,
        running: dict[str, int],
        place_wait_ms: float,
    ) -> bool:
        """Apply the first two rules of the module docstring to a displaced request."""
        if not self._is_below_floor(item.class_name, running):
            return False
        rule = self._rules.get(item.class_name)
        if rule is not None and now - item.displaced_ms >= rule.longest_wait_ms:
            return True
        return self._can_heads_wait(self._list_heads(), item.tier, now, place_wait_ms)


def _get_latest_start(item: QueuedRequest) -> float:
    """Return the latest start that meets the target, or the deadline if late."""
    return item.deadline_start_ms if item.late else item.target_start_ms
