"""Test calls to the platform's API, and the records of the duties in the store."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from cornelnotch.duties.claims import StoredClaim
from cornelnotch.duties.models import CallOutcome, Claim, UsageWindow
from cornelnotch.duties.windows import WrittenWindow
from cornelnotch.exceptions import LogUnavailableError
from cornelnotch.platform.duty_api import DutyApi, PlatformUsageApi, classify_status
from cornelnotch.platform.duty_store import TOPIC, PlatformDutyStore
from cornelnotch.platform.store import PlatformStore
from cornelnotch.standins.duty_api import DutyApiStandin
from cornelnotch.standins.store import StoreStandin
from cornelnotch.web import HttpClient

CLAIM = Claim("host-1", 2**32 + 5, 1)
USAGE = UsageWindow(7, {"beta": 2, "acme": 1})
STORED = StoredClaim("host-1", 1, 2**32 + 5, 1, 3)


@asynccontextmanager
async def run_api(**options):
    standin = DutyApiStandin(**options)
    await standin.start()
    try:
        yield standin, PlatformUsageApi(DutyApi(standin.address, HttpClient()))
    finally:
        await standin.stop()


@asynccontextmanager
async def run_store():
    standin = StoreStandin()
    await standin.start()
    try:
        client = HttpClient()
        yield standin, PlatformDutyStore(PlatformStore(standin.address, client))
    finally:
        await standin.stop()


def test_a_report_carries_the_holder_and_its_token():
    async def scenario():
        async with run_api() as (standin, api):
            outcome = await api.report_usage(CLAIM, USAGE, lambda: True)
            assert outcome is CallOutcome.ACCEPTED
            (call,) = standin.accepted
            assert (call.holder, call.token) == ("host-1", 2**32 + 5)
            assert call.content == {"window_id": 7, "counts": {"acme": 1, "beta": 2}}
            older = Claim("host-2", 2**32 + 4, 1)
            outcome = await api.report_usage(older, USAGE, lambda: True)
            assert outcome is CallOutcome.CONFLICT

    asyncio.run(scenario())


# Guards against a call that was ready when its host was suspended beyond the lease.
def test_nothing_is_sent_once_the_claim_has_ended():
    async def scenario():
        received = bytearray()
        connected = asyncio.Event()

        async def accept(reader, writer):
            connected.set()
            received.extend(await reader.read())
            writer.close()

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        checks = []

        def is_current():
            checks.append(True)
            return False

        api = PlatformUsageApi(DutyApi(address, HttpClient()))
        outcome = await api.report_usage(CLAIM, USAGE, is_current)
        assert outcome is CallOutcome.UNANSWERED
        await asyncio.wait_for(connected.wait(), 2.0)
        await asyncio.sleep(0.1)
        assert checks == [True]
        assert not received
        server.close()

    asyncio.run(scenario())


# Guards against reports that wait for ever for an API that accepts connections only.
def test_a_silent_api_leaves_a_call_unanswered():
    async def scenario():
        async with run_api() as (standin, api):
            standin.is_silent = True
            outcome = await api.report_usage(CLAIM, USAGE, lambda: True)
            assert outcome is CallOutcome.UNANSWERED

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("status", "outcome"),
    [
        (200, CallOutcome.ACCEPTED),
        (204, CallOutcome.ACCEPTED),
        (400, CallOutcome.REJECTED),
        (409, CallOutcome.CONFLICT),
        (429, CallOutcome.BUSY),
        (503, CallOutcome.UNANSWERED),
    ],
)
def test_statuses_are_classified(status, outcome):
    assert classify_status(status) is outcome


# Guards against a claim that is taken over although another host has written.
def test_an_append_succeeds_only_at_the_end_of_the_log():
    async def scenario():
        async with run_store() as (_, store):
            first = await store.append_claim(STORED, 0)
            assert (first.is_written, first.end_offset, first.timeline) == (True, 1, 1)
            second = await store.append_claim(STORED, 0)
            assert (second.is_written, second.end_offset) == (False, 1)
            window = WrittenWindow(UsageWindow(9, {"acme": 4}), 1)
            assert (await store.append_window(window, 1)).is_written
            found = await store.read()
            assert found.log.claim == STORED
            assert found.log.end_offset == 2
            assert found.windows == [window]

    asyncio.run(scenario())


# Guards against a fleet without duties because of records that it did not write.
@pytest.mark.parametrize(
    "value",
    [
        b"\xff\xfe",
        b"[]",
        b"[" * 100_000,
        b'{"host": 7}',
        b'{"host": "a", "boot_ms": 1, "token": -1, "timeline": 1}',
        b'{"host": "a", "boot_ms": 1, "token": 1e99, "timeline": 1}',
        b'{"window": 3, "counts": {"acme": -4}, "timeline": 1}',
    ],
)
def test_malformed_records_are_counted_and_left_out(value):
    async def scenario():
        async with run_store() as (standin, store):
            topic = standin.topics[TOPIC]
            topic.write("holder", value)
            topic.write("window/3", value)
            topic.write("note", b"of someone else")
            found = await store.read()
            assert found.log.claim is None
            assert found.windows == []
            assert found.malformed == 2

    asyncio.run(scenario())


# Guards against claims in a timeline that the host does not know.
def test_responses_without_a_timeline_are_not_used():
    async def scenario():
        async with run_store() as (standin, store):
            await store.read()
            standin.timeline = ""
            with pytest.raises(LogUnavailableError):
                await store.read()
            with pytest.raises(LogUnavailableError):
                await store.append_claim(STORED, 0)

    asyncio.run(scenario())


# Guards against duties that nobody holds where a store does not name its timeline.
def test_a_store_that_never_names_a_timeline_is_in_its_first():
    async def scenario():
        async with run_store() as (standin, store):
            standin.timeline = ""
            assert (await store.append_claim(STORED, 0)).timeline == 0
            assert (await store.read()).log.timeline == 0

    asyncio.run(scenario())
