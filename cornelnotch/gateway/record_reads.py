"""Tell up to which time a host has read all that the store had."""

import asyncio
from contextlib import suppress

__all__ = ["RecordReads"]


class RecordReads:
    """Reads of one topic by this host, and those that other hosts relayed to it.

    Only its own show what the store had at a time: messages of other hosts may have
    waited while this host was cut off or stood still.
    """

    def __init__(self) -> None:
        self._begun_ms = float("-inf")
        self._relayed_ms = float("-inf")
        self._skips = 0
        self._read = asyncio.Event()

    def note(self, begun_ms: float) -> None:
        """Note that all that the store had at `begun_ms` is known."""
        self._begun_ms = max(self._begun_ms, begun_ms)
        self._read.set()
        self._read = asyncio.Event()

    def note_relayed(self, read_ms: float) -> None:
        """Note that this host has got all that another one read at `read_ms`."""
        self._relayed_ms = max(self._relayed_ms, read_ms)

    def find_relayed_ms(self) -> float:
        """Return the time of the latest read by any host that this host has got."""
        return max(self._begun_ms, self._relayed_ms)

    def note_skip(self) -> None:
        """Note that records were replaced without those in between."""
        self._skips += 1

    def count_skips(self) -> int:
        """Return how often records were replaced without those in between."""
        return self._skips

    def find_latest_ms(self) -> float:
        """Return the time until which all that the store had is known."""
        return self._begun_ms

    def covers(self, at_ms: float) -> bool:
        """Return whether all that the store had at a time is known."""
        return self._begun_ms >= at_ms

    async def wait(self, at_ms: float, timeout_ms: float) -> None:
        """Wait until all that the store had at a time is known, but not longer."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_ms / 1000.0):
                while not self.covers(at_ms):
                    await self._read.wait()
