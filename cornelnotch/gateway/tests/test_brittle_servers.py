"""Test in virtual time that brittle servers do not fall over, and blame nobody."""

import asyncio

import pytest

from cornelnotch.gateway.tests.brittle_fleet import (
    SLOTS,
    WORK_S,
    BrittleFleet,
    Brittleness,
)
from cornelnotch.testing.virtual_time import run_in_virtual_time

CALM_S = 2.0
BRITTLE_S = 12.0
BURST_AFTER_S = 5.0
BURST_S = 4.0
SERVERS = {3: 5, 9: 5, 60: 10}
# Requests per second in calm and in a burst, as multiples of what the servers serve.
CALM_LOAD = 0.3
BURST_LOAD = 3.0
# Servers may fall over this often, and once more for each ten of them.
ALLOWED_FALLS = 2
MIN_SERVED_SHARE = 0.5


def find_capacity(servers):
    """Return the requests per second that a number of servers serves."""
    return servers * SLOTS / WORK_S


def play(hosts, per_second, room=0, seed=0):
    """Return the fleet after a burst at servers that are brittle."""

    async def run():
        servers = SERVERS[hosts]
        capacity = find_capacity(servers)
        fleet = BrittleFleet(hosts, servers, seed)
        fleet.start(fleet.load(CALM_LOAD * capacity, CALM_S + BRITTLE_S))
        await asyncio.sleep(CALM_S)
        fleet.start(fleet.become_brittle(Brittleness(per_second, room)))
        await asyncio.sleep(BURST_AFTER_S)
        fleet.start(fleet.load(BURST_LOAD * capacity, BURST_S))
        await asyncio.sleep(BRITTLE_S - BURST_AFTER_S)
        await asyncio.sleep(1.0)
        fleet.stop()
        return fleet

    return run_in_virtual_time(run())


@pytest.mark.parametrize("per_second", [0, 2, 10])
@pytest.mark.parametrize("hosts", list(SERVERS))
def test_brittle_servers_hardly_fall_over_in_a_burst(hosts, per_second):
    fleet = play(hosts, per_second)
    servers = SERVERS[hosts]
    burst_s = CALM_S + BURST_AFTER_S
    served = fleet.count_served(burst_s)
    print("falls", len(fleet.falls), "rejections", fleet.rejections, "served", served)
    assert len(fleet.falls) <= ALLOWED_FALLS + servers / 10
    if per_second >= 10:
        assert served >= MIN_SERVED_SHARE * BURST_S * find_capacity(servers)


@pytest.mark.parametrize("hosts", list(SERVERS))
def test_a_server_that_falls_over_blames_no_request(hosts):
    fleet = play(hosts, 2)
    print("falls", len(fleet.falls), "blamed", fleet.find_most_blamed())
    assert fleet.find_most_blamed() == 0
