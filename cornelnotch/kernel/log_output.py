"""Write log lines on a separate thread, so that a slow reader does not block."""

import logging
import os
import time
from logging.handlers import QueueHandler, QueueListener
from queue import Full, Queue
from types import TracebackType
from typing import Any

from cornelnotch.kernel.events import Event, create_formatter, create_record

__all__ = ["LogOutput"]

# Two seconds of log lines of a host under full load.
MAX_QUEUED_LINES = 2000
# Limits how long a process that exits waits until its log lines are read.
FLUSH_TIMEOUT_S = 0.3
FLUSH_POLL_S = 0.01


class BoundedQueueHandler(QueueHandler):
    """Queue log records; drop and count those that exceed the queue's limit."""

    def __init__(self, lines: "Queue[Any]", source: str) -> None:
        super().__init__(lines)
        self.dropped = 0
        self._unreported = 0
        self._source = source

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, preceded by a notice of the records dropped before it."""
        try:
            if self._unreported:
                self.queue.put_nowait(self._create_notice())
                self._unreported = 0
            self.queue.put_nowait(record)
        except Full:
            self.dropped += 1
            self._unreported += 1

    def _create_notice(self) -> logging.LogRecord:
        fields = {"lines": self._unreported, "in_total": self.dropped}
        record = create_record(Event.LOG_LINES_DROPPED, self._source, fields)
        prepared: logging.LogRecord = self.prepare(record)
        return prepared


class DescriptorHandler(logging.Handler):
    """Write log lines to a file descriptor, from a single thread."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor

    def createLock(self) -> None:  # noqa: N802 - the name is logging's
        """Create no lock: a blocked write would still hold it at process exit."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line; report a failed write on standard error."""
        remaining = f"{record.getMessage()}\n".encode()
        try:
            while remaining:
                remaining = remaining[os.write(self._descriptor, remaining) :]
        except OSError:
            self.handleError(record)


class LogOutput:
    """Queue of log lines with the thread that writes them."""

    def __init__(
        self,
        source: str,
        style: str = "json",
        level: str = "INFO",
        descriptor: int = 1,
        limit: int = MAX_QUEUED_LINES,
    ) -> None:
        self._queue: Queue[Any] = Queue(limit)
        self._handler = BoundedQueueHandler(self._queue, source)
        self._handler.setFormatter(create_formatter(style))
        self._level = level
        self._listener = QueueListener(self._queue, DescriptorHandler(descriptor))

    @property
    def dropped(self) -> int:
        """Return the number of lines dropped since the start."""
        return self._handler.dropped

    def __enter__(self) -> "LogOutput":
        """Route the events of this process to the output."""
        logger = logging.getLogger("cornelnotch")
        logger.handlers[:] = [self._handler]
        logger.setLevel(self._level)
        logger.propagate = False
        self._listener.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Wait briefly until the last lines are read; the thread is a daemon."""
        logging.getLogger("cornelnotch").handlers.clear()
        deadline_s = time.monotonic() + FLUSH_TIMEOUT_S
        while self._queue.unfinished_tasks and time.monotonic() < deadline_s:
            time.sleep(FLUSH_POLL_S)
