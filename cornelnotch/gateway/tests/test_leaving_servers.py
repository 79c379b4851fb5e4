"""Test that servers which left the list are used no longer, whoever reads the store."""

import asyncio

import pytest

from cornelnotch.gateway.follower import SERVERS
from cornelnotch.gateway.routing_state import RELISTING_GRACE_MS
from cornelnotch.gateway.tests.fleet import STEP_MS, Fleet

# The tightest documented time for which a server that leaves still serves.
BOUND_MS = 3000.0
# The part of the hosts that the store rejects.
REJECTED_SHARE = 0.35
READ_TIMEOUT_MS = 800.0
SERVERS_BEFORE = [f"s{i}" for i in range(9)]


def run_fleet(scenario, count):
    async def run():
        fleet = Fleet(count)
        fleet.store.configure(10)
        for name in SERVERS_BEFORE:
            fleet.store.list_server(name, 1)
        await fleet.run(2000.0)
        await scenario(fleet)

    asyncio.run(run())


def reject_readers(fleet, hang_ms=0.0):
    """Have the store reject both readers and some other hosts; return the others."""
    ranked = fleet.list_readers()
    ranked += [host for host in fleet.list_alive() if host not in ranked]
    rejected = ranked[: max(round(REJECTED_SHARE * len(ranked)), 2)]
    for host in rejected:
        host.reader.is_unreachable = True
        host.reader.hang_ms = hang_ms
    return [host for host in ranked if host not in rejected]


async def measure_use_ms(fleet, name):
    """Remove a server; return how long each host goes on using it, in ms."""
    fleet.store.write(SERVERS, name, b"")
    last_ms = dict.fromkeys(fleet.hosts, 0.0)
    started_ms = fleet.clock.read()
    while fleet.clock.read() - started_ms < 2.0 * BOUND_MS:
        await fleet.run(STEP_MS)
        for host in fleet.list_alive():
            if name in host.list_usable():
                last_ms[host.name] = fleet.clock.read() - started_ms
    return last_ms


@pytest.mark.parametrize("hang_ms", [0.0, READ_TIMEOUT_MS])
@pytest.mark.parametrize(
    ("count", "after_ms"),
    [(9, 0.0), (9, 900.0), (9, 2100.0), (9, 3300.0), (60, 900.0)],
)
def test_removed_server_is_not_used_for_too_long_while_readers_are_rejected(
    count, after_ms, hang_ms
):
    async def scenario(fleet):
        reject_readers(fleet, hang_ms)
        await fleet.run(after_ms)
        use_ms = await measure_use_ms(fleet, "s0")
        assert max(use_ms.values()) < BOUND_MS

    run_fleet(scenario, count)


@pytest.mark.parametrize("count", [9, 60])
def test_replacement_of_rejected_readers_reads_until_they_recover(count):
    async def scenario(fleet):
        reject_readers(fleet)
        await fleet.run(3000.0)
        ages_ms = []
        for _ in range(200):
            await fleet.run(STEP_MS)
            now = fleet.clock.read()
            ages_ms += [
                host.plan.find_age_ms(SERVERS, now) for host in fleet.list_alive()
            ]
        # The periods of the two readers, and time for one message.
        assert max(ages_ms) < 1400.0

    run_fleet(scenario, count)


@pytest.mark.parametrize("count", [9, 60])
def test_host_that_heard_nothing_for_a_while_does_not_retain_a_removed_server(count):
    async def scenario(fleet):
        readers = fleet.list_readers()
        host = next(h for h in fleet.list_alive() if h not in readers)
        host.reader.is_unreachable = True
        fleet.is_lost = lambda sender, receiver, message: receiver == host.name
        await fleet.run(2500.0)
        fleet.store.write(SERVERS, "s0", b"")
        await fleet.run(1200.0)
        fleet.is_lost = lambda *message: False
        await fleet.run(1500.0)
        assert "s0" not in host.list_usable()

    run_fleet(scenario, count)


def test_copy_from_a_rejected_reader_does_not_retain_a_removed_server():
    async def scenario(fleet):
        reader = fleet.list_readers()[0]
        host = reject_readers(fleet)[-1]
        host.reader.is_unreachable = True
        fleet.is_lost = lambda sender, receiver, message: receiver == host.name
        await fleet.run(1000.0)
        fleet.store.write(SERVERS, "s0", b"")
        await fleet.run(1500.0)
        fleet.is_lost = lambda sender, receiver, message: (
            receiver == host.name and sender != reader.name
        )
        await fleet.run(2500.0)
        assert "s0" not in host.list_usable()

    run_fleet(scenario, 9)


@pytest.mark.parametrize(
    ("count", "outage_ms"), [(9, 4000.0), (9, 4300.0), (9, 9000.0), (60, 4300.0)]
)
@pytest.mark.parametrize("lapsed", [3, 5, 9])
def test_hosts_keep_servers_whose_entries_lapsed_in_an_outage(count, outage_ms, lapsed):
    async def scenario(fleet):
        fleet.store.is_down = True
        await fleet.run(outage_ms)
        fleet.store.is_down = False
        for name in SERVERS_BEFORE[:lapsed]:
            fleet.store.write(SERVERS, name, b"")
        for _ in range(90):
            await fleet.run(STEP_MS)
            assert all(len(h.list_usable()) == 9 for h in fleet.list_alive())
        for name in SERVERS_BEFORE[:lapsed]:
            fleet.store.list_server(name, 2)
        await fleet.run(RELISTING_GRACE_MS + BOUND_MS)
        assert all(len(h.list_usable()) == 9 for h in fleet.list_alive())

    run_fleet(scenario, count)
