"""Test the steps in which a stream passes from its silent server to the next one."""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from cornelnotch.exceptions import StreamKeptError, UpstreamStalledError
from cornelnotch.gateway.models import ServerRecord
from cornelnotch.gateway.placement import Placement
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.gateway.stream_search import StreamSearch
from cornelnotch.runs import Handover, RequestRuns
from cornelnotch.runs.event_reader import EventReader
from cornelnotch.testing.virtual_time import run_in_virtual_time

FIRST, NEXT = "first", "next"
STALL_S = 1.0
ANSWER_S = 0.1
# Shorter than the time for which two servers may have a stream.
REFUSAL_S = 0.15
LATE_S = 0.4
EVENT = b"id: 4\ndata: x\n\n"


def read_ms():
    return asyncio.get_running_loop().time() * 1000.0


class SilentResponse:
    """Response of the silent server, which sends `data` at `at_s`, or never."""

    def __init__(self, data=None, at_s=0.0):
        self.taken = asyncio.Event()
        self.is_closed = False
        self._data = data
        self._at_s = at_s

    async def read_chunk(self):
        if self._data is None:
            await asyncio.Event().wait()
        await asyncio.sleep(self._at_s - read_ms() / 1000.0)
        self.taken.set()
        return self._data

    def is_complete(self):
        return self.taken.is_set() and not self._data

    def close(self):
        self.is_closed = True


class ScriptedSearch:
    """Search that follows `script`; `found` is what it may find."""

    def __init__(self, script):
        self._script = script
        self.handover: Any = None
        self.runs: Any = None
        self.discarded: list[bool] = []
        self.found = SimpleNamespace(discard=lambda: self.discarded.append(True))
        self.claims = 0

    def must_leave(self):
        return False

    def may_start(self):
        return True

    def may_leave(self):
        return True

    def claim(self):
        """Send the stream to the next server; return whether it was."""
        try:
            self.handover.claim()
        except StreamKeptError:
            return False
        self.runs.claim(NEXT, copied=True)
        self.claims += 1
        return True

    def refuse(self):
        """Have the next server prove that it did not run the stream."""
        self.runs.release(NEXT)
        self.handover.give_back()

    async def run(self):
        self.handover.begin()
        try:
            return await self._script(self)
        finally:
            self.handover.end()


def create_reader(response: Any, search: Any, may_repeat=False):
    clock: Any = SimpleNamespace(read=read_ms)
    in_flight = InFlightRequest("a", read_ms(), 0, 1)
    in_flight.first_ms = read_ms()
    search.runs = RequestRuns(may_repeat=may_repeat)
    search.runs.claim(FIRST)
    search.handover = Handover(
        search.runs, FIRST, in_flight, response, lambda *a, **f: None, lambda o: None
    )
    return EventReader(response, in_flight, clock, STALL_S, search)


async def pause(steps):
    """Let the event loop take a number of steps."""
    for _ in range(steps):
        await asyncio.sleep(0)


async def forward(reader):
    """Read like the flow of a request; return the replacement it takes."""
    try:
        await reader.read()
        return None
    except UpstreamStalledError:
        return reader.take_replacement()
    finally:
        await reader.stop_search()


# Guards against a stream that is sent to its copy between the read of its silent
# server's bytes and their forwarding, after which both servers run it.
@pytest.mark.parametrize("steps", range(10))
def test_no_search_claims_a_stream_whose_bytes_are_about_to_be_forwarded(steps):
    async def run():
        response = SilentResponse(EVENT, 2 * STALL_S)

        async def script(search):
            await response.taken.wait()
            await pause(steps)
            if not search.claim():
                return None
            await asyncio.sleep(ANSWER_S)
            return search.found

        search = ScriptedSearch(script)
        reader = create_reader(response, search)
        try:
            data = await reader.read()
        except UpstreamStalledError:
            data = b""
        await asyncio.sleep(ANSWER_S)
        await reader.stop_search()
        assert bool(search.claims) is (data == b"")

    run_in_virtual_time(run())


# Guards against a stream that is never moved as its server sends parts of events.
@pytest.mark.parametrize("steps", range(10))
def test_stream_that_may_be_repeated_is_sent_on_while_parts_of_events_come(steps):
    async def run():
        response = SilentResponse(b"d", 2 * STALL_S)

        async def script(search):
            await response.taken.wait()
            await pause(steps)
            search.claim()

        search = ScriptedSearch(script)
        reader = create_reader(response, search, may_repeat=True)
        assert await reader.read() == b"d"
        await asyncio.sleep(ANSWER_S)
        assert search.claims == 1

    run_in_virtual_time(run())


# Guards against events of the silent server that the caller gets although the next one
# may run the stream.
def test_bytes_after_the_claim_are_dropped_if_the_copy_answers_late():
    async def script(search):
        assert search.claim()
        await asyncio.sleep(LATE_S)
        return search.found

    async def run():
        response = SilentResponse(EVENT, STALL_S + 0.05)
        search = ScriptedSearch(script)
        assert await forward(create_reader(response, search)) is search.found
        assert response.is_closed

    run_in_virtual_time(run())


