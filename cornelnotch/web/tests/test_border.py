"""Tests of malformed HTTP: it is rejected and never crashes the server."""

import asyncio
import random

import orjson
import pytest

from cornelnotch.exceptions import RequestError
from cornelnotch.testing.randominput import SEED, read_case_count
from cornelnotch.web import Exchange, HttpClient, HttpServer

ADDRESS = "127.0.0.1"
LIMIT_BYTES = 1000
FUZZ_CASES = read_case_count(300)
VALID_REQUEST = (
    b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n"
    b"content-length: 13\r\n\r\n" + b'{"a":"bcdefg"}'[:13]
)


class Echo:
    """Handler that responds with the size of the body and counts requests."""

    def __init__(self) -> None:
        self.handled = 0

    async def handle(self, exchange: Exchange) -> None:
        try:
            body = await exchange.read_body(LIMIT_BYTES)
        except RequestError as error:
            await exchange.respond_json(error.status, {"kind": error.kind})
            return
        self.handled += 1
        await exchange.respond_json(200, {"size": len(body)})


async def start_echo():
    echo = Echo()
    server = HttpServer(echo.handle)
    await server.start(ADDRESS, 0)
    return echo, server


async def send_raw(port, data, wait_s=1.0):
    reader, writer = await asyncio.open_connection(ADDRESS, port)
    writer.write(data)
    if writer.can_write_eof():
        writer.write_eof()
    try:
        async with asyncio.timeout(wait_s):
            return await reader.read()
    except (TimeoutError, ConnectionError):
        return b""
    finally:
        writer.transport.abort()


def test_connection_reuse_and_rejection_of_a_large_body():
    async def scenario():
        _, server = await start_echo()
        client = HttpClient()
        address = f"{ADDRESS}:{server.port}"
        for size in (0, 10, 1000):
            response = await client.request(address, "POST", "/", {}, b"x" * size)
            assert orjson.loads(await response.read()) == {"size": size}
        rejected = await client.request(address, "POST", "/", {}, b"x" * 300_000)
        assert rejected.status == 413
        assert orjson.loads(await rejected.read())["kind"] == "body-too-large"
        next_response = await client.request(address, "GET", "/")
        assert next_response.status == 200
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x00\x01\x02\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 70_000 + b"\r\n\r\n", b"431"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
    ],
)
def test_malformed_heads_are_rejected(data, status):
    async def scenario():
        _, server = await start_echo()
        response = await send_raw(server.port, data)
        assert response.startswith(b"HTTP/1.1 " + status)
        assert b"cornelnotch-outcome: not-run" in response
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
def test_late_response_is_not_delivered_to_another_request(delay_s):
    async def scenario():
        numbers = iter(range(100))

        async def serve(reader, writer):
            while True:
                try:
                    await reader.readuntil(b"\r\n\r\n")
                except (asyncio.IncompleteReadError, ConnectionError):
                    break
                number = next(numbers)
                response = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n%d" % number
                writer.write(response)
                await asyncio.sleep(delay_s)
                # A duplicate of the response, as from a faulty server.
                writer.write(response)

        server = await asyncio.start_server(serve, ADDRESS, 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient()
        for expected in range(4):
            response = await client.request(f"{ADDRESS}:{port}", "GET", "/")
            assert await response.read() == b"%d" % expected
            await asyncio.sleep(0.1)
        client.close()
        server.close()

    asyncio.run(scenario())


def mutate(generator, data):
    """Return `data` with a few bytes changed, removed or inserted."""
    changed = bytearray(data)
    for _ in range(generator.randint(1, 6)):
        position = generator.randrange(len(changed))
        choice = generator.random()
        if choice < 0.5:
            changed[position] = generator.randrange(256)
        elif choice < 0.75:
            del changed[position : position + generator.randint(1, 8)]
        else:
            changed[position:position] = bytes(generator.randbytes(4))
        if not changed:
            changed = bytearray(b"\n")
    return bytes(changed)


@pytest.mark.fuzz
def test_corrupted_requests_never_crash_the_server():
    async def scenario():
        echo, server = await start_echo()
        generator = random.Random(SEED)
        for _ in range(0, FUZZ_CASES, 50):
            batch = [mutate(generator, VALID_REQUEST) for _ in range(50)]
            await asyncio.gather(*(send_raw(server.port, data) for data in batch))
        response = await send_raw(server.port, VALID_REQUEST)
        assert response.startswith(b"HTTP/1.1 200")
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("target", [b"//[", b"//[x]/", b"http://[::1", b"http://[/x"])
def test_request_with_a_malformed_target_is_refused_with_a_reason(target):
    async def scenario():
        echo, server = await start_echo()
        head = b"GET " + target + b" HTTP/1.1\r\nhost: a\r\n\r\n"
        answer = await send_raw(server.port, head)
        assert answer.startswith(b"HTTP/1.1 400 ")
        assert b"bad-target" in answer
        assert echo.handled == 0
        assert (await send_raw(server.port, VALID_REQUEST)).startswith(b"HTTP/1.1 200")
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("reads_body", [True, False])
def test_request_whose_handler_fails_is_answered(reads_body):
    async def fail(exchange):
        if reads_body:
            await exchange.read_body(LIMIT_BYTES)
        raise ZeroDivisionError("unforeseen")

    async def scenario():
        server = HttpServer(fail)
        await server.start(ADDRESS, 0)
        answer = await send_raw(server.port, VALID_REQUEST)
        assert answer.startswith(b"HTTP/1.1 500 ")
        assert b"connection: close" in answer.lower()
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
def test_response_whose_handler_fails_midway_does_not_look_complete(version):
    async def fail(exchange):
        await exchange.start(200, {})
        await exchange.send(b"part")
        await asyncio.sleep(0.05)
        raise ZeroDivisionError("unforeseen")

    async def scenario():
        server = HttpServer(fail)
        await server.start(ADDRESS, 0)
        reader, writer = await asyncio.open_connection(ADDRESS, server.port)
        writer.write(b"GET /x HTTP/" + version + b"\r\nhost: a\r\n\r\n")
        was_reset = False
        body = b""
        try:
            async with asyncio.timeout(1.0):
                while data := await reader.read(1000):
                    body += data
        except ConnectionError:
            was_reset = True
        assert was_reset or (version == b"1.1" and not body.endswith(b"0\r\n\r\n"))
        writer.transport.abort()
        await server.stop()

    asyncio.run(scenario())
