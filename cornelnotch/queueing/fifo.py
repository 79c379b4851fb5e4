"""Serve in order of arrival, without tiers; a baseline."""

from collections.abc import Iterable

from cornelnotch.kernel import register_plugin
from cornelnotch.queueing.disciplines import Discipline, Pick
from cornelnotch.queueing.models import ClassRule, Waiting

__all__ = ["FifoDiscipline"]


@register_plugin("discipline", "fifo")
class FifoDiscipline(Discipline):
    """Serve in order of arrival, without tiers; a baseline."""

    def __init__(self) -> None:
        self._items: dict[str, Waiting] = {}

    def configure(self, classes: dict[str, ClassRule], slots: int, places: int) -> None:
        """Need no rules."""

    def add(self, item: Waiting, now: float) -> None:
        """Add a request at the end."""
        self._items[item.request_id] = item

    def remove(self, request_id: str) -> Waiting | None:
        """Take a request out."""
        return self._items.pop(request_id, None)

    def find(self, request_id: str) -> Waiting | None:
        """Return a waiting request."""
        return self._items.get(request_id)

    def expire(self, now: float) -> list[Waiting]:
        """Take out the requests whose deadline has passed."""
        expired = [i for i in self._items.values() if i.deadline_start_ms < now]
        for item in expired:
            del self._items[item.request_id]
        return expired

    def choose(
        self,
        now: float,
        running: dict[str, int],
        place_wait_ms: float,
        floors: bool = True,
    ) -> Pick | None:
        """Return the oldest request."""
        item = next(iter(self._items.values()), None)
        return Pick(item, "arrival") if item else None

    def choose_victim(self, newcomer: Waiting) -> Waiting:
        """Return the newcomer."""
        return newcomer

    def list_urgent(self, now: float, margin_ms: float) -> list[Waiting]:
        """Return nothing; no request goes before another."""
        return []

    def list_waiting(self) -> Iterable[Waiting]:
        """Return everything that waits."""
        return self._items.values()

    def count(self, class_name: str) -> int:
        """Return how many requests of a class wait."""
        return sum(1 for i in self._items.values() if i.class_name == class_name)

    def record_service(self, class_name: str, now: float) -> None:
        """Need no memory of service."""
