"""Test streams that go on at another server while the first one may still run them."""

import asyncio

import pytest

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.retry_after import estimate_caller_timeout_ms
from cornelnotch.gateway.tests.conftest import wait_until
from cornelnotch.gateway.tests.test_backups import (
    COMPLETE_BODY,
    create_route,
    run_scenario,
    send,
)
from cornelnotch.gateway.timeouts import find_copy_timeout_s, find_max_gap_s
from cornelnotch.kernel.events import Event

STALL_AFTER = 3
# Silences of a server; streams of the test route are sent to their copies after 1.6 s.
SHORT_SILENCE_MS = 1450.0
LONG_SILENCE_MS = 1850.0
EVENT_MS = 40.0
SLOW_ANSWER_MS = 800.0
SLOW_CONNECT_S = 0.5
SLOW_REFUSAL_S = 0.4
# Two servers may have such a stream for less than this.
MAX_TWO_SERVERS_S = 0.4


def note_events(d):
    """Return the list to which all later events of the host are added."""
    noted = []
    record = d.host.context.events.record

    def note(event, **fields):
        noted.append((event, fields))
        record(event, **fields)

    d.host.context.events.record = note
    return noted


async def begin_silent_chat(d, silence_ms):
    """Begin a stream whose server falls silent; return both servers and the reply."""
    for engine in d.engines:
        engine.faults.event_ms = EVENT_MS
        engine.faults.stall_after_events = STALL_AFTER
        engine.faults.stall_ms = silence_ms
    reply = await send(d, "chat")
    running = next(e for e in d.engines if e.executions["chat"])
    other = next(e for e in d.engines if e is not running)
    return running, other, reply


def find_requests(server):
    """Return the heads of the requests with which the stream came to a server."""
    return [h for h in server.received_headers if h["x-attempt-id"] == "chat"]


def connect_slowly(d, server):
    """Have connections to a server made late; return the list of their times."""
    client = d.host.context.client
    acquire = client._acquire
    connected_s: list[float] = []

    async def acquire_late(address, fresh):
        if address == server.address and not connected_s:
            connected_s.append(asyncio.get_running_loop().time())
            await asyncio.sleep(SLOW_CONNECT_S)
        return await acquire(address, fresh)

    client._acquire = acquire_late
    return connected_s


@pytest.mark.parametrize("answer_ms", [0.0, SLOW_ANSWER_MS])
def test_log_names_each_server_that_a_stream_was_sent_to_and_when_it_was_left(
    answer_ms,
):
    async def scenario(d):
        noted = note_events(d)
        running, other, reply = await begin_silent_chat(d, LONG_SILENCE_MS)
        other.faults.first_ms = answer_ms
        await reply.read()
        chat = [(e, f) for e, f in noted if f.get("request_id") == "chat"]
        sent = [f for e, f in chat if e is Event.REQUEST_SENT_AGAIN]
        left = [f["server"] for e, f in chat if e is Event.DISPATCH_CLOSED]
        assert [f["server"] for f in sent] == [other.name]
        assert (sent[0]["copied"], sent[0]["after_event"]) == (True, str(STALL_AFTER))
        assert left == [running.name]

    run_scenario(scenario)


# Guards against a stream that may not be repeated and goes on at its first server
# after a second one was sent it.
@pytest.mark.parametrize("answer_ms", [0.0, SLOW_ANSWER_MS])
def test_silent_server_that_sends_again_does_not_run_a_stream_beside_its_copy(
    answer_ms,
):
    async def scenario(d):
        running, other, reply = await begin_silent_chat(d, LONG_SILENCE_MS)
        other.faults.first_ms = answer_ms
        assert await reply.read() == COMPLETE_BODY
        assert other.executions["chat"] == 1
        assert (running.disconnects, other.disconnects) == (1, 0)

    run_scenario(scenario)


def test_silent_server_keeps_a_stream_that_its_copy_refuses():
    async def scenario(d):
        running, other, reply = await begin_silent_chat(d, LONG_SILENCE_MS)
        other.faults.refuse = True
        assert await reply.read() == COMPLETE_BODY
        assert (running.executions["chat"], running.disconnects) == (1, 0)
        assert (len(find_requests(other)), other.executions["chat"]) == (1, 0)

    run_scenario(scenario)


