"""Test each bound on what callers hold, and that its test fails without it."""

import asyncio
import gc
import sys
from contextlib import asynccontextmanager, suppress

import pytest

from cornelnotch.exceptions import RequestError
from cornelnotch.web import (
    HttpServer,
    MemoryAccount,
    ServerLimits,
    exchange as exchange_module,
    server as server_module,
)
from cornelnotch.web.input import PIECE_BYTES, PulledReader
from cornelnotch.web.memory import IDLE_CONNECTION_BYTES
from cornelnotch.web.server import ServerConnection

ADDRESS = "127.0.0.1"
SETTLE_S = 0.3
LARGE_BYTES = 65536
BODY_LIMIT = 100_000
MAX_FIELDS = 512
MOST_DISCARDED_BYTES = 4 * 1024 * 1024
GET = b"GET /%s HTTP/1.1\r\nhost: a\r\n\r\n"
POST = b"POST /%s HTTP/1.1\r\nhost: a\r\n"


class Service:
    """A server that answers by path, and the connections of its callers."""

    def __init__(self, server):
        self.server = server
        self.handled = 0
        self.gate = asyncio.Event()
        self.callers = []

    async def handle(self, exchange):
        self.handled += 1
        if exchange.path == "/held":
            await exchange.read_body(0)
            await self.gate.wait()
        if exchange.path == "/large":
            await exchange.respond(200, {}, b"x" * LARGE_BYTES)
            return
        if exchange.path == "/body":
            try:
                await exchange.read_body(BODY_LIMIT)
            except RequestError as error:
                await exchange.respond_json(error.status, {})
                return
        await exchange.respond(200, {}, b"ok")

    async def connect(self, data=b""):
        caller = await asyncio.open_connection(ADDRESS, self.server.port, limit=1024)
        self.callers.append(caller)
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(SETTLE_S):
                caller[1].write(data)
                await caller[1].drain()
        return caller

    async def read_status(self, caller):
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(1.0):
                return (await caller[0].readline())[9:12]
        return b""

    def list_connections(self):
        return list(self.server._open_connections)


@asynccontextmanager
async def run_service(limits=None, account=None):
    services: list[Service] = []
    server = HttpServer(lambda e: services[0].handle(e), limits, account)
    services.append(Service(server))
    await server.start(ADDRESS, 0)
    try:
        yield services[0]
    finally:
        services[0].gate.set()
        for _, writer in services[0].callers:
            writer.transport.abort()
        await server.stop()


async def check_read_ahead():
    async with run_service() as service:
        await service.connect(GET % b"held" + GET % b"x" * 40_000)
        await asyncio.sleep(SETTLE_S)
        (connection,) = service.list_connections()
        assert connection._reader._unread <= PIECE_BYTES
        assert service.handled == 1


async def check_pipelined():
    async with run_service() as service:
        await service.connect(GET % b"held" + GET % b"x" * 10_000)
        await asyncio.sleep(SETTLE_S)
        (connection,) = service.list_connections()
        assert connection._unparsed_bytes <= 2 * server_module.HEAD_PIECE_BYTES


async def check_unread_responses():
    async with run_service() as service:
        await service.connect(GET % b"large" * 1000)
        await asyncio.sleep(SETTLE_S)
        (connection,) = service.list_connections()
        handled = service.handled
        assert handled < 1000
        assert connection.count_unsent_bytes() <= 2 * LARGE_BYTES
        assert connection.memory.held_bytes >= connection.count_unsent_bytes()


async def check_unread_small_responses():
    async with run_service() as service:
        await service.connect(GET % b"large" * 100 + GET % b"x" * 100)
        await asyncio.sleep(SETTLE_S)
        (connection,) = service.list_connections()
        # What remains is read only when the response before it has been taken.
        assert not connection.is_handling


async def check_header_fields():
    async with run_service(ServerLimits(header_fields=MAX_FIELDS)) as service:
        fields = b"".join(b"a%d: b\r\n" % number for number in range(600))
        caller = await service.connect(POST % b"x" + fields + b"\r\n")
        assert await service.read_status(caller) == b"431"
        assert service.handled == 0


async def check_announced_body():
    async with run_service() as service:
        head = POST % b"body" + b"content-length: %d\r\n" % (BODY_LIMIT + 1)
        caller = await service.connect(head + b"expect: 100-continue\r\n\r\n")
        assert await service.read_status(caller) == b"413"


async def check_chunked_body():
    async with run_service() as service:
        head = POST % b"body" + b"transfer-encoding: chunked\r\n\r\n"
        piece = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
        caller = await service.connect(head + piece * 4)
        assert await service.read_status(caller) == b"413"


async def check_connections():
    limits = ServerLimits(connections=20)
    async with run_service(limits) as service:
        for _ in range(40):
            await service.connect()
        await asyncio.sleep(SETTLE_S)
        assert service.server.count_connections() <= 20
        caller = await service.connect(GET % b"x")
        assert await service.read_status(caller) == b"200"


