"""Replicate the platform's records, by polling the store or from other hosts.

Each restoration of the store from a backup starts a new timeline, in which the
offsets of earlier timelines are not valid.
"""

import random
import zlib
from collections.abc import Callable
from dataclasses import dataclass, replace

from cornelnotch.exceptions import (
    LogResponseError,
    LogTrimmedError,
    LogUnavailableError,
)
from cornelnotch.gateway.broadcast import Broadcaster
from cornelnotch.gateway.record_reads import RecordReads
from cornelnotch.gateway.records import (
    NO_TIMELINE,
    KeyedView,
    Record,
    RecordPage,
    RecordSource,
)
from cornelnotch.gateway.relay import RelayPlan
from cornelnotch.kernel.clock import Clock
from cornelnotch.kernel.events import Event, EventLog
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import RecordFetch, RecordItem, RecordUpdates

__all__ = [
    "CONFIGURATION",
    "OUTAGE_MS",
    "SERVERS",
    "ChangeSource",
    "RecordFollower",
]

CONFIGURATION = "configuration"
SERVERS = "servers"
TOPICS = (CONFIGURATION, SERVERS)
# Server records change often, so reads are paced: the first reader polls faster than
# the standby and other readers.
PRIMARY_PERIOD_MS = 600.0
STANDBY_PERIOD_MS = 1100.0
# Reads of the configuration are long polls that wait for the next change.
CONFIGURATION_WAIT_MS = 1000.0
# Delay after a failed read, doubled per consecutive failure up to the maximum.
RETRY_MS = 200.0
MAX_RETRY_MS = 800.0
# After this many malformed responses in a row at an offset, all newest records are read
# instead, which skips what is stored at that offset.
MAX_MALFORMED_RESPONSES = 3
TICK_MS = 100.0
# Period at which hosts that receive no updates fetch from two others.
FETCH_PERIOD_MS = 500.0
FETCH_HOSTS = 2
# After an outage of this length, servers may not yet have rewritten expired entries.
OUTAGE_MS = 2000.0
# Time after entering a timeline during which records of older timelines are announced.
ANNOUNCE_OLDER_MS = 60_000.0
# Expected number of hosts that send older records to a reader that announced none.
OLDER_RECORDS_SENDERS = 3
MAX_VALUE_BYTES = 8 * 1024 * 1024
# The age of a copy that was never read.
MAX_AGE_MS = 1e9
# The least age in an announcement; an age of 0 means that the host has just read.
MIN_ANNOUNCED_AGE_MS = 0.1


@dataclass(frozen=True, slots=True)
class ChangeSource:
    """Where a change comes from.

    `host` read it from the store `age_ms` ago. The copy before was `gap_ms` old.
    """

    host: str = ""
    age_ms: float = 0.0
    gap_ms: float = 0.0


Listener = Callable[[str, bool, ChangeSource], None]


@dataclass(frozen=True, slots=True)
class MissingRecords:
    """Records before offset `until` that this host lacks, as it knows since `at_ms`."""

    until: int
    at_ms: float


