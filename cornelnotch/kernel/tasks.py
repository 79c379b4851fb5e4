"""Run tasks that own their state and take messages."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from typing import Any

from cornelnotch.kernel.events import Event, EventLog

__all__ = ["MailboxTask", "TaskGroup", "end_task"]

RESTART_S = 1.0


async def end_task(task: asyncio.Task[Any]) -> None:
    """Cancel a task and wait for its end; raise the error that it ended with.

    Awaiting the task itself would not tell its cancellation from the caller's, and a
    caller that hides its own would go on for ever.
    """
    task.cancel()
    await asyncio.wait({task})
    error = None if task.cancelled() else task.exception()
    if error is not None:
        raise error


class TaskGroup:
    """Own the running tasks of one process and report their failures."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, name: str, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run `work` until it ends or the group stops."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._forget)
        return task

    def keep(
        self, name: str, create_work: Callable[[], Coroutine[Any, Any, None]]
    ) -> asyncio.Task[Any]:
        """Run work that must not end; start it again a while after a failure."""
        return self.start(name, self._repeat(name, create_work))

    async def _repeat(
        self, name: str, create_work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            try:
                await create_work()
            except Exception as error:
                self._events.record(Event.TASK_FAILED, task=name, error=repr(error))
            await asyncio.sleep(RESTART_S)

    async def stop(self) -> None:
        """Cancel every task and wait for its end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _forget(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._events.record(
                Event.TASK_FAILED, task=task.get_name(), error=repr(error)
            )


class MailboxTask(ABC):
    """Handle messages one at a time, in order of arrival."""

    def __init__(self, events: EventLog) -> None:
        self.events = events
        self._mailbox: asyncio.Queue[Any] = asyncio.Queue()

    def post(self, message: Any) -> None:
        """Add a message to the mailbox."""
        self._mailbox.put_nowait(message)

    async def run(self) -> None:
        """Handle messages until cancelled; one bad message ends only itself."""
        while True:
            message = await self._mailbox.get()
            try:
                await self.handle(message)
            except Exception as error:
                self.events.record(
                    Event.TASK_FAILED,
                    task=type(self).__name__,
                    error=repr(error),
                )

    @abstractmethod
    async def handle(self, message: Any) -> None:
        """Act on one message."""
