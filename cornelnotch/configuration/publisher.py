"""Publish changes and report whether they were accepted."""

from dataclasses import dataclass

from cornelnotch.configuration.fold import (
    Change,
    ConfigurationState,
    Snapshot,
    apply_record,
    choose_snapshot,
    decode_record,
    decode_snapshot,
    encode_record,
)
from cornelnotch.configuration.follower import CONFIGURATION_STREAM
from cornelnotch.exceptions import (
    LogTrimmedError,
    LogUnavailableError,
)
from cornelnotch.kernel import Clock
from cornelnotch.logservice import LogRecord, LogService

__all__ = ["History", "HistoryEntry", "PublishResult", "publish_change", "read_history"]

CONFIRM_ATTEMPTS = 10
CONFIRM_RETRY_MS = 300.0


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One record of the stream and whether it was accepted."""

    offset: int
    time_ms: float
    kind: str
    change_id: str
    author: str
    accepted: bool
    reason: str


@dataclass(frozen=True, slots=True)
class History:
    """The readable records with their results, and the state after them."""

    entries: list[HistoryEntry]
    state: ConfigurationState


@dataclass(frozen=True, slots=True)
class PublishResult:
    """The offset of a published change and whether it was accepted."""

    offset: int
    accepted: bool
    reason: str


async def _read_records(log: LogService) -> tuple[list[LogRecord], int]:
    records: list[LogRecord] = []
    position = 0
    earliest = 0
    while True:
        try:
            page = await log.read(CONFIGURATION_STREAM, position)
        except LogTrimmedError as error:
            records, position, earliest = [], error.earliest, error.earliest
            continue
        records += page.records
        position = records[-1].offset + 1 if records else earliest
        if position >= page.end:
            return records, earliest


async def read_history(log: LogService) -> History:
    """Return the history of the configuration stream, as far as it is readable.

    Raise LogUnavailableError if the log service does not respond.
    """
    records, earliest = await _read_records(log)
    state = ConfigurationState()
    if earliest > 0:
        decoded = [decode_snapshot(r.offset, r.body) for r in records]
        snapshots = [snapshot for snapshot in decoded if snapshot is not None]
        state = choose_snapshot(snapshots, earliest) or state
    entries = []
    for record in records:
        content = decode_record(record.body).value_or(None)
        result = apply_record(state, record.offset, record.body)
        state = result.state
        change = content if isinstance(content, Change) else None
        entries.append(
            HistoryEntry(
                record.offset,
                record.time_ms,
                "snapshot" if isinstance(content, Snapshot) else "change",
                change.change_id if change else "",
                change.author if change else "",
                result.accepted,
                str(result.error) if result.error else "",
            )
        )
    return History(entries, state)


async def publish_change(
    log: LogService, clock: Clock, change: Change
) -> PublishResult:
    """Append a change and read back whether it was accepted.

    Reading also shows whether an append landed whose response was lost. Raise
    LogUnavailableError if the log does not confirm the change, ConfigurationError if
    the change is already invalid against the current state.
    """
    history = await read_history(log)
    preview = apply_record(
        history.state, history.state.covers + 1, encode_record(change)
    )
    if preview.error is not None:
        raise preview.error
    body = encode_record(change)
    for _ in range(CONFIRM_ATTEMPTS):
        try:
            await log.append(CONFIGURATION_STREAM, body)
        except LogUnavailableError:
            await clock.sleep(CONFIRM_RETRY_MS)
        try:
            history = await read_history(log)
        except LogUnavailableError:
            continue
        for entry in history.entries:
            if entry.change_id == change.change_id:
                return PublishResult(entry.offset, entry.accepted, entry.reason)
    raise LogUnavailableError(
        "the log did not confirm the change",
        f"search `config history` for {change.change_id} before publishing again",
    )
