"""Test what is stored of the evidence of crashes, and how it is read back."""

import asyncio

import msgspec
import pytest

from cornelnotch.crashes.log import (
    MAX_NAME_BYTES,
    StoredCrash,
    StoredCrashes,
    StoredParts,
    create_notice,
    create_stored_crashes,
)
from cornelnotch.exceptions import LogUnavailableError
from cornelnotch.gateway.crash_evidence import CrashEvidence
from cornelnotch.platform.store import CRASHES_KEY, CRASHES_TOPIC, PlatformStore
from cornelnotch.standins.store import StoreStandin
from cornelnotch.web import HttpClient
from cornelnotch.wire.messages import BlamedParts, CrashEvidenceNotice, CrashReport

STORED = StoredCrashes(
    1e12,
    [StoredCrash("s1", 7, 12.5, ["bad"], ["known"])],
    [StoredParts(["bad"], confirmed=True)],
)
MAX_RECORD_BYTES = 262_144


def run_with_store(scenario):
    async def run():
        store = StoreStandin()
        await store.start()
        client = HttpClient()
        try:
            await scenario(store, PlatformStore(store.address, client))
        finally:
            client.close()
            await store.stop()

    asyncio.run(run())


def test_the_last_record_is_read_back_until_it_is_deleted():
    async def scenario(store, log):
        position = await log.read_crashes()
        assert (position.crashes, position.is_malformed) == (None, False)
        end = await log.write_crashes(STORED, position.end_offset)
        assert (await log.read_crashes()).crashes == STORED
        assert await log.write_crashes(None, end) == end + 1
        assert (await log.read_crashes()).crashes is None

    run_with_store(scenario)


def test_a_write_after_another_one_is_refused():
    """Guards against a late write that replaces a newer one."""

    async def scenario(store, log):
        assert await log.write_crashes(STORED, 0) == 1
        assert await log.write_crashes(None, 0) is None
        assert (await log.read_crashes()).crashes == STORED

    run_with_store(scenario)


@pytest.mark.parametrize(
    "value",
    [
        b"\xc1",
        b"\x90",
        b"\x91" * 10_000,
        msgspec.msgpack.encode(
            {"written_ms": float("inf"), "crashes": [], "blamed": []}
        ),
        msgspec.msgpack.encode({"written_ms": 1.0, "crashes": [3], "blamed": []}),
        msgspec.msgpack.encode({"written_ms": 1.0, "crashes": [], "blamed": [{}]}),
    ],
)
def test_a_malformed_record_counts_as_none(value):
    async def scenario(store, log):
        store.topics[CRASHES_TOPIC].write(CRASHES_KEY, value)
        position = await log.read_crashes()
        assert (position.crashes, position.is_malformed) == (None, True)

    run_with_store(scenario)


def test_a_record_of_a_later_build_is_read():
    """Guards against builds side by side of which one adds fields."""

    async def scenario(store, log):
        fields = msgspec.to_builtins(STORED)
        fields["more"] = 1
        fields["crashes"][0]["more"] = 1
        value = msgspec.msgpack.encode(fields)
        store.topics[CRASHES_TOPIC].write("of-a-later-build", b"x")
        store.topics[CRASHES_TOPIC].write(CRASHES_KEY, value)
        assert (await log.read_crashes()).crashes == STORED

    run_with_store(scenario)


def test_a_store_that_is_down_raises_an_error():
    async def scenario(store, log):
        store.fault = "busy"
        with pytest.raises(LogUnavailableError):
            await log.read_crashes()
        with pytest.raises(LogUnavailableError):
            await log.write_crashes(STORED, 0)

    run_with_store(scenario)


def test_the_record_is_bounded_and_keeps_the_latest_evidence():
    """Guards against callers whose parts have long names."""
    names = ["x" * 16_000 + str(number) for number in range(40)]
    reports = [CrashReport(f"s{n}", 1, 1.0, [names[n]], []) for n in range(40)]
    blamed = [BlamedParts([name], confirmed=True) for name in names]
    stored = create_stored_crashes(CrashEvidenceNotice(reports, [], blamed), 1e12)
    assert stored is not None
    assert stored.blamed[-1].parts == names[-1:]
    size = len(msgspec.msgpack.encode(stored))
    assert MAX_NAME_BYTES / 2 < size < MAX_RECORD_BYTES


def test_nothing_is_stored_of_parts_that_were_at_one_crash():
    """Guards against a write for each crash of a server."""
    evidence = CrashEvidence()
    evidence.record_crash("s1", 1, [("a", "b")], 0.0)
    assert create_stored_crashes(evidence.create_snapshot(1.0), 1e12) is None


def test_restored_evidence_is_what_was_stored():
    before, after = CrashEvidence(), CrashEvidence()
    for number in range(5):
        now = 2000.0 * number
        before.record_crash(f"s{number}", 1, [("bad",), (f"own-{number}",)], now)
    before.record_crash("s9", 1, [("request",)], 9000.0)
    before.record_crash("s10", 1, [("request",)], 9500.0)
    stored = create_stored_crashes(before.create_snapshot(10_000.0), 1e12)
    assert stored is not None
    after.restore(create_notice(stored, 500.0), 10_500.0)
    assert after.list_blamed(["bad"]) == before.list_blamed(["bad"])
    assert after.is_suspected(["request"]) and not after.list_blamed(["request"])
    assert not after.is_suspected(["own-1"])
    assert create_stored_crashes(after.create_snapshot(10_500.0), 1e12) is not None
