"""Define how a shard orders its waiting requests."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from cornelnotch.queueing.models import ClassRule, Running, Waiting

__all__ = ["Discipline", "Pick"]


@dataclass(frozen=True, slots=True)
class Pick:
    """Name the next request and the rule that chose it."""

    item: Waiting
    reason: str
    by_floor: bool = False


class Discipline(ABC):
    """Hold the waiting requests of one shard and decide their order."""

    @abstractmethod
    def configure(self, classes: dict[str, ClassRule], slots: int, places: int) -> None:
        """Take over rules and the number of slots and queue places."""

    @abstractmethod
    def add(self, item: Waiting, now: float) -> None:
        """Add a request."""

    @abstractmethod
    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out, wherever it waits."""

    @abstractmethod
    def find(self, request_id: str) -> Waiting | None:
        """Return a waiting request."""

    @abstractmethod
    def expire(self, now: float) -> list[Waiting]:
        """Take out the requests that cannot meet their deadline any more."""

    @abstractmethod
    def choose(
        self,
        now: float,
        running: dict[str, int],
        place_wait_ms: float,
        floors: bool = True,
    ) -> Pick | None:
        """Return the request that gets the next place, without removing it.

        Without `floors` only the strict order counts.
        """

    @abstractmethod
    def choose_victim(self, newcomer: Waiting) -> Waiting:
        """Return who leaves a full queue; it may be the newcomer."""

    @abstractmethod
    def list_urgent(self, now: float, margin_ms: float) -> list[Waiting]:
        """Return heads that must start within the margin, highest tier first."""

    def can_resume_within_floor(
        self, item: Running, now: float, running: dict[str, int], place_wait_ms: float
    ) -> bool:
        """Tell whether a displaced request may go on within its class's floor."""
        return False

    @abstractmethod
    def list_waiting(self) -> Iterable[Waiting]:
        """Return everything that waits."""

    @abstractmethod
    def count(self, class_name: str) -> int:
        """Return how many requests of a class wait."""

    @abstractmethod
    def record_service(self, class_name: str, now: float) -> None:
        """Remember that a class got a place."""

    def get_floor_places(self, class_name: str) -> int:
        """Return the slots kept for a class; 0 without floors."""
        return 0

    def has_queue_floor(self, item: Waiting) -> bool:
        """Tell whether a full queue still keeps a place for the class of `item`."""
        return False

    def size(self) -> int:
        """Return how many requests wait."""
        return sum(1 for _ in self.list_waiting())
