"""Test how hosts meet whose seeds do not answer."""

import asyncio
import copy
import random
from contextlib import asynccontextmanager
from typing import Any

import pytest

from cornelnotch.exceptions import LogUnavailableError
from cornelnotch.gateway.host_discovery import READ_PERIOD_MS, HostDiscovery
from cornelnotch.gateway.host_registry import HostRegistry
from cornelnotch.gateway.tests.conftest import (
    create_host,
    create_settings,
    run_deployment,
    wait_until,
)
from cornelnotch.kernel import create_event_log
from cornelnotch.platform.store import HOSTS_TOPIC
from cornelnotch.testing.ports import find_free_port
from cornelnotch.testing.virtual_time import VirtualClock, run_in_virtual_time

MEETING_S = 8.0


@asynccontextmanager
async def run_host(deployment, name, seeds):
    host = create_host(create_settings(deployment.store, name, seeds=seeds))
    await host.start()
    try:
        yield host
    finally:
        await host.stop()


def create_stale_seeds():
    return ",".join(f"127.0.0.1:{find_free_port()}" for _ in range(3))


def have_met(*hosts):
    return all(len(host.context.hosts) == len(hosts) for host in hosts)


# Guards against hosts that act alone for ever as none of their seeds is up.
def test_hosts_meet_whose_seeds_are_all_stale():
    async def scenario():
        async with run_deployment() as d:
            stale = create_stale_seeds()
            async with (
                run_host(d, "host-2", stale) as second,
                run_host(d, "host-3", stale) as third,
            ):
                await wait_until(lambda: have_met(d.host, second, third), MEETING_S)

    asyncio.run(scenario())


def test_host_with_stale_seeds_meets_hosts_that_have_met_before():
    async def scenario():
        async with run_deployment() as d:
            seeds = d.settings.listen.peers
            async with run_host(d, "host-2", seeds) as second:
                await wait_until(lambda: have_met(d.host, second))
                await wait_until(lambda: len(list_registered(d)) == 2)
                async with run_host(d, "host-3", create_stale_seeds()) as third:
                    await wait_until(lambda: have_met(d.host, second, third), MEETING_S)

    asyncio.run(scenario())


def list_registered(deployment):
    return deployment.store.topics[HOSTS_TOPIC].list_newest()


# Guards against hosts that each spend the whole limit of a server while they are alone.
def test_host_that_knows_no_other_shares_limits_with_those_it_is_named():
    async def scenario():
        async with (
            run_deployment() as d,
            run_host(d, "host-2", create_stale_seeds()) as second,
        ):
            d.store.silent_topics.add(HOSTS_TOPIC)
            context = second.context
            await wait_until(lambda: context.count_known_hosts() == 4)
            assert second.admission_controller._find_share() == 0.25
            assert context.find_retry_budget("desk").host_count == 4
            settings = copy.deepcopy(second.settings)
            settings.listen.seeds = d.settings.listen.peers
            second.apply_settings(settings)
            await wait_until(lambda: have_met(d.host, second))
            assert context.count_known_hosts() == 2
            assert second.admission_controller._find_share() == 1.0

    asyncio.run(scenario())


def test_host_that_no_seed_answers_counts_them_no_longer_than_dead_hosts():
    async def scenario():
        async with (
            run_deployment() as d,
            run_host(d, "host-2", create_stale_seeds()) as second,
        ):
            second.prober._started_ms -= second.prober._timing.forget_ms
            second.prober._notify()
            assert second.context.count_known_hosts() == 1

    asyncio.run(scenario())


def test_odd_entries_do_not_keep_hosts_from_meeting():
    async def scenario():
        async with run_deployment() as d:
            topic = d.store.topics[HOSTS_TOPIC]
            for number, value in enumerate(
                [b"\xff\xfe", b"127.0.0.1:99999", b"x" * 100_000, b"[[[", b"a:1"]
            ):
                topic.write(f"odd-{number}", value)
            async with run_host(d, "host-2", create_stale_seeds()) as second:
                await wait_until(lambda: have_met(d.host, second), MEETING_S)

    asyncio.run(scenario())


class FakeRegistry(HostRegistry):
    def __init__(self):
        self.registered = []
        self.reads = 0
        self.is_available = True

    async def register_host(self, name, address):
        if not self.is_available:
            raise LogUnavailableError("store is down", "try again")
        self.registered.append((name, address))

    async def list_host_addresses(self):
        self.reads += 1
        return ["b:1", "a:1"]


class FakeTable:
    name = "a"


class FakeProber:
    table = FakeTable()

    def __init__(self):
        self.alone = True
        self.seeds = ()

    def is_alone(self):
        return self.alone

    def set_listed_seeds(self, seeds):
        changed, self.seeds = self.seeds != seeds, seeds
        return changed


@pytest.fixture
def play():
    """Return a function that plays a discovery until a time, with a script."""

    def run(script, end_ms):
        async def scenario(clock):
            registry, timeline = FakeRegistry(), [1]
            prober: Any = FakeProber()
            discovery = HostDiscovery(
                clock,
                create_event_log("a"),
                registry,
                prober,
                "a:1",
                lambda: timeline[0],
                random.Random(1),
            )
            task = asyncio.create_task(discovery.run())
            await script(clock, registry, prober, timeline)
            await clock.sleep(end_ms)
            task.cancel()
            return registry, prober

        return run_in_virtual_time(scenario(VirtualClock()))

    return run


def test_host_that_knows_others_only_registers(play):
    async def script(clock, registry, prober, timeline):
        prober.alone = False

    registry, _ = play(script, 100 * READ_PERIOD_MS)
    assert registry.registered == [("a", "a:1")]
    assert registry.reads == 0


def test_host_that_knows_no_other_pings_those_listed(play):
    async def script(clock, registry, prober, timeline):
        registry.is_available = False
        await clock.sleep(10 * READ_PERIOD_MS)
        assert registry.registered == []
        registry.is_available = True

    registry, prober = play(script, 10 * READ_PERIOD_MS)
    assert prober.seeds == ("b:1",)
    assert registry.registered == [("a", "a:1")]
    assert 10 <= registry.reads <= 20


def test_host_registers_again_after_the_store_was_restored(play):
    async def script(clock, registry, prober, timeline):
        prober.alone = False
        await clock.sleep(5 * READ_PERIOD_MS)
        timeline[0] = 2

    registry, _ = play(script, 5 * READ_PERIOD_MS)
    assert len(registry.registered) == 2
