"""Hold requests that come before a host knows routes and servers.

A host that starts learns both within a fraction of a second, from the store or from
other hosts, so a short wait serves its first callers. Where the store does not answer
and no host knows either, nobody can tell how long it takes: callers are refused at
once, and as most come back only once, they are asked to come as late as they would.
"""

import asyncio

from cornelnotch.gateway.returning import HONOURED_SHARE
from cornelnotch.kernel.clock import Clock

__all__ = ["Startup"]

# Reading both topics, or hearing of them, takes a few round trips between regions.
STARTUP_MS = 600.0
MIN_RETURN_MS = 300.0


class Startup:
    """Own what requests wait for until the host can route them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until_ms = clock.read() + STARTUP_MS
        self._known = asyncio.Event()
        self._store_lost = False

    def note_known(self) -> None:
        """Let requests go on, now and later."""
        self._known.set()

    def note_store_lost(self) -> None:
        """Expect no quick end of the wait."""
        self._store_lost = True

    async def wait(self) -> bool:
        """Tell, after the rest of the startup, if the host knows routes and servers."""
        left_ms = self._until_ms - self._clock.read()
        if not self._known.is_set() and left_ms > 0:
            try:
                async with asyncio.timeout(left_ms / 1000.0):
                    await self._known.wait()
            except TimeoutError:
                pass
        return self._known.is_set()

    def choose_return_ms(self, left_ms: float) -> float:
        """Return when a refused caller with `left_ms` left should come back, in ms."""
        if not self._store_lost:
            return MIN_RETURN_MS
        return max(left_ms * HONOURED_SHARE, MIN_RETURN_MS)
