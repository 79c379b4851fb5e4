"""Test that restoring the store from an older copy reverts no known record."""

import asyncio

import pytest

from cornelnotch.gateway.relay import STALE_MS
from cornelnotch.gateway.routing_state import RELISTING_GRACE_MS
from cornelnotch.gateway.tests.fleet import Fleet, Store

# The tightest documented bound on the delay of a change.
BOUND_MS = 3000.0


def run_scenario(scenario, count=8):
    async def run():
        fleet = Fleet(count)
        fleet.store.configure(10)
        for name in ("s1", "s2"):
            fleet.store.list_server(name, 1)
        await fleet.run(2000.0)
        await scenario(fleet)
        for host in fleet.list_alive():
            assert host.versions == sorted(host.versions), host.name

    asyncio.run(run())


def is_current(fleet, version):
    timeline = fleet.store.timeline
    return all(
        host.follower.timeline == timeline
        and host.version == version
        and host.follower.is_initialized()
        for host in fleet.list_alive()
    )


async def restore_from(fleet, copy, outage_ms=1000.0, by=1):
    """Stop the store and restore it from a copy."""
    fleet.store.is_down = True
    await fleet.run(outage_ms)
    fleet.store.restore(copy, by)
    fleet.store.is_down = False


@pytest.mark.parametrize("count", [8, 60, 320])
def test_readers_read_again_and_update_the_other_hosts(count):
    async def scenario(fleet):
        copy = fleet.store.create_backup()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        await restore_from(fleet, copy)
        calls, sent = fleet.store.calls, fleet.sent_bytes
        elapsed_ms = await fleet.run(BOUND_MS, lambda: is_current(fleet, 11))
        assert elapsed_ms < BOUND_MS
        await fleet.run(10_000.0 - elapsed_ms)
        # The goal for the whole fleet is at most twenty calls per second.
        assert fleet.store.calls - calls <= 200
        # Each host may send 5 KB of control messages per second.
        assert fleet.sent_bytes - sent <= 5000 * 10 * count

    run_scenario(scenario, count)


def test_a_version_missing_from_the_copy_stays_active_until_a_newer_one():
    async def scenario(fleet):
        copy = fleet.store.create_backup()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        await restore_from(fleet, copy)
        await fleet.run(5000.0)
        assert is_current(fleet, 11)
        fleet.store.configure(11)
        await fleet.run(2000.0)
        assert not any(
            h.follower.views["configuration"].older_records for h in fleet.list_alive()
        )
        fleet.store.configure(13)
        await fleet.run(2000.0)
        assert is_current(fleet, 13)

    run_scenario(scenario)


def test_reassigned_offsets_hide_no_record():
    # Guards against a reader that continues from an offset that was reassigned.
    async def scenario(fleet):
        copy = fleet.store.create_backup()
        for written in range(2, 6):
            fleet.store.list_server("s1", written)
        await fleet.run(1500.0)
        fleet.store.restore(copy)
        for name in ("s3", "s4", "s5", "s6", "s7"):
            fleet.store.list_server(name, 1)
        await fleet.run(RELISTING_GRACE_MS + BOUND_MS)
        for host in fleet.list_alive():
            assert host.list_usable() == {f"s{n}" for n in range(1, 8)}

    run_scenario(scenario)


def test_a_server_missing_from_the_copy_is_kept_until_its_next_write_is_due():
    async def scenario(fleet):
        copy = fleet.store.create_backup()
        fleet.store.list_server("s3", 1)
        fleet.store.list_server("s4", 1)
        await fleet.run(1500.0)
        await restore_from(fleet, copy, 200.0)
        await fleet.run(1000.0)
        assert all(h.list_usable() >= {"s3", "s4"} for h in fleet.list_alive())
        fleet.store.list_server("s3", 2)
        await fleet.run(RELISTING_GRACE_MS + BOUND_MS)
        for host in fleet.list_alive():
            assert host.list_usable() == {"s1", "s2", "s3"}

    run_scenario(scenario)


@pytest.mark.parametrize("is_listed_leaving", [True, False])
def test_a_leaving_or_removed_server_is_not_used_until_it_restarts(is_listed_leaving):
    async def scenario(fleet):
        copy = fleet.store.create_backup()
        if is_listed_leaving:
            fleet.store.list_server("s1", 2, "leaving")
        else:
            fleet.store.write("servers", "s1", b"")
        await fleet.run(1500.0)
        await restore_from(fleet, copy, 200.0)
        started_ms = fleet.clock.read()
        while fleet.clock.read() - started_ms < 6000.0:
            await fleet.run(50.0)
            assert not any("s1" in h.list_usable() for h in fleet.list_alive())
        fleet.store.list_server("s1", 1, boot_ms=2)
        await fleet.run(2000.0)
        assert all("s1" in h.list_usable() for h in fleet.list_alive())

    run_scenario(scenario)


