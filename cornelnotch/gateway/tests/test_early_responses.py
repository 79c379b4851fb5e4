"""Test what callers get if a server responds before it has read a long body."""

import asyncio

import pytest

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.tests.conftest import run_deployment, wait_until
from cornelnotch.standins.raw import ConnectionEnd, RawResponse, RawUpstream

HEADERS = b"x-attempt-id: ID\r\nx-server-signature: s\r\n"
PATHS = {"call": "/read/x", "once": "/book/x", "stream": "/stream/draft/x"}


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
