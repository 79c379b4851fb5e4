"""Publish changes and tell what became of them."""

from dataclasses import dataclass

from cornelnotch.configuration.fold import (
    Change,
    ConfigurationState,
    Snapshot,
    choose_snapshot,
    decode_record,
    encode_record,
    fold_record,
)
from cornelnotch.configuration.follower import CONFIGURATION_STREAM
from cornelnotch.exceptions import (
    LogTrimmedError,
    LogUnavailableError,
)
from cornelnotch.kernel import Clock
from cornelnotch.logservice import LogRecord, LogService

__all__ = ["HistoryEntry", "History", "Publication", "publish_change", "read_history"]

SETTLE_ATTEMPTS = 10
SETTLE_PAUSE_MS = 300.0


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """Tell what became of one record."""

    offset: int
    time_ms: float
    kind: str
    change_id: str
    author: str
    accepted: bool
    reason: str


@dataclass(frozen=True, slots=True)
class History:
    """Hold the verdicts on the readable records and the state after them."""

    entries: list[HistoryEntry]
    state: ConfigurationState


@dataclass(frozen=True, slots=True)
class Publication:
    """Tell the offset of a change and whether it was accepted."""

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
    """Fold the readable stream; raise LogUnavailableError."""
    records, earliest = await _read_records(log)
    state = ConfigurationState()
    if earliest > 0:
        decoded = [decode_record(r.body).value_or(None) for r in records]
        snapshots = [d for d in decoded if isinstance(d, Snapshot)]
        state = choose_snapshot(snapshots, earliest) or state
    entries = []
    for record in records:
        content = decode_record(record.body).value_or(None)
        verdict = fold_record(state, record.offset, record.body)
        state = verdict.state
        change = content if isinstance(content, Change) else None
        entries.append(
            HistoryEntry(
                record.offset,
                record.time_ms,
                "snapshot" if isinstance(content, Snapshot) else "change",
                change.change_id if change else "",
                change.author if change else "",
                verdict.accepted,
                str(verdict.error) if verdict.error else "",
            )
        )
    return History(entries, state)


async def publish_change(log: LogService, clock: Clock, change: Change) -> Publication:
    """Append a change and read its verdict back.

    A lost answer is settled by reading; raise LogUnavailableError when the log
    stays silent, ConfigurationError when the change is refused beforehand.
    """
    history = await read_history(log)
    trial = fold_record(history.state, history.state.covers + 1, encode_record(change))
    if trial.error is not None:
        raise trial.error
    body = encode_record(change)
    for _ in range(SETTLE_ATTEMPTS):
        try:
            await log.append(CONFIGURATION_STREAM, body)
        except LogUnavailableError:
            await clock.sleep(SETTLE_PAUSE_MS)
        try:
            history = await read_history(log)
        except LogUnavailableError:
            continue
        for entry in history.entries:
            if entry.change_id == change.change_id:
                return Publication(entry.offset, entry.accepted, entry.reason)
    raise LogUnavailableError(
        "the log did not confirm the change",
        f"look for {change.change_id} with `config history` before publishing again",
    )
