"""Test that a server's boot time is read from its report, if it has a sound one."""

import asyncio

import pytest

from cornelnotch.platform.identity import PlatformServerIdentity
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
