"""Write log lines on a thread, so that a slow reader of them holds up nothing."""

import logging
import os
import time
from logging.handlers import QueueHandler, QueueListener
from queue import Full, Queue
from types import TracebackType
from typing import Any

from cornelnotch.kernel.events import Event, create_formatter, create_record

__all__ = ["LogOutput"]

# Lines kept for a reader that pauses: two seconds of a host under full load.
QUEUED_LINES = 2000
# How long the end of a process waits for a reader, and how often it looks.
FLUSH_S = 0.3
FLUSH_STEP_S = 0.01


class BoundedHandler(QueueHandler):
    """Queue lines; drop and count those for which there is no room."""

    def __init__(self, lines: "Queue[Any]", source: str) -> None:
        super().__init__(lines)
        self.dropped = 0
        self._untold = 0
        self._source = source

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a line, after one that tells how many were dropped before it."""
        try:
            if self._untold:
                self.queue.put_nowait(self._create_notice())
                self._untold = 0
            self.queue.put_nowait(record)
        except Full:
            self.dropped += 1
            self._untold += 1

    def _create_notice(self) -> logging.LogRecord:
        fields = {"lines": self._untold, "in_total": self.dropped}
        record = create_record(Event.LOG_LINES_DROPPED, self._source, fields)
        prepared: logging.LogRecord = self.prepare(record)
        return prepared


class DescriptorHandler(logging.Handler):
    """Write lines to a file descriptor, on one thread."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor

    def createLock(self) -> None:  # noqa: N802 - the name is logging's
        """Have no lock: a blocked write would hold it when the process ends."""
        self.lock = None

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line; a broken output is told on standard error."""
        rest = f"{record.getMessage()}\n".encode()
        try:
            while rest:
                rest = rest[os.write(self._descriptor, rest) :]
        except OSError:
            self.handleError(record)


class LogOutput:
    """Own the queue of log lines and the thread that writes them."""

    def __init__(
        self,
        source: str,
        style: str = "json",
        level: str = "INFO",
        descriptor: int = 1,
        limit: int = QUEUED_LINES,
    ) -> None:
        self._lines: Queue[Any] = Queue(limit)
        self._handler = BoundedHandler(self._lines, source)
        self._handler.setFormatter(create_formatter(style))
        self._level = level
        self._listener = QueueListener(self._lines, DescriptorHandler(descriptor))

    @property
    def dropped(self) -> int:
        """Return how many lines were dropped since the start."""
        return self._handler.dropped

    def __enter__(self) -> "LogOutput":
        """Send the events of this process to the output."""
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
        """Give the reader a moment for the last lines; the thread ends by itself."""
        logging.getLogger("cornelnotch").handlers.clear()
        until_s = time.monotonic() + FLUSH_S
        while self._lines.unfinished_tasks and time.monotonic() < until_s:
            time.sleep(FLUSH_STEP_S)
