"""Count the priorities of recent prompts, to find the least urgent ones; no I/O.

The routes of a service do not show this: some are hardly used, and workspaces have
priorities of their own. The prompts of one host's callers are a sample of all.
"""

from dataclasses import dataclass, field

__all__ = ["PriorityShares"]

HALF_LIFE_MS = 10_000.0
# A priority counts as in use from this share of the recent prompts on.
MIN_SHARE = 0.02


@dataclass(slots=True)
class RecentCounts:
    """Prompts of a service by priority, decayed until `at_ms`."""

    at_ms: float
    by_priority: dict[int, float] = field(default_factory=dict)

    def decay(self, now: float) -> None:
        """Reduce the counts by their age."""
        factor = 0.5 ** (max(now - self.at_ms, 0.0) / HALF_LIFE_MS)
        self.by_priority = {p: n * factor for p, n in self.by_priority.items()}
        self.at_ms = now


class PriorityShares:
    """Recent prompts of each service by priority."""

    def __init__(self) -> None:
        self._counts: dict[str, RecentCounts] = {}

    def record(self, service: str, priority: int, now: float) -> None:
        """Count a prompt."""
        counts = self._counts.setdefault(service, RecentCounts(now))
        counts.decay(now)
        counts.by_priority[priority] = counts.by_priority.get(priority, 0.0) + 1.0

    def find_least_urgent(self, service: str) -> int:
        """Return the least urgent priority in use, 0 if none is known."""
        counts = self._counts.get(service)
        if counts is None:
            return 0
        least = MIN_SHARE * sum(counts.by_priority.values())
        return max(p for p, count in counts.by_priority.items() if count >= least)
