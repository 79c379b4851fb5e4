"""Test the duties of 320 hosts in virtual time."""

import asyncio
import random

from cornelnotch.duties.tests.virtual_fleet import LEASE_MS, VirtualFleet
from cornelnotch.testing.virtual_time import run_in_virtual_time

HOSTS = 320


# Guards against store calls that grow with the fleet, and against messages to it.
def test_a_large_fleet_makes_less_than_one_store_call_a_second():
    async def scenario():
        fleet = VirtualFleet(HOSTS)
        generator = random.Random(1)
        await fleet.run_load(10.0, generator)
        assert fleet.find_holder() is not None
        calls, messages = fleet.store.calls, fleet.messages
        first = fleet.find_window() + 1
        await fleet.run_load(40.0, generator)
        assert fleet.store.calls - calls <= 40
        assert fleet.messages - messages <= 40 * HOSTS * 4
        last = fleet.find_window() - 1
        await asyncio.sleep(8.0)
        fleet.assert_windows_are_right(first, last)
        assert not fleet.api.late
        calls = fleet.store.calls
        await asyncio.sleep(20.0)
        assert fleet.store.calls - calls <= 5

    run_in_virtual_time(scenario())


# Guards against counts that are lost or moved by killed hosts and jumping clocks.
def test_counts_hold_with_kills_and_jumping_clocks():
    async def scenario():
        fleet = VirtualFleet(HOSTS)
        generator = random.Random(2)
        await fleet.run_load(10.0, generator)
        first = fleet.find_window() + 1
        for number, host in enumerate(fleet.list_alive()):
            if number % 3 == 0:
                host.clock.skew_ms += 7000.0
        await fleet.run_load(7.0, generator)
        for _ in range(3):
            fleet.kill(generator.choice(fleet.list_alive()))
            await fleet.run_load(3.0, generator)
        for _ in range(2):
            holder = fleet.find_holder()
            fleet.kill(holder)
            await fleet.run_load(3.0 * LEASE_MS / 1000.0, generator)
            assert fleet.find_holder() is not None
            fleet.add_host()
        last = fleet.find_window() - 1
        await asyncio.sleep(10.0)
        fleet.assert_windows_are_right(first, last)
        assert not fleet.api.late

    run_in_virtual_time(scenario())
