"""Account for the memory that the connections of all listeners of a process hold."""

import os
from collections.abc import Callable
from pathlib import Path

from cornelnotch.kernel.clock import Clock, create_clock

__all__ = ["ConnectionMemory", "MemoryAccount", "measure_process_bytes"]

BYTES_PER_MB = 1_000_000
# Share of the memory beyond that of the idle process. The rest is for copies made while
# a body is received and sent, for requests at work, and for the allocator.
ACCOUNT_SHARE = 0.5
# Smallest share of the machine's memory, where the idle process already takes most.
LEAST_SHARE = 0.1
# Above this share of the account, no further bodies are accepted.
BODY_SHARE = 0.8
# Above this share of the account, connections are read in small pieces.
SLOW_SHARE = 0.5
# Connections are closed until this share of the account is left.
CLEARED_SHARE = 0.9
# Measured: 8.5 KB for the streams, the task and the parser of an idle connection
# (journal/callers-cost.txt). The share left free covers a small piece that arrives.
IDLE_CONNECTION_BYTES = 10_000
# A field is three byte strings and a tuple in the parser, and again in the request.
FIELD_BYTES = 500
# Time over which the progress of a connection is measured.
PROGRESS_WINDOW_MS = 2000.0
# A connection that has moved no byte for this time may be closed for a new body.
STALLED_MS = 4000.0
# Time between two searches for connections to close that found too few.
SEARCH_PAUSE_MS = 50.0


def measure_machine_bytes() -> int:
    """Return the memory of the machine in bytes."""
    return os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")


