"""Test that crashes of servers are told from closed connections, over real sockets."""

import asyncio

import pytest

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.admission_client import AdmissionResult
from cornelnotch.gateway.servers import InFlightRequest
from cornelnotch.gateway.tests.conftest import run_deployment, wait_until
from cornelnotch.standins.raw import ConnectionEnd, RawResponse, RawUpstream

START = (
    b"HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-server-signature: s\r\n"
    b"transfer-encoding: chunked\r\n\r\n5\r\nid: 1\r\n"
)
PROMPT = "aa:100,bad:50,own%d:20"


async def send(d, number, path="/stream/draft/x"):
    response = await d.send(
        path,
        "POST",
        x_attempt_id=f"r{number}",
        x_prompt_prefix=PROMPT % number,
        x_token_usage="170,10",
    )
    try:
        await response.read()
    except UpstreamError:
        return 0
    return response.status


async def send_until_servers_end(d, count, end):
    """Send one request to each of `count` servers, each the only one when it comes."""
    for server in d.engines:
        d.drop_server(server)
    pool = d.host.context.pool.servers
    statuses = []
    for number in range(count):
        raw = RawUpstream(f"raw-{number}", RawResponse(START, end=end))
        await raw.start()
        d.list_server(raw, "llm")
        await wait_until(lambda name=raw.name: name in pool)
        await wait_until(lambda: len(pool) == 3)
        statuses.append(await send(d, number))
        d.drop_server(raw)
        await wait_until(lambda name=raw.name: name not in pool)
        await raw.stop()
    return statuses


@pytest.mark.parametrize("end", [ConnectionEnd.CLOSE, ConnectionEnd.RESET])
def test_closed_connections_of_running_servers_blame_no_prompt(end):
    async def run():
        async with run_deployment() as d:
            assert await send_until_servers_end(d, 5, end) == [0] * 5
            assert d.host.context.crashes.count_crashes() == 0

    asyncio.run(run())


def test_a_prompt_that_crashes_three_servers_is_refused_for_good():
    async def run():
        async with run_deployment() as d:
            statuses = await send_until_servers_end(d, 4, ConnectionEnd.CLOSE_AND_EXIT)
            assert statuses == [0, 0, 0, 500]
            assert d.host.context.crashes.count_crashes() == 3
            metrics = d.host.render_metrics()
            assert b"cornelnotch_server_crashes_total" in metrics

    asyncio.run(run())


def record_crashes(d, count):
    context = d.host.context
    for number in range(count):
        now = context.clock.read() - 2000.0 * number
        context.crashes.record_crash(f"old-{number}", 1, [("aa", "bad")], now)


@pytest.mark.parametrize(("earlier_crashes", "is_resumed"), [(0, True), (1, False)])
def test_a_suspected_request_is_not_sent_on_after_a_crash(earlier_crashes, is_resumed):
    async def run():
        async with run_deployment() as d:
            raw = RawUpstream(
                "raw", RawResponse(START, end=ConnectionEnd.CLOSE_AND_EXIT)
            )
            await raw.start()
            d.list_server(raw, "llm")
            d.drop_server(d.engines[0])
            pool = d.host.context.pool.servers
            await wait_until(lambda: "raw" in pool and "llm-1" not in pool)
            for number in range(5):
                busy = InFlightRequest(f"busy {number}", 0.0, 5000)
                pool["llm-2"].start(busy)
            record_crashes(d, earlier_crashes)
            status = await send(d, 1, "/stream/x")
            assert raw.requests == 1
            assert (status == 200, bool(d.engines[1].executions)) == (is_resumed,) * 2
            await raw.stop()

    asyncio.run(run())


def test_a_request_blamed_while_it_waits_for_admission_is_not_sent():
    async def run():
        async with run_deployment() as d:

            async def admit_late(*arguments):
                record_crashes(d, 3)
                return AdmissionResult.GRANTED

            d.host.context.admission.wait_for_admission = admit_late
            assert await send(d, 1) == 500
            assert not any(engine.executions for engine in d.engines)

    asyncio.run(run())


def hold_first_connection(client, address, released):
    """Let the first connection to an address wait; return the event of its begin."""
    connect, begun = client._connect, asyncio.Event()

    async def connect_late(target):
        if target == address and not begun.is_set():
            begun.set()
            await released.wait()
        return await connect(target)

    client._connect = connect_late
    return begun


def test_a_request_that_never_reached_the_server_is_not_accused_of_its_crash():
    async def run():
        async with run_deployment() as d:
            answer = RawResponse(START, end=ConnectionEnd.CLOSE_AND_EXIT)
            raw = RawUpstream("raw", answer)
            await raw.start()
            for server in d.engines:
                d.drop_server(server)
            d.list_server(raw, "llm")
            context = d.host.context
            await wait_until(
                lambda: set(context.pool.servers) == {"raw", "desk-1", "desk-2"}
            )
            accused: list[str] = []
            record_crash = context.crash_watch._record_crash

            def note_crash(life, requests):
                accused.extend(request.request_id for request in requests)
                record_crash(life, requests)

            context.crash_watch._record_crash = note_crash
            released = asyncio.Event()
            begun = hold_first_connection(context.client, raw.address, released)
            connecting = asyncio.create_task(send(d, 1))
            await begun.wait()
            assert await send(d, 2) == 0
            released.set()
            await connecting
            assert raw.requests == 1
            assert set(accused) == {"r2"}
            await raw.stop()

    asyncio.run(run())
