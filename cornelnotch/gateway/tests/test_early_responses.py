"""Test what callers get if a server responds before it has read a long body."""

import asyncio

import pytest

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.tests.conftest import run_deployment, wait_until
from cornelnotch.standins.raw import ConnectionEnd, RawResponse, RawUpstream

# The second one fits into the sender's buffers, so that all of it counts as sent.
UPLOADS_BYTES = {"long": 3_900_000, "buffered": 150_000}
SMALL_BUFFER_BYTES = 16_384
HEADERS = b"x-attempt-id: ID\r\nx-server-signature: s\r\n"
EVENTS = b"content-type: text/event-stream\r\n"
EVENT = b"id: 1\ndata: piece 1\n\n"
FRAMINGS = {"none": b"", "close": b"connection: close\r\n"}
PARTS = {"one-byte": b"x", "large": b"x" * 300_000}
PATHS = {"call": "/read/x", "once": "/book/x", "stream": "/stream/draft/x"}
ENDS = (
    ConnectionEnd.RESET,
    ConnectionEnd.CLOSE,
    ConnectionEnd.CLOSE_AND_EXIT,
    ConnectionEnd.HALF_CLOSE_AND_RESET,
)


async def use_only_server(d, raw, kind):
    """Make a raw server the only one of the service that a kind of request needs."""
    await raw.start()
    service, others = ("llm", d.engines) if kind == "stream" else ("desk", d.desks)
    for server in others:
        d.drop_server(server)
    d.list_server(raw, service)
    pool = d.host.context.pool.servers
    names = {server.name for server in others}
    await wait_until(lambda: raw.name in pool and names.isdisjoint(pool))


async def upload(d, kind, size):
    """Return the status that a caller got, whether it was complete, and the body."""
    response = await d.send(PATHS[kind], "POST", b"u" * size)
    body = b""
    try:
        async for chunk in response.iterate_chunks():
            body += chunk
    except UpstreamError:
        return response.status, False, body
    return response.status, True, body


def play(kind, answer, buffer_bytes=0, upload_bytes=0):
    async def run():
        async with run_deployment() as d:
            raw = RawUpstream("raw", answer, buffer_bytes)
            await use_only_server(d, raw, kind)
            result = await upload(d, kind, upload_bytes)
            await raw.stop()
        return result, raw.requests

    return asyncio.run(run())


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("part", PARTS)
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("size", UPLOADS_BYTES)
@pytest.mark.parametrize("kind", PATHS)
def test_a_response_that_ends_during_the_upload_is_not_complete(
    kind, size, framing, part, end
):
    """Guards against a part of a response that reaches its caller as all of it."""
    head = b"HTTP/1.1 200 OK\r\n" + HEADERS + FRAMINGS[framing]
    body = PARTS[part]
    if kind == "stream":
        head += EVENTS
        body = EVENT * (len(body) // len(EVENT) + 1)
    answer = RawResponse(head + b"\r\n" + body, end=end)
    (status, is_complete, got), requests = play(
        kind, answer, SMALL_BUFFER_BYTES, UPLOADS_BYTES[size]
    )
    assert requests
    assert not (status == 200 and is_complete), (status, len(got))


STATUS_LINES = ["000", "001", "099", "101", "199", "600", "999", "20", "0200", "2x0"]


@pytest.mark.parametrize("status", STATUS_LINES)
@pytest.mark.parametrize("kind", PATHS)
def test_a_status_that_http_does_not_define_is_no_response(kind, status):
    """Guards against a status of a server in trouble that reaches a caller."""
    line = b"HTTP/1.1 %s Odd\r\n" % status.encode()
    answer = RawResponse(
        line + HEADERS + b"content-length: 2\r\n\r\nok", end=ConnectionEnd.CLOSE
    )
    (code, is_complete, _), requests = play(kind, answer)
    assert requests
    assert (code, is_complete) == (502, True)


REFUSALS = {
    "full": b"503 Service Unavailable\r\nx-not-executed: 1\r\n",
    "too-large": b"413 Content Too Large\r\nx-server-signature: s\r\n",
}


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("size", UPLOADS_BYTES)
@pytest.mark.parametrize("refusal", REFUSALS)
@pytest.mark.parametrize("kind", PATHS)
def test_a_whole_refusal_during_the_upload_reaches_the_caller(kind, refusal, size, end):
    """Guards against a request that has not run and is told to have failed."""
    head = b"HTTP/1.1 " + REFUSALS[refusal] + b"x-attempt-id: ID\r\n"
    answer = RawResponse(head + b"content-length: 2\r\n\r\nno", end=end)
    (status, is_complete, _), requests = play(
        kind, answer, SMALL_BUFFER_BYTES, UPLOADS_BYTES[size]
    )
    assert requests
    expected = 503 if refusal == "full" else 413
    assert (status, is_complete) == (expected, True)
