"""Test when the evidence of crashes is read from the store and written there."""

import asyncio

import pytest

from cornelnotch.crashes import keeper as crash_keeper
from cornelnotch.crashes.keeper import CrashKeeper
from cornelnotch.crashes.log import StoredCrashes, StoredParts, StoredPosition
from cornelnotch.crashes.tests.recorded_fleet import RecordedFleet
from cornelnotch.gateway.crash_evidence import BLAMED_CRASHES
from cornelnotch.testing.virtual_time import run_in_virtual_time

BAD = ("bad", "content,1", "content,1,2")
SETTLED_S = 3.0


def crash(host, count, parts=BAD, first=0):
    for number in range(first, first + count):
        at_ms = host.context.clock.read() - 2000.0 * (first + count - number)
        host.context.crashes.record_crash(f"s{number}", 1, [parts], at_ms)


def is_blamed(host, parts=BAD):
    return bool(host.context.crashes.list_blamed(parts))


def play(scenario, hosts=3):
    async def run():
        fleet = RecordedFleet(hosts, 3)
        await asyncio.sleep(SETTLED_S)
        await scenario(fleet)
        assert not fleet.errors
        fleet.stop()

    run_in_virtual_time(run())


def find_writer(fleet):
    host = next(iter(fleet.hosts.values()))
    return fleet.hosts[host.plan.list_readers(host.context.clock.read())[0]]


def test_unchanged_evidence_is_renewed_rarely():
    """Guards against calls to the store for as long as something is blamed."""

    async def scenario(fleet):
        crash(find_writer(fleet), BLAMED_CRASHES)
        await asyncio.sleep(SETTLED_S)
        writes = len(fleet.log.writes_s)
        await asyncio.sleep(2.5 * crash_keeper.REFRESH_PERIOD_MS / 1000.0)
        assert len(fleet.log.writes_s) - writes == 2

    play(scenario)


def test_a_cleared_part_is_deleted_from_the_store():
    """Guards against blame that comes back although a whole response ended it."""

    async def scenario(fleet):
        crash(find_writer(fleet), BLAMED_CRASHES)
        await asyncio.sleep(SETTLED_S)
        assert fleet.log.records[-1].blamed
        writer = find_writer(fleet)
        writer.context.crashes.record_sound(BAD, writer.context.clock.read())
        await asyncio.sleep(SETTLED_S)
        assert fleet.log.records[-1] is None
        await fleet.restart_together(1.0)
        await asyncio.sleep(SETTLED_S)
        assert not any(is_blamed(host) for host in fleet.hosts.values())

    play(scenario)


def test_a_restored_store_gets_the_evidence_again():
    """Guards against a copy of the store from before the crashes."""

    async def scenario(fleet):
        crash(find_writer(fleet), BLAMED_CRASHES)
        await asyncio.sleep(SETTLED_S)
        fleet.log.restore(0)
        await asyncio.sleep(SETTLED_S)
        assert fleet.log.records[-1].blamed

    play(scenario)


def test_a_restored_store_does_not_bring_back_what_was_cleared():
    """Guards against a copy of the store from before a whole response."""

    async def scenario(fleet):
        crash(find_writer(fleet), BLAMED_CRASHES)
        await asyncio.sleep(SETTLED_S)
        size = len(fleet.log.records)
        writer = find_writer(fleet)
        writer.context.crashes.record_sound(BAD, writer.context.clock.read())
        await asyncio.sleep(SETTLED_S)
        fleet.log.restore(size)
        await asyncio.sleep(SETTLED_S)
        assert fleet.log.records[-1] is None
        assert not any(is_blamed(host) for host in fleet.hosts.values())

    play(scenario)


def test_evidence_is_written_once_the_store_is_back():
    """Guards against crashes that happened while the store was away."""

    async def scenario(fleet):
        fleet.log.is_down = True
        crash(find_writer(fleet), BLAMED_CRASHES)
        await asyncio.sleep(SETTLED_S)
        assert not fleet.log.records
        fleet.log.is_down = False
        await asyncio.sleep(SETTLED_S)
        await fleet.restart_together(1.0)
        await asyncio.sleep(SETTLED_S)
        assert all(is_blamed(host) for host in fleet.hosts.values())

    play(scenario)


def test_hosts_that_start_without_the_store_read_it_later():
    """Guards against hosts that start while the store is away."""

    async def scenario(fleet):
        crash(find_writer(fleet), BLAMED_CRASHES)
        await asyncio.sleep(SETTLED_S)
        fleet.log.is_down = True
        await fleet.restart_together(1.0)
        await asyncio.sleep(SETTLED_S)
        fleet.log.is_down = False
        await asyncio.sleep(SETTLED_S)
        assert all(is_blamed(host) for host in fleet.hosts.values())

    play(scenario)


def test_hosts_cut_off_from_each_other_do_not_undo_what_the_others_wrote():
    """Guards against two writers, each of which knows half of the crashes."""

    async def scenario(fleet):
        names = sorted(fleet.hosts)
        fleet.start(fleet.partition(names[:1], 20.0))
        await asyncio.sleep(SETTLED_S)
        crash(fleet.hosts[names[0]], BLAMED_CRASHES)
        await asyncio.sleep(SETTLED_S)
        other = ("worse", "content,3", "content,3,4")
        crash(fleet.hosts[names[1]], BLAMED_CRASHES, other, first=9)
        await asyncio.sleep(SETTLED_S)
        stored = {part for b in fleet.log.records[-1].blamed for part in b.parts}
        assert {"bad", "worse"} <= stored

    play(scenario)


@pytest.mark.parametrize(("age_ms", "is_used"), [(1e5, True), (1e6, False)])
def test_evidence_that_no_host_has_renewed_for_long_is_ignored(age_ms, is_used):
    """Guards against blame that no restart can end."""

    async def scenario(fleet):
        written_ms = find_writer(fleet).context.clock.read_wall() - age_ms
        blamed = [StoredParts(["bad"], confirmed=True)]
        fleet.log.records.append(StoredCrashes(written_ms, [], blamed))
        await fleet.restart_together(1.0)
        await asyncio.sleep(SETTLED_S)
        assert {is_blamed(host) for host in fleet.hosts.values()} == {is_used}

    play(scenario)


def test_a_part_seen_in_a_whole_response_since_the_start_is_not_blamed():
    """Guards against a record that is older than what the host has seen itself."""

    async def scenario(fleet):
        host = find_writer(fleet)
        host.context.crashes.record_sound(["bad"], host.context.clock.read())
        blamed = [StoredParts(["bad"], True), StoredParts(["bad", "worse"], True)]
        stored = StoredCrashes(host.context.clock.read_wall(), [], blamed)
        keeper = CrashKeeper(host.context, host.plan, fleet.log, lambda: 0)
        keeper._restore(StoredPosition(stored, 1))
        assert not is_blamed(host, ["bad"])
        assert is_blamed(host, ["worse"])

    play(scenario, hosts=1)
