"""Test that hosts together respect the rate limits that servers announce."""

import asyncio
import time

import pytest

from cornelnotch.gateway.tests.conftest import run_deployment, run_second_host

WINDOW_S = 4.0
# A server with a limit may get this multiple of it within a window, and this many more.
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
SETTLING_S = 1.5


def run_scenario(scenario):
    async def run():
        async with run_deployment() as deployment, run_second_host(deployment) as other:
            await scenario(deployment, other)

    asyncio.run(run())


def count_most_in_window(times_s, window_s=WINDOW_S):
    """Return the largest number of times within any window."""
    return max(
        (sum(start <= t < start + window_s for t in times_s) for start in times_s),
        default=0,
    )


async def send_steadily(deployment, hosts, path, duration_s, interval_s):
    """Send requests to `hosts` in turn; return the statuses of the responses."""
    statuses = []

    async def send(number):
        host = hosts[number % len(hosts)]
        answer = await deployment.send(
            path,
            "POST" if path.startswith("/stream/") else "GET",
            address=host.settings.listen.callers,
            x_attempt_id=f"{path}{number}",
            x_token_usage="40,10",
            x_prompt_prefix="own:40",
        )
        await answer.read()
        statuses.append(answer.status)

    async with asyncio.TaskGroup() as group:
        for number in range(int(duration_s / interval_s)):
            group.create_task(send(number))
            await asyncio.sleep(interval_s)
    return statuses


@pytest.mark.parametrize("path", ["/read/x", "/book/x", "/stream/x"])
def test_a_limited_server_gets_no_more_from_all_hosts_than_its_limit_allows(path):
    async def scenario(d, other):
        servers = d.engines if path.startswith("/stream/") else d.desks
        hosts = [d.host, other]
        await send_steadily(d, hosts, path, 0.5, 0.1)
        busiest = max(servers, key=lambda server: len(server.received_s))
        busiest.faults.rate_limit = "1"
        limited_s = time.monotonic()
        statuses = await send_steadily(d, hosts, path, SETTLING_S + 5.0, 0.1)
        settled = [t for t in busiest.received_s if t >= limited_s + SETTLING_S]
        allowed = ALLOWED_FACTOR * 1.0 * WINDOW_S + ALLOWED_EXTRA
        assert count_most_in_window(settled) <= allowed
        assert set(statuses) == {200}

    run_scenario(scenario)


def test_only_a_valid_response_withdraws_a_rate_limit():
    async def run():
        async with run_deployment() as d:
            table = d.host.context.rate_limits
            for server in d.desks:
                server.faults.rate_limit = "50"

            async def send_all(name):
                for number in range(8):
                    answer = await d.send("/read/x", x_attempt_id=f"{name}{number}")
                    await answer.read()
                    await asyncio.sleep(0.05)

            await send_all("named")
            assert table.count() == 2
            for server in d.desks:
                server.faults.rate_limit = "none"
            await send_all("malformed")
            assert table.count() == 2
            for server in d.desks:
                server.faults.rate_limit = None
                server.faults.wrong_id = True
            await send_all("late")
            assert table.count() == 2
            for server in d.desks:
                server.faults.wrong_id = False
            received = {server.name: len(server.received_s) for server in d.desks}
            await asyncio.sleep(4.1)
            await send_all("withdrawn")
            views = d.host.context.pool.servers
            responded = [s for s in d.desks if len(s.received_s) > received[s.name]]
            assert responded
            assert all(table.find(views[s.name].record) is None for s in responded)

    asyncio.run(run())


@pytest.mark.parametrize("field", ["rate_limit", "brittle"])
def test_a_response_to_a_request_sent_before_a_limit_does_not_withdraw_it(field):
    async def send(d, name, count):
        async def send_one(number):
            answer = await d.send("/read/x", x_attempt_id=f"{name}{number}")
            await answer.read()

        async with asyncio.TaskGroup() as group:
            for number in range(count):
                group.create_task(send_one(number))

    async def run():
        async with run_deployment() as d:
            table = d.host.context.rate_limits
            for server in d.desks:
                server.faults.call_ms = 350.0
            early = asyncio.create_task(send(d, "early", 4))
            await asyncio.sleep(0.1)
            for server in d.desks:
                setattr(server.faults, field, "50")
                server.faults.call_ms = 0.0
            await send(d, "stated", 6)
            assert table.count() == 2
            await early
            assert table.count() == 2

    asyncio.run(run())
