"""Test that hosts stop using servers that announce leaving or ask for a backoff."""

import asyncio
from dataclasses import replace

import pytest

from cornelnotch.gateway.models import ServerRecord
from cornelnotch.gateway.servers import MAX_BACKOFF_MS, ServerPool
from cornelnotch.gateway.tests.conftest import (
    run_deployment,
    run_second_host,
    wait_until,
)
from cornelnotch.platform.header_codec import PlatformHeaderCodec

RECORD = ServerRecord("s1", "desk", "10.0.0.1:80", "north-a", 8, boot_ms=100)


def run_scenario(scenario):
    async def run():
        async with run_deployment() as deployment:
            await scenario(deployment)

    asyncio.run(run())


async def send_calls(deployment, count, path="/read/x"):
    for number in range(count):
        answer = await deployment.send(path, x_attempt_id=f"{path}{number}")
        await answer.read()


@pytest.mark.parametrize(
    ("faults", "path", "method"),
    [
        ({}, "/read/x", "GET"),
        ({"fail": True}, "/read/x", "GET"),
        ({"refuse": True}, "/read/x", "GET"),
        ({"wrong_id": True}, "/read/x", "GET"),
        ({}, "/stream/x", "POST"),
    ],
)
def test_a_server_that_announces_leaving_gets_no_more_requests(faults, path, method):
    async def scenario(d):
        servers = d.engines if path.startswith("/stream/") else d.desks
        leaving = servers[0]
        leaving.faults.leaving = True
        for name, value in faults.items():
            setattr(leaving.faults, name, value)
        for number in range(8):
            answer = await d.send(path, method, x_attempt_id=f"a{number}")
            await answer.read()
        assert len(leaving.received_headers) == 1
        assert len(servers[1].received_headers) >= 7

    run_scenario(scenario)


def test_a_leaving_notice_reaches_other_hosts():
    async def scenario(d):
        d.desks[0].faults.leaving = True
        async with run_second_host(d) as other:
            await send_calls(d, 4)
            view = other.context.pool.servers["desk-1"]
            await wait_until(lambda: view.leaving, 1.0)
            assert not other.context.accepts(view)

    run_scenario(scenario)


def test_a_stale_record_does_not_bring_a_leaving_server_back():
    async def scenario(d):
        d.list_server(d.desks[0], "desk", born=100)
        pool = d.host.context.pool
        await wait_until(lambda: pool.servers["desk-1"].record.boot_ms == 100, 3.0)
        d.desks[0].faults.leaving = True
        await send_calls(d, 4)
        d.drop_server(d.desks[0])
        await wait_until(lambda: "desk-1" not in pool.servers, 3.0)
        d.list_server(d.desks[0], "desk", born=100)
        await wait_until(lambda: "desk-1" in pool.servers, 3.0)
        await send_calls(d, 4)
        assert len(d.desks[0].received_headers) == 1
        d.desks[0].faults.leaving = False
        d.list_server(d.desks[0], "desk", born=200)
        await wait_until(lambda: pool.servers["desk-1"].record.boot_ms == 200, 3.0)
        d.drop_server(d.desks[1])
        await wait_until(lambda: "desk-2" not in pool.servers, 3.0)
        answer = await d.send("/read/x", x_attempt_id="again")
        assert (await answer.read()) == b"done by desk-1"

    run_scenario(scenario)


def test_an_older_leaving_notice_does_not_affect_a_later_boot():
    pool = ServerPool()
    pool.replace([replace(RECORD, boot_ms=200)])
    assert pool.mark_leaving("s1", 100)
    assert not pool.servers["s1"].leaving
    assert pool.mark_leaving("s1", 200)
    assert not pool.mark_leaving("s1", 200)
    assert pool.servers["s1"].leaving
    pool.replace([])
    pool.replace([replace(RECORD, boot_ms=100)])
    assert pool.servers["s1"].leaving


def test_a_leaving_notice_applies_to_a_record_that_arrives_later():
    pool = ServerPool()
    assert pool.mark_leaving("s1", 100)
    pool.replace([RECORD])
    assert not pool.list_usable("desk", 0.0)
    pool.replace([replace(RECORD, boot_ms=101)])
    assert pool.list_usable("desk", 0.0)


