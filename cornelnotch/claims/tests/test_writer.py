"""Test the claim writer against a log that fails, loses answers and is trimmed."""

import asyncio
from typing import Any

from cornelnotch.claims import (
    ClaimOperation,
    ClaimWriter,
    OperationKind,
    encode_operation,
    encode_operations,
)
from cornelnotch.exceptions import LogTrimmedError, LogUnavailableError
from cornelnotch.kernel import SystemClock, TaskSupervisor, create_event_log
from cornelnotch.logservice import LogPage, LogRecord, LogService
from cornelnotch.wire.messages import ClaimRequest

WAIT_S = 3.0


class FakeLog(LogService):
    """In-memory log with fault injection."""

    def __init__(self):
        self.bodies = []
        self.earliest = 0
        self.lose_answers = 0
        self.down = False
        self.appends = 0

    async def append(self, stream, body):
        if self.down:
            raise LogUnavailableError("down", "wait")
        self.appends += 1
        self.bodies.append(body)
        if self.lose_answers:
            self.lose_answers -= 1
            raise LogUnavailableError("lost", "read")
        return len(self.bodies) - 1

    async def read(self, stream, offset, wait_ms=0.0):
        if self.down:
            raise LogUnavailableError("down", "wait")
        if offset < self.earliest:
            raise LogTrimmedError(self.earliest)
        now = SystemClock().read_wall()
        records = [
            LogRecord(number, now, body)
            for number, body in enumerate(self.bodies)
            if number >= offset
        ]
        return LogPage(records, self.earliest, len(self.bodies))


class FakePeers:
    """Peer network that records sent messages."""

    name = "h"

    def __init__(self):
        self.receivers = {}
        self.answers: asyncio.Queue[Any] = asyncio.Queue()

    def subscribe(self, kind, receiver):
        self.receivers[kind] = receiver

    def send(self, host, message):
        self.answers.put_nowait(message)

    async def ask(self, operation, timeout_ms=1000.0):
        ask = ClaimRequest("ask", "h", 0, encode_operation(operation), timeout_ms)
        self.receivers[ClaimRequest]("h", ask)
        return await asyncio.wait_for(self.answers.get(), WAIT_S)


def create_claim(key, attempt):
    return ClaimOperation(OperationKind.CLAIM, key, attempt, "f")


def run_scenario(scenario):
    async def prepare():
        log = FakeLog()
        peers: Any = FakePeers()
        events = create_event_log("test")
        tasks = TaskSupervisor(events)
        clock = SystemClock()
        writer = ClaimWriter(log, clock, events, peers, tasks, 3_600_000.0)
        try:
            await scenario(log, peers, writer)
        finally:
            await tasks.stop()

    asyncio.run(prepare())


def test_first_claim_wins_and_second_needs_no_append():
    async def scenario(log, peers, writer):
        assert (await peers.ask(create_claim("k", "a"))).state == "won"
        assert (await peers.ask(create_claim("k", "b"))).state == "lost"
        assert log.appends == 1

    run_scenario(scenario)


def test_lost_append_answer_is_resolved_by_reading_log():
    async def scenario(log, peers, writer):
        log.lose_answers = 1
        assert (await peers.ask(create_claim("k", "a"))).state == "won"
        assert log.appends == 1

    run_scenario(scenario)


def test_claim_appended_before_writer_reads_wins():
    async def scenario(log, peers, writer):
        log.bodies.append(encode_operations([create_claim("k", "other")]))
        assert (await peers.ask(create_claim("k", "a"))).state == "lost"

    run_scenario(scenario)


def test_unavailable_log_is_reported_at_once():
    async def scenario(log, peers, writer):
        log.down = True
        started = SystemClock().read()
        assert (
            await peers.ask(create_claim("k", "a"), 60_000.0)
        ).state == "unavailable"
        assert SystemClock().read() - started < 1000.0

    run_scenario(scenario)


def test_repeat_receives_answer_read_from_log():
    async def scenario(log, peers, writer):
        await peers.ask(create_claim("k", "a"))
        outcome = ClaimOperation(
            OperationKind.OUTCOME, "k", "a", "", 200, "text/plain", b"booked"
        )
        assert (await peers.ask(outcome)).state == "kept"
        answer = await peers.ask(create_claim("k", "b"))
        assert answer.state == "answered"
        assert b"Ym9va2Vk" in answer.outcome

    run_scenario(scenario)


def test_trimmed_stream_is_reread_from_its_start():
    async def scenario(log, peers, writer):
        await peers.ask(create_claim("k", "a"))
        log.earliest = 1
        writer.streams[0]._position = 0
        assert (await peers.ask(create_claim("l", "b"))).state == "won"

    run_scenario(scenario)


def test_standby_reads_stream_before_first_request():
    async def scenario(log, peers, writer):
        log.bodies.append(encode_operations([create_claim("k", "other")]))
        writer.catch_up([0])
        await asyncio.wait_for(peers.answers.get(), WAIT_S)
        assert writer.streams[0].ledger.find_claim("k") is not None
        assert log.appends == 0

    run_scenario(scenario)
