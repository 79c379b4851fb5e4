"""Test that crashes of servers are told from closed connections, over real sockets."""

import asyncio

import pytest

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.tests.conftest import run_deployment, wait_until
from cornelnotch.standins.raw import ConnectionEnd, RawResponse, RawUpstream

START = (
    b"HTTP/1.1 200 OK\r\nx-attempt-id: ID\r\nx-server-signature: s\r\n"
    b"transfer-encoding: chunked\r\n\r\n5\r\nid: 1\r\n"
)
PROMPT = "aa:100,bad:50,own%d:20"


async def send(d, number):
    response = await d.send(
        "/stream/draft/x",
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
