"""Interfaces of the platform's append-only log and host list."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

__all__ = ["HostEntry", "HostList", "LogPage", "LogRecord", "LogService"]


@dataclass(frozen=True, slots=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    time_ms: float
    body: bytes


@dataclass(frozen=True, slots=True)
class LogPage:
    """Consecutive records and the bounds of their stream.

    `earliest` is the lowest offset that is still readable, `end` the offset after the
    last record.
    """

    records: list[LogRecord]
    earliest: int
    end: int


@dataclass(frozen=True, slots=True)
class HostEntry:
    """One host or server in the platform's host list."""

    name: str
    role: str
    state: str
    http: str = ""
    peer: str = ""
    place: str = ""


@dataclass(frozen=True, slots=True)
class HostListing:
    """The host list as returned by one read."""

    entries: tuple[HostEntry, ...]


class LogService(ABC):
    """Interface for appending to and reading from named streams."""

    @abstractmethod
    async def append(self, stream: str, body: bytes) -> int:
        """Append a record and return its offset.

        Raise LogUnavailableError on failure; the record may have been appended anyway.
        """

    @abstractmethod
    async def read(self, stream: str, offset: int, wait_ms: float = 0.0) -> LogPage:
        """Return records from `offset`, waiting up to `wait_ms` for the first.

        Raise LogTrimmedError if the record at `offset` has expired, and
        LogUnavailableError if the service does not respond.
        """


class HostList(ABC):
    """Interface of the platform's host list, which may lag behind."""

    @abstractmethod
    async def read(self) -> HostListing:
        """Return the list; raise LogUnavailableError if there is no response."""
