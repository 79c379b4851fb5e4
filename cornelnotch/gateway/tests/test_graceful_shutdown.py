"""Test hosts that are stopped while callers keep their connections."""

import asyncio
import socket

import pytest

from cornelnotch.gateway.admission_client import AdmissionResult
from cornelnotch.gateway.durations import RequestDuration
from cornelnotch.gateway.flow import RequestFlow
from cornelnotch.gateway.tests.conftest import (
    create_host,
    create_settings,
    raise_timeouts,
    run_deployment,
    run_second_host,
    wait_until,
)
from cornelnotch.gateway.tests.kept_connection import KeptConnection

STREAM_EVENTS = 100
EVENT_MS = 20.0


def run_scenario(scenario):
    async def run():
        async with run_deployment() as deployment:
            await scenario(deployment)

    asyncio.run(run())


def start_drain(deployment, grace_s):
    """Start to drain like a process that gets SIGTERM; return its task."""
    deployment.host.settings.bounds.grace_s = grace_s
    deployment.host.start_drain()
    return asyncio.create_task(stop_when_drained(deployment.host))


async def stop_when_drained(host):
    await host.stopped.wait()
    await host.stop()


def count_runs(servers):
    return sum(sum(server.executions.values()) for server in servers)


async def keep_busy(deployment):
    """Send a call that waits until the drain ends; return its task."""
    for desk in deployment.desks:
        desk.faults.hang = True
    connection = await KeptConnection.open(deployment.settings.listen.callers)
    task = asyncio.create_task(connection.send("busy", "/book/x", "POST", b"b"))
    await wait_until(lambda: count_runs(deployment.desks) == 1)
    return task


def test_stream_that_outlasts_the_grace_period_is_refused_before_it_is_sent():
    async def scenario(d):
        for engine in d.engines:
            engine.events, engine.faults.event_ms = STREAM_EVENTS, EVENT_MS
        connection = await KeptConnection.open(d.settings.listen.callers)
        first = await connection.send("s1", "/stream/draft/x", "POST", b"p")
        assert first.whole
        stopping = start_drain(d, grace_s=5.0)
        await asyncio.sleep(2.6)
        late = await connection.send("s2", "/stream/draft/x", "POST", b"p")
        assert (late.status, late.whole) == (503, True)
        assert float(late.headers["retry-after"]) >= 0.0
        assert all("s2" not in engine.executions for engine in d.engines)
        await stopping

    run_scenario(scenario)


# Guards against streams that are cut at the end of a drain as they are longer than all
# before them.
@pytest.mark.parametrize("tokens", [0, 4 * STREAM_EVENTS])
def test_late_stream_that_may_be_longer_than_all_before_is_refused(tokens):
    async def scenario(d):
        for engine in d.engines:
            engine.events, engine.faults.event_ms = STREAM_EVENTS // 10, 1.5 * EVENT_MS
        headers = {"x-token-usage": f"10,{tokens}", "x-prompt-prefix": "a:5,b:5"}
        connection = await KeptConnection.open(d.settings.listen.callers)
        for number in range(10):
            reply = await connection.send(
                f"s{number}", "/stream/draft/x", "POST", b"p", **headers
            )
            assert reply.whole
        waiting = await keep_busy(d)
        stopping = start_drain(d, grace_s=6.0)
        await asyncio.sleep(3.1)
        for engine in d.engines:
            engine.events = STREAM_EVENTS
        late = await connection.send("late", "/stream/draft/x", "POST", b"p", **headers)
        assert (late.status, late.whole) == (503, True)
        assert "retry-after" in late.headers
        assert all("late" not in engine.executions for engine in d.engines)
        await waiting
        await stopping

    run_scenario(scenario)


def test_late_stream_whose_allowance_fits_is_served():
    async def scenario(d):
        for engine in d.engines:
            engine.events, engine.faults.event_ms = 10, EVENT_MS
        headers = {"x-token-usage": "10,20", "x-prompt-prefix": "a:5,b:5"}
        connection = await KeptConnection.open(d.settings.listen.callers)
        for number in range(10):
            reply = await connection.send(
                f"s{number}", "/stream/draft/x", "POST", b"p", **headers
            )
            assert reply.whole
        waiting = await keep_busy(d)
        stopping = start_drain(d, grace_s=7.0)
        await asyncio.sleep(3.1)
        for engine in d.engines:
            engine.events = 20
        late = await connection.send("late", "/stream/draft/x", "POST", b"p", **headers)
        assert (late.status, late.whole) == (200, True)
        await waiting
        await stopping

    run_scenario(scenario)


