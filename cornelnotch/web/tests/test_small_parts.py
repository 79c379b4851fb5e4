"""Test that messages in many small parts leave the event loop to others."""

import asyncio

import pytest

from cornelnotch.exceptions import UpstreamError
from cornelnotch.standins.raw import RawResponse, RawUpstream
from cornelnotch.web import HttpClient, HttpServer

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
PART = b"1\r\nx\r\n"
RESPONSES = 6
TICK_S = 0.002
MAX_DELAY_S = 0.1


async def measure_delay(work):
    """Return the longest time for which `work` kept the event loop."""
    loop = asyncio.get_running_loop()
    longest_s = 0.0
    task = asyncio.create_task(work)
    while not task.done():
        before_s = loop.time()
        await asyncio.sleep(TICK_S)
        longest_s = max(longest_s, loop.time() - before_s - TICK_S)
    await task
    return longest_s


async def read_until_refused(client, address):
    response = await client.request(address, "GET", "/")
    with pytest.raises(UpstreamError):
        async for _ in response.iterate_chunks():
            pass


# Guards against hosts that stand still while a server sends a body without end in
# parts of one byte.
def test_endless_body_in_parts_of_one_byte_is_refused_without_delay_of_others():
    async def scenario():
        server = RawUpstream("raw", RawResponse(HEAD, PART * 20_000))
        await server.start()
        client = HttpClient()
        reads = [read_until_refused(client, server.address) for _ in range(RESPONSES)]
        async with asyncio.timeout(20.0):
            assert await measure_delay(join(reads)) < MAX_DELAY_S
        client.close()
        await server.stop()

    asyncio.run(scenario())


async def join(works):
    await asyncio.gather(*works)


@pytest.mark.parametrize("size", [1, 5, 9, 200])
def test_whole_body_in_small_parts_is_read(size):
    async def scenario():
        parts = 6000 // size
        part = b"%x\r\n" % size + b"x" * size + b"\r\n"
        server = RawUpstream("raw", RawResponse(HEAD + part * parts + b"0\r\n\r\n"))
        await server.start()
        client = HttpClient()
        response = await client.request(server.address, "GET", "/")
        assert await response.read() == b"x" * size * parts
        client.close()
        await server.stop()

    asyncio.run(scenario())


def test_caller_that_sends_parts_of_one_byte_does_not_delay_others():
    async def scenario():
        received = []

        async def handle(exchange):
            received.append(len(await exchange.read_body(100_000)))
            await exchange.respond(200, {}, b"")

        server = HttpServer(handle)
        await server.start("127.0.0.1", 0)

        async def send():
            reader, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(b"POST / HTTP/1.1\r\nhost: a\r\n")
            writer.write(b"transfer-encoding: chunked\r\n\r\n" + PART * 30_000)
            writer.write(b"0\r\n\r\n")
            assert (await reader.readline()).startswith(b"HTTP/1.1 200")
            writer.close()

        assert await measure_delay(join([send(), send()])) < MAX_DELAY_S
        assert received == [30_000, 30_000]
        await server.stop()

    asyncio.run(scenario())
