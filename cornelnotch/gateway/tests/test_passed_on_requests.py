"""Test what requests that hosts pass on to other hosts cost the fleet."""

import asyncio

from cornelnotch.gateway.tests.conftest import wait_until
from cornelnotch.gateway.tests.severed_hosts import Kind, Way, run_hosts

HOSTS = 5
CUT = frozenset({0, 1, 2, 3})
READS_PER_HOST = 20


async def cut_and_wait(fleet, hosts, way):
    """Cut hosts off, and wait until they know that."""
    fleet.cut(hosts, way)
    for host in hosts:
        await fleet.send_to(host, Kind.READ)
    links = [fleet.hosts[host].context.links for host in hosts]
    await wait_until(lambda: all(each.is_cut_off("desk") for each in links))


def count_allowed_retries(fleet):
    """Use up the retries that all hosts together allow."""
    count = 0
    for host in fleet.hosts:
        budget = host.context.find_retry_budget("desk")
        while budget.try_acquire(host.context.clock.read()):
            count += 1
    return count


def test_requests_that_are_passed_on_do_not_raise_the_retry_budget_of_the_fleet():
    async def run():
        async with run_hosts(HOSTS) as fleet:
            for settings in fleet.settings_by_host:
                settings.bounds.retry_extra = 0.0
            await cut_and_wait(fleet, CUT, Way.REFUSE)
            reads = [
                fleet.start_request(host, Kind.READ)
                for _ in range(READS_PER_HOST)
                for host in range(HOSTS)
            ]
            attempts = await asyncio.gather(*reads)
            assert all(attempt.is_served for attempt in attempts)
            share = fleet.settings_by_host[0].bounds.retry_share
            requests = len(reads) + len(CUT)
            assert 0 < count_allowed_retries(fleet) <= share * requests

    asyncio.run(run())
