"""Test what callers get from servers that break off, repeat or mix responses."""

import asyncio

import pytest

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.forwarding import MAX_BUFFERED_BYTES
from cornelnotch.gateway.servers import InFlightRequest
from cornelnotch.gateway.tests.conftest import (
    HOST_NAME,
    KEY,
    run_deployment,
    wait_until,
)
from cornelnotch.standins.raw import ConnectionEnd, RawResponse, RawUpstream
from cornelnotch.standins.upstream import UpstreamFaults

HEAD = b"HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-server-signature: s\r\n"
CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
EVENT = b"id: 3\ndata: piece 3\n\n"
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n%sx-not-executed: 1\r\n"
    b"content-length: 0\r\n\r\n"
)


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"


CONTINUATIONS = {
    "refusal": REFUSAL % b"x-attempt-id: ID\r\n",
    "server error": b"HTTP/1.1 500 No\r\nx-attempt-id: ID\r\nx-server-signature: s\r\n"
    b"content-length: 8\r\n\r\nno luck\n",
    "not found": b"HTTP/1.1 404 No\r\nx-attempt-id: ID\r\nx-server-signature: s\r\n"
    b"content-length: 8\r\n\r\nno luck\n",
    "another type": HEAD
    + b"content-type: text/plain\r\ncontent-length: 9\r\n\r\nno luck\n\n",
    "text": HEAD + CHUNKED + chunk(b"no such stream\n\n") + b"0\r\n\r\n",
    "head in the body": HEAD + b"\r\n" + REFUSAL % b"",
    "from the start": HEAD
    + CHUNKED
    + chunk(b"id: 1\ndata: piece 1\n\n")
    + b"0\r\n\r\n",
    "after a gap": HEAD + CHUNKED + chunk(b"id: 9\ndata: piece 9\n\n") + b"0\r\n\r\n",
    "within an event": HEAD + CHUNKED + chunk(EVENT + b"id: 4\n") + b"0\r\n\r\n",
}


async def list_raw_server(d, service, answer, dropped):
    raw = RawUpstream("raw", answer)
    await raw.start()
    d.list_server(raw, service)
    for server in dropped:
        d.drop_server(server)
    servers = d.host.context.pool.servers
    await wait_until(
        lambda: "raw" in servers and all(s.name not in servers for s in dropped)
    )
    return raw


def make_busy(d, name):
    """Make a server look busy so that another one is tried first."""
    for number in range(5):
        d.host.context.pool.servers[name].start(
            InFlightRequest(f"busy {number}", 0.0, 5000)
        )


async def read_until_cut_off(response):
    body = b""
    with pytest.raises(UpstreamError):
        async for data in response.iterate_chunks():
            body += data
    return body


@pytest.mark.parametrize("case", CONTINUATIONS)
def test_only_events_after_the_last_one_continue_a_broken_stream(case):
    async def run():
        async with run_deployment() as d:
            answer = RawResponse(CONTINUATIONS[case], end=ConnectionEnd.CLOSE)
            raw = await list_raw_server(d, "llm", answer, d.engines[1:])
            d.engines[0].faults = UpstreamFaults(abort_after_events=2)
            make_busy(d, "raw")
            body = await read_until_cut_off(await d.send("/stream/x", "POST"))
            assert raw.requests == 1
            await raw.stop()
        whole = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
        assert body in {whole, whole + EVENT}

    asyncio.run(run())


def test_a_plain_body_that_has_begun_is_not_requested_again():
    body = b"z" * MAX_BUFFERED_BYTES * 2
    head = HEAD + b"content-length: %d\r\n\r\n" % (2 * len(body))

    async def run():
        async with run_deployment() as d:
            answer = RawResponse(head + body, end=ConnectionEnd.CLOSE)
            raw = await list_raw_server(d, "desk", answer, d.desks[:1])
            make_busy(d, "desk-2")
            received = await read_until_cut_off(await d.send("/read/x"))
            assert body.startswith(received)
            assert (raw.requests, d.desks[1].executions) == (1, {})
            await raw.stop()

    asyncio.run(run())


def test_a_response_cut_off_resets_the_connection_of_an_http_1_0_caller():
    async def run():
        async with run_deployment() as d:
            for engine in d.engines:
                engine.faults = UpstreamFaults(abort_after_events=2)
            name, port = d.settings.listen.callers.split(":")
            reader, writer = await asyncio.open_connection(name, int(port))
            writer.write(
                b"POST /stream/draft/x HTTP/1.0\r\nhost: %s\r\nx-attempt-id: a\r\n"
                b"x-key: %s\r\nx-deadline-ms: 3000\r\ncontent-length: 0\r\n\r\n"
                % (HOST_NAME.encode(), KEY.encode())
            )
            with pytest.raises(ConnectionResetError):
                while await reader.read(65536):
                    pass
            writer.close()

    asyncio.run(run())


class RepeatingUpstream(RawUpstream):
    """Answer the first request of a connection; then repeat an earlier refusal."""

    def __init__(self, refusal):
        whole = HEAD + b"content-length: 17\r\n\r\nid: 1\ndata: 123\n\n"
        super().__init__("raw", RawResponse(whole))
        self.refusal = refusal.replace(b"ID", b"r0")

    def create_response(self, request_id):
        if self.requests > 1:
            return self.refusal
        return super().create_response(request_id)


@pytest.mark.parametrize(
    ("path", "header"),
    [
        ("/read/x", b"x-attempt-id: ID\r\n"),
        ("/read/x", b""),
        ("/book/x", b"x-attempt-id: ID\r\n"),
        ("/stream/draft/x", b"x-attempt-id: ID\r\n"),
        ("/stream/draft/x", b""),
    ],
)
def test_a_repeated_refusal_is_no_proof_that_the_next_request_did_not_run(path, header):
    service = "llm" if "stream" in path else "desk"

    async def run():
        async with run_deployment() as d:
            servers = d.engines if service == "llm" else d.desks
            raw = RepeatingUpstream(REFUSAL % header)
            await raw.start()
            d.list_server(raw, service)
            for server in servers:
                d.drop_server(server)
            pool = d.host.context.pool.servers
            await wait_until(lambda: "raw" in pool and len(pool) == 3)
            statuses = []
            for number in range(2):
                response = await d.send(path, "POST", x_attempt_id=f"r{number}")
                await response.read()
                statuses.append(response.status)
            await raw.stop()
            return statuses

    assert asyncio.run(run()) == [200, 502]
