"""Define what the platform offers: an append-only log and a host list."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ["HostEntry", "HostList", "LogPage", "LogRecord", "LogService"]


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Hold one record of a stream."""

    offset: int
    time_ms: float
    body: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Hold consecutive records and the bounds of their stream.

    `earliest` is the lowest offset still readable; `end` is one past the last.
    """

    records: list[LogRecord]
    earliest: int
    end: int


@dataclass(frozen=True, slots=True)
class HostEntry:
    """Describe one machine in the platform's list."""

    name: str
    role: str
    state: str
    http: str = ""
    peer: str = ""
    place: str = ""


@dataclass(frozen=True, slots=True)
class PlatformHosts:
    """Hold one reading of the host list."""

    entries: tuple[HostEntry, ...]


class LogService(ABC):
    """Append to and read from named streams."""

    @abstractmethod
    async def append(self, stream: str, body: bytes) -> int:
        """Return the offset; LogUnavailableError leaves it unknown if it landed."""

    @abstractmethod
    async def read(self, stream: str, offset: int, wait_ms: float = 0.0) -> LogPage:
        """Return records from `offset` on, waiting up to `wait_ms` for one.

        Raise LogTrimmedError if `offset` is past retention, and
        LogUnavailableError when the service does not answer.
        """


class HostList(ABC):
    """Read the platform's lagging list of hosts."""

    @abstractmethod
    async def read(self) -> PlatformHosts:
        """Return the list; raise LogUnavailableError when there is no answer."""
