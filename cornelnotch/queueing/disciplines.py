"""Interface of the queue disciplines of a shard."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from cornelnotch.queueing.models import ClassConfig, QueuedRequest, RunningRequest

__all__ = ["Discipline", "QueueChoice"]


@dataclass(frozen=True, slots=True)
class QueueChoice:
    """Next request to serve, with the rule that chose it."""

    item: QueuedRequest
    reason: str
    by_floor: bool = False


class Discipline(ABC):
    """Base class of the queues of a shard."""

    @abstractmethod
    def configure(
        self, classes: dict[str, ClassConfig], slots: int, places: int
    ) -> None:
        """Apply class configurations and the number of slots and queue places."""

    @abstractmethod
    def add(self, item: QueuedRequest, now: float) -> None:
        """Enqueue a request."""

    @abstractmethod
    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove and return the queued request with this ID, or return None."""

    @abstractmethod
    def find(self, request_id: str) -> QueuedRequest | None:
        """Return the queued request with this ID, or None."""

    @abstractmethod
    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that can no longer meet their deadline."""

    @abstractmethod
    def choose(
        self,
        now: float,
        running: dict[str, int],
        place_wait_ms: float,
        floors: bool = True,
    ) -> QueueChoice | None:
        """Return the request to serve next, without removing it.

        If `floors` is false, slots reserved for classes are ignored.
        """

    @abstractmethod
    def choose_victim(self, newcomer: QueuedRequest) -> QueuedRequest:
        """Return the request to evict from a full queue, which may be `newcomer`."""

    @abstractmethod
    def list_urgent(self, now: float, margin_ms: float) -> list[QueuedRequest]:
        """Return queue heads that must start within the margin, highest tier first."""

    def can_resume_within_floor(
        self,
        item: RunningRequest,
        now: float,
        running: dict[str, int],
        place_wait_ms: float,
    ) -> bool:
        """Return whether a displaced request may resume within its class's floor."""
        return False

    @abstractmethod
    def list_waiting(self) -> Iterable[QueuedRequest]:
        """Return all queued requests."""

    @abstractmethod
    def count(self, class_name: str) -> int:
        """Return the number of queued requests of a class."""

    @abstractmethod
    def record_service(self, class_name: str, now: float) -> None:
        """Record that a request of a class was granted a slot."""

    def get_floor_places(self, class_name: str) -> int:
        """Return the slots reserved for a class; 0 without floors."""
        return 0

    def has_reserved_queue_place(self, item: QueuedRequest) -> bool:
        """Return whether a full queue reserves a place for the class of `item`."""
        return False

    def size(self) -> int:
        """Return the number of queued requests."""
        return sum(1 for _ in self.list_waiting())
