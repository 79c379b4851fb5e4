"""Tests of callers of a server that shuts down gracefully."""

import asyncio
import socket
import time

import pytest

from cornelnotch.web import HttpServer

ADDRESS = "127.0.0.1"
BODY_BYTES = 900_000
BUFFER_BYTES = 4096
READ_BYTES = 65536
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
LAST_REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"


class Responder:
    """Handler that responds after a pause and counts requests."""

    def __init__(self, body=b"", pause_s=0.0):
        self.body = body
        self.pause_s = pause_s
        self.handled = 0

    async def handle(self, exchange):
        await exchange.read_body(0)
        self.handled += 1
        await asyncio.sleep(self.pause_s)
        await exchange.respond(200, {}, self.body)


async def wait_until(condition):
    while not condition():  # noqa: ASYNC110
        await asyncio.sleep(0.01)


def connect(server):
    """Return a caller's socket; the system buffers few bytes of its responses."""
    (listener,) = server._server.sockets
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    caller.connect((ADDRESS, server.port))
    return caller


def read_all(caller):
    caller.settimeout(5.0)
    received = b""
    while data := caller.recv(READ_BYTES):
        received += data
    return received


def run_with_large_response(monkeypatch, scenario):
    async def run():
        server = HttpServer(Responder(b"x" * BODY_BYTES).handle)
        await server.start(ADDRESS, 0)
        with connect(server) as caller:
            await scenario(server, caller)
        await server.stop()

    monkeypatch.setattr("cornelnotch.web.server.WRITE_BUFFER_HIGH_BYTES", BODY_BYTES)
    asyncio.run(run())


@pytest.mark.parametrize("request_bytes", [REQUEST, LAST_REQUEST])
def test_shutdown_waits_until_a_slow_caller_has_read_its_response(
    monkeypatch, request_bytes
):
    async def scenario(server, caller):
        caller.sendall(request_bytes)
        await wait_until(lambda: server.count_unsent_bytes() > BODY_BYTES // 2)
        # By then, the server has closed the connection of the last request.
        await asyncio.sleep(1.2)
        assert server.count_unsent_bytes() > BODY_BYTES // 2
        stopping = asyncio.create_task(server.shut_down(timeout_s=10.0))
        await asyncio.wait({stopping}, timeout=0.3)
        assert not stopping.done()
        received = await asyncio.to_thread(read_all, caller)
        assert received.endswith(b"x" * BODY_BYTES)
        await stopping

    run_with_large_response(monkeypatch, scenario)


def test_shutdown_ends_within_its_timeout_beside_a_caller_that_reads_nothing(
    monkeypatch,
):
    async def scenario(server, caller):
        caller.sendall(REQUEST)
        await wait_until(lambda: server.count_unsent_bytes() > BODY_BYTES // 2)
        async with asyncio.timeout(2.0):
            await server.shut_down(timeout_s=0.3)
        assert server.count_unsent_bytes() == 0

    run_with_large_response(monkeypatch, scenario)


@pytest.mark.parametrize("steps", range(8))
def test_request_accepted_as_the_listener_closes_is_answered_or_not_handled(steps):
    async def scenario():
        responder = Responder(b"done", pause_s=0.2)
        server = HttpServer(responder.handle)
        await server.start(ADDRESS, 0)
        caller = socket.socket()
        caller.connect((ADDRESS, server.port))
        caller.sendall(REQUEST)
        for _ in range(steps):
            await asyncio.sleep(0)
        await server.shut_down(timeout_s=5.0)
        caller.settimeout(2.0)
        try:
            received = caller.recv(4096)
        except ConnectionResetError:
            received = b""
        caller.close()
        await asyncio.sleep(0.05)
        assert received.endswith(b"done") or responder.handled == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("steps", [0, 2, 4])
def test_pause_of_the_process_during_the_shutdown_cuts_no_response(steps):
    async def scenario():
        responder = Responder(b"done", pause_s=0.1)
        server = HttpServer(responder.handle)
        await server.start(ADDRESS, 0)
        partial, whole = connect(server), connect(server)
        partial.sendall(REQUEST[:9])
        whole.sendall(REQUEST)
        await wait_until(lambda: responder.handled)
        stopping = asyncio.create_task(server.shut_down(timeout_s=0.2))
        for _ in range(steps):
            await asyncio.sleep(0)
        time.sleep(0.4)  # noqa: ASYNC251
        await stopping
        with partial, whole:
            assert read_all(partial).startswith(b"HTTP/1.1 503 ")
            assert read_all(whole).endswith(b"done")

    asyncio.run(scenario())
