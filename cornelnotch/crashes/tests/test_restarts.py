"""Test that hosts which all end at once do not forget what crashes their servers."""

import asyncio

import pytest

from cornelnotch.crashes.tests.restarted_hosts import (
    RestartedHosts,
    create_repeated,
    create_with_part,
)
from cornelnotch.gateway.crash_evidence import BLAMED_CRASHES

KINDS = {"part": create_with_part, "request": create_repeated}
SOUND_REQUESTS = 12


def run_with_hosts(scenario):
    async def run():
        hosts = RestartedHosts()
        await hosts.start()
        try:
            # A sound request shows that the part that all have in common is harmless.
            assert await hosts.count_served(SOUND_REQUESTS) == SOUND_REQUESTS
            await scenario(hosts)
            assert await hosts.count_served(SOUND_REQUESTS) == SOUND_REQUESTS
        finally:
            await hosts.stop()

    asyncio.run(run())


@pytest.mark.parametrize("kind", KINDS)
def test_blame_outlives_all_hosts(kind):
    """Guards against servers that crash again after all hosts were killed."""

    async def scenario(hosts):
        await hosts.learn(KINDS[kind], BLAMED_CRASHES)
        assert await hosts.send_deadly(KINDS[kind]) == 0
        for _ in range(2):
            await hosts.restart(hosts.list_hosts())
            assert await hosts.send_deadly(KINDS[kind]) == 0

    run_with_hosts(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_evidence_that_is_not_sufficient_yet_outlives_all_hosts(kind):
    """Guards against learning anew if the hosts are killed before a part is blamed."""

    async def scenario(hosts):
        await hosts.learn(KINDS[kind], BLAMED_CRASHES - 1)
        before = len(hosts.crashes_s)
        assert before < BLAMED_CRASHES
        await hosts.restart(hosts.list_hosts())
        assert await hosts.send_deadly(KINDS[kind]) == BLAMED_CRASHES - before

    run_with_hosts(scenario)


@pytest.mark.parametrize("kind", KINDS)
def test_the_collector_of_evidence_does_not_forget_when_it_alone_is_killed(kind):
    """Guards against a collector that tells others what it knows and hears of none."""

    async def scenario(hosts):
        await hosts.learn(KINDS[kind], BLAMED_CRASHES)
        await hosts.restart([hosts.find_collector()])
        assert await hosts.send_deadly(KINDS[kind]) == 0

    run_with_hosts(scenario)
