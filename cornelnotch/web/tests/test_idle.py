"""Tests of reusing idle connections to a server that has restarted.

Such a server does not close its old connections; it resets them on their next use.
"""

import asyncio
from contextlib import asynccontextmanager

import pytest

from cornelnotch.exceptions import UpstreamError
from cornelnotch.web import HttpClient

RESPONSE = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"


class RestartingServer:
    """Server that resets connections opened before its last restart."""

    def __init__(self):
        self.generation = 1
        self.opened = 0
        self.resets_new_connections = False

    async def handle(self, reader, writer):
        opened_generation = self.generation
        self.opened += 1
        reset = self.resets_new_connections
        while await reader.read(65536):
            if reset or opened_generation != self.generation:
                writer.transport.abort()
                return
            writer.write(RESPONSE)
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
    responses = [await client.request(address, "GET", "/") for _ in range(count)]
    for response in responses:
        await response.read()


def test_reset_of_an_idle_connection_discards_the_others():
    async def run():
        async with run_server() as (server, client, address):
            await open_connections(client, address, 4)
            assert server.opened == 4
            server.generation = 2
            with pytest.raises(UpstreamError):
                await client.request(address, "GET", "/")
            await open_connections(client, address, 3)

    asyncio.run(run())


def test_closing_idle_connections_prevents_reuse_after_a_restart():
    async def run():
        async with run_server() as (server, client, address):
            await open_connections(client, address, 4)
            server.generation = 2
            client.close_idle_connections(address)
            await open_connections(client, address, 2)

    asyncio.run(run())


def test_reset_of_a_new_connection_keeps_idle_ones():
    async def run():
        async with run_server() as (server, client, address):
            await open_connections(client, address, 2)
            server.resets_new_connections = True
            with pytest.raises(UpstreamError):
                await client.request(address, "GET", "/", fresh=True)
            opened = server.opened
            await open_connections(client, address, 2)
            assert server.opened == opened

    asyncio.run(run())
