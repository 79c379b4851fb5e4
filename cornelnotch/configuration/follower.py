"""Read the configuration stream and maintain the newest state."""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Success

from cornelnotch.configuration.fold import (
    ConfigurationState,
    Snapshot,
    apply_record,
    choose_snapshot,
    create_snapshot,
    decode_record,
    decode_snapshot,
    encode_record,
    restore_snapshot,
)
from cornelnotch.exceptions import (
    CornelnotchError,
    LogTrimmedError,
    LogUnavailableError,
)
from cornelnotch.kernel import Clock, Event, EventLog
from cornelnotch.logservice import LogPage, LogService

__all__ = ["CONFIGURATION_STREAM", "ConfigurationFollower"]

CONFIGURATION_STREAM = "configuration"
RETRY_MS = 250.0
NEVER_READ_MS = float("-inf")

Listener = Callable[[ConfigurationState], None]


@dataclass(slots=True)
class SnapshotInfo:
    """Covered offset and time in ms of the newest snapshot in the stream."""

    covers: int = -1
    time_ms: float = 0.0


class ConfigurationFollower:
    """The configuration state of one host; its version never decreases."""

    def __init__(
        self, log: LogService, clock: Clock, events: EventLog, poll_ms: float
    ) -> None:
        self.state = ConfigurationState()
        self.log_read_ms = NEVER_READ_MS
        self.snapshot = SnapshotInfo()
        self.oldest_record_ms: float | None = None
        self.earliest = 0
        self._log = log
        self._clock = clock
        self._events = events
        self._poll_ms = poll_ms
        self._position = 0
        self._listeners: list[Listener] = []
        self._available = True

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` with each newer state."""
        self._listeners.append(listener)

    def find_log_age_ms(self) -> float:
        """Return the time since the log was last read, in ms."""
        return self._clock.read() - self.log_read_ms

    async def run(self) -> None:
        """Read the stream until cancelled."""
        while True:
            try:
                await self._read_once()
                self._set_available(True)
            except LogTrimmedError as error:
                await self._rebuild_after_trim(error.earliest)
            except LogUnavailableError:
                self._set_available(False)
                await self._clock.sleep(RETRY_MS)

    async def _read_once(self) -> None:
        wait_ms = self._poll_ms if self.log_read_ms != NEVER_READ_MS else 0.0
        page = await self._log.read(CONFIGURATION_STREAM, self._position, wait_ms)
        self.log_read_ms = self._clock.read()
        self._fold_page(page)
        self._update_bounds(page)

    def _fold_page(self, page: LogPage) -> None:
        state = self.state
        for record in page.records:
            self._update_newest_snapshot(record.offset, record.time_ms, record.body)
            result = apply_record(state, record.offset, record.body)
            state = result.state
            self._position = record.offset + 1
            if result.error is not None:
                self._events.record(
                    Event.CONFIGURATION_REJECTED,
                    offset=record.offset,
                    reason=result.error,
                )
        self._replace_state(state)

    def _update_bounds(self, page: LogPage) -> None:
        self.earliest = page.earliest
        if page.records and page.records[0].offset == page.earliest:
            self.oldest_record_ms = page.records[0].time_ms

    def _update_newest_snapshot(self, offset: int, time_ms: float, body: bytes) -> None:
        snapshot = decode_snapshot(offset, body)
        if snapshot is not None and snapshot.covers > self.snapshot.covers:
            self.snapshot = SnapshotInfo(snapshot.covers, time_ms)

    async def _rebuild_after_trim(self, earliest: int) -> None:
        """Rebuild the state from the newest usable snapshot and later records."""
        self.earliest = earliest
        snapshots: list[Snapshot] = []
        records = []
        position = earliest
        try:
            while True:
                page = await self._log.read(CONFIGURATION_STREAM, position)
                for record in page.records:
                    snapshot = decode_snapshot(record.offset, record.body)
                    if snapshot is not None:
                        snapshots.append(snapshot)
                    self._update_newest_snapshot(
                        record.offset, record.time_ms, record.body
                    )
                    records.append(record)
                    position = record.offset + 1
                if position >= page.end:
                    break
        except (LogTrimmedError, LogUnavailableError):
            await self._clock.sleep(RETRY_MS)
            return
        self.log_read_ms = self._clock.read()
        self._position = position
        if self.state.covers >= earliest - 1:
            base: ConfigurationState | None = self.state
        else:
            base = choose_snapshot(snapshots, earliest)
        if base is None or base.covers < self.state.covers:
            base = self.state
        if base.covers < earliest - 1:
            # Without a usable snapshot, the trimmed records are known only to peers.
            return
        for record in records:
            base = apply_record(base, record.offset, record.body).state
        self._replace_state(base)

    def install_snapshot(self, body: bytes) -> None:
        """Replace the state by a peer's snapshot if that is newer."""
        decoded = decode_record(body)
        if not isinstance(decoded, Success):
            return
        snapshot = decoded.unwrap()
        if not isinstance(snapshot, Snapshot) or snapshot.covers <= self.state.covers:
            return
        try:
            state = restore_snapshot(snapshot)
        except CornelnotchError as error:
            self._events.record(Event.PEER_MESSAGE_REFUSED, error=error)
            return
        self._events.record(Event.CONFIGURATION_BOOTSTRAPPED, version=state.version)
        self._replace_state(state)

    def encode_state(self) -> bytes:
        """Return the state as a snapshot record."""
        return encode_record(create_snapshot(self.state))

    async def append_snapshot(self) -> None:
        """Append the state to the stream as a snapshot.

        Raise LogUnavailableError on failure.
        """
        covers = self.state.covers
        await self._log.append(CONFIGURATION_STREAM, self.encode_state())
        self._events.record(Event.SNAPSHOT_WRITTEN, covers=covers)

    def _replace_state(self, state: ConfigurationState) -> None:
        if state.covers <= self.state.covers or state.version < self.state.version:
            return
        newer = state.version > self.state.version
        self.state = state
        if newer:
            self._events.record(Event.CONFIGURATION_APPLIED, version=state.version)
            for listener in self._listeners:
                listener(state)

    def _set_available(self, available: bool) -> None:
        if available == self._available:
            return
        self._available = available
        event = Event.LOG_RECOVERED if available else Event.LOG_UNAVAILABLE
        self._events.record(event, stream=CONFIGURATION_STREAM)
