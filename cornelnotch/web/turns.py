"""Let long work of many tasks leave the event loop to others."""

import asyncio

__all__ = ["WorkTurns"]

# Time between two steps, whatever the number of tasks that have long work.
PAUSE_S = 0.004


class WorkTurns:
    """Admit one step of long work at a time, with a pause after each."""

    def __init__(self) -> None:
        self._lock = asyncio.Lock()

    async def take(self) -> None:
        """Wait until this task may take a step of a few milliseconds."""
        async with self._lock:
            await asyncio.sleep(PAUSE_S)