def test_call_without_a_response_at_the_end_of_the_grace_period_is_answered():
    async def scenario(d):
        for desk in d.desks:
            desk.faults.hang = True
        connection = await KeptConnection.open(d.settings.listen.callers)
        task = asyncio.create_task(connection.send("c1", "/book/x", "POST", b"b"))
        await wait_until(lambda: count_runs(d.desks) == 1)
        stopping = start_drain(d, grace_s=2.0)
        reply = await task
        assert (reply.status, reply.whole) == (504, True)
        await stopping

    run_scenario(scenario)


def test_stopped_host_passes_on_no_request_of_an_open_connection():
    async def scenario(d):
        connection = await KeptConnection.open(d.settings.listen.callers)
        assert (await connection.send("c1", "/read/x")).status == 200
        d.host.start_drain()
        await d.host.stopped.wait()
        for desk in d.desks:
            desk.faults.hang = True
        task = asyncio.create_task(connection.send("c2", "/book/x", "POST", b"b"))
        await asyncio.sleep(0.1)
        await d.host.stop()
        await task
        assert all("c2" not in desk.executions for desk in d.desks)

    run_scenario(scenario)


def test_requests_that_can_end_are_served_during_the_drain():
    async def scenario(d):
        connection = await KeptConnection.open(d.settings.listen.callers)
        for path in ("/read/x", "/book/x", "/stream/x", "/stream/draft/x"):
            assert (await connection.send(f"calm{path}", path)).status == 200
            connection.close()
            connection = await KeptConnection.open(d.settings.listen.callers)
        stopping = start_drain(d, grace_s=5.0)
        clock = d.host.clock
        began_ms = clock.read()
        number = 0
        while clock.read() < began_ms + 2500.0:
            number += 1
            for path in ("/read/x", "/book/x", "/stream/x", "/stream/draft/x"):
                connection = await KeptConnection.open(d.settings.listen.callers)
                reply = await connection.send(f"{path}/{number}", path)
                assert (reply.status, reply.whole) == (200, True)
        await stopping

    run_scenario(scenario)


def test_request_that_waits_for_admission_when_the_host_stops_is_refused():
    async def scenario(d):
        async def wait_for_ever(*arguments):
            await asyncio.Event().wait()

        d.host.context.admission.wait_for_admission = wait_for_ever
        connection = await KeptConnection.open(d.settings.listen.callers)
        headers = {"x-token-usage": "10,5", "x-prompt-prefix": "a:5,b:5"}
        task = asyncio.create_task(
            connection.send("s1", "/stream/draft/x", "POST", b"p", **headers)
        )
        await asyncio.sleep(0.1)
        stopping = start_drain(d, grace_s=1.0)
        reply = await task
        assert (reply.status, reply.whole) == (503, True)
        assert "retry-after" in reply.headers
        assert count_runs(d.engines) == 0
        await stopping

    run_scenario(scenario)


def test_request_with_an_incomplete_body_is_refused_when_the_host_stops():
    async def scenario(d):
        connection = await KeptConnection.open(d.settings.listen.callers)
        headers = {"content-length": "100"}
        task = asyncio.create_task(
            connection.send_part("c1", "/book/x", "POST", b"part", **headers)
        )
        await asyncio.sleep(0.1)
        stopping = start_drain(d, grace_s=1.0)
        reply = await task
        assert (reply.status, reply.whole) == (503, True)
        assert count_runs(d.desks) == 0
        await stopping

    run_scenario(scenario)


