"""Counts per class of requests that met their objective, over sliding windows."""

from collections import deque
from dataclasses import dataclass

from cornelnotch.kernel import Clock

__all__ = ["AttainmentWindows", "WindowCount", "list_windows"]

BUCKET_MS = 5000.0
MS_PER_MINUTE = 60_000.0
WINDOW_MINUTES = (1, 5, 60)


@dataclass(slots=True)
class Bucket:
    """Counts of the requests that ended within one time bucket."""

    start_ms: float
    attained: int = 0
    total: int = 0


@dataclass(frozen=True, slots=True)
class WindowCount:
    """Counts of one class over one window."""

    class_name: str
    minutes: int
    attained: int
    total: int


def list_windows() -> tuple[int, ...]:
    """Return the lengths of all windows in minutes."""
    return WINDOW_MINUTES


class AttainmentWindows:
    """Sliding-window counts per class, kept for the longest window."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._buckets: dict[str, deque[Bucket]] = {}

    def record(self, class_name: str, attained: bool) -> None:
        """Count one request that ended now."""
        now = self._clock.read()
        buckets = self._buckets.setdefault(class_name, deque())
        if not buckets or now - buckets[-1].start_ms >= BUCKET_MS:
            buckets.append(Bucket(now))
        buckets[-1].total += 1
        buckets[-1].attained += attained
        limit = now - WINDOW_MINUTES[-1] * MS_PER_MINUTE
        while buckets[0].start_ms < limit:
            buckets.popleft()

    def count(self) -> list[WindowCount]:
        """Return the counts of every class and window."""
        now = self._clock.read()
        rows = []
        for class_name, buckets in self._buckets.items():
            for minutes in WINDOW_MINUTES:
                limit = now - minutes * MS_PER_MINUTE
                recent = [b for b in buckets if b.start_ms >= limit]
                attained = sum(b.attained for b in recent)
                total = sum(b.total for b in recent)
                rows.append(WindowCount(class_name, minutes, attained, total))
        return rows
