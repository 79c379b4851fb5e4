"""Test that a record that cannot be read does not stop what comes after it."""

import asyncio

import pytest

from cornelnotch.exceptions import LogResponseError
from cornelnotch.gateway.follower import CONFIGURATION, SERVERS
from cornelnotch.gateway.tests.fleet import Fleet, StoreReader

# The time in which a change of the platform must be in force.
BOUND_MS = 3000.0
ERRORS = [LogResponseError("malformed", "read again"), RuntimeError("unforeseen")]


class PoisonedReader(StoreReader):
    """Fail to read the record with the key `odd` in sequence."""

    def __init__(self, store, error):
        super().__init__(store)
        self.error = error

    async def read_from(self, topic, start, wait_ms):
        page = await super().read_from(topic, start, wait_ms)
        if any(record.key == "odd" for record in page.records):
            raise self.error
        return page


class UnreadableReader(StoreReader):
    """Fail to read anything of a topic."""

    def __init__(self, store, topic):
        super().__init__(store)
        self.topic = topic

    async def read_newest(self, topic):
        if topic == self.topic:
            raise RuntimeError("unforeseen")
        return await super().read_newest(topic)


def run_fleet(scenario, count=4):
    async def run():
        fleet = Fleet(count)
        fleet.store.configure(1)
        fleet.store.list_server("s1", 1)
        await fleet.run(BOUND_MS)
        await scenario(fleet)

    asyncio.run(run())


@pytest.mark.parametrize("error", ERRORS)
@pytest.mark.parametrize("topic", [CONFIGURATION, SERVERS])
def test_record_that_cannot_be_read_is_skipped(topic, error):
    async def scenario(fleet):
        for host in fleet.list_alive():
            host.follower._source = PoisonedReader(fleet.store, error)
        fleet.store.write(topic, "odd", b"ready 1 1")
        fleet.store.configure(2)
        fleet.store.list_server("s2", 1)
        spent_ms = await fleet.run(
            2 * BOUND_MS,
            until=lambda: all(
                host.version == 2 and {"s1", "s2"} <= host.list_usable()
                for host in fleet.list_alive()
            ),
        )
        assert spent_ms <= BOUND_MS
        # The goal for the whole fleet is at most twenty calls per second.
        calls = fleet.store.calls
        await fleet.run(BOUND_MS)
        assert fleet.store.calls - calls < 60

    run_fleet(scenario)


def test_topic_that_cannot_be_read_leaves_the_other_one_followed():
    async def scenario(fleet):
        for host in fleet.list_alive():
            host.follower._source = UnreadableReader(fleet.store, SERVERS)
            host.follower.views[SERVERS].head = -1
        fleet.store.configure(2)
        await fleet.run(BOUND_MS)
        assert all(host.version == 2 for host in fleet.list_alive())
        assert all(host.list_usable() == {"s1"} for host in fleet.list_alive())

    run_fleet(scenario)
