"""Test that callers are answered whatever head and framing a server sends."""

import asyncio

import pytest

from cornelnotch.gateway.tests.conftest import run_deployment, wait_until
from cornelnotch.gateway.tests.test_odd_requests import create_headers, send_raw
from cornelnotch.standins.raw import ConnectionEnd, RawResponse, RawUpstream

SIGNED = b"x-attempt-id: ID\r\nx-server-signature: s\r\n"
OK = b"HTTP/1.1 200 OK\r\n" + SIGNED
EMPTY = b"content-length: 0\r\n\r\n"
ODD_RESPONSES = {
    "status 000": b"HTTP/1.1 000 A\r\n" + SIGNED + EMPTY,
    "status 099": b"HTTP/1.1 099 A\r\n" + SIGNED + EMPTY,
    "status 101": b"HTTP/1.1 101 A\r\n" + SIGNED + b"upgrade: x\r\n\r\n",
    "status 204": b"HTTP/1.1 204 A\r\n" + SIGNED + b"\r\n",
    "status 304": b"HTTP/1.1 304 A\r\n" + SIGNED + EMPTY,
    "status 600": b"HTTP/1.1 600 A\r\n" + SIGNED + EMPTY,
    "status 999": b"HTTP/1.1 999 A\r\n" + SIGNED + EMPTY,
    "status 2000": b"HTTP/1.1 2000 A\r\n" + SIGNED + EMPTY,
    "length of 20 digits": OK + b"content-length: " + b"9" * 20 + b"\r\n\r\n",
    "length of 5000 digits": OK + b"content-length: " + b"9" * 5000 + b"\r\n\r\n",
    "length of other digits": OK + "content-length: \u0661\r\n\r\nx".encode(),
    "negative length": OK + b"content-length: -1\r\n\r\n",
    "two lengths": OK + b"content-length: 1\r\ncontent-length: 2\r\n\r\nx",
    "unknown coding": OK + b"transfer-encoding: gzip\r\n\r\n",
    "huge chunk": OK + b"transfer-encoding: chunked\r\n\r\n" + b"f" * 20 + b"\r\n",
    "huge chunk size": OK + b"transfer-encoding: chunked\r\n\r\n" + b"f" * 5000,
    "header without a name": OK + b": x\r\n" + EMPTY,
    "folded header": OK + b"x-a: b\r\n c\r\n" + EMPTY,
    "obsolete text": OK + b"x-a: \xff\xfe\x80\r\n" + EMPTY,
    "null in a header": OK + b"x-a: a\x00b\r\n" + EMPTY,
    "reason with obsolete text": b"HTTP/1.1 200 \xff\xfe\r\n" + SIGNED + EMPTY,
    "version 1.0": b"HTTP/1.0 200 OK\r\n" + SIGNED + EMPTY,
    "version 9.9": b"HTTP/9.9 200 OK\r\n" + SIGNED + EMPTY,
    "odd limits": OK + b"server-limit: 1e999\r\nretry-after: nan\r\n" + EMPTY,
    "tiny limit": OK + b"server-limit: 0." + b"0" * 330 + b"1\r\n" + EMPTY,
    "long limit": OK + b"server-limit: " + b"9" * 5000 + b"\r\n" + EMPTY,
    "odd pause": b"HTTP/1.1 503 A\r\n" + SIGNED + b"retry-after: inf\r\n" + EMPTY,
    "huge pause": b"HTTP/1.1 503 A\r\n" + SIGNED + b"retry-after: 1e308\r\n" + EMPTY,
    "event of 5000 digits": OK
    + b"content-type: text/event-stream\r\n\r\nid: "
    + b"9" * 5000
    + b"\ndata: x\n\n",
}


@pytest.mark.parametrize("name", ODD_RESPONSES)
def test_callers_are_answered_beside_a_server_with_odd_responses(name):
    async def run():
        async with run_deployment() as deployment:
            answer = RawResponse(ODD_RESPONSES[name], end=ConnectionEnd.CLOSE)
            server = RawUpstream("raw", answer)
            await server.start()
            try:
                for service in ("desk", "llm"):
                    await list_only(deployment, server, service)
                    path = {"desk": "/read/a", "llm": "/stream/a"}[service]
                    before = server.requests
                    for index in range(3):
                        callers = deployment.settings.listen.callers
                        headers = create_headers(x_attempt_id=f"{service}{index}")
                        headers["x-deadline-ms"] = "900"
                        line = await send_raw(callers, path, headers)
                        assert line.startswith(b"HTTP/1.1 ")
                    assert server.requests > before
            finally:
                await server.stop()

    asyncio.run(run())


async def list_only(deployment, server, service):
    """Make `server` the only one of a service, so that it gets the requests."""
    servers = deployment.host.context.pool.servers
    for other in deployment.desks if service == "desk" else deployment.engines:
        deployment.drop_server(other)
    deployment.list_server(server, service, born=1 + (service == "llm"))
    await wait_until(
        lambda: (
            {v.record.service for v in servers.values()} >= {service}
            and all(
                view.record.name == "raw"
                for view in servers.values()
                if view.record.service == service
            )
        )
    )
