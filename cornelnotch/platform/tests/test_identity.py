"""Test that a server's boot time is read from its report, if it has a sound one."""

import asyncio

import pytest

from cornelnotch.platform.identity import MAX_REPORT_BYTES, PlatformServerIdentity
from cornelnotch.web import HttpClient, HttpServer


def read_boot_ms(status, body):
    async def answer(exchange):
        assert (exchange.method, exchange.path) == ("GET", "/report")
        if status:
            await exchange.respond(status, {}, body)
        else:
            exchange.abort()

    async def run():
        server, client = HttpServer(answer), HttpClient()
        await server.start("127.0.0.1", 0)
        try:
            identity = PlatformServerIdentity(client)
            return await identity.read_boot_ms(f"127.0.0.1:{server.port}")
        finally:
            client.close()
            await server.stop()

    return asyncio.run(run())


def test_the_boot_time_of_a_report_is_read():
    assert read_boot_ms(200, b'{"born":1782778645914,"queued":0}') == 1782778645914


@pytest.mark.parametrize(
    ("status", "body"),
    [
        (404, b'{"born":5}'),
        (200, b"{}"),
        (200, b'{"born":"x"}'),
        (200, b'{"born":-1}'),
        (200, b'{"born":1e400}'),
        (200, b"[" * 100_000),
        (200, b""),
        (0, b""),
    ],
)
def test_a_server_without_a_sound_report_is_unknown(status, body):
    assert read_boot_ms(status, body) is None


def test_an_address_at_which_nobody_answers_is_unknown():
    client = HttpClient()
    assert (
        asyncio.run(PlatformServerIdentity(client).read_boot_ms("127.0.0.1:1")) is None
    )


# Guards against hosts whose memory fills with reports that have no end.
def test_report_without_end_is_given_up_and_its_connection_closed():
    sent_bytes = 0
    left = asyncio.Event()

    async def send_without_end(exchange):
        nonlocal sent_bytes
        await exchange.start(200, {})
        try:
            while True:
                await exchange.send(b"x" * 65536)
                sent_bytes += 65536
        finally:
            left.set()

    async def run():
        server, client = HttpServer(send_without_end), HttpClient()
        await server.start("127.0.0.1", 0)
        try:
            identity = PlatformServerIdentity(client)
            found = await identity.read_boot_ms(f"127.0.0.1:{server.port}")
            await asyncio.wait_for(left.wait(), 2.0)
            return found
        finally:
            client.close()
            await server.stop()

    assert asyncio.run(run()) is None
    assert sent_bytes < 16 * MAX_REPORT_BYTES


def test_report_that_stops_half_way_has_its_connection_closed():
    left = asyncio.Event()

    async def send_a_part(exchange):
        await exchange.start(200, {})
        await exchange.send(b"{")
        exchange._connection.watch_for_close()
        await exchange.disconnected.wait()
        left.set()

    async def run():
        server, client = HttpServer(send_a_part), HttpClient()
        await server.start("127.0.0.1", 0)
        try:
            identity = PlatformServerIdentity(client)
            assert await identity.read_boot_ms(f"127.0.0.1:{server.port}") is None
            await asyncio.wait_for(left.wait(), 2.0)
        finally:
            client.close()
            await server.stop()

    asyncio.run(run())
