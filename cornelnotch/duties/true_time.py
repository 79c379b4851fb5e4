"""Estimate true time from the wall clocks of all hosts; no I/O.

A wall clock may jump. The median over many hosts does not while most are right, and a
monotonic clock carries it on between two estimates.
"""

from statistics import median

__all__ = ["ClockSamples", "TrueTime", "is_valid_time"]

# The year 2248.
MAX_WALL_MS = 2.0**43


def is_valid_time(wall_ms: float) -> bool:
    """Return whether a time in ms since 1970 can be one of a host's clock."""
    return 0.0 <= wall_ms <= MAX_WALL_MS


class TrueTime:
    """True time in ms since 1970 by the monotonic clock of a host."""

    def __init__(self, wall_ms: float, now: float) -> None:
        self._offset_ms = wall_ms - now
        self.is_agreed = False

    def read(self, now: float) -> float:
        """Return the true time at monotonic time `now`."""
        return now + self._offset_ms

    def set_agreed(self, wall_ms: float, now: float) -> None:
        """Apply the time that all hosts agree on."""
        if is_valid_time(wall_ms):
            self._offset_ms = wall_ms - now
            self.is_agreed = True


class ClockSamples:
    """Offsets between the hosts' wall clocks and the monotonic clock of this host."""

    def __init__(self) -> None:
        self._offsets: dict[str, float] = {}

    def add(self, host: str, wall_ms: float, now: float) -> None:
        """Add the wall clock in a message of a host that arrived now."""
        if is_valid_time(wall_ms):
            self._offsets[host] = wall_ms - now

    def keep(self, hosts: set[str]) -> None:
        """Forget the hosts that are not among `hosts`."""
        for host in self._offsets.keys() - hosts:
            del self._offsets[host]

    def count(self) -> int:
        """Return the number of hosts with a sample."""
        return len(self._offsets)

    def find_wall_ms(self, now: float) -> float | None:
        """Return the median of the hosts' wall clocks now, or None without samples."""
        if not self._offsets:
            return None
        return now + median(self._offsets.values())
