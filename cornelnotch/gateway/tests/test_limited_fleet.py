"""Test in virtual time that the rate limits of servers hold for fleets with faults."""

import asyncio

import pytest

from cornelnotch.gateway.tests.limited_fleet import (
    LimitedFleet,
    LimitedServer,
    find_most_in_window,
)
from cornelnotch.testing.virtual_time import run_in_virtual_time

WINDOW_S = 4.0
ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5
CONTACT_S = 4.0
FIRST_FAULT_S = 6.0


async def stay_calm(fleet):
    pass


async def restart_hosts(fleet):
    for _ in range(4):
        name = fleet.generator.choice(list(fleet.hosts))
        fleet.start(fleet.restart(name, 1.5))
        await asyncio.sleep(2.5)


async def restart_the_controllers(fleet):
    """Restart the host that controls a limited server, and then its successor."""
    for _ in range(3):
        await fleet.restart(fleet.find_controller("s0"), 1.5)
        await asyncio.sleep(1.5)


async def freeze_the_controllers(fleet):
    for _ in range(3):
        fleet.freeze(fleet.find_controller("s0"), 3.0)
        await asyncio.sleep(3.5)


async def freeze_hosts(fleet):
    for _ in range(4):
        fleet.freeze(fleet.generator.choice(list(fleet.hosts)), 2.5)
        await asyncio.sleep(2.5)


async def restart_all_hosts(fleet):
    for name in list(fleet.hosts):
        fleet.start(fleet.restart(name, 1.5))
    await asyncio.sleep(8.0)


async def cut_hosts(fleet):
    names = list(fleet.hosts)
    await fleet.partition(names[: len(names) // 3], 8.0)


FAULTS = [
    stay_calm,
    restart_hosts,
    restart_the_controllers,
    freeze_the_controllers,
    freeze_hosts,
    restart_all_hosts,
    cut_hosts,
]


def play(count, per_second, fault, all_limited, seed=1, duration_s=18.0):
    """Play a fleet whose first server, or every server, has a rate limit."""

    async def run():
        others = per_second if all_limited else None
        servers = [LimitedServer("s0", per_second)]
        servers += [LimitedServer(f"s{n}", others) for n in range(1, 4)]
        fleet = LimitedFleet(count, servers, seed)
        demand = max(8 * per_second, 12.0) if all_limited else max(4 * per_second, 30.0)
        load = asyncio.create_task(fleet.load(demand, duration_s))
        await asyncio.sleep(FIRST_FAULT_S)
        await fault(fleet)
        await load
        await asyncio.sleep(4.0)
        fleet.stop()
        return fleet

    return run_in_virtual_time(run())


def assert_limits_hold(fleet):
    for server in fleet.servers.values():
        if server.per_second is None:
            continue
        most = find_most_in_window(server.arrivals, CONTACT_S, WINDOW_S)
        allowed = ALLOWED_FACTOR * server.per_second * WINDOW_S + ALLOWED_EXTRA
        assert most <= allowed


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("per_second", [0.5, 1.0, 10.0])
def test_a_fleet_with_faults_stays_within_the_limit_of_a_server(per_second, fault):
    fleet = play(9, per_second, fault, all_limited=False)
    assert_limits_hold(fleet)
    # The other servers have room for all requests.
    assert fleet.find_served_share() >= 0.95


@pytest.mark.parametrize("fault", FAULTS)
@pytest.mark.parametrize("per_second", [0.5, 1.0])
def test_a_fleet_with_faults_stays_within_the_limits_of_all_servers(per_second, fault):
    assert_limits_hold(play(9, per_second, fault, all_limited=True))


@pytest.mark.parametrize("fault", [restart_the_controllers, freeze_the_controllers])
def test_a_limit_of_100_a_second_holds_while_its_controller_changes(fault):
    assert_limits_hold(play(9, 100.0, fault, all_limited=False))


@pytest.mark.parametrize("fault", [restart_the_controllers, cut_hosts])
def test_a_fleet_of_67_hosts_stays_within_the_limits_of_all_servers(fault):
    assert_limits_hold(play(67, 1.0, fault, all_limited=True))


def test_a_fleet_of_320_hosts_stays_within_the_limit_of_a_server():
    assert_limits_hold(play(320, 1.0, restart_the_controllers, all_limited=False))


def test_a_free_server_is_found_among_many_limited_ones():
    async def run():
        servers = [LimitedServer(f"s{n}", 0.5) for n in range(9)]
        fleet = LimitedFleet(9, [*servers, LimitedServer("free")])
        await fleet.load(30.0, 10.0)
        await asyncio.sleep(4.0)
        fleet.stop()
        return fleet

    fleet = run_in_virtual_time(run())
    assert_limits_hold(fleet)
    assert fleet.find_served_share() == 1.0


def test_a_limit_is_used_while_all_servers_have_one():
    fleet = play(9, 10.0, stay_calm, all_limited=True)
    for server in fleet.servers.values():
        used = sum(6.0 <= arrival.at_s < 18.0 for arrival in server.arrivals)
        assert used >= 0.9 * 12.0 * server.per_second


def test_limited_servers_serve_higher_tiers_first():
    fleet = play(9, 1.0, stay_calm, all_limited=True)
    shares = [fleet.find_served_share(tier) for tier in range(3)]
    assert shares[0] > 0.75
    assert shares[0] > shares[1] > shares[2]
    assert sum(shares) * fleet.requests / 3 >= 0.8 * 4 * 18.0


def test_refused_callers_are_told_a_delay_that_follows_from_the_limit():
    fleet = play(9, 0.5, stay_calm, all_limited=True)
    # Callers heed at most a third of their remaining time, here 1 s at most.
    assert fleet.retry_after_s
    assert min(fleet.retry_after_s) >= 0.35
    assert max(fleet.retry_after_s) <= 1.0


def test_all_hosts_learn_of_a_limit_and_of_its_end_within_a_second():
    async def run():
        server = LimitedServer("s0", 20.0)
        fleet = LimitedFleet(9, [server])
        host = fleet.hosts["host-0"]
        tables = [h.context.rate_limits for h in fleet.hosts.values()]
        await fleet.request(host)
        await asyncio.sleep(1.0)
        assert all(table.count() == 1 for table in tables)
        server.per_second = None
        await asyncio.sleep(3.0)
        await fleet.request(host)
        await asyncio.sleep(1.0)
        assert all(table.count() == 0 for table in tables)
        fleet.stop()

    run_in_virtual_time(run())
