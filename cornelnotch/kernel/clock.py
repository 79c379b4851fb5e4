"""Clocks that measure time in milliseconds."""

import asyncio
import time
from abc import ABC, abstractmethod

__all__ = ["Clock", "ManualClock", "SystemClock", "create_clock"]

MS_PER_SECOND = 1000.0
# CLOCK_MONOTONIC stops while the machine is suspended, so that timeouts which expired
# in the meantime would still seem valid.
MONOTONIC_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(ABC):
    """Base class of clocks with millisecond time."""

    @abstractmethod
    def read(self) -> float:
        """Return monotonic time in ms, for intervals and deadlines."""

    @abstractmethod
    def read_wall(self) -> float:
        """Return ms since the Unix epoch, for times compared between hosts."""

    async def sleep(self, duration_ms: float) -> None:
        """Wait for `duration_ms`."""
        await asyncio.sleep(max(duration_ms, 0.0) / MS_PER_SECOND)


class SystemClock(Clock):
    """Clock of the operating system."""

    def read(self) -> float:
        """Return monotonic time in ms, including time spent suspended."""
        return time.clock_gettime(MONOTONIC_CLOCK_ID) * MS_PER_SECOND

    def read_wall(self) -> float:
        """Return ms since the Unix epoch."""
        return time.time() * MS_PER_SECOND


class ManualClock(Clock):
    """Clock for tests that changes only when it is advanced."""

    def __init__(self, start_ms: float = 0.0) -> None:
        self.current_ms = start_ms

    def read(self) -> float:
        """Return the time last set, in ms."""
        return self.current_ms

    def read_wall(self) -> float:
        """Return the time last set, in ms."""
        return self.current_ms

    def advance(self, duration_ms: float) -> None:
        """Move the clock forward by `duration_ms`."""
        self.current_ms += duration_ms


def create_clock() -> Clock:
    """Return the clock used outside tests."""
    return SystemClock()
