"""Bring the store back from an older copy; nothing that was known is taken back."""

import asyncio

import pytest

from cornelnotch.gateway.relay import STALE_MS
from cornelnotch.gateway.state import RETURN_MS
from cornelnotch.gateway.tests.fleet import Fleet, Store

# The tightest bound for changes on the users' pages.
BOUND_MS = 3000.0


def play(scenario, count=8):
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
        and host.follower.has_read()
        for host in fleet.list_alive()
    )


async def lose(fleet, copy, away_ms=1000.0, by=1):
    """Take the store away and bring it back from a copy."""
    fleet.store.is_down = True
    await fleet.run(away_ms)
    fleet.store.restore(copy, by)
    fleet.store.is_down = False


@pytest.mark.parametrize("count", [8, 60, 320])
def test_the_readers_read_anew_and_the_others_hear_it(count):
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        await lose(fleet, copy)
        calls, sent = fleet.store.calls, fleet.sent_bytes
        passed = await fleet.run(BOUND_MS, lambda: is_current(fleet, 11))
        assert passed < BOUND_MS
        await fleet.run(10_000.0 - passed)
        # Twenty calls a second are the goal for the whole fleet.
        assert fleet.store.calls - calls <= 200
        # 5 KB a second are what a host may send for control.
        assert fleet.sent_bytes - sent <= 5000 * 10 * count

    play(scenario, count)


def test_a_version_that_the_copy_lacks_stays_in_force_until_a_newer_one():
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        await lose(fleet, copy)
        await fleet.run(5000.0)
        assert is_current(fleet, 11)
        fleet.store.configure(11)
        await fleet.run(2000.0)
        assert not any(
            h.follower.views["configuration"].held for h in fleet.list_alive()
        )
        fleet.store.configure(13)
        await fleet.run(2000.0)
        assert is_current(fleet, 13)

    play(scenario)


def test_offsets_that_are_given_out_again_hide_no_record():
    # A reader whose offset was given out again read on from there.
    async def scenario(fleet):
        copy = fleet.store.copy()
        for written in range(2, 6):
            fleet.store.list_server("s1", written)
        await fleet.run(1500.0)
        fleet.store.restore(copy)
        for name in ("s3", "s4", "s5", "s6", "s7"):
            fleet.store.list_server(name, 1)
        await fleet.run(RETURN_MS + BOUND_MS)
        for host in fleet.list_alive():
            assert host.list_usable() == {f"s{n}" for n in range(1, 8)}

    play(scenario)


def test_a_server_that_the_copy_lacks_is_kept_until_it_would_have_written_again():
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.store.list_server("s3", 1)
        fleet.store.list_server("s4", 1)
        await fleet.run(1500.0)
        await lose(fleet, copy, 200.0)
        await fleet.run(1000.0)
        assert all(h.list_usable() >= {"s3", "s4"} for h in fleet.list_alive())
        fleet.store.list_server("s3", 2)
        await fleet.run(RETURN_MS + BOUND_MS)
        for host in fleet.list_alive():
            assert host.list_usable() == {"s1", "s2", "s3"}

    play(scenario)


@pytest.mark.parametrize("is_listed_leaving", [True, False])
def test_a_server_that_left_or_leaves_gets_nothing_more_in_that_life(is_listed_leaving):
    async def scenario(fleet):
        copy = fleet.store.copy()
        if is_listed_leaving:
            fleet.store.list_server("s1", 2, "leaving")
        else:
            fleet.store.write("servers", "s1", b"")
        await fleet.run(1500.0)
        await lose(fleet, copy, 200.0)
        began = fleet.clock.read()
        while fleet.clock.read() - began < 6000.0:
            await fleet.run(50.0)
            assert not any("s1" in h.list_usable() for h in fleet.list_alive())
        fleet.store.list_server("s1", 1, boot_ms=2)
        await fleet.run(2000.0)
        assert all("s1" in h.list_usable() for h in fleet.list_alive())

    play(scenario)