async def check_account():
    account = MemoryAccount()
    account.limit_bytes = 300_000
    async with run_service(account=account) as service:
        for _ in range(40):
            await service.connect(b"GET / HTTP/1.1\r\nx: " + b"y" * 15_000)
        await asyncio.sleep(SETTLE_S)
        held = sum(c._unparsed_bytes for c in service.list_connections())
        assert held <= 300_000
        caller = await service.connect(GET % b"x")
        assert await service.read_status(caller) == b"200"


async def check_small_pieces():
    account = MemoryAccount()
    account.limit_bytes = 200_000
    held = account.open("a", lambda: None, 120_000)
    async with run_service(account=account) as service:
        head = POST % b"body" + b"content-length: 90000\r\n\r\n"
        await service.connect(head)
        await asyncio.sleep(SETTLE_S)
        (connection,) = service.list_connections()
        assert connection._reader.piece_bytes < PIECE_BYTES
    held.release()


async def check_discarded():
    async with run_service() as service:
        head = POST % b"body" + b"content-length: 900000000\r\n\r\n"
        caller = await service.connect(head + b"x" * 65536)
        sent = 0
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(3 * server_module.LINGER_TIMEOUT_S):
                while sent < 6 * MOST_DISCARDED_BYTES:
                    caller[1].write(b"x" * 65536)
                    await caller[1].drain()
                    sent += 65536
        # The systems of both sides buffer some megabytes.
        assert sent < 5 * MOST_DISCARDED_BYTES


async def check_unstarted_requests_hold_nothing():
    async with run_service() as service:
        fields = b"".join(b"a%d: b\r\n" % number for number in range(400))
        caller = await service.connect(POST % b"x" + fields + b"\r\n")
        assert await service.read_status(caller) == b"200"
        await asyncio.sleep(SETTLE_S)
        (connection,) = service.list_connections()
        assert connection.memory.held_bytes <= IDLE_CONNECTION_BYTES


def count_kept_connections():
    return sum(isinstance(found, ServerConnection) for found in gc.get_objects())


# Guards against hosts that keep what closed connections held until the next collection
# of reference cycles; 3,500 of them took 74 MB instead of 40 MB.
@pytest.mark.parametrize("is_closed_by_host", [True, False])
def test_ended_connections_are_freed_without_a_collection(is_closed_by_host):
    async def scenario():
        async with run_service() as service:
            gc.collect()
            gc.disable()
            before = count_kept_connections()
            for _ in range(5):
                _, writer = await service.connect(b"GET / HTTP/1.1\r\nx: ")
                await asyncio.sleep(SETTLE_S / 10)
                if is_closed_by_host:
                    (connection,) = service.list_connections()
                    connection.memory.close("memory")
                    del connection
                writer.transport.abort()
                await asyncio.sleep(SETTLE_S / 10)
            assert count_kept_connections() == before

    try:
        asyncio.run(scenario())
    finally:
        gc.enable()


def read_ahead(reader, data):
    reader._unread += len(data)
    asyncio.StreamReader.feed_data(reader, data)


async def read_on(connection):
    return True


# Each is a bound that is removed: its check, the owner of the bound, its name, and what
# stands in for it.
MUTANTS = [
    (check_read_ahead, PulledReader, "feed_data", read_ahead),
    (check_pipelined, server_module, "MAX_PIPELINED_BYTES", 10**9),
    (
        check_unread_small_responses,
        server_module.ServerConnection,
        "_wait_until_taken",
        read_on,
    ),
    (check_header_fields, sys.modules[__name__], "MAX_FIELDS", 10**9),
    (
        check_announced_body,
        exchange_module.Exchange,
        "_find_announced_bytes",
        lambda exchange: 0,
    ),
    (check_chunked_body, sys.modules[__name__], "BODY_LIMIT", 10**9),
    (check_connections, HttpServer, "_find_place", lambda server: True),
    (check_account, MemoryAccount, "make_room", lambda account: None),
    (check_small_pieces, MemoryAccount, "is_nearly_full", lambda account: False),
    (check_discarded, server_module, "MAX_DISCARDED_BYTES", 10**9),
]
CHECKS = [check for check, *_ in MUTANTS]


# Guards against callers that hold more than a bounded part of the host.
@pytest.mark.parametrize(
    "check",
    [*CHECKS, check_unread_responses, check_unstarted_requests_hold_nothing],
)
def test_bound_holds(check):
    asyncio.run(check())


# Guards against checks that hold whether or not there is a bound.
@pytest.mark.parametrize(
    ("check", "owner", "name", "value"), MUTANTS, ids=[m[0].__name__ for m in MUTANTS]
)
def test_check_fails_without_its_bound(monkeypatch, check, owner, name, value):
    monkeypatch.setattr(owner, name, value)
    with pytest.raises(AssertionError):
        asyncio.run(check())
