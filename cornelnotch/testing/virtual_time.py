"""Run asyncio programs in virtual time."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from cornelnotch.kernel import Clock

__all__ = ["VirtualClock", "VirtualTimeLoop", "run_in_virtual_time"]

MS_PER_SECOND = 1000.0


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that skips the time in which no task can run.

    Only timers and callbacks are supported, not sockets or other threads.
    """

    def __init__(self) -> None:
        super().__init__()
        self._virtual_s = 0.0
        selector: Any = self.__dict__["_selector"]
        poll = selector.select

        def select(timeout: float | None = None) -> list[Any]:
            if timeout is None:
                raise RuntimeError("all tasks wait, but no timer is scheduled")
            self._virtual_s += max(timeout, 0.0)
            ready: list[Any] = poll(0)
            return ready

        selector.select = select

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual_s


class VirtualClock(Clock):
    """Clock that reads the virtual time of the running event loop."""

    def read(self) -> float:
        """Return the virtual time in ms."""
        return asyncio.get_running_loop().time() * MS_PER_SECOND

    def read_wall(self) -> float:
        """Return the virtual time in ms."""
        return self.read()


def run_in_virtual_time(program: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine to its end in virtual time and return its result."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(program)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()
