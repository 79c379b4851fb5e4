"""Maintain the newest records of a keyed topic, without sockets or clocks.

A log that is restored from an older copy assigns offsets again. Each restoration starts
a new timeline; records of older timelines are kept until they are written again.
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

# Used until a response names a timeline.
NO_TIMELINE = -1


@dataclass(frozen=True, slots=True)
class Record:
    """One record; an empty value deletes the key."""

    key: str
    value: bytes
    offset: int


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Records in order, the offset to continue at and the end of the topic.

    `timeline` is None if the response names none.
    """

    records: list[Record]
    next_offset: int
    end_offset: int
    timeline: int | None = None


@dataclass(slots=True)
class KeyedView:
    """The newest record of each key in a timeline; `head` is the next offset to read.

    `older_records` contains the records of older timelines. `was_restored` is true once
    one timeline has replaced another, `needs_full_read` until the records of the new
    one have been read. `overwritten` contains the records of the last page that later
    ones of the same page overwrote.
    """

    head: int = -1
    records: dict[str, Record] = field(default_factory=dict)
    timeline: int = NO_TIMELINE
    older_records: dict[str, Record] = field(default_factory=dict)
    was_restored: bool = False
    needs_full_read: bool = False
    overwritten: list[Record] = field(default_factory=list)

    def enter_timeline(self, timeline: int) -> bool:
        """Switch to a later timeline; return whether known records became older."""
        if timeline <= self.timeline:
            return False
        self.timeline = timeline
        if self.head < 0 and not self.records:
            return False
        # Older records kept so far win: they are newer than those of the restored copy.
        self.add_older_records(self.records.values())
        self.records = {}
        self.head = -1
        self.was_restored = True
        self.needs_full_read = True
        return True

    def add_older_records(self, records: Iterable[Record]) -> None:
        """Add records of older timelines, unless their keys are present."""
        for record in records:
            self.older_records.setdefault(record.key, record)

    def apply(self, page: RecordPage) -> list[Record]:
        """Apply the records of a page; return those at or after the head."""
        changed = []
        for record in page.records:
            # Records below the head were applied; repeating them could undo a deletion.
            if record.offset < self.head:
                continue
            if record.value:
                self.records[record.key] = record
            else:
                self.records.pop(record.key, None)
            changed.append(record)
        self.head = max(self.head, page.next_offset)
        newest = {record.key: record.offset for record in changed}
        self.overwritten = [r for r in changed if r.offset < newest[r.key]]
        return changed

    def would_skip(self, page: RecordPage) -> bool:
        """Return whether `replace` leaves out records that were not applied."""
        # The head is negative after the store has forgotten the records there.
        was_read = self.head >= 0 or bool(self.records)
        return was_read and self.head < page.end_offset

    def replace(self, page: RecordPage) -> None:
        """Replace all records by the newest ones; unlisted keys are deleted.

        A page that ends before `head` is outdated and ignored.
        """
        if page.end_offset < self.head:
            return
        listed = {record.key: record for record in page.records}
        # An unlisted key may have been written after the end of the page.
        newer = {
            key: record
            for key, record in self.records.items()
            if key not in listed and record.offset >= page.end_offset
        }
        self.records = {**newer, **listed}
        self.head = max(self.head, page.next_offset)
        self.needs_full_read = False
        self.overwritten = []


class RecordSource(ABC):
    """Interface for reading the topics `configuration` and `servers`."""

    @abstractmethod
    async def read_newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key; raise LogUnavailableError."""

    @abstractmethod
    async def read_from(self, topic: str, start: int, wait_ms: float) -> RecordPage:
        """Return the records from offset `start` on.

        Waits up to `wait_ms` for the first. Raises LogTrimmedError if the records at
        `start` have been trimmed, LogUnavailableError if the store does not respond.
        """


class RecordDecoder(ABC):
    """Interface for decoding the values of records."""

    @abstractmethod
    def decode_table(self, records: dict[str, Record]) -> RoutingTable | None:
        """Return the routing table; raise ConfigurationError if it is malformed."""

    @abstractmethod
    def decode_server(self, record: Record) -> ServerRecord | None:
        """Return the server of a record, or None if it is not to be used.

        Raise MalformedInputError if the record is malformed.
        """