def test_a_server_whose_entry_had_lapsed_is_used_once_it_writes_again():
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.store.write("servers", "s1", b"")
        await fleet.run(1500.0)
        await lose(fleet, copy, 200.0)
        fleet.store.list_server("s1", 4)
        await fleet.run(2000.0)
        assert all("s1" in h.list_usable() for h in fleet.list_alive())

    play(scenario)


def test_a_host_that_starts_in_the_gap_hears_of_the_newer_version():
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        await lose(fleet, copy)
        await fleet.run(1000.0)
        started = fleet.add_host()
        await fleet.run(BOUND_MS, lambda: started.version == 11)
        assert started.version == 11

    play(scenario)


def test_two_drills_in_a_row_take_nothing_back():
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        await lose(fleet, copy, 500.0)
        await fleet.run(1500.0)
        await lose(fleet, copy, 500.0)
        await fleet.run(3000.0)
        started = fleet.add_host()
        await fleet.run(3000.0)
        assert is_current(fleet, 11)
        assert started.versions[-1] == 11

    play(scenario)


def test_readers_that_start_in_the_gap_hear_what_the_others_hold():
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        old = fleet.list_alive()
        await lose(fleet, copy, 500.0)
        await fleet.run(1500.0)
        while any(reader in old for reader in fleet.list_readers()):
            fleet.add_host()
        await fleet.run(5000.0)
        assert is_current(fleet, 11)

    play(scenario)


def test_a_timeline_that_is_two_higher_is_one_like_any_other():
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        await lose(fleet, copy, by=2)
        await fleet.run(3000.0)
        assert is_current(fleet, 11)

    play(scenario)


def test_a_reader_that_dies_at_the_return_costs_no_more_than_the_bound():
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        await lose(fleet, copy, 500.0)
        for reader in fleet.list_readers():
            fleet.kill(reader)
        fleet.store.configure(12)
        passed = await fleet.run(BOUND_MS, lambda: is_current(fleet, 12))
        assert passed < BOUND_MS

    play(scenario)


def test_hosts_behind_a_cut_link_read_by_themselves():
    async def scenario(fleet):
        copy = fleet.store.copy()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        fleet.cut_domains = {"b"}
        await lose(fleet, copy, 500.0)
        fleet.store.configure(12)
        passed = await fleet.run(2 * BOUND_MS, lambda: is_current(fleet, 12))
        assert passed < max(STALE_MS.values()) + 1000.0

    play(scenario)


def test_hosts_that_start_in_turn_through_a_drill_end_with_the_newest():
    async def scenario(fleet):
        copy = fleet.store.copy()
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

    play(scenario)


def test_answers_of_the_store_of_before_are_dropped():
    async def scenario(fleet):
        before = Store()
        before.configure(10)
        copy = fleet.store.copy()
        fleet.store.configure(11)
        await fleet.run(1500.0)
        await lose(fleet, copy, 500.0)
        await fleet.run(1500.0)
        for host in fleet.list_readers():
            host.reader.outdated = before
        fleet.store.configure(12)
        passed = await fleet.run(BOUND_MS, lambda: is_current(fleet, 12))
        assert passed < BOUND_MS
        for host in fleet.list_alive():
            host.reader.outdated = before
        await fleet.run(5000.0)
        assert is_current(fleet, 12)

    play(scenario)


def test_late_news_of_the_timeline_of_before_is_dropped():
    async def scenario(fleet):
        late = []
        carry = fleet.carry
        fleet.carry = lambda *message: late.append(message)
        fleet.store.list_server("s9", 1)
        await fleet.run(1000.0, lambda: any(m.items for _, _, m in late))
        fleet.carry = carry
        copy = {"configuration": 1, "servers": 2}
        await lose(fleet, copy, 500.0)
        await fleet.run(RETURN_MS + BOUND_MS)
        for message in late:
            carry(*message)
        for host in fleet.list_alive():
            assert host.list_usable() == {"s1", "s2"}

    play(scenario)


def test_answers_that_name_no_timeline_are_taken_as_before():
    async def scenario(fleet):
        fleet.store.timeline = None
        fleet.store.configure(11)
        await fleet.run(2000.0)
        assert all(host.version == 11 for host in fleet.list_alive())

    play(scenario)