# Guards against a copy that is given up although it was not used.
def test_copy_that_was_not_used_serves_when_the_server_breaks_later():
    async def scenario(d):
        for engine in d.engines:
            engine.faults.abort_after_events = STALL_AFTER + 2
        running, other, reply = await begin_silent_chat(d, LONG_SILENCE_MS)
        connected_s = connect_slowly(d, other)
        assert await reply.read() == COMPLETE_BODY
        assert connected_s
        assert (running.executions["chat"], other.executions["chat"]) == (1, 1)

    run_scenario(scenario)


# Guards against a server that the host has left and that counts as broken, which blames
# its requests for a crash.
def test_server_that_was_left_does_not_count_as_broken_if_the_copy_refuses_late():
    async def scenario(d):
        noted = note_events(d)
        running, other, reply = await begin_silent_chat(d, None)
        handle = other._handle

        async def refuse_late(exchange):
            if exchange.headers.get("x-attempt-id") == "chat":
                await asyncio.sleep(SLOW_REFUSAL_S)
            await handle(exchange)

        other.server._handler = refuse_late
        other.faults.refuse = True
        with pytest.raises(UpstreamError):
            await reply.read()
        failed = [f for e, f in noted if e is Event.DISPATCH_FAILED]
        reasons = {f["server"]: f["reason"] for f in failed}
        assert "may run" in reasons[running.name]
        assert running.disconnects == 1

    run_scenario(scenario)


# Guards against a silent server that works on while the next one has the stream.
def test_silent_server_is_left_soon_after_its_stream_was_sent_to_the_copy():
    async def scenario(d):
        running, other, reply = await begin_silent_chat(d, None)
        other.faults.first_ms = SLOW_ANSWER_MS
        reading = asyncio.create_task(reply.read())
        await wait_until(lambda: other.executions["chat"])
        await wait_until(lambda: running.disconnects, MAX_TWO_SERVERS_S)
        assert await reading == COMPLETE_BODY

    run_scenario(scenario)


def test_stream_that_its_copy_runs_and_breaks_does_not_return_to_its_first_server():
    async def scenario(d):
        running, other, reply = await begin_silent_chat(d, LONG_SILENCE_MS)
        other.faults.abort = True
        with pytest.raises(UpstreamError):
            await reply.read()
        await wait_until(lambda: running.disconnects == 1)
        assert (running.executions["chat"], other.executions["chat"]) == (1, 1)

    run_scenario(scenario)


# Guards against a stream that is sent to its copy although its server sends again.
def test_stream_whose_server_sends_while_the_copy_is_connected_to_stays():
    async def scenario(d):
        running, other, reply = await begin_silent_chat(d, LONG_SILENCE_MS)
        connected_s = connect_slowly(d, other)
        assert await reply.read() == COMPLETE_BODY
        assert connected_s
        assert (running.disconnects, other.executions["chat"]) == (0, 0)

    run_scenario(scenario)


# Guards against a sound server that stands still for a second or so, does not see that
# its connection was closed, and goes on beside the copy.
def test_server_that_is_silent_for_a_second_or_so_keeps_a_stream_with_a_copy():
    async def scenario(d):
        running, other, reply = await begin_silent_chat(d, SHORT_SILENCE_MS)
        assert await reply.read() == COMPLETE_BODY
        assert (running.disconnects, other.executions["chat"]) == (0, 0)

    run_scenario(scenario)


@pytest.mark.parametrize("target_itl_ms", [0.0, 120.0, 250.0, 1000.0])
def test_stream_is_sent_to_its_copy_before_its_caller_gives_up(target_itl_ms):
    route = create_route(target_itl_ms=target_itl_ms)
    timeout_ms = find_copy_timeout_s(route) * 1000.0
    assert timeout_ms >= find_max_gap_s(route) * 1000.0
    assert timeout_ms < estimate_caller_timeout_ms(route, float("inf"))
