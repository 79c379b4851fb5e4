"""Test that a host reads on from servers while callers read slowly."""

import asyncio
from typing import cast

import pytest

from cornelnotch.exceptions import CallerDisconnectedError
from cornelnotch.gateway.body_memory import BYTES_PER_MB, BodyMemory
from cornelnotch.gateway.tests.conftest import (
    HOST_NAME,
    KEY,
    run_deployment,
    wait_until,
)
from cornelnotch.pressure.unread_responses import UNREAD_SHARE, UnreadMemory
from cornelnotch.testing.virtual_time import VirtualClock, run_in_virtual_time
from cornelnotch.web import parse_address

PART = b"x" * 10_000
BODY_PART = b"y" * 65_536
# More than the systems of both sides take without reading.
BODY_PARTS = 160


class FakeExchange:
    """An exchange whose caller takes one part each `take_ms`."""

    def __init__(self, take_ms):
        self.take_ms = take_ms
        self.taken = []
        self.finished = self.aborted = False

    def has_room(self, size):
        return False

    async def send(self, data):
        await asyncio.sleep(self.take_ms / 1000.0)
        self.taken.append(data)

    async def finish(self):
        self.finished = True

    def abort(self):
        self.aborted = True


def create_memory(parts, ended=None):
    """Return memory for some unread parts."""
    bodies = BodyMemory(1.0)
    bodies.limit_bytes = int(parts * len(PART) / UNREAD_SHARE)
    note = (lambda held, spent_ms: ended.append(held)) if ended is not None else None
    memory = UnreadMemory(bodies, VirtualClock(), note or (lambda held, spent_ms: None))
    return memory, bodies


def test_a_server_is_read_on_while_its_caller_reads_slowly():
    # A server cuts off a response that stays unread for some seconds.
    async def run():
        memory, bodies = create_memory(20)
        exchange = FakeExchange(take_ms=1000.0)
        buffered = memory.wrap(exchange)
        for _ in range(10):
            await buffered.send(PART)
        assert VirtualClock().read() < 100.0
        assert bodies.held_bytes == memory.held_bytes == 10 * len(PART)
        await buffered.finish()
        assert exchange.taken == [PART] * 10
        assert exchange.finished
        assert bodies.held_bytes == memory.held_bytes == 0

    run_in_virtual_time(run())


def test_beyond_the_bound_the_slowest_caller_ends_and_others_go_on():
    async def run():
        ended: list[int] = []
        memory, bodies = create_memory(20, ended)
        slow, steady = FakeExchange(take_ms=60_000.0), FakeExchange(take_ms=50.0)
        stuck, served = memory.wrap(slow), memory.wrap(steady)
        for _ in range(18):
            await stuck.send(PART)
        for _ in range(60):
            await served.send(PART)
        await served.finish()
        assert len(steady.taken) == 60
        assert not steady.aborted
        with pytest.raises(CallerDisconnectedError):
            for _ in range(60):
                await stuck.send(PART)
        assert slow.aborted
        assert not slow.finished
        assert ended
        assert bodies.held_bytes == memory.held_bytes == 0

    run_in_virtual_time(run())


def test_a_steady_caller_of_a_large_response_is_waited_for():
    # A response may be larger than the memory; its caller must not lose it.
    async def run():
        ended: list[int] = []
        memory, _ = create_memory(5, ended)
        exchange = FakeExchange(take_ms=200.0)
        buffered = memory.wrap(exchange)
        for _ in range(100):
            await buffered.send(PART)
        await buffered.finish()
        assert len(exchange.taken) == 100
        assert not ended

    run_in_virtual_time(run())


def test_without_memory_a_caller_that_holds_nothing_is_served_as_before():
    async def run():
        ended: list[int] = []
        memory, bodies = create_memory(5, ended)
        bodies.hold().add(bodies.limit_bytes)
        exchange = FakeExchange(take_ms=3000.0)
        buffered = memory.wrap(exchange)
        for _ in range(3):
            await buffered.send(PART)
        await buffered.finish()
        assert len(exchange.taken) == 3
        assert not ended

    run_in_virtual_time(run())


def test_what_a_caller_left_is_released():
    async def run():
        memory, bodies = create_memory(5)
        buffered = memory.wrap(FakeExchange(take_ms=1000.0))
        for _ in range(4):
            await buffered.send(PART)
        buffered.close()
        await asyncio.sleep(0)
        assert bodies.held_bytes == memory.held_bytes == 0

    run_in_virtual_time(run())


def send_large_bodies(server, done):
    """Let a stand-in answer calls with large bodies in parts."""

    async def answer(exchange, headers):
        await exchange.start(200, headers)
        for _ in range(BODY_PARTS):
            await exchange.send(BODY_PART)
        await exchange.finish()
        done.append(server.name)

    server._answer = answer


async def open_unread_call(deployment):
    reader, writer = await asyncio.open_connection(
        *parse_address(deployment.settings.listen.callers), limit=1024
    )
    cast(asyncio.Transport, writer.transport).pause_reading()
    head = f"GET /read/a HTTP/1.1\r\nhost: {HOST_NAME}\r\nx-attempt-id: a1\r\n"
    writer.write(f"{head}x-key: {KEY}\r\nx-deadline-ms: 9000\r\n\r\n".encode())
    return reader, writer


def test_a_caller_that_reads_late_gets_its_whole_response():
    async def run():
        async with run_deployment() as deployment:
            done: list[str] = []
            for server in deployment.desks:
                send_large_bodies(server, done)
            reader, writer = await open_unread_call(deployment)
            await wait_until(lambda: done)
            context = deployment.host.context
            size = 0
            cast(asyncio.Transport, writer.transport).resume_reading()
            async with asyncio.timeout(5.0):
                while size < BODY_PARTS * len(BODY_PART):
                    size += (await reader.read(65536)).count(b"y")
            await wait_until(lambda: not context.unread.held_bytes)
            assert context.bodies.held_bytes == 0
            writer.close()

    asyncio.run(run())


def test_a_caller_that_never_reads_ends_without_harm_to_its_server():
    async def run():
        async with run_deployment() as deployment:
            context = deployment.host.context
            context.bodies.limit_bytes = BYTES_PER_MB // 4
            done: list[str] = []
            for server in deployment.desks:
                send_large_bodies(server, done)
            reader, writer = await open_unread_call(deployment)
            counted = b"cornelnotch_slow_callers_ended_total{"
            await wait_until(lambda: counted in context.metrics.render())
            await wait_until(lambda: not context.unread.held_bytes)
            views = context.pool.servers.values()
            assert not any(view.failures for view in views)
            assert all(view.ejected_until_ms == 0.0 for view in views)
            cast(asyncio.Transport, writer.transport).resume_reading()
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readexactly(BODY_PARTS * len(BODY_PART))
            writer.transport.abort()

    asyncio.run(run())