def test_paused_host_answers_its_requests_when_it_wakes_after_the_drain():
    async def scenario(d):
        for desk in d.desks:
            desk.faults.hang = True
        connection = await KeptConnection.open(d.settings.listen.callers)
        task = asyncio.create_task(connection.send("c1", "/book/x", "POST", b"b"))
        await wait_until(lambda: count_runs(d.desks) == 1)
        stopping = start_drain(d, grace_s=3.0)
        d.host.context.drain.end_ms = d.host.clock.read() - 1.0
        async with asyncio.timeout(1.0):
            assert (await task).status == 504
            await stopping

    run_scenario(scenario)


def test_draining_host_hears_of_loads_and_crashes_while_it_serves():
    async def scenario(d):
        async with run_second_host(d) as second:
            start_drain(d, grace_s=4.0)
            await asyncio.sleep(0.5)
            for boot in range(4):
                second.context.crashes.record_crash(
                    f"llm-{boot}", boot, [("p1",)], second.clock.read()
                )
            crashes = d.host.context.crashes
            await wait_until(lambda: crashes.count_crashes() == 4, 2.0)

    run_scenario(scenario)


class FullListener:
    """A server whose queue of new connections is full."""

    name = "desk-9"

    def __init__(self):
        self.listener = socket.socket()
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.queued = [socket.socket() for _ in range(4)]
        for connection in self.queued:
            connection.setblocking(False)
            connection.connect_ex(self.listener.getsockname())

    def close(self):
        for connection in (self.listener, *self.queued):
            connection.close()


def test_request_that_was_not_sent_when_the_host_stops_is_said_not_to_have_run():
    async def scenario(d):
        full = FullListener()
        for desk in d.desks:
            d.drop_server(desk)
        await wait_until(lambda: d.count_servers() == 2)
        d.list_server(full, "desk")
        await wait_until(lambda: d.count_servers() == 3)
        connection = await KeptConnection.open(d.settings.listen.callers)
        headers = {"x-deadline-ms": "500"}
        task = asyncio.create_task(
            connection.send("c1", "/book/x", "POST", b"b", **headers)
        )
        await asyncio.sleep(0.3)
        stopping = start_drain(d, grace_s=0.2)
        assert (await task).status == 503
        await stopping
        full.close()

    run_scenario(scenario)


def test_drain_does_not_extend_the_deadline_of_a_running_request():
    async def scenario(d):
        for desk in d.desks:
            desk.faults.hang = True
        connection = await KeptConnection.open(d.settings.listen.callers)
        headers = {"x-deadline-ms": "700"}
        send = connection.send("c1", "/book/x", "POST", b"b", **headers)
        task = asyncio.create_task(send)
        await wait_until(lambda: count_runs(d.desks) == 1)
        stopping = start_drain(d, grace_s=4.0)
        async with asyncio.timeout(1.5):
            assert (await task).status == 504
        await stopping

    run_scenario(scenario)


def test_stream_that_breaks_off_during_the_drain_is_resumed():
    async def scenario(d):
        for engine in d.engines:
            engine.events, engine.faults.event_ms = 60, 20.0
        for engine in d.engines:
            engine.faults.abort_after_events = 40
        connection = await KeptConnection.open(d.settings.listen.callers)
        task = asyncio.create_task(connection.send("s1", "/stream/x", "POST", b"p"))
        await wait_until(lambda: count_runs(d.engines) == 1)
        stopping = start_drain(d, grace_s=3.0)
        await asyncio.sleep(0.3)
        for engine in d.engines:
            if not engine.executions["s1"]:
                engine.faults.abort_after_events = None
        reply = await task
        assert (reply.status, reply.whole) == (200, True)
        assert count_runs(d.engines) == 2
        await stopping

    run_scenario(scenario)


def test_stream_that_is_admitted_too_late_to_end_is_refused():
    async def scenario(d):
        async def wait(*arguments):
            await asyncio.sleep(1.5)
            return AdmissionResult.GRANTED

        duration = RequestDuration(10.0, 2000.0, 100, 100)
        for _ in range(60):
            d.host.context.durations.record("draft", duration)
        d.host.context.admission.wait_for_admission = wait
        stopping = start_drain(d, grace_s=4.0)
        connection = await KeptConnection.open(d.settings.listen.callers)
        headers = {"x-token-usage": "10,100", "x-prompt-prefix": "a:5,b:5"}
        reply = await connection.send("s1", "/stream/draft/x", "POST", b"p", **headers)
        assert (reply.status, reply.whole) == (503, True)
        assert count_runs(d.engines) == 0
        await stopping

    run_scenario(scenario)


