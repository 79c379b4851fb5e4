"""Test that a host which lacks records does not take its copy for current."""

import asyncio

import pytest

from cornelnotch.gateway.follower import CONFIGURATION, SERVERS, STANDBY_PERIOD_MS
from cornelnotch.gateway.tests.fleet import Fleet
from cornelnotch.wire.messages import RecordFetch, RecordUpdates

# The tightest documented bound on the delay of a change.
BOUND_MS = 3000.0


def run_fleet(scenario, count):
    async def run():
        fleet = Fleet(count)
        fleet.store.configure(10)
        fleet.store.list_server("s1", 1)
        await fleet.run(2000.0)
        await scenario(fleet)

    asyncio.run(run())


def choose_follower(fleet):
    """Return a host that does not read the store."""
    readers = fleet.list_readers()
    return next(host for host in fleet.hosts.values() if host not in readers)


class Losses:
    """Lose the updates that bring one host new records, and the copies it asks for."""

    def __init__(self, fleet, host, lost_ms):
        self._clock = fleet.clock
        self._host = host.name
        self._until_ms = fleet.clock.read() + lost_ms

    def is_lost(self, sender, receiver, message):
        if isinstance(message, RecordFetch):
            return sender == self._host
        if receiver != self._host or not isinstance(message, RecordUpdates):
            return False
        return message.items and self._clock.read() < self._until_ms


@pytest.mark.parametrize("count", [9, 60, 320])
@pytest.mark.parametrize(
    ("topic", "lost_ms"), [(CONFIGURATION, 200.0), (SERVERS, STANDBY_PERIOD_MS)]
)
def test_host_reads_the_store_when_an_update_and_the_copies_asked_for_are_lost(
    count, topic, lost_ms
):
    async def scenario(fleet):
        host = choose_follower(fleet)
        if topic == CONFIGURATION:
            fleet.store.configure(11)
        else:
            fleet.store.list_server("s2", 1)
        fleet.is_lost = Losses(fleet, host, lost_ms).is_lost
        await fleet.run(BOUND_MS)
        reader = fleet.list_readers()[0]
        assert host.version == reader.version
        assert host.list_usable() == reader.list_usable()

    run_fleet(scenario, count)


@pytest.mark.parametrize("count", [9, 60, 320])
def test_store_is_called_a_bounded_number_of_times_by_hosts_that_lack_records(count):
    async def scenario(fleet):
        readers = {host.name for host in fleet.list_readers()}
        until_ms = fleet.clock.read() + 200.0

        def is_lost(sender, receiver, message):
            if isinstance(message, RecordFetch):
                return True
            is_new = isinstance(message, RecordUpdates) and message.items
            return is_new and receiver not in readers and fleet.clock.read() < until_ms

        fleet.store.configure(11)
        fleet.is_lost = is_lost
        calls = fleet.store.calls
        await fleet.run(BOUND_MS)
        assert {host.version for host in fleet.list_alive()} == {11}
        # Two reads by each host, and those of the two readers.
        assert fleet.store.calls - calls <= 2 * count + 60

    run_fleet(scenario, count)


async def count_outage_calls(fleet, host, is_lossy):
    """Return the calls in an outage of 8 s that begins after a change."""
    fleet.store.configure(11)
    if is_lossy:
        fleet.is_lost = Losses(fleet, host, 200.0).is_lost
    await fleet.run(200.0)
    fleet.store.is_down = True
    calls = fleet.store.calls
    await fleet.run(8000.0)
    return fleet.store.calls - calls


@pytest.mark.parametrize("count", [9, 60])
def test_host_that_lacks_records_adds_few_calls_while_the_store_is_down(count):
    counts: list[int] = []

    async def scenario(fleet):
        is_lossy = bool(counts)
        host = choose_follower(fleet)
        counts.append(await count_outage_calls(fleet, host, is_lossy))

    run_fleet(scenario, count)
    run_fleet(scenario, count)
    # One host retries after 0.2 s, 0.4 s and from then on every 0.8 s or less often.
    assert counts[1] - counts[0] <= 12


@pytest.mark.parametrize("count", [9, 60, 320])
def test_calls_for_both_topics_are_bounded_while_the_store_is_down(count):
    async def scenario(fleet):
        calls = await count_outage_calls(fleet, choose_follower(fleet), False)
        # The goal for the whole fleet is at most twenty calls per second.
        assert calls <= 160

    run_fleet(scenario, count)


class Delays:
    """Deliver what other hosts send to one host some time later."""

    def __init__(self, fleet, host, delay_ms):
        self._fleet = fleet
        self._host = host
        self._delay_ms = delay_ms
        self._waiting = []

    def is_lost(self, sender, receiver, message):
        if receiver == self._host.name:
            due_ms = self._fleet.clock.read() + self._delay_ms
            self._waiting.append((due_ms, sender, message))
        return receiver == self._host.name

    def deliver(self):
        """Deliver what is due; return False, so that the fleet goes on."""
        now = self._fleet.clock.read()
        while self._waiting and self._waiting[0][0] <= now:
            _, sender, message = self._waiting.pop(0)
            self._host.peers.handlers[type(message)](sender, message)
        return False


def test_host_whose_messages_arrive_late_is_not_behind_for_longer_than_the_bound():
    async def scenario(fleet):
        host = choose_follower(fleet)
        delays = Delays(fleet, host, 6000.0)
        fleet.is_lost = delays.is_lost
        await fleet.run(8000.0, delays.deliver)
        fleet.store.configure(11)
        await fleet.run(BOUND_MS, delays.deliver)
        assert host.version == 11

    run_fleet(scenario, 9)