def measure_process_bytes() -> int:
    """Return the resident memory of this process in bytes, 0 if it is unknown."""
    try:
        pages = int(Path("/proc/self/statm").read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0
    return pages * os.sysconf("SC_PAGE_SIZE")


def _do_nothing() -> None:
    """Close a connection that has ended."""


class MemoryAccount:
    """Bytes that all connections hold, and who is closed when they are too many.

    `note_closed` is called with a listener and a reason for each closed connection.
    """

    def __init__(self, memory_mb: float = 0.0, clock: Clock | None = None) -> None:
        self.clock = clock or create_clock()
        self.limit_bytes = 0
        self.held_bytes = 0
        # Part of `held_bytes` of connections that were closed but have not ended yet.
        self.closing_bytes = 0
        self.idle_process_bytes = 0
        self.note_closed: Callable[[str, str], None] = lambda listener, reason: None
        self._connections: set[ConnectionMemory] = set()
        self._memory_mb = 0.0
        self._searched_ms = float("-inf")
        self.set_memory(memory_mb)

    def set_memory(self, memory_mb: float) -> None:
        """Replace the memory of the process; the machine's counts if it is 0."""
        self._memory_mb = memory_mb
        total = int(memory_mb * BYTES_PER_MB) or measure_machine_bytes()
        free = max(total - self.idle_process_bytes, int(total * LEAST_SHARE))
        self.limit_bytes = int(free * ACCOUNT_SHARE)

    def set_idle_process(self, size: int) -> None:
        """Set what the process takes without connections, measured at its start."""
        self.idle_process_bytes = size
        self.set_memory(self._memory_mb)

    def open(
        self,
        listener: str,
        close: Callable[[], None],
        base: int = IDLE_CONNECTION_BYTES,
    ) -> "ConnectionMemory":
        """Return the memory of a new connection, which `close` closes at once."""
        connection = ConnectionMemory(self, listener, close, base)
        self._connections.add(connection)
        connection.change(base)
        return connection

    def forget(self, connection: "ConnectionMemory") -> None:
        """Drop a connection that has ended."""
        self._connections.discard(connection)

    def is_nearly_full(self) -> bool:
        """Return whether connections are to be read in small pieces."""
        return self.held_bytes > self.limit_bytes * SLOW_SHARE

    def is_full(self) -> bool:
        """Return whether nothing further is to be read."""
        return self.held_bytes > self.limit_bytes

    def count_remaining(self) -> int:
        """Return what will be held once all closed connections have ended."""
        return self.held_bytes - self.closing_bytes

    def find_room(self, size: int) -> bool:
        """Return whether part of a body may be held.

        Connections that have stopped are closed for it, others are not.
        """
        limit = self.limit_bytes * BODY_SHARE
        if self.held_bytes + size <= limit:
            return True
        now = self.clock.read()
        if now - self._searched_ms < SEARCH_PAUSE_MS:
            return False
        self._searched_ms = now
        stalled = [c for c in self._list_closable() if c.has_stalled(now)]
        self._close(stalled, limit * CLEARED_SHARE, "stalled")
        return self.held_bytes + size <= limit

    def make_room(self) -> None:
        """Close the connections with least progress for what they hold, if too full."""
        if self.count_remaining() <= self.limit_bytes:
            return
        now = self.clock.read()
        if now - self._searched_ms < SEARCH_PAUSE_MS and not self._is_far_too_full():
            return
        self._searched_ms = now
        closable = self._list_closable()
        closable.sort(key=lambda c: c.rank(now), reverse=True)
        self._close(closable, self.limit_bytes * CLEARED_SHARE, "memory")

    def _is_far_too_full(self) -> bool:
        # Otherwise a burst within one pause could take any amount.
        return self.count_remaining() > self.limit_bytes * (2.0 - CLEARED_SHARE)

    def _list_closable(self) -> list["ConnectionMemory"]:
        return [c for c in self._connections if c.is_closable()]

    def _close(
        self, connections: list["ConnectionMemory"], limit: float, reason: str
    ) -> None:
        for connection in connections:
            if self.count_remaining() <= limit:
                return
            connection.close(reason)


class ConnectionMemory:
    """Bytes that one connection holds, and the progress that it makes.

    While `protected` is set, the connection is never closed for its memory.
    """

    __slots__ = (
        "_account",
        "_base",
        "_close",
        "_former_bytes",
        "_moved_bytes",
        "_parts",
        "_window_ms",
        "held_bytes",
        "is_open",
        "listener",
        "moved_ms",
        "protected",
    )

    def __init__(
        self,
        account: MemoryAccount,
        listener: str,
        close: Callable[[], None],
        base: int,
    ) -> None:
        self.listener = listener
        self.held_bytes = 0
        self.protected = False
        self.is_open = True
        self._account = account
        self._base = base
        self._close = close
        self._parts: dict[str, int] = {}
        now = account.clock.read()
        self._window_ms = self.moved_ms = now
        self._moved_bytes = self._former_bytes = 0

    def change(self, size: int) -> None:
        """Add bytes to what the connection holds."""
        if not self.is_open:
            return
        account = self._account
        self.held_bytes += size
        account.held_bytes += size
        if size > 0 and account.count_remaining() > account.limit_bytes:
            account.make_room()

    def set_part(self, part: str, size: int) -> None:
        """Set the size of one part of what the connection holds."""
        before = self._parts.get(part, 0)
        if size != before:
            self._parts[part] = size
            self.change(size - before)

    def add_part(self, part: str, size: int) -> None:
        """Add bytes to one part of what the connection holds."""
        self.set_part(part, self._parts.get(part, 0) + size)

    def set_fields(self, count: int, size: int) -> None:
        """Set the number of header fields and the size of their text."""
        self.set_part("fields", count * FIELD_BYTES + 2 * size)

    def note_moved(self, size: int) -> None:
        """Count bytes that the client has sent or taken."""
        now = self._account.clock.read()
        self.moved_ms = now
        if now - self._window_ms >= PROGRESS_WINDOW_MS:
            is_recent = now - self._window_ms < 2.0 * PROGRESS_WINDOW_MS
            self._former_bytes = self._moved_bytes if is_recent else 0
            self._moved_bytes = 0
            self._window_ms = now
        self._moved_bytes += size

    def is_closable(self) -> bool:
        """Return whether closing the connection would free memory, and is allowed."""
        return self.is_open and not self.protected and self.held_bytes > 0

    def has_stalled(self, now: float) -> bool:
        """Return whether the client stopped within what it sends or takes."""
        return self.held_bytes > self._base and now - self.moved_ms >= STALLED_MS

    def rank(self, now: float) -> float:
        """Return the bytes held per byte of recent progress; the highest close first.

        What an idle connection takes does not count, so those go last.
        """
        age_ms = now - self._window_ms
        recent = 0
        if age_ms < 2.0 * PROGRESS_WINDOW_MS:
            recent = self._moved_bytes
        if age_ms < PROGRESS_WINDOW_MS:
            recent += self._former_bytes
        return (self.held_bytes - self._base) / (recent + 1)

    def close(self, reason: str) -> None:
        """Close the connection at once; its memory is returned when it has ended."""
        if not self.is_open:
            return
        self.is_open = False
        self._account.forget(self)
        self._account.closing_bytes += self.held_bytes
        self._account.note_closed(self.listener, reason)
        self._close()

    def release(self) -> None:
        """Return all memory of a connection that has ended."""
        if self.is_open:
            self.is_open = False
            self._account.forget(self)
        else:
            self._account.closing_bytes -= self.held_bytes
        self._account.held_bytes -= self.held_bytes
        self.held_bytes = 0
        # It refers to the connection, which only the next collection would free.
        self._close = _do_nothing