def test_request_that_crosses_an_early_close_is_refused_before_it_is_sent():
    async def scenario(d):
        connection = await KeptConnection.open(d.settings.listen.callers)
        assert (await connection.send("c1", "/book/x")).status == 200
        shut_down = d.host.server.shut_down

        async def shut_down_with_arrival(timeout_s):
            (open_connection,) = d.host.server._open_connections
            open_connection._reader.feed_data(
                b"POST /book/x HTTP/1.1\r\nhost: app.example\r\nx-attempt-id: c2\r\n"
                b"x-key: key-1\r\nx-deadline-ms: 9000\r\ncontent-length: 0\r\n\r\n"
            )
            return await shut_down(timeout_s)

        d.host.server.shut_down = shut_down_with_arrival
        stopping = start_drain(d, grace_s=6.0)
        data = await connection.reader.read()
        assert data.startswith(b"HTTP/1.1 503")
        assert all("c2" not in desk.executions for desk in d.desks)
        await stopping

    run_scenario(scenario)


def test_stream_of_unknown_duration_is_served_while_callers_are_expected():
    async def scenario(d):
        stopping = start_drain(d, grace_s=4.0)
        connection = await KeptConnection.open(d.settings.listen.callers)
        headers = {"x-token-usage": "10,4000"}
        reply = await connection.send("s1", "/stream/x", "POST", b"p", **headers)
        assert (reply.status, reply.whole) == (200, True)
        await stopping

    run_scenario(scenario)


def test_host_that_is_stopped_while_it_starts_serves_its_callers():
    async def scenario(d):
        settings = create_settings(d.store, "host-2", seeds=d.settings.listen.peers)
        host = create_host(settings)
        await host.start()
        host.start_drain()
        stopping = asyncio.create_task(stop_when_drained(host))
        connection = await KeptConnection.open(settings.listen.callers)
        reply = await connection.send("c1", "/read/x")
        assert (reply.status, reply.whole) == (200, True)
        assert not host.is_ready()
        await stopping

    run_scenario(scenario)


def test_host_that_is_stopped_before_it_is_ready_sends_callers_away_at_once():
    async def scenario(d):
        d.store.fault = "silent"
        settings = create_settings(d.store, "host-2")
        host = create_host(settings)
        await host.start()
        host.start_drain()
        stopping = asyncio.create_task(stop_when_drained(host))
        connection = await KeptConnection.open(settings.listen.callers)
        reply = await connection.send("c1", "/read/x")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) <= 0.1
        await stopping

    run_scenario(scenario)


def test_stream_that_its_caller_does_not_read_does_not_lengthen_the_estimate(
    monkeypatch,
):
    may_read = asyncio.Event()
    send_events = RequestFlow.send_events

    async def send_when_read(flow, events):
        if flow.request.request_id == "s1":
            flow.exchange.send = delay_until_read(flow.exchange.send)
        await send_events(flow, events)

    def delay_until_read(send):
        async def wait_and_send(data):
            await may_read.wait()
            await send(data)

        return wait_and_send

    async def scenario(d):
        await raise_timeouts(d)
        for _ in range(60):
            duration = RequestDuration(10.0, 1000.0, 0, STREAM_EVENTS)
            d.host.context.durations.record("draft", duration)
        connections = [
            await KeptConnection.open(d.settings.listen.callers) for _ in range(2)
        ]
        send = connections[0].send("s1", "/stream/draft/x", "POST", b"p")
        unread = asyncio.create_task(send)
        await wait_until(lambda: count_runs(d.engines) == 1)
        stopping = start_drain(d, grace_s=8.0)
        await asyncio.sleep(3.4)
        headers = {"x-token-usage": f"10,{STREAM_EVENTS}"}
        reply = await connections[1].send(
            "s2", "/stream/draft/x", "POST", b"p", **headers
        )
        assert (reply.status, reply.whole) == (200, True)
        may_read.set()
        assert (await unread).whole
        await stopping

    monkeypatch.setattr(RequestFlow, "send_events", send_when_read)
    run_scenario(scenario)
