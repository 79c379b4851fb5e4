"""Test over real sockets that brittle servers hardly fall over in a burst."""

import asyncio

import pytest

from cornelnotch.gateway.tests.brittle_hosts import (
    DEADLINE_MS,
    SERVERS_PER_SERVICE,
    SLOTS,
    STATUS_OK,
    WORK_MS,
    run_brittle_hosts,
)

CALM_S = 1.0
CONTACT_S = 4.0
BURST_S = 4.0
# Callers that leave do so while a server runs their request.
LEAVE_S = 0.3
CAPACITY_PER_SECOND = SERVERS_PER_SERVICE * SLOTS * 1000.0 / WORK_MS
# Requests per second in calm and in a burst, as multiples of what the servers serve.
CALM_LOAD = 0.3
BURST_LOAD = 2.5
# The servers of a service may fall over this often, and once more for each ten.
ALLOWED_FALLS = 2
MIN_SERVED_SHARE = 0.5
# Servers that bear as much serve this share of their capacity.
SERVING_PER_SECOND = 2
# Calls that hold half of the slots when the servers become brittle.
EARLY_CALLS = SERVERS_PER_SERVICE * SLOTS // 2
EARLY_S = 0.6
EARLY_PER_SECOND = EARLY_CALLS / EARLY_S
# Servers crash within the burst, and the platform lists them later than they restart.
CRASH_S = CALM_S + CONTACT_S + 0.5
CRASH_INTERVAL_S = 0.5
RESTART_S = 0.5
RELIST_S = 1.0
PATHS = ["/read/x", "/stream/x"]


async def play(fleet, path, per_second, leave_s=None):
    """Send a burst to servers that become brittle; return when it began."""
    calm = CALM_LOAD * CAPACITY_PER_SECOND
    await fleet.load(path, calm, CALM_S)
    brittle = asyncio.create_task(fleet.become_brittle(per_second, CONTACT_S))
    await fleet.load(path, calm, CONTACT_S)
    await brittle
    burst_s = asyncio.get_running_loop().time()
    await fleet.load(path, BURST_LOAD * CAPACITY_PER_SECOND, BURST_S, leave_s)
    await fleet.wait_for_answers()
    return burst_s


def check_falls(fleet, path):
    servers = fleet.engines if path.startswith("/stream/") else fleet.desks
    falls = sum(len(server.falls_s) for server in servers)
    print("falls", falls, "rejections", sum(server.rejections for server in servers))
    # Nobody waits for a response after its deadline.
    in_time = [a for a in fleet.answers if a.took_s < DEADLINE_MS / 1000.0]
    assert [answer for answer in in_time if not answer.whole] == []
    assert falls <= ALLOWED_FALLS + len(servers) / 10


@pytest.mark.parametrize("per_second", [0, 2, 10])
@pytest.mark.parametrize("path", PATHS)
def test_brittle_servers_hardly_fall_over_in_a_burst_of_real_hosts(path, per_second):
    async def run():
        async with run_brittle_hosts() as fleet:
            burst_s = await play(fleet, path, per_second)
            statuses = fleet.count_statuses(path, burst_s)
            print("since the burst", statuses)
            check_falls(fleet, path)
            if per_second >= SERVING_PER_SECOND:
                capacity = BURST_S * CAPACITY_PER_SECOND
                assert statuses[STATUS_OK] >= MIN_SERVED_SHARE * capacity

    asyncio.run(run())


@pytest.mark.parametrize("path", PATHS)
def test_brittle_servers_hardly_fall_over_where_callers_leave(path):
    async def run():
        async with run_brittle_hosts() as fleet:
            await play(fleet, path, 0, LEAVE_S)
            check_falls(fleet, path)

    asyncio.run(run())


def test_brittle_servers_hardly_fall_over_beside_calls_sent_before():
    async def run():
        async with run_brittle_hosts() as fleet:
            await fleet.load("/book/long", EARLY_PER_SECOND, EARLY_S)
            await play(fleet, "/read/x", 0)
            check_falls(fleet, "/read/x")
            assert fleet.count_statuses("/book/long", 0.0) == {STATUS_OK: EARLY_CALLS}

    asyncio.run(run())


def test_brittle_servers_hardly_fall_over_that_are_relisted_after_a_restart():
    async def run():
        async with run_brittle_hosts() as fleet:
            for number, server in enumerate(fleet.desks):
                server.down_s, server.relist_s = RESTART_S, RELIST_S
                crash_s = CRASH_S + number * CRASH_INTERVAL_S
                asyncio.get_running_loop().call_later(crash_s, server.crash)
            await play(fleet, "/read/x", 0)
            check_falls(fleet, "/read/x")

    asyncio.run(run())
