"""Test that hosts disconnect servers that send endless or malformed data."""

import asyncio
import tracemalloc

import pytest

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway import forwarding, timeouts
from cornelnotch.gateway.servers import InFlightRequest
from cornelnotch.gateway.streams import MAX_EVENT_BYTES, EventSplitter
from cornelnotch.gateway.tests.conftest import run_deployment, wait_until
from cornelnotch.standins.raw import RawResponse, RawUpstream
from cornelnotch.web import client

HEAD = (
    b"HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-server-signature: s\r\n"
    b"content-type: text/event-stream\r\n"
)
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
SLOW_MS = 50.0
FAULTY_ANSWERS = {
    "head": RawResponse(b"HTTP/1.1 200 OK\r\n", b"x-more: " + b"y" * 500 + b"\r\n"),
    "header": RawResponse(b"HTTP/1.1 200 OK\r\nx-more: ", b"y" * 4096),
    "slow head": RawResponse(b"HTTP/1.1 200 OK\r\nx-more: ", b"y", SLOW_MS),
    "status": RawResponse(b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "slow status": RawResponse(b"", b"HTTP/1.1 100 Continue\r\n\r\n", SLOW_MS),
    "no head": RawResponse(b"", b"\x00\xff" * 4096),
    "chunk header": RawResponse(CHUNKED + b"5;", b"e" * 4096),
    "trailers": RawResponse(CHUNKED + b"0\r\n", b"x-more: " + b"y" * 4096),
    "event": RawResponse(CHUNKED, b"1000\r\n" + b"d" * 4096 + b"\r\n"),
}
# Machines with 128 MB run a host of 30 MB and buffer what 50 faulty servers send.
MAX_BUFFERED_BYTES = 64 * 1024 * 1024
FAULTY_SERVERS = 50


@pytest.fixture(autouse=True)
def shorten_timeouts(monkeypatch):
    monkeypatch.setattr(client, "HEAD_TIMEOUT_S", 0.4)
    monkeypatch.setattr(timeouts, "MIN_STALL_MS", 400.0)


def run_scenario(answer, scenario, service="llm"):
    """Run with one healthy server of a service and one that sends `answer`."""

    async def run():
        async with run_deployment() as d:
            server = RawUpstream("raw", answer)
            await server.start()
            healthy = d.engines if service == "llm" else d.desks
            d.drop_server(healthy[0])
            d.list_server(server, service)
            servers = d.host.context.pool.servers
            await wait_until(
                lambda: "raw" in servers and healthy[0].name not in servers
            )
            try:
                await scenario(d, server)
            finally:
                await server.stop()

    asyncio.run(run())


def list_events(body):
    """Return the numbers of the events in a body."""
    lines = [line for line in body.split(b"\n") if line.startswith(b"id:")]
    return [int(line[3:]) for line in lines]


def make_busy(d, name):
    """Make a server look busy so that the other one is tried first."""
    for number in range(5):
        d.host.context.pool.servers[name].start(
            InFlightRequest(f"busy {number}", 0.0, 5000)
        )


@pytest.mark.parametrize("fault", FAULTY_ANSWERS)
def test_a_stream_resumes_elsewhere_and_the_server_is_disconnected(fault):
    async def scenario(d, server):
        make_busy(d, "llm-2")
        answer = await d.send("/stream/x", "POST")
        assert list_events(await answer.read()) == list(range(1, 7))
        assert server.requests == 1
        await wait_until(lambda: server.closed == server.requests, 2.0)

    run_scenario(FAULTY_ANSWERS[fault], scenario)


@pytest.mark.parametrize("fault", [t for t in FAULTY_ANSWERS if t != "event"])
def test_a_call_is_retried_elsewhere_and_the_server_is_disconnected(fault):
    async def scenario(d, server):
        make_busy(d, "desk-2")
        answer = await d.send("/read/x")
        assert await answer.read() == b"done by desk-2"
        assert server.requests == 1
        await wait_until(lambda: server.closed == server.requests, 2.0)

    run_scenario(FAULTY_ANSWERS[fault], scenario, "desk")


def test_an_endless_body_is_limited_and_never_looks_complete(monkeypatch):
    monkeypatch.setattr(forwarding, "MAX_BODY_BYTES", 3_000_000)

    async def scenario(d, server):
        d.drop_server(d.desks[1])
        await wait_until(lambda: "desk-2" not in d.host.context.pool.servers)
        answer = await d.send("/read/x")
        with pytest.raises(UpstreamError):
            await answer.read()
        await wait_until(lambda: server.closed == 1, 2.0)
        assert d.host.context.pool.servers["raw"].failures == 1

    run_scenario(
        RawResponse(CHUNKED, b"1000\r\n" + b"d" * 4096 + b"\r\n"), scenario, "desk"
    )


def test_a_large_valid_body_is_forwarded_completely():
    body = b"z" * (forwarding.MAX_BUFFERED_BYTES * 3)
    head = HEAD + b"content-length: %d\r\n\r\n" % len(body)

    async def scenario(d, server):
        d.drop_server(d.desks[1])
        await wait_until(lambda: "desk-2" not in d.host.context.pool.servers)
        answer = await d.send("/read/x")
        assert await answer.read() == body

    run_scenario(RawResponse(head + body), scenario, "desk")


def test_bytes_beyond_the_content_length_are_dropped():
    async def scenario(d, server):
        d.drop_server(d.desks[1])
        await wait_until(lambda: "desk-2" not in d.host.context.pool.servers)
        for number in range(3):
            answer = await d.send("/read/x", x_attempt_id=f"r{number}")
            assert await answer.read() == b"mine"

    whole = HEAD + b"content-length: 4\r\n\r\nmine"
    run_scenario(RawResponse(whole + whole), scenario, "desk")


def test_fifty_endless_streams_keep_memory_bounded():
    async def scenario(d, server):
        d.drop_server(d.engines[1])
        await wait_until(lambda: "llm-2" not in d.host.context.pool.servers)
        tracemalloc.start()
        try:
            before, _ = tracemalloc.get_traced_memory()
            headers = {"x_deadline_ms": "1500"}
            sends = [
                d.send("/stream/draft/x", "POST", x_attempt_id=f"r{n}", **headers)
                for n in range(FAULTY_SERVERS)
            ]
            answers = await asyncio.gather(*sends)
            for answer in answers:
                with pytest.raises(UpstreamError):
                    await answer.read()
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert server.requests == FAULTY_SERVERS
        assert peak - before < MAX_BUFFERED_BYTES

    run_scenario(RawResponse(CHUNKED, b"10000\r\n" + b"d" * 65536 + b"\r\n"), scenario)


def test_a_stream_that_trickles_bytes_resumes_elsewhere():
    start = CHUNKED + b"15\r\nid: 1\ndata: piece 1\n\n\r\n"

    async def scenario(d, server):
        make_busy(d, "llm-2")
        answer = await d.send("/stream/x", "POST")
        assert list_events(await answer.read()) == list(range(1, 7))
        assert server.requests == 1

    run_scenario(RawResponse(start, b"1\r\nd\r\n", SLOW_MS), scenario)


def test_a_slow_valid_stream_without_an_alternative_server_is_kept():
    async def scenario(d, server):
        d.drop_server(d.engines[1])
        await wait_until(lambda: "llm-2" not in d.host.context.pool.servers)
        answer = await d.send("/stream/x", "POST")
        body = await answer.read()
        assert body.count(b"\n\n") == 2
        assert server.requests == 1

    class SlowUpstream(RawUpstream):
        async def _write_repeatedly(self, writer):
            await asyncio.sleep(1.0)
            writer.write(b"15\r\nid: 2\ndata: piece 2\n\n\r\n0\r\n\r\n")
            await writer.drain()
            await asyncio.sleep(1.0)
            raise ConnectionResetError

    async def run():
        async with run_deployment() as d:
            start = CHUNKED + b"15\r\nid: 1\ndata: piece 1\n\n\r\n"
            server = SlowUpstream("raw", RawResponse(start, b"-"))
            await server.start()
            d.drop_server(d.engines[0])
            d.list_server(server, "llm")
            await wait_until(lambda: "raw" in d.host.context.pool.servers)
            try:
                await scenario(d, server)
            finally:
                await server.stop()

    asyncio.run(run())


def test_the_length_of_an_event_is_bounded():
    splitter = EventSplitter()
    with pytest.raises(UpstreamError):
        for _ in range(1 + MAX_EVENT_BYTES // 1000 + 1):
            splitter.feed(b"d" * 1000)
    assert splitter.take_remainder() == b""


def test_the_number_of_interim_responses_is_bounded(monkeypatch):
    monkeypatch.setattr(client, "HEAD_TIMEOUT_S", 60.0)

    async def run():
        server = RawUpstream("raw", FAULTY_ANSWERS["slow status"])
        await server.start()
        try:
            async with asyncio.timeout(5.0):
                with pytest.raises(UpstreamError):
                    await client.HttpClient().request(server.address, "GET", "/")
        finally:
            await server.stop()

    asyncio.run(run())
