"""Bound the memory that the bodies of all requests of a host take."""

import os

from cornelnotch.exceptions import HostMemoryError
from cornelnotch.web import MemoryAccount

__all__ = ["BodyMemory", "HeldBody"]

BYTES_PER_MB = 1_000_000
# Share of the host's memory that bodies may take; the rest is for the process itself,
# and for the copies made while a body is received and sent.
BODY_SHARE = 0.4


def measure_machine_memory_mb() -> float:
    """Return the memory of the machine in MB."""
    pages, page_bytes = os.sysconf("SC_PHYS_PAGES"), os.sysconf("SC_PAGE_SIZE")
    return pages * page_bytes / BYTES_PER_MB


class BodyMemory:
    """Bytes of bodies that a host holds, of which each body adds what has arrived.

    The bodies are part of what the connections of `account` hold.
    """

    def __init__(self, memory_mb: float, account: MemoryAccount | None = None) -> None:
        self._account = account
        self.limit_bytes = 0
        self.held_bytes = 0
        self.set_memory(memory_mb)

    def set_memory(self, memory_mb: float) -> None:
        """Replace the memory of the process; the machine's counts if it is 0."""
        memory_mb = memory_mb or measure_machine_memory_mb()
        self.limit_bytes = int(memory_mb * BYTES_PER_MB * BODY_SHARE)

    def has_room(self, size: int) -> bool:
        """Return whether further bytes may be held."""
        if self.held_bytes + size > self.limit_bytes:
            return False
        return self._account is None or self._account.find_room(size)

    def hold(self) -> "HeldBody":
        """Return a body of which nothing has arrived."""
        return HeldBody(self)


class HeldBody:
    """Bytes of one body; call `release` once the body is dropped."""

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._held_bytes = 0

    def add(self, size: int) -> None:
        """Add bytes that have arrived; raise HostMemoryError if there is no room."""
        if not self._memory.has_room(size):
            raise HostMemoryError(
                "the bodies of requests exceed the memory of the host",
                "retry later, or at another host",
            )
        self._memory.held_bytes += size
        self._held_bytes += size

    def release(self) -> None:
        """Return the memory of the body."""
        self._memory.held_bytes -= self._held_bytes
        self._held_bytes = 0
