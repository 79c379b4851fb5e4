"""Test that odd records of the log raise only the errors that readers expect."""

import asyncio
from typing import Any

import pytest
from hypothesis import given, strategies as st
from returns.result import Failure

from cornelnotch.claims.ledger import decode_operation, decode_operations
from cornelnotch.configuration.fold import (
    Change,
    ConfigurationState,
    SectionState,
    Snapshot,
    apply_record,
    decode_record,
    encode_record,
    restore_snapshot,
)
from cornelnotch.configuration.follower import ConfigurationFollower
from cornelnotch.configuration.publisher import read_history
from cornelnotch.exceptions import (
    ConfigurationError,
    LogTrimmedError,
    LogUnavailableError,
)
from cornelnotch.kernel import ManualClock, create_event_log
from cornelnotch.logservice import LogPage, LogRecord, LogService
from cornelnotch.testing.odd_input import FUZZ, json_texts

CHANGE = {
    "change_id": "c",
    "base": 3,
    "text": "[place a]\nregion = r\n",
    "author": "me",
}
SNAPSHOT = {"covers": 3, "version": 2, "sections": {}}
SECTION = {"version": 1, "values": {}}
OPERATION = {"op": "outcome", "key": "k", "attempt": "a", "status": 200, "body": "eA=="}


@st.composite
def changes(draw):
    text = draw(json_texts(CHANGE))
    return b'{"kind": "change", "record": ' + text + b"}"


@st.composite
def snapshots(draw):
    text = draw(json_texts(SNAPSHOT))
    section = draw(json_texts(SECTION))
    text = text.replace(b"{}", b'{"place a": ' + section + b"}")
    return b'{"kind": "snapshot", "record": ' + text + b"}"


@FUZZ
@given(changes(), st.integers(0, 2**63))
def test_odd_changes_leave_the_state_valid(body, offset):
    result = apply_record(ConfigurationState(), offset, body)
    assert result.state.covers == offset


@FUZZ
@given(snapshots())
def test_odd_snapshots_raise_only_configuration_errors(body):
    decoded = decode_record(body)
    if isinstance(decoded, Failure):
        return
    snapshot: Any = decoded.unwrap()
    try:
        restore_snapshot(snapshot)
    except ConfigurationError:
        return


class TrimmedLog(LogService):
    """A log whose records before `earliest` have been trimmed."""

    def __init__(self, earliest, bodies):
        self.earliest = earliest
        self.records = [
            LogRecord(earliest + index, 0.0, body) for index, body in enumerate(bodies)
        ]

    async def append(self, stream, body):
        raise LogUnavailableError("read-only", "append elsewhere")

    async def read(self, stream, offset, wait_ms=0.0):
        if offset < self.earliest:
            raise LogTrimmedError(self.earliest)
        end = self.earliest + len(self.records)
        found = [record for record in self.records if record.offset >= offset]
        return LogPage(found, self.earliest, end)


@pytest.mark.parametrize(
    "odd",
    [
        Snapshot(8, 7, {"place a": SectionState(1, {"unknown": "x"})}),
        Snapshot(8, 7, {"odd": SectionState(1, {})}),
        Snapshot(2**62, 2**62, {"place b": SectionState(1, {"region": "r"})}),
    ],
)
def test_odd_snapshot_does_not_hide_the_sound_one(odd):
    async def run():
        sound = Snapshot(5, 5, {"place a": SectionState(1, {"region": "r"})})
        change = Change("c", 5, "[place c]\nregion = r\n", "me")
        bodies = [encode_record(record) for record in (sound, odd, change)]
        log = TrimmedLog(6, [b"{}", b"{}", b"{}", *bodies])
        clock: Any = ManualClock()
        follower = ConfigurationFollower(log, clock, create_event_log("a"), 0.0)
        await follower._rebuild_after_trim(6)
        assert set(follower.state.configuration.places) == {"a", "c"}
        assert follower.snapshot.covers < 10
        history = await read_history(log)
        assert history.entries[-1].accepted

    asyncio.run(run())


@FUZZ
@given(json_texts(OPERATION))
def test_odd_claims_raise_nothing(body):
    decode_operation(body)
    decode_operations(b"[" + body + b"]")
