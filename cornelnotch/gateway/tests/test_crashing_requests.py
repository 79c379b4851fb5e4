"""Test in virtual time that requests which crash their servers are soon refused."""

import asyncio

import pytest

from cornelnotch.gateway.tests.crashing_fleet import BAD_PART, CrashingFleet
from cornelnotch.testing.virtual_time import run_in_virtual_time

# Targets: sends after the bound, which starts this long after the fifth crash, and the
# share of sound requests served once it has passed twice, against that in calm.
BOUND_S = 4.0
MAX_LATE_SENDS = 3
# Crashes after which the bound starts for one request that is repeated.
REPEATED_LIVES = 3
MIN_SOUND_SHARE = 0.9
CALM_S = 4.0
BAD_S = 24.0
SERVERS = {3: 5, 9: 5, 67: 45, 320: 59}


async def stay_calm(fleet):
    pass


async def restart_hosts(fleet):
    for _ in range(4):
        name = fleet.generator.choice(list(fleet.hosts))
        fleet.start(fleet.restart(name, 1.5))
        await asyncio.sleep(2.5)


async def freeze_hosts(fleet):
    for _ in range(4):
        fleet.freeze(fleet.generator.choice(list(fleet.hosts)), 2.5)
        await asyncio.sleep(2.5)


async def crash_other_servers(fleet):
    await fleet.crash_servers(0.5, 10.0)


async def cut_hosts(fleet):
    names = list(fleet.hosts)
    await fleet.partition(names[: len(names) // 3], 8.0)


def play(
    hosts,
    bad_per_second,
    fault=stay_calm,
    sound_per_second=60.0,
    seed=0,
    repeated=False,
):
    """Return the fleet after calm, and after a span with bad requests and a fault."""

    async def run():
        fleet = CrashingFleet(hosts, SERVERS[hosts], seed)
        fleet.start(fleet.load(sound_per_second, CALM_S + BAD_S))
        await asyncio.sleep(CALM_S)
        load = fleet.load_repeated if repeated else fleet.load_bad
        fleet.start(load(bad_per_second, BAD_S))
        await fault(fleet)
        await asyncio.sleep(max(CALM_S + BAD_S - asyncio.get_running_loop().time(), 0))
        await asyncio.sleep(4.0)
        fleet.stop()
        return fleet

    return run_in_virtual_time(run())


def check(fleet, lives=5):
    assert fleet.count_sends_after_bound(BOUND_S, lives) <= MAX_LATE_SENDS
    bad_crashes = [crash.at_s for crash in fleet.crashes if crash.bad]
    settled_s = bad_crashes[:lives][-1] + 2 * BOUND_S
    calm = fleet.find_sound_share(0.0, CALM_S)
    settled = fleet.find_sound_share(settled_s, CALM_S + BAD_S)
    assert settled >= MIN_SOUND_SHARE * calm


@pytest.mark.parametrize("bad_per_second", [1.0, 5.0, 30.0])
@pytest.mark.parametrize("hosts", [3, 9])
def test_requests_that_crash_their_servers_are_soon_refused(hosts, bad_per_second):
    check(play(hosts, bad_per_second))


@pytest.mark.parametrize(
    "fault", [restart_hosts, freeze_hosts, crash_other_servers, cut_hosts]
)
def test_requests_that_crash_servers_are_refused_during_other_faults(fault):
    check(play(9, 2.0, fault))


@pytest.mark.parametrize("hosts", [67, 320])
def test_large_fleets_soon_refuse_requests_that_crash_their_servers(hosts):
    check(play(hosts, 10.0))


@pytest.mark.parametrize("bad_per_second", [0.5, 5.0])
@pytest.mark.parametrize("hosts", [3, 9, 67, 320])
def test_fleets_of_any_size_soon_refuse_one_repeated_crashing_request(
    hosts, bad_per_second
):
    check(play(hosts, bad_per_second, repeated=True), REPEATED_LIVES)


@pytest.mark.parametrize(
    "fault", [restart_hosts, freeze_hosts, crash_other_servers, cut_hosts]
)
def test_one_repeated_crashing_request_is_refused_during_other_faults(fault):
    check(play(9, 2.0, fault, repeated=True), REPEATED_LIVES)


@pytest.mark.parametrize("causes", [2, 3, 5])
def test_each_of_several_repeated_crashing_requests_is_refused(causes):
    async def run():
        fleet = CrashingFleet(9, SERVERS[9], seed=1)
        fleet.start(fleet.load(60.0, CALM_S + BAD_S))
        await asyncio.sleep(CALM_S)
        for number in range(causes):
            fleet.start(fleet.load_repeated(1.0, BAD_S, number))
        await asyncio.sleep(BAD_S + 4.0)
        fleet.stop()
        return fleet

    fleet = run_in_virtual_time(run())
    for number in range(causes):
        cause = f"{BAD_PART}-{number}"
        late = fleet.count_sends_after_bound(BOUND_S, REPEATED_LIVES, cause)
        assert late <= MAX_LATE_SENDS
    served = fleet.find_sound_share(CALM_S + BAD_S / 2, CALM_S + BAD_S)
    assert served >= MIN_SOUND_SHARE


def test_a_bad_part_beside_repeated_crashing_requests_is_refused():
    async def run():
        fleet = CrashingFleet(9, SERVERS[9], seed=1)
        fleet.start(fleet.load(60.0, CALM_S + BAD_S))
        await asyncio.sleep(CALM_S)
        fleet.start(fleet.load_bad(1.0, BAD_S))
        for number in range(2):
            fleet.start(fleet.load_repeated(1.0, BAD_S, number))
        await asyncio.sleep(BAD_S + 4.0)
        fleet.stop()
        return fleet

    fleet = run_in_virtual_time(run())
    assert fleet.count_sends_after_bound(BOUND_S, 5, BAD_PART) <= MAX_LATE_SENDS
    for number in range(2):
        cause = f"{BAD_PART}-{number}"
        late = fleet.count_sends_after_bound(BOUND_S, REPEATED_LIVES, cause)
        assert late <= MAX_LATE_SENDS
