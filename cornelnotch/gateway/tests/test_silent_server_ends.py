"""Test that nothing is left of a search when its request ends."""

import asyncio

from cornelnotch.gateway.tests.conftest import create_configuration, wait_until
from cornelnotch.gateway.tests.kept_connection import KeptConnection
from cornelnotch.gateway.tests.test_graceful_shutdown import (
    count_runs,
    run_scenario,
    start_drain,
)
from cornelnotch.gateway.tests.test_silent_servers import EVENTS

PROMPT = {"x-token-usage": "20,60", "x-prompt-prefix": "aa:10,bb:10"}


def is_idle(d):
    views = d.host.context.pool.servers.values()
    return not d.host.context.admission._states and not any(
        view.in_flight for view in views
    )


async def begin_search(d):
    """Begin a stream; return its connection, task and servers during a search."""
    for engine in d.engines:
        engine.events, engine.faults.event_ms = EVENTS, 20.0
        engine.faults.stall_after_events = 20
    connection = await KeptConnection.open(d.settings.listen.callers)
    send = connection.send("s1", "/stream/x", "POST", b"p", **PROMPT)
    task = asyncio.create_task(send)
    await wait_until(lambda: count_runs(d.engines) == 1)
    running = next(engine for engine in d.engines if engine.executions["s1"])
    other = next(engine for engine in d.engines if engine is not running)
    other.faults.first_ms = 9000.0
    await wait_until(lambda: other.executions["s1"] == 1)
    assert not is_idle(d)
    return connection, task, running, other


def test_nothing_is_left_when_the_caller_leaves_during_a_search():
    async def scenario(d):
        connection, task, running, other = await begin_search(d)
        connection.close()
        await wait_until(lambda: is_idle(d))
        await wait_until(lambda: running.disconnects == 1)
        await asyncio.gather(task, return_exceptions=True)

    run_scenario(scenario)


def test_nothing_is_left_when_the_time_limit_passes_during_a_search():
    async def scenario(d):
        connection, task, running, other = await begin_search(d)
        assert not (await task).whole
        await wait_until(lambda: is_idle(d))
        await wait_until(lambda: running.disconnects == 1)

    run_scenario(scenario)


def test_nothing_is_left_when_the_silent_server_goes_on_during_a_search():
    async def scenario(d):
        for engine in d.engines:
            engine.faults.stall_ms = 1800.0
        connection, task, running, other = await begin_search(d)
        await wait_until(lambda: sum(bool(e.executions["s1"]) for e in d.engines) == 2)
        view = d.host.context.pool.servers[other.name]
        await wait_until(lambda: not view.in_flight)
        assert (await task).whole
        await wait_until(lambda: is_idle(d))

    run_scenario(scenario)


def test_stream_goes_on_at_a_limited_server_and_leaves_no_place():
    async def scenario(d):
        for engine in d.engines:
            engine.faults.rate_limit = "20"
            engine.events, engine.faults.event_ms = EVENTS, 20.0
        connection = await KeptConnection.open(d.settings.listen.callers)
        warm = connection.send("w1", "/stream/x", "POST", b"p", **PROMPT)
        assert (await warm).whole
        for engine in d.engines:
            engine.executions.clear()
            engine.faults.stall_after_events = 20
        send = connection.send("s1", "/stream/x", "POST", b"p", **PROMPT)
        task = asyncio.create_task(send)
        await wait_until(lambda: count_runs(d.engines) == 1)
        for engine in d.engines:
            if not engine.executions["s1"]:
                engine.faults.stall_after_events = None
        reply = await task
        assert (reply.whole, reply.body.count(b"id: ")) == (True, EVENTS)
        assert [engine.executions["s1"] for engine in d.engines] == [1, 1]
        await wait_until(lambda: is_idle(d))

    run_scenario(scenario)


def test_call_at_a_slow_server_is_answered_during_a_stop():
    async def scenario(d):
        configuration = create_configuration(2)
        for route in configuration["routes"]:
            route["timeout_ms"] = 9000
        d.configure(configuration)
        await wait_until(lambda: d.host.context.table.version == 2)

        async def answer(exchange, headers):
            first = len(started) == 0
            started.append(exchange)
            await asyncio.sleep(0.9 if first else 8.0)
            await exchange.respond(200, headers, b"done")

        started: list[object] = []
        for desk in d.desks:
            desk._answer = answer
        connection = await KeptConnection.open(d.settings.listen.callers)
        task = asyncio.create_task(connection.send("c1", "/read/x"))
        await wait_until(lambda: len(started) == 1)
        stopping = start_drain(d, 4.0)
        reply = await task
        assert (reply.status, reply.whole) == (200, True)
        await stopping

    run_scenario(scenario)