# Guards against an event that goes missing as it was held back.
def test_bytes_that_were_held_back_reach_the_caller_if_the_copy_refuses():
    async def script(search):
        assert search.claim()
        await asyncio.sleep(REFUSAL_S)
        search.refuse()

    async def run():
        response = SilentResponse(EVENT, STALL_S + 0.05)
        assert await create_reader(response, ScriptedSearch(script)).read() == EVENT
        assert read_ms() / 1000.0 == pytest.approx(STALL_S + REFUSAL_S)

    run_in_virtual_time(run())


def test_stream_that_ended_at_its_server_is_whole_if_the_copy_refuses_late():
    async def script(search):
        assert search.claim()
        await asyncio.sleep(LATE_S)
        search.refuse()

    async def run():
        response = SilentResponse(b"", STALL_S + REFUSAL_S)
        assert await create_reader(response, ScriptedSearch(script)).read() == b""

    run_in_virtual_time(run())


# Guards against a server that works on for nobody, and counts as silent later.
@pytest.mark.parametrize("steps", range(8))
def test_found_response_is_closed_or_taken_when_the_caller_leaves(steps):
    async def run():
        answered = asyncio.Event()

        async def script(search):
            assert search.claim()
            await asyncio.sleep(ANSWER_S)
            answered.set()
            return search.found

        search = ScriptedSearch(script)
        task = asyncio.create_task(forward(create_reader(SilentResponse(), search)))
        await answered.wait()
        await pause(steps)
        task.cancel()
        await asyncio.wait({task})
        is_taken = not task.cancelled() and task.result() is search.found
        assert is_taken is not bool(search.discarded)

    run_in_virtual_time(run())


@pytest.mark.parametrize("steps", [1, 2, 3])
def test_found_response_is_closed_when_the_end_of_a_search_is_cancelled(steps):
    async def script(search):
        return search.found

    async def run():
        search = ScriptedSearch(script)
        reader = create_reader(SilentResponse(), search, may_repeat=True)
        reader._start_search()
        await asyncio.sleep(ANSWER_S)
        task = asyncio.create_task(reader.stop_search())
        await pause(steps)
        task.cancel()
        await asyncio.wait({task})
        await asyncio.sleep(ANSWER_S)
        assert search.discarded

    run_in_virtual_time(run())


# Guards against a copy that is run for a caller that has left.
@pytest.mark.parametrize("steps", range(5))
def test_no_search_claims_a_stream_whose_caller_has_left(steps):
    async def run():
        has_left = asyncio.Event()

        async def script(search):
            await has_left.wait()
            await pause(steps)
            search.claim()

        search = ScriptedSearch(script)
        task = asyncio.create_task(forward(create_reader(SilentResponse(), search)))
        await asyncio.sleep(2 * STALL_S)
        task.cancel()
        has_left.set()
        await asyncio.wait({task})
        assert not search.claims

    run_in_virtual_time(run())


def create_view(name):
    return ServerView(ServerRecord(name, "llm", "127.0.0.1:5", "a", 8))


class SearchedFlow(SimpleNamespace):
    """Flow of a stream that may be repeated, whose host connects to `asked` servers."""

    def __init__(self, tokens):
        super().__init__(
            excluded=set(),
            limit_ms=float("inf"),
            backup=None,
            service="llm",
            asked=[],
            dispatcher=SimpleNamespace(runs=RequestRuns(may_repeat=True)),
            crash_guard=SimpleNamespace(may_dispatch=lambda has_run: True),
            timing=SimpleNamespace(may_move=lambda *values: True),
            splitter=SimpleNamespace(count=3),
            context=SimpleNamespace(
                clock=SimpleNamespace(read=read_ms),
                drain=SimpleNamespace(has_started=False),
                metrics=SimpleNamespace(count_stream_move=lambda outcome: None),
                find_retry_budget=lambda service: SimpleNamespace(
                    try_acquire=lambda now: tokens.append(now) or True
                ),
            ),
        )

    def record_event(self, event, **fields):
        """Log nothing."""

    def place(self):
        return Placement(create_view(f"s{len(self.asked)}"), 0.0, 0, 1)

    def start_in_flight_request(self, placement):
        return InFlightRequest("a", 0.0, 0, 1)

    def finish_in_flight_request(self, placement, in_flight):
        """Count nothing."""

    async def open(self, placement, in_flight, hooks):
        self.asked.append(placement.server.record.name)
        await asyncio.sleep(ANSWER_S)
        hooks.claim()


class AdmittedSearch(StreamSearch):
    """Search whose servers admit the stream."""

    async def _is_admitted(self, view, in_flight):
        return True

    def must_leave(self):
        return False

    def _may_dispatch_again(self):
        return True


# Guards against a retry budget that is used up for a stream that stays where it is.
def test_search_ends_at_the_first_server_if_the_stream_stays():
    async def run():
        tokens: list[float] = []
        flow: Any = SearchedFlow(tokens)
        in_flight = InFlightRequest("a", 0.0, 0, 1)
        response: Any = SilentResponse()
        search = AdmittedSearch(flow, create_view(FIRST), in_flight, response)
        task = asyncio.create_task(search.run())
        await asyncio.sleep(ANSWER_S / 2)
        in_flight.record_events(1, read_ms())
        assert await task is None
        assert (len(tokens), flow.asked) == (1, ["s0"])

    run_in_virtual_time(run())
