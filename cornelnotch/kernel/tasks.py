"""Supervise asyncio tasks and process messages from a mailbox."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Coroutine
from typing import Any

from cornelnotch.kernel.events import Event, EventLog

__all__ = ["MailboxTask", "TaskSupervisor", "cancel_and_wait"]

RESTART_DELAY_S = 1.0


async def cancel_and_wait(task: asyncio.Task[Any]) -> None:
    """Cancel a task and wait for it; raise the error it ended with, if any.

    Awaiting the task directly could not distinguish its cancellation from that of the
    awaiting task, which would keep running if it suppressed its own cancellation.
    """
    task.cancel()
    await asyncio.wait({task})
    error = None if task.cancelled() else task.exception()
    if error is not None:
        raise error


class TaskSupervisor:
    """Set of running tasks whose failures are logged; restarts supervised ones."""

    def __init__(self, events: EventLog) -> None:
        self._events = events
        self._tasks: set[asyncio.Task[Any]] = set()

    def start(self, name: str, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start `work` as a task, which is cancelled when the supervisor is stopped."""
        task = asyncio.get_running_loop().create_task(work, name=name)
        self._tasks.add(task)
        task.add_done_callback(self._handle_done)
        return task

    def start_supervised(
        self, name: str, create_work: Callable[[], Coroutine[Any, Any, None]]
    ) -> asyncio.Task[Any]:
        """Start work that must not end; restart it after a delay when it does."""
        return self.start(name, self._run_with_restarts(name, create_work))

    async def _run_with_restarts(
        self, name: str, create_work: Callable[[], Coroutine[Any, Any, None]]
    ) -> None:
        while True:
            try:
                await create_work()
            except Exception as error:
                self._events.record(Event.TASK_FAILED, task=name, error=repr(error))
            await asyncio.sleep(RESTART_DELAY_S)

    async def stop(self) -> None:
        """Cancel all tasks and wait for them."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _handle_done(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._events.record(
                Event.TASK_FAILED, task=task.get_name(), error=repr(error)
            )


class MailboxTask(ABC):
    """Base class of tasks that handle messages one at a time, in order."""

    def __init__(self, events: EventLog) -> None:
        self.events = events
        self._mailbox: asyncio.Queue[Any] = asyncio.Queue()

    def post(self, message: Any) -> None:
        """Add a message to the mailbox."""
        self._mailbox.put_nowait(message)

    async def run(self) -> None:
        """Handle messages until cancelled; log the errors of single messages."""
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
        """Process one message."""
