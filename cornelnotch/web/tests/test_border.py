"""Send malformed HTTP to a server and expect typed refusals, never a crash."""

import asyncio
import os
import random

import orjson
import pytest

from cornelnotch.exceptions import RequestError
from cornelnotch.web import Exchange, HttpClient, HttpServer

ADDRESS = "127.0.0.1"
LIMIT_BYTES = 1000
SEED = 20261204
CASES = int(os.environ.get("CORNELNOTCH_FUZZ", "300"))
VALID = (
    b"POST /x HTTP/1.1\r\nhost: a\r\ncontent-type: application/json\r\n"
    b"content-length: 13\r\n\r\n" + b'{"a":"bcdefg"}'[:13]
)


class Echo:
    """Answer with the size of the body and count what was served."""

    def __init__(self) -> None:
        self.served = 0

    async def handle(self, exchange: Exchange) -> None:
        try:
            body = await exchange.read_body(LIMIT_BYTES)
        except RequestError as error:
            await exchange.respond_json(error.status, {"kind": error.kind})
            return
        self.served += 1
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


def test_two_requests_on_one_connection_and_an_unread_body():
    async def scenario():
        _, server = await start_echo()
        client = HttpClient()
        address = f"{ADDRESS}:{server.port}"
        for size in (0, 10, 1000):
            answer = await client.request(address, "POST", "/", {}, b"x" * size)
            assert orjson.loads(await answer.read()) == {"size": size}
        refused = await client.request(address, "POST", "/", {}, b"x" * 300_000)
        assert refused.status == 413
        assert orjson.loads(await refused.read())["kind"] == "body-too-large"
        again = await client.request(address, "GET", "/")
        assert again.status == 200
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
def test_malformed_heads_get_a_typed_refusal(data, status):
    async def scenario():
        _, server = await start_echo()
        answer = await send_raw(server.port, data)
        assert answer.startswith(b"HTTP/1.1 " + status)
        assert b"cornelnotch-outcome: not-run" in answer
        await server.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize("delay_s", [0.0, 0.05])
def test_an_answer_that_comes_late_reaches_no_other_request(delay_s):
    async def scenario():
        numbers = iter(range(100))

        async def serve(reader, writer):
            while True:
                try:
                    await reader.readuntil(b"\r\n\r\n")
                except (asyncio.IncompleteReadError, ConnectionError):
                    break
                number = next(numbers)
                answer = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n%d" % number
                writer.write(answer)
                await asyncio.sleep(delay_s)
                # The same answer once more, as a confused server would send it.
                writer.write(answer)

        server = await asyncio.start_server(serve, ADDRESS, 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient()
        for expected in range(4):
            answer = await client.request(f"{ADDRESS}:{port}", "GET", "/")
            assert await answer.read() == b"%d" % expected
            await asyncio.sleep(0.1)
        client.close()
        server.close()

    asyncio.run(scenario())


def mutate(generator, data):
    """Return `data` with a few bytes changed, dropped or doubled."""
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


def test_random_bytes_never_stop_the_server():
    async def scenario():
        echo, server = await start_echo()
        generator = random.Random(SEED)
        for _ in range(0, CASES, 50):
            batch = [mutate(generator, VALID) for _ in range(50)]
            await asyncio.gather(*(send_raw(server.port, data) for data in batch))
        answer = await send_raw(server.port, VALID)
        assert answer.startswith(b"HTTP/1.1 200")
        await server.stop()

    asyncio.run(scenario())
