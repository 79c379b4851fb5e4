"""Test in virtual time that the bound on crashing requests holds over common kills."""

import asyncio

import pytest

from cornelnotch.crashes.tests.recorded_fleet import RecordedFleet
from cornelnotch.gateway.tests.crashing_fleet import BAD_PART
from cornelnotch.testing.virtual_time import run_in_virtual_time

# Targets: sends after the bound, which starts this long after the fifth crash by a part
# of prompts or the third by a request that is repeated.
BOUND_S = 4.0
MAX_LATE_SENDS = 3
PART_LIVES = 5
REPEATED_LIVES = 3
MIN_SOUND_SHARE = 0.9
CALM_S = 4.0
BAD_S = 24.0
DOWN_S = 1.0
SERVERS = 5
# Times of the kills, after the first requests that crash servers.
KILLS_S = {
    "while-learning": [1.0],
    "after-blame": [8.0],
    "twice-in-a-row": [6.0, 9.0],
    "four-times": [1.0, 4.0, 8.0, 12.0],
}


async def kill(fleet, kills_s, spared=0):
    began_s = asyncio.get_running_loop().time()
    for kill_s in kills_s:
        await asyncio.sleep(began_s + kill_s - asyncio.get_running_loop().time())
        await fleet.restart_together(DOWN_S, spared)


def play(kills_s, per_second, hosts=9, spared=0, seed=0, repeated=0, parts=True):
    """Return the fleet after calm, and after a span with bad requests and kills."""

    async def run():
        fleet = RecordedFleet(hosts, SERVERS, seed)
        fleet.start(fleet.load(60.0, CALM_S + BAD_S))
        await asyncio.sleep(CALM_S)
        if parts:
            fleet.start(fleet.load_bad(per_second, BAD_S))
        for number in range(repeated):
            fleet.start(fleet.load_repeated(per_second, BAD_S, number))
        await kill(fleet, kills_s, spared)
        await asyncio.sleep(CALM_S + BAD_S - asyncio.get_running_loop().time())
        await asyncio.sleep(4.0)
        fleet.stop()
        return fleet

    return run_in_virtual_time(run())


def check(fleet, kills_s, causes):
    assert not fleet.errors
    for cause, lives in causes.items():
        late = fleet.count_sends_after_bound(BOUND_S, lives, cause)
        assert late <= MAX_LATE_SENDS
    settled_s = CALM_S + kills_s[-1] + DOWN_S + 2 * BOUND_S
    calm = fleet.find_sound_share(0.0, CALM_S)
    settled = fleet.find_sound_share(settled_s, CALM_S + BAD_S)
    assert settled >= MIN_SOUND_SHARE * calm


@pytest.mark.parametrize("per_second", [1.0, 5.0])
@pytest.mark.parametrize("kills", KILLS_S)
def test_a_part_that_crashes_servers_stays_refused_after_common_kills(
    kills, per_second
):
    fleet = play(KILLS_S[kills], per_second)
    check(fleet, KILLS_S[kills], {BAD_PART: PART_LIVES})


@pytest.mark.parametrize("per_second", [0.5, 5.0])
@pytest.mark.parametrize("kills", KILLS_S)
def test_a_request_that_crashes_servers_stays_refused_after_common_kills(
    kills, per_second
):
    fleet = play(KILLS_S[kills], per_second, repeated=1, parts=False)
    check(fleet, KILLS_S[kills], {f"{BAD_PART}-0": REPEATED_LIVES})


@pytest.mark.parametrize("spared", [1, 8])
def test_hosts_that_were_not_killed_and_the_store_agree(spared):
    """Guards against a record that undoes what a host in service has learned."""
    fleet = play(KILLS_S["twice-in-a-row"], 2.0, spared=spared)
    check(fleet, KILLS_S["twice-in-a-row"], {BAD_PART: PART_LIVES})


def test_several_causes_stay_refused_after_a_common_kill():
    kills_s = KILLS_S["after-blame"]
    fleet = play(kills_s, 1.0, repeated=2)
    causes = {f"{BAD_PART}-{number}": REPEATED_LIVES for number in range(2)}
    check(fleet, kills_s, {BAD_PART: PART_LIVES, **causes})


def test_a_large_fleet_reads_the_record_once_for_each_start():
    """Guards against hosts that all poll the store for evidence."""
    kills_s = KILLS_S["after-blame"]
    fleet = play(kills_s, 5.0, hosts=67)
    check(fleet, kills_s, {BAD_PART: PART_LIVES})
    assert fleet.log.reads <= 2 * len(fleet.hosts) + 10


def test_calm_writes_nothing():
    """Guards against calls to the store while no server crashes."""

    async def run():
        fleet = RecordedFleet(9, SERVERS)
        fleet.start(fleet.load(60.0, 10.0))
        await asyncio.sleep(10.0)
        fleet.stop()
        return fleet

    fleet = run_in_virtual_time(run())
    assert not fleet.log.writes_s
    assert fleet.log.reads == len(fleet.hosts)
