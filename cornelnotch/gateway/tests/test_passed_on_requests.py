"""Test what requests that hosts pass on to other hosts cost the fleet."""

import asyncio

from cornelnotch.gateway.tests.conftest import create_configuration, wait_until
from cornelnotch.gateway.tests.severed_hosts import Kind, Way, run_hosts
from cornelnotch.wire.messages import LinkQuery

HOSTS = 5
CUT = frozenset({0, 1, 2, 3})
READS_PER_HOST = 20
LOW_LIMIT = "2"
OVERLOAD_PER_SECOND = 60
OVERLOAD_S = 2.0
KNOWN_S = 2.0


async def cut_and_wait(fleet, hosts, way, service="desk"):
    """Cut hosts off, and wait until they know that."""
    fleet.cut(hosts, way)
    for host in hosts:
        await fleet.send_to(host, Kind.READ)
    links = [fleet.hosts[host].context.links for host in hosts]
    await wait_until(lambda: all(each.is_cut_off(service) for each in links))


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


def test_requests_that_a_rate_limit_refuses_are_not_passed_on_for_one_dead_server():
    async def run():
        async with run_hosts() as fleet:
            fleet.drop_server(fleet.desks[2])
            fleet.desks[1].faults.rate_limit = LOW_LIMIT
            await fleet.settle()
            await fleet.desks[0].stop()
            await fleet.send_steadily({0}, OVERLOAD_PER_SECOND, OVERLOAD_S)
            await fleet.wait_for_requests()
            refused = [each for each in fleet.attempts if each.is_refused]
            assert refused
            assert fleet.count_hops() == 0

    asyncio.run(run())


def count_sent(host, kind):
    """Count the messages of a kind that a host sends; return the list that grows."""
    sent = []
    send = host.peers.send

    def count(name, message):
        if isinstance(message, kind):
            sent.append(name)
        send(name, message)

    host.peers.send = count
    return sent


def test_a_host_that_knows_that_it_is_cut_off_asks_others_no_more():
    async def run():
        async with run_hosts() as fleet:
            await cut_and_wait(fleet, {0}, Way.REFUSE)
            queries = count_sent(fleet.hosts[0], LinkQuery)
            await asyncio.sleep(KNOWN_S)
            assert queries == []

    asyncio.run(run())


def move_reads(fleet):
    """Have a new version of the configuration send reads to the engines."""
    content = create_configuration(2)
    read = next(route for route in content["routes"] if route["name"] == "read")
    read["service"] = "llm"
    fleet.configure(content)
    return wait_until(lambda: all(h.context.table.version == 2 for h in fleet.hosts))


def test_no_request_is_passed_on_to_a_host_with_an_older_configuration():
    async def run():
        async with run_hosts() as fleet:
            older = fleet.hosts[1].context.table
            await move_reads(fleet)
            fleet.hosts[1].context.table = older
            await cut_and_wait(fleet, {0}, Way.REFUSE, "llm")
            reads = [fleet.start_request(0, Kind.READ) for _ in range(READS_PER_HOST)]
            attempts = await asyncio.gather(*reads)
            ids = {attempt.request_id for attempt in attempts}
            assert not any(ids & set(server.executions) for server in fleet.desks)
            assert all(attempt.is_served for attempt in attempts)

    asyncio.run(run())