def test_a_server_that_asks_for_a_pause_gets_no_requests_until_its_end():
    async def scenario(d):
        paused = d.desks[0]
        paused.faults.refuse = True
        paused.faults.retry_after = "0.8"
        began = asyncio.get_running_loop().time()
        await send_calls(d, 8)
        assert len(paused.received_headers) == 1
        paused.faults.refuse = False
        await asyncio.sleep(began + 1.0 - asyncio.get_running_loop().time())
        d.desks[1].faults.refuse = True
        answer = await d.send("/read/x", x_attempt_id="later")
        assert (await answer.read()) == b"done by desk-1"

    run_scenario(scenario)


def test_callers_get_a_retry_delay_if_all_servers_are_paused():
    async def scenario(d):
        for server in d.desks:
            server.faults.refuse = True
            server.faults.retry_after = "0.9"
        await send_calls(d, 1)
        seen = sum(len(server.received_headers) for server in d.desks)
        answer = await d.send("/book/x", "POST", x_attempt_id="later")
        await answer.read()
        assert answer.status == 503
        assert 0.4 <= float(answer.headers["retry-after"]) <= 0.9
        assert sum(len(server.received_headers) for server in d.desks) == seen

    run_scenario(scenario)


def test_streams_are_not_sent_to_a_paused_engine():
    async def scenario(d):
        view = d.host.context.pool.servers["llm-1"]
        view.back_off(60_000.0, d.host.clock.read())
        assert not d.host.context.accepts(view)
        for number in range(4):
            answer = await d.send(
                "/stream/x",
                "POST",
                x_attempt_id=f"s{number}",
                x_token_usage="1000,50",
                x_prompt_prefix="aa:900,bb:100",
            )
            await answer.read()
        assert not d.engines[0].received_headers

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("status", "text", "rest_ms", "malformed"),
    [
        (503, "2", 2000.0, ""),
        (503, "0.25", 250.0, ""),
        (503, "1e9", 1e12, ""),
        (503, "nan", 0.0, "nan"),
        (503, "inf", 0.0, "inf"),
        (503, "-1", 0.0, "-1"),
        (503, "soon", 0.0, "soon"),
        (500, "2", 0.0, ""),
        (503, "", 0.0, ""),
    ],
)
def test_the_duration_of_a_backoff_is_validated(status, text, rest_ms, malformed):
    headers = [(b"Retry-After", text.encode())] if text else []
    head = PlatformHeaderCodec().read_response(status, headers)
    assert head.backoff_ms == rest_ms
    assert head.malformed_backoff == malformed


def test_a_backoff_is_bounded_and_never_shortened():
    pool = ServerPool()
    pool.replace([RECORD])
    view = pool.servers["s1"]
    assert view.back_off(1e12, 0.0) == MAX_BACKOFF_MS
    view.back_off(10.0, 5.0)
    assert view.backoff_until_ms == MAX_BACKOFF_MS
    assert pool.find_backoff_ms("desk", 0.0) == MAX_BACKOFF_MS
    assert not pool.list_usable("desk", MAX_BACKOFF_MS - 1)
    assert pool.list_usable("desk", MAX_BACKOFF_MS)


def test_a_notice_from_a_reused_address_does_not_affect_the_listed_server():
    async def scenario(d):
        d.desks[0].name = "someone-else"
        d.desks[0].faults.leaving = True
        await send_calls(d, 6)
        assert not d.host.context.pool.servers["desk-1"].announced_leaving

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("path", "method"),
    [("/read/x", "GET"), ("/book/x", "POST"), ("/stream/x", "POST")],
)
def test_request_is_not_sent_to_a_server_that_leaves_while_a_connection_is_made(
    path, method, monkeypatch
):
    async def scenario(d):
        context = d.host.context
        servers = d.engines if path.startswith("/stream/") else d.desks
        leaving = servers[0]
        acquire = context.client._acquire

        async def connect(address, fresh):
            connection = await acquire(address, fresh)
            for view in context.pool.servers.values():
                if view.record.address == address == leaving.address:
                    context.pool.mark_leaving(view.record.name, view.record.boot_ms)
            return connection

        monkeypatch.setattr(context.client, "_acquire", connect)
        for number in range(8):
            answer = await d.send(path, method, x_attempt_id=f"a{number}")
            assert answer.status == 200
            await answer.read()
        assert any(view.leaving for view in context.pool.servers.values())
        assert not leaving.received_headers

    run_scenario(scenario)
