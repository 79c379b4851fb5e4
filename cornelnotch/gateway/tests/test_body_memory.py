"""Test how much memory the bodies of requests take."""

import asyncio
import gc
import random
import tracemalloc
from contextlib import contextmanager

import pytest

from cornelnotch.exceptions import HostMemoryError
from cornelnotch.gateway.body_memory import BodyMemory
from cornelnotch.gateway.flow import RequestFlow
from cornelnotch.gateway.tests.conftest import run_deployment, wait_until
from cornelnotch.gateway.tests.kept_connection import KeptConnection

BODY_BYTES = 1_000_000
REQUESTS = 25


def run_scenario(scenario):
    async def run():
        async with run_deployment() as deployment:
            await scenario(deployment)

    asyncio.run(run())


@contextmanager
def disable_collector():
    """Let only reference counts free objects."""
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        gc.enable()


def count_flows():
    return sum(isinstance(found, RequestFlow) for found in gc.get_objects())


def count_runs(deployment):
    return sum(sum(desk.executions.values()) for desk in deployment.desks)


async def send_bodies(deployment, path, body):
    for number in range(REQUESTS):
        answer = await deployment.send(path, "POST", body, x_attempt_id=f"b{number}")
        await answer.read()
        assert answer.status == 200
        for server in deployment.desks + deployment.engines:
            server.bodies.clear()


# Guards against hosts that run out of memory as answered requests keep their bodies
# until the next collection of reference cycles.
def test_answered_requests_are_freed_without_a_collection():
    async def scenario(d):
        body = random.Random(1).randbytes(BODY_BYTES)
        for path in ("/book/x", "/read/x", "/stream/x"):
            await send_bodies(d, path, b"small")
            tracemalloc.start()
            with disable_collector():
                flows = count_flows()
                before = tracemalloc.get_traced_memory()[0]
                await send_bodies(d, path, body)
                grown = tracemalloc.get_traced_memory()[0] - before
                assert grown < 2 * BODY_BYTES
                assert count_flows() <= flows + 1
            tracemalloc.stop()

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["fail", "abort", "refuse", "unsigned"])
def test_failed_requests_are_freed_without_a_collection(fault):
    async def scenario(d):
        body = random.Random(1).randbytes(BODY_BYTES)
        for server in d.desks + d.engines:
            setattr(server.faults, fault, True)
        with disable_collector():
            flows = count_flows()
            for path in ("/book/x", "/read/x", "/stream/x"):
                for number in range(3):
                    answer = await d.send(
                        path, "POST", body, x_attempt_id=f"{path}{number}"
                    )
                    await answer.read()
            assert count_flows() <= flows + 1
        assert d.host.context.bodies.held_bytes == 0

    run_scenario(scenario)


def test_requests_whose_callers_leave_are_freed_without_a_collection():
    async def scenario(d):
        for desk in d.desks:
            desk.faults.hang = True
        with disable_collector():
            flows = count_flows()
            for number in range(5):
                connection = await KeptConnection.open(d.settings.listen.callers)
                task = asyncio.create_task(
                    connection.send(f"c{number}", "/book/x", "POST", b"b")
                )
                await wait_until(lambda: d.host.frontend.active == 1)
                connection.close()
                await wait_until(lambda: d.host.frontend.active == 0)
                await task
            assert count_flows() <= flows + 1

    run_scenario(scenario)


def limit_memory(deployment, bodies):
    """Let the host hold a number of bodies."""
    deployment.host.context.bodies.limit_bytes = bodies * BODY_BYTES


# Guards against hosts that run out of memory as nothing bounds the bodies of the
# requests that they hold at the same time.
def test_requests_whose_bodies_find_no_memory_are_refused_as_not_run():
    async def scenario(d):
        limit_memory(d, 3)
        for desk in d.desks:
            desk.faults.hang = True
        body = random.Random(1).randbytes(BODY_BYTES)
        tasks = [
            asyncio.create_task(
                d.send("/book/x", "POST", body, x_attempt_id=f"b{number}")
            )
            for number in range(6)
        ]
        await wait_until(lambda: sum(task.done() for task in tasks) == 3)
        refused = [task.result() for task in tasks if task.done()]
        assert [answer.status for answer in refused] == [503] * 3
        assert all(float(answer.headers["retry-after"]) > 0 for answer in refused)
        await wait_until(lambda: count_runs(d) == 3)
        small = await d.send("/open/x", x_attempt_id="small", x_deadline_ms="300")
        assert small.status == 504
        for task in tasks:
            assert (await task).status in {503, 504}
        await wait_until(lambda: d.host.context.bodies.held_bytes == 0)
        for desk in d.desks:
            desk.faults.hang = False
        answer = await d.send("/book/x", "POST", body, x_attempt_id="later")
        assert answer.status == 200

    run_scenario(scenario)


def test_bodies_that_stop_half_way_return_their_memory_when_their_callers_leave():
    async def scenario(d):
        limit_memory(d, 2)
        part = random.Random(1).randbytes(BODY_BYTES // 2)
        headers = {"content-length": str(BODY_BYTES)}
        connections, tasks = [], []
        for number in range(4):
            connection = await KeptConnection.open(d.settings.listen.callers)
            send = connection.send_part(
                f"p{number}", "/book/x", "POST", part, **headers
            )
            connections.append(connection)
            tasks.append(asyncio.create_task(send))
        bodies = d.host.context.bodies
        await wait_until(lambda: bodies.held_bytes == 2 * BODY_BYTES)
        answer = await d.send("/book/x", "POST", part, x_attempt_id="no-room")
        assert answer.status == 503
        for connection in connections:
            connection.close()
        await wait_until(lambda: bodies.held_bytes == 0)
        answer = await d.send("/book/x", "POST", part, x_attempt_id="room")
        assert answer.status == 200
        await asyncio.gather(*tasks)

    run_scenario(scenario)


def test_memory_for_bodies_is_a_share_of_that_of_the_host():
    memory = BodyMemory(100.0)
    first, second = memory.hold(), memory.hold()
    first.add(memory.limit_bytes - 10)
    second.add(10)
    with pytest.raises(HostMemoryError):
        second.add(1)
    first.release()
    first.release()
    assert memory.held_bytes == 10
    second.add(memory.limit_bytes - 10)
    assert 0 < memory.limit_bytes < 100_000_000
