"""Tests of cancelling a task while it waits for another task to end."""

import asyncio

import pytest

from cornelnotch.kernel.tasks import cancel_and_wait
from cornelnotch.web import HttpClient, HttpServer


async def start_server(handler):
    server = HttpServer(handler)
    await server.start("127.0.0.1", 0)
    return server, f"127.0.0.1:{server.port}"


def test_request_cancelled_while_reusing_a_connection_is_not_sent():
    async def run():
        seen = []

        async def handle(exchange):
            seen.append(exchange.path)
            await exchange.respond(200, {}, b"")

        server, address = await start_server(handle)
        client = HttpClient()
        await (await client.request(address, "GET", "/first")).read()
        second = asyncio.create_task(client.request(address, "GET", "/second"))
        await asyncio.sleep(0)
        second.cancel()
        with pytest.raises(asyncio.CancelledError):
            await second
        await asyncio.sleep(0.05)
        assert seen == ["/first"]
        client.close()
        await server.stop()

    asyncio.run(run())


def test_cancel_and_wait_does_not_swallow_cancellation_of_its_caller():
    async def run():
        inner = asyncio.create_task(asyncio.sleep(60))
        outer = asyncio.create_task(cancel_and_wait(inner))
        await asyncio.sleep(0)
        outer.cancel()
        with pytest.raises(asyncio.CancelledError):
            await outer
        await asyncio.sleep(0)
        assert inner.cancelled()

    asyncio.run(run())


def test_cancel_and_wait_raises_the_exception_of_a_failed_task():
    async def run():
        async def fail():
            raise ValueError("broken")

        inner = asyncio.create_task(fail())
        await asyncio.sleep(0)
        with pytest.raises(ValueError, match="broken"):
            await cancel_and_wait(inner)

    asyncio.run(run())


def test_connection_task_ends_when_cancelled_while_stopping_its_watcher():
    async def run():
        connections = []

        async def handle(exchange):
            await exchange.read_body(1000)
            await exchange.respond(200, {}, b"")
            connection = asyncio.current_task()
            assert connection is not None
            connections.append(connection)
            # Cancels the connection's task once this handler has returned, while the
            # task stops watching for a close by the caller.
            asyncio.get_running_loop().call_soon(connection.cancel)

        server, address = await start_server(handle)
        client = HttpClient()
        await (await client.request(address, "GET", "/x")).read()
        done, _ = await asyncio.wait(connections, timeout=2.0)
        assert len(done) == 1
        client.close()
        await server.stop()

    asyncio.run(run())
