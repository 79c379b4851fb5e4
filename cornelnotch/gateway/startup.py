"""Delay requests that arrive before a host knows routes and servers.

A starting host learns both within a fraction of a second, from the store or from other
hosts, so a short wait lets it serve its first callers. When the store is unavailable
and no other host knows them either, the duration of the outage is unknown. Callers are
then refused after that wait; as most retry only once, the response carries the longest
retry delay that they honour.
"""

import asyncio

from cornelnotch.gateway.retry_after import MAX_RETRY_AFTER_SHARE
from cornelnotch.kernel.clock import Clock

__all__ = ["Startup"]

# Reading or receiving both topics takes a few round trips between regions.
STARTUP_MS = 600.0
MIN_RETRY_AFTER_MS = 300.0


class Startup:
    """State that requests wait for until the host can route them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_ms = clock.read() + STARTUP_MS
        self._ready = asyncio.Event()
        self._is_store_unavailable = False

    def set_ready(self) -> None:
        """Release all current and later requests."""
        self._ready.set()

    def note_store_unavailable(self) -> None:
        """Note that the store is unavailable, so the wait has no known end."""
        self._is_store_unavailable = True

    async def wait(self) -> bool:
        """Wait for the startup, up to a limit; return whether the host can route."""
        left_ms = self._until_ms - self._clock.read()
        if not self._ready.is_set() and left_ms > 0:
            try:
                async with asyncio.timeout(left_ms / 1000.0):
                    await self._ready.wait()
            except TimeoutError:
                pass
        return self._ready.is_set()

    def choose_retry_after_ms(self, left_ms: float) -> float:
        """Return the retry delay for a refused caller with `left_ms` left, in ms."""
        if not self._is_store_unavailable:
            return MIN_RETRY_AFTER_MS
        return max(left_ms * MAX_RETRY_AFTER_SHARE, MIN_RETRY_AFTER_MS)
