"""Keep the newest records of a keyed topic; pure, without sockets or clocks.

A log that is restored from an older copy gives offsets out again. Each restoration
begins a new timeline; what was known of older ones is held until it is written again.
"""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelnotch.gateway.models import RoutingTable, ServerRecord

__all__ = [
    "NO_TIMELINE",
    "KeyedView",
    "Record",
    "RecordDecoder",
    "RecordPage",
    "RecordSource",
]

# Before the first answer that names a timeline.
NO_TIMELINE = -1


@dataclass(frozen=True, slots=True)
class Record:
    """Hold one record; an empty value drops the key."""

    key: str
    value: bytes
    offset: int


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Hold records in order, where to read on and the topic's end.

    `timeline` is None where the answer names none.
    """

    records: list[Record]
    next_offset: int
    end_offset: int
    timeline: int | None = None


@dataclass(slots=True)
class KeyedView:
    """Hold the newest record of each key up to offset `head` of a timeline.

    `held` keeps what was known of older timelines. `was_restored` is true once a
    timeline followed another, `awaits_reading` until its records are known.
    """

    head: int = -1
    records: dict[str, Record] = field(default_factory=dict)
    timeline: int = NO_TIMELINE
    held: dict[str, Record] = field(default_factory=dict)
    was_restored: bool = False
    awaits_reading: bool = False

    def enter(self, timeline: int) -> bool:
        """Turn to a later timeline; tell whether records of an older one are held."""
        if timeline <= self.timeline:
            return False
        self.timeline = timeline
        if self.head < 0 and not self.records:
            return False
        # What is held already is newer than what a copy brought since.
        self.hold(self.records.values())
        self.records = {}
        self.head = -1
        self.was_restored = True
        self.awaits_reading = True
        return True

    def hold(self, records: Iterable[Record]) -> None:
        """Hold what another host knows of older timelines."""
        for record in records:
            self.held.setdefault(record.key, record)

    def apply(self, page: RecordPage) -> list[Record]:
        """Take in records that follow; return those that changed something."""
        changed = []
        for record in page.records:
            # What is below the head is known, also of keys that are gone since.
            if record.offset < self.head:
                continue
            if record.value:
                self.records[record.key] = record
            else:
                self.records.pop(record.key, None)
            changed.append(record)
        self.head = max(self.head, page.next_offset)
        return changed

    def replace(self, page: RecordPage) -> None:
        """Take in the newest record of every key; others are gone.

        A list that ends before what is known tells nothing new.
        """
        if page.end_offset < self.head:
            return
        listed = {record.key: record for record in page.records}
        # A key that is not listed may have been written after the page's end.
        later = {
            key: record
            for key, record in self.records.items()
            if key not in listed and record.offset >= page.end_offset
        }
        self.records = {**later, **listed}
        self.head = max(self.head, page.next_offset)
        self.awaits_reading = False


class RecordSource(ABC):
    """Read the topics `configuration` and `servers`."""

    @abstractmethod
    async def read_newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key; raise LogUnavailableError."""

    @abstractmethod
    async def read_from(self, topic: str, start: int, wait_ms: float) -> RecordPage:
        """Return records from `start` on.

        Wait up to `wait_ms` for the first. Raise LogTrimmedError when records at
        `start` are gone and LogUnavailableError when the store does not answer.
        """


class RecordDecoder(ABC):
    """Decode the values of records."""

    @abstractmethod
    def decode_table(self, records: dict[str, Record]) -> RoutingTable | None:
        """Return the routing table; raise ConfigurationError when malformed."""

    @abstractmethod
    def decode_server(self, record: Record) -> ServerRecord | None:
        """Return a server, or None when the record names none to use."""
