"""Reuse connections to a server that has lost them without a word."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from cornelnotch.exceptions import UpstreamError
from cornelnotch.web import HttpClient

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class RestartingServer:
    """Answer on connections of this life and reset what comes on older ones."""

    def __init__(self):
        self.life = 1
        self.opened = 0
        self.resets_new = False

    async def handle(self, reader, writer):
        born = self.life
        self.opened += 1
        is_reset = self.resets_new
        while await reader.read(65536):
            if is_reset or born != self.life:
                writer.transport.abort()
                return
            writer.write(ANSWER)
        writer.close()


@asynccontextmanager
async def run_server():
    server = RestartingServer()
    listener = await asyncio.start_server(server.handle, "127.0.0.1", 0)
    port = listener.sockets[0].getsockname()[1]
    client = HttpClient()
    try:
        yield server, client, f"127.0.0.1:{port}"
    finally:
        client.close()
        listener.close()


async def open_connections(client, address, count):
    answers = [await client.request(address, "GET", "/") for _ in range(count)]
    for answer in answers:
        await answer.read()


def test_one_reset_on_an_old_connection_spares_the_others_theirs():
    async def run():
        async with run_server() as (server, client, address):
            await open_connections(client, address, 4)
            assert server.opened == 4
            server.life = 2
            with pytest.raises(UpstreamError):
                await client.request(address, "GET", "/")
            await open_connections(client, address, 3)

    asyncio.run(run())


def test_nothing_is_sent_on_connections_to_a_life_that_has_ended():
    async def run():
        async with run_server() as (server, client, address):
            await open_connections(client, address, 4)
            server.life = 2
            client.drop_idle(address)
            await open_connections(client, address, 2)

    asyncio.run(run())


def test_a_reset_on_a_new_connection_costs_no_idle_ones():
    async def run():
        async with run_server() as (server, client, address):
            await open_connections(client, address, 2)
            server.resets_new = True
            with pytest.raises(UpstreamError):
                await client.request(address, "GET", "/", fresh=True)
            opened = server.opened
            await open_connections(client, address, 2)
            assert server.opened == opened

    asyncio.run(run())
