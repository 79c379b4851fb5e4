"""First-in, first-out queue without tiers, for comparison."""

from collections.abc import Iterable

from cornelnotch.kernel import register_plugin
from cornelnotch.queueing.disciplines import Discipline, QueueChoice
from cornelnotch.queueing.models import ClassConfig, QueuedRequest

__all__ = ["FifoDiscipline"]


@register_plugin("discipline", "fifo")
class FifoDiscipline(Discipline):
    """First-in, first-out queue without tiers, for comparison."""

    def __init__(self) -> None:
        self._items: dict[str, QueuedRequest] = {}

    def configure(
        self, classes: dict[str, ClassConfig], slots: int, places: int
    ) -> None:
        """Do nothing; this discipline ignores class configurations."""

    def add(self, item: QueuedRequest, now: float) -> None:
        """Append a request."""
        self._items[item.request_id] = item

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove and return the queued request with this ID, or return None."""
        return self._items.pop(request_id, None)

    def find(self, request_id: str) -> QueuedRequest | None:
        """Return the queued request with this ID, or None."""
        return self._items.get(request_id)

    def expire(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that can no longer meet their deadline."""
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
    ) -> QueueChoice | None:
        """Return the oldest request."""
        item = next(iter(self._items.values()), None)
        return QueueChoice(item, "arrival") if item else None

    def choose_victim(self, newcomer: QueuedRequest) -> QueuedRequest:
        """Return `newcomer`, since earlier requests take precedence."""
        return newcomer

    def list_urgent(self, now: float, margin_ms: float) -> list[QueuedRequest]:
        """Return an empty list; no request takes precedence over another."""
        return []

    def list_waiting(self) -> Iterable[QueuedRequest]:
        """Return all queued requests."""
        return self._items.values()

    def count(self, class_name: str) -> int:
        """Return the number of queued requests of a class."""
        return sum(1 for i in self._items.values() if i.class_name == class_name)

    def record_service(self, class_name: str, now: float) -> None:
        """Do nothing; this discipline has no longest wait."""