class RecordFollower:
    """Replicas of both topics on this host."""

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        source: RecordSource,
        peers: PeerNetwork,
        plan: RelayPlan,
        broadcaster: Broadcaster,
        list_hosts: Callable[[], list[str]],
        generator: random.Random,
    ) -> None:
        self.views = {topic: KeyedView() for topic in TOPICS}
        self._clock = clock
        self._events = events
        self._source = source
        self._peers = peers
        self._plan = plan
        self._broadcaster = broadcaster
        self._list_hosts = list_hosts
        self._generator = generator
        self._timeline = NO_TIMELINE
        self._entered_ms = clock.read()
        self._unavailable: set[str] = set()
        self._unnamed: set[str] = set()
        self._failures = dict.fromkeys(TOPICS, 0)
        self._malformed = dict.fromkeys(TOPICS, 0)
        self._fetched_ms = {topic: float("-inf") for topic in TOPICS}
        self._reading: set[str] = set()
        self._missing: dict[str, MissingRecords] = {}
        self._listener: Listener = lambda topic, after_outage, source: None
        self._unavailable_listener: Callable[[], None] = lambda: None
        self.reads = {topic: RecordReads() for topic in TOPICS}
        peers.subscribe(RecordUpdates, self._receive_updates)
        peers.subscribe(RecordFetch, self._receive_fetch)

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with each change.

        It gets the topic, whether an outage has ended and where the change comes from.
        """
        self._listener = listener

    def subscribe_unavailable(self, listener: Callable[[], None]) -> None:
        """Call `listener` when the store becomes unavailable."""
        self._unavailable_listener = listener

    @property
    def timeline(self) -> int:
        """Return the latest known timeline of the store."""
        return self._timeline

    def count_older_records(self) -> int:
        """Return the number of records of older timelines not yet written again."""
        return sum(len(view.older_records) for view in self.views.values())

    def find_age_ms(self, topic: str) -> float:
        """Return how old this host takes its copy of a topic to be."""
        return self._plan.find_age_ms(topic, self._clock.read())

    def is_initialized(self) -> bool:
        """Return whether every topic has been read, here or by another host."""
        return all(view.head >= 0 for view in self.views.values())

    async def run_configuration(self) -> None:
        """Follow the operator's configuration until cancelled."""
        while True:
            delay_ms = await self._poll(CONFIGURATION, CONFIGURATION_WAIT_MS)
            await self._clock.sleep(0.0 if delay_ms is None else delay_ms)

    async def run_servers(self) -> None:
        """Follow the servers' entries until cancelled."""
        while True:
            delay_ms = await self._poll(SERVERS, 0.0)
            await self._clock.sleep(
                self._choose_period_ms() if delay_ms is None else delay_ms
            )

    async def _poll(self, topic: str, wait_ms: float) -> float | None:
        """Read if this host is a reader; return the delay, or None after success."""
        now = self._clock.read()
        must_read = self._plan.must_read(topic, now)
        self._note_reading(topic, must_read, now)
        if not must_read:
            return TICK_MS
        if await self._read(topic, wait_ms):
            self._failures[topic] = 0
            return None
        self._plan.record_unable(self._plan.name, topic, self._clock.read())
        self._announce_unable(topic)
        self._fetch_if_stale(topic)
        delay_ms = RETRY_MS * 2.0 ** self._failures[topic]
        self._failures[topic] += delay_ms < MAX_RETRY_MS
        return delay_ms * self._generator.uniform(0.8, 1.0)

    def _note_reading(self, topic: str, is_reading: bool, now: float) -> None:
        """Log that this host begins or ceases to read a topic."""
        if is_reading == (topic in self._reading):
            return
        self._reading ^= {topic}
        self._events.record(
            Event.READING_BEGUN if is_reading else Event.READING_ENDED,
            topic=topic,
            readers=self._plan.list_readers(now, topic),
            age_ms=_round_age(self._plan.find_age_ms(topic, now)),
        )

    def _choose_period_ms(self) -> float:
        readers = self._plan.list_readers(self._clock.read())
        if readers[:1] == [self._plan.name]:
            return PRIMARY_PERIOD_MS
        return STANDBY_PERIOD_MS * self._generator.uniform(0.9, 1.0)

    async def _read(self, topic: str, wait_ms: float) -> bool:
        view = self.views[topic]
        start = view.head
        if self._malformed[topic] >= MAX_MALFORMED_RESPONSES:
            start = -1
        timeline_before = view.timeline
        begun_ms = self._clock.read()
        try:
            page = await self._read_page(topic, start, wait_ms)
        except LogTrimmedError as error:
            self._enter_timeline(error.timeline)
            view.head = -1
            return await self._read(topic, wait_ms) if start >= 0 else False
        except LogUnavailableError as error:
            self._enter_timeline(error.timeline)
            self._malformed[topic] += isinstance(error, LogResponseError)
            self._record_unavailable(topic, error)
            return False
        if page.timeline is None:
            self._record_unnamed(topic)
        elif page.timeline < self._timeline:
            self._record_unavailable(topic, self._create_outdated_error(page.timeline))
            return False
        self._enter_timeline(page.timeline)
        if view.timeline != timeline_before and (start >= 0 or page.timeline is None):
            # The offsets belong to another timeline, or to an unknown one.
            return await self._read(topic, wait_ms) if start >= 0 else False
        self._malformed[topic] = 0
        self._record_recovery(topic)
        self._apply_page(self._plan.name, topic, page, 0.0, start < 0)
        self._publish(topic, start, page)
        if view.head >= page.end_offset:
            self.reads[topic].note(begun_ms)
        return True

    async def _read_page(self, topic: str, start: int, wait_ms: float) -> RecordPage:
        """Read records from offset `start`, or all newest ones if it is negative."""
        try:
            if start < 0:
                return await self._source.read_newest(topic)
            return await self._source.read_from(topic, start, wait_ms)
        except (LogTrimmedError, LogUnavailableError):
            raise
        except Exception as error:
            # It would end the task, which would fail again at the same offset.
            raise LogResponseError(
                f"unreadable response: {error!r}", "report the store's response"
            ) from error

    def _enter_timeline(self, timeline: int | None) -> None:
        """Switch to a later timeline of the store, from which nothing was read yet."""
        if timeline is None or timeline <= self._timeline:
            return
        before = self._timeline
        self._timeline = timeline
        self._missing.clear()
        self._entered_ms = self._clock.read()
        restored = [view.enter_timeline(timeline) for view in self.views.values()]
        if not any(restored):
            return
        older_count = sum(len(view.older_records) for view in self.views.values())
        self._events.record(
            Event.LOG_TIMELINE_ENTERED,
            timeline=timeline,
            before=before,
            held=older_count,
        )

    def _create_outdated_error(self, timeline: int) -> LogUnavailableError:
        return LogUnavailableError(
            f"the store responded in timeline {timeline}, older than {self._timeline}",
            "restart the store instance that serves an older copy",
        )

    def _record_unnamed(self, topic: str) -> None:
        """Record a response without a timeline after others had one."""
        if self._timeline == NO_TIMELINE or topic in self._unnamed:
            return
        self._unnamed.add(topic)
        self._events.record(
            Event.LOG_TIMELINE_UNNAMED, topic=topic, timeline=self._timeline
        )

    def _apply_page(
        self, origin: str, topic: str, page: RecordPage, age_ms: float, whole: bool
    ) -> None:
        """Apply records and their age."""
        now = self._clock.read()
        view = self.views[topic]
        gap_ms = self._plan.find_age_ms(topic, now)
        has_just_read = age_ms <= 0
        after_outage = view.needs_full_read or (
            has_just_read and self._ends_outage(origin, topic, gap_ms)
        )
        self._plan.record_age(origin, topic, age_ms, now)
        if origin != self._plan.name:
            self.reads[topic].note_relayed(now - age_ms)
        if whole:
            before = view.records
            is_first = view.head < 0
            if view.would_skip(page):
                self.reads[topic].note_skip()
            view.replace(page)
            changed = is_first or before != view.records
        else:
            changed = bool(view.apply(page))
        self._note_complete(origin, topic)
        if changed:
            source = ChangeSource(origin, _round_age(age_ms), _round_age(gap_ms))
            self._listener(topic, after_outage, source)

    def _ends_outage(self, origin: str, topic: str, gap_ms: float) -> bool:
        """Return whether the store was away until the host `origin` read it.

        A copy also grows old while readers change or messages are lost, so only a host
        that had failed to read meanwhile shows that the store was away.
        """
        since_ms = self._clock.read() - gap_ms
        was_unable = self._plan.has_failed_since(origin, topic, since_ms)
        return gap_ms > OUTAGE_MS and was_unable

    def _publish(self, topic: str, start: int, page: RecordPage) -> None:
        """Publish the records just read, or that nothing has changed."""
        if not self._plan.must_publish(topic, self._clock.read()):
            return
        items = [_pack(record) for record in page.records]
        whole = start < 0
        self._send_updates(
            RecordUpdates(
                self._plan.name,
                topic,
                max(start, 0),
                page.next_offset,
                0.0,
                whole,
                items,
                [],
                self.views[topic].timeline,
                self._list_older_records(topic),
            ),
            self._list_hosts(),
        )

    def _list_older_records(self, topic: str) -> list[RecordItem]:
        """Return older records that hosts started since the restoration may lack."""
        view = self.views[topic]
        if (
            not view.older_records
            or self._clock.read() - self._entered_ms > ANNOUNCE_OLDER_MS
        ):
            return []
        return [_pack(record) for record in view.older_records.values()]

    def _announce_unable(self, topic: str) -> None:
        """Announce that this host cannot read a topic, and how old its copy is."""
        now = self._clock.read()
        head = self.views[topic].head
        if head < 0 or not self._plan.must_publish(topic, now):
            return
        age_ms = self._plan.find_age_ms(topic, now)
        age_ms = min(max(age_ms, MIN_ANNOUNCED_AGE_MS), MAX_AGE_MS)
        timeline = self.views[topic].timeline
        updates = RecordUpdates(
            self._plan.name, topic, head, head, age_ms, False, [], [], timeline
        )
        self._send_updates(updates, self._list_hosts())

    def _send_updates(self, updates: RecordUpdates, names: list[str]) -> None:
        self._broadcaster.broadcast(
            names, lambda targets: replace(updates, targets=targets)
        )

    def _receive_updates(self, sender: str, updates: RecordUpdates) -> None:
        self._send_updates(updates, updates.targets)
        if updates.topic not in self.views or updates.origin == self._plan.name:
            return
        if updates.timeline < self._timeline:
            return
        self._enter_timeline(updates.timeline)
        view = self.views[updates.topic]
        now = self._clock.read()
        if _announces_inability(updates):
            self._plan.record_unable(updates.origin, updates.topic, now)
        if updates.held:
            view.add_older_records(_unpack(item) for item in updates.held)
            self._listener(updates.topic, False, ChangeSource(updates.origin))
        elif updates.topic == CONFIGURATION:
            self._send_older_records(updates.origin)
        if updates.whole and updates.end < view.head:
            return
        if not updates.whole and (view.head < updates.start or view.head < 0):
            self._plan.record_missed(updates.origin, updates.topic, updates.age_ms, now)
            self._note_missing(updates, now)
            self._send_fetch(updates.topic, updates.origin)
            return
        records = [_unpack(item) for item in updates.items]
        page = RecordPage(records, updates.end, updates.end)
        self._apply_page(
            updates.origin, updates.topic, page, updates.age_ms, updates.whole
        )

    def _note_missing(self, updates: RecordUpdates, now: float) -> None:
        """Log the first update that begins after the end of the copy."""
        topic = updates.topic
        head = self.views[topic].head
        if topic in self._missing or head < 0:
            return
        self._missing[topic] = MissingRecords(updates.start, now)
        self._events.record(
            Event.RECORDS_MISSED,
            topic=topic,
            origin=updates.origin,
            head=head,
            start=updates.start,
        )

    def _note_complete(self, origin: str, topic: str) -> None:
        """Log that records have arrived that were missing."""
        missing = self._missing.get(topic)
        head = self.views[topic].head
        if missing is None or head < missing.until:
            return
        del self._missing[topic]
        self._events.record(
            Event.RECORDS_COMPLETED,
            topic=topic,
            origin=origin,
            head=head,
            after_ms=round(self._clock.read() - missing.at_ms, 1),
        )

    def _send_older_records(self, host: str) -> None:
        """Send older records to a reader that may have started during the outage."""
        older_records = self._list_older_records(CONFIGURATION)
        share = OLDER_RECORDS_SENDERS / max(len(self._list_hosts()), 1)
        if not older_records or self._generator.random() > share:
            return
        view = self.views[CONFIGURATION]
        start = max(view.head, 0)
        updates = RecordUpdates(
            self._plan.name,
            CONFIGURATION,
            start,
            start,
            min(self._plan.find_age_ms(CONFIGURATION, self._clock.read()), MAX_AGE_MS),
            False,
            [],
            [],
            view.timeline,
            older_records,
        )
        self._peers.send(host, updates)

    def _receive_fetch(self, sender: str, fetch: RecordFetch) -> None:
        view = self.views.get(fetch.topic)
        if view is None or view.head < 0 or fetch.timeline > view.timeline:
            return
        if fetch.timeline == view.timeline and view.head < fetch.head:
            return
        now = self._clock.read()
        age_ms = self._plan.find_age_ms(fetch.topic, now)
        items = [_pack(record) for record in view.records.values()]
        self._peers.send(
            fetch.host,
            RecordUpdates(
                self._plan.name,
                fetch.topic,
                0,
                view.head,
                min(age_ms, MAX_AGE_MS),
                True,
                items,
                [],
                view.timeline,
                self._list_older_records(fetch.topic),
            ),
        )

    def _fetch_if_stale(self, topic: str) -> None:
        """Fetch from some hosts when no updates have arrived for too long."""
        if not self._plan.is_stale(topic, self._clock.read()):
            return
        others = [name for name in self._list_hosts() if name != self._plan.name]
        chosen = self._generator.sample(others, min(FETCH_HOSTS, len(others)))
        now = self._clock.read()
        if now - self._fetched_ms[topic] < FETCH_PERIOD_MS:
            return
        for name in chosen:
            self._fetched_ms[topic] = float("-inf")
            self._send_fetch(topic, name)

    def _send_fetch(self, topic: str, name: str) -> None:
        now = self._clock.read()
        if now - self._fetched_ms[topic] < FETCH_PERIOD_MS:
            return
        self._fetched_ms[topic] = now
        view = self.views[topic]
        fetch = RecordFetch(self._plan.name, topic, view.head, view.timeline)
        self._peers.send(name, fetch)

    def _record_recovery(self, topic: str) -> None:
        if topic in self._unavailable:
            self._unavailable.discard(topic)
            self._events.record(Event.LOG_RECOVERED, topic=topic)

    def _record_unavailable(self, topic: str, error: LogUnavailableError) -> None:
        if topic not in self._unavailable:
            self._unavailable.add(topic)
            self._events.record(Event.LOG_UNAVAILABLE, topic=topic, error=str(error))
            self._unavailable_listener()


def _announces_inability(updates: RecordUpdates) -> bool:
    """Return whether an update only announces that its host cannot read.

    The age of a read is 0, a copy that was asked for is whole.
    """
    return updates.age_ms > 0 and not (updates.whole or updates.items or updates.held)


def _round_age(age_ms: float) -> float:
    """Return an age to be logged; that of a copy that was never read is infinite."""
    return round(min(age_ms, MAX_AGE_MS), 1)


def _pack(record: Record) -> RecordItem:
    return RecordItem(record.key, zlib.compress(record.value), record.offset)


def _unpack(item: RecordItem) -> Record:
    value = zlib.decompressobj().decompress(item.value, MAX_VALUE_BYTES)
    return Record(item.key, value, item.offset)