def test_a_server_with_a_lapsed_entry_is_used_once_it_writes_again():
    async def scenario(fleet):
        copy = fleet.store.create_backup()
        fleet.store.write("servers", "s1", b"")
        await fleet.run(1500.0)
        await restore_from(fleet, copy, 200.0)
        fleet.store.list_server("s1", 4)
        await fleet.run(2000.0)
        assert all("s1" in h.list_usable() for h in fleet.list_alive())

    run_scenario(scenario)


def test_a_host_started_after_a_restoration_receives_the_newer_version():
    async def scenario(fleet):
        copy = fleet.store.create_backup()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        await restore_from(fleet, copy)
        await fleet.run(1000.0)
        started = fleet.add_host()
        await fleet.run(BOUND_MS, lambda: started.version == 11)
        assert started.version == 11

    run_scenario(scenario)


def test_two_restorations_in_a_row_revert_nothing():
    async def scenario(fleet):
        copy = fleet.store.create_backup()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        await restore_from(fleet, copy, 500.0)
        await fleet.run(1500.0)
        await restore_from(fleet, copy, 500.0)
        await fleet.run(3000.0)
        started = fleet.add_host()
        await fleet.run(3000.0)
        assert is_current(fleet, 11)
        assert started.versions[-1] == 11

    run_scenario(scenario)


def test_readers_started_after_a_restoration_receive_held_records():
    async def scenario(fleet):
        copy = fleet.store.create_backup()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        old = fleet.list_alive()
        await restore_from(fleet, copy, 500.0)
        await fleet.run(1500.0)
        while any(reader in old for reader in fleet.list_readers()):
            fleet.add_host()
        await fleet.run(5000.0)
        assert is_current(fleet, 11)

    run_scenario(scenario)


def test_a_timeline_may_advance_by_two():
    async def scenario(fleet):
        copy = fleet.store.create_backup()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        await restore_from(fleet, copy, by=2)
        await fleet.run(3000.0)
        assert is_current(fleet, 11)

    run_scenario(scenario)


def test_recovery_stays_within_the_bound_when_the_readers_fail():
    async def scenario(fleet):
        copy = fleet.store.create_backup()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        await restore_from(fleet, copy, 500.0)
        for reader in fleet.list_readers():
            fleet.kill(reader)
        fleet.store.configure(12)
        elapsed_ms = await fleet.run(BOUND_MS, lambda: is_current(fleet, 12))
        assert elapsed_ms < BOUND_MS

    run_scenario(scenario)


def test_partitioned_hosts_read_the_store_themselves():
    async def scenario(fleet):
        copy = fleet.store.create_backup()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        fleet.cut_domains = {"b"}
        await restore_from(fleet, copy, 500.0)
        fleet.store.configure(12)
        elapsed_ms = await fleet.run(2 * BOUND_MS, lambda: is_current(fleet, 12))
        assert elapsed_ms < max(STALE_MS.values()) + 1000.0

    run_scenario(scenario)


def test_a_rolling_restart_during_a_restoration_ends_at_the_newest_version():
    async def scenario(fleet):
        copy = fleet.store.create_backup()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        fleet.store.is_down = True
        for index, host in enumerate(list(fleet.list_alive())):
            fleet.kill(host)
            fleet.add_host()
            await fleet.run(400.0)
            if index == 3:
                fleet.store.restore(copy)
                fleet.store.is_down = False
        await fleet.run(3000.0)
        assert is_current(fleet, 11)

    run_scenario(scenario)


def test_answers_from_an_outdated_store_are_dropped():
    async def scenario(fleet):
        outdated = Store()
        outdated.configure(10)
        copy = fleet.store.create_backup()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        await restore_from(fleet, copy, 500.0)
        await fleet.run(1500.0)
        for host in fleet.list_readers():
            host.reader.outdated = outdated
        fleet.store.configure(12)
        elapsed_ms = await fleet.run(BOUND_MS, lambda: is_current(fleet, 12))
        assert elapsed_ms < BOUND_MS
        for host in fleet.list_alive():
            host.reader.outdated = outdated
        await fleet.run(5000.0)
        assert is_current(fleet, 12)

    run_scenario(scenario)


def test_delayed_messages_of_an_older_timeline_are_dropped():
    async def scenario(fleet):
        delayed = []
        deliver = fleet.deliver
        fleet.deliver = lambda *message: delayed.append(message)
        fleet.store.list_server("s9", 1)
        await fleet.run(1000.0, lambda: any(m.items for _, _, m in delayed))
        fleet.deliver = deliver
        copy = {"configuration": 1, "servers": 2}
        await restore_from(fleet, copy, 500.0)
        await fleet.run(RELISTING_GRACE_MS + BOUND_MS)
        for message in delayed:
            deliver(*message)
        for host in fleet.list_alive():
            assert host.list_usable() == {"s1", "s2"}

    run_scenario(scenario)


def test_answers_without_a_timeline_are_accepted():
    async def scenario(fleet):
        fleet.store.timeline = None
        fleet.store.configure(11)
        await fleet.run(2000.0)
        assert all(host.version == 11 for host in fleet.list_alive())

    run_scenario(scenario)
