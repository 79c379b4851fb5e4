"""Test regions, network partitions, log retention and overload."""

import asyncio
import signal

from cornelnotch.node.tests.conftest import FAST_MEMBERSHIP, FAST_TIMING
from cornelnotch.testing.ports import find_free_port
from cornelnotch.testing.proxy import FaultProxy
from cornelnotch.testing.samples import (
    create_sample_configuration,
    create_server_section,
)

OVERLOAD_QUOTES = 180
LINK_DELAY_MS = 30.0
LINK_BITS_PER_SECOND = 15_000_000.0


async def start_two_regions(fleet):
    """Start two hosts near the store and one behind a slow link."""
    fleet.settings = FAST_TIMING
    fleet.membership = FAST_MEMBERSHIP
    await fleet.start_platform()
    north, south = await asyncio.gather(
        fleet.start_engine("north-engine"), fleet.start_engine("south-engine")
    )
    link = FaultProxy(fleet.log_address)
    link.faults.delay_ms = LINK_DELAY_MS
    link.faults.bits_per_second = LINK_BITS_PER_SECOND
    await link.start()
    await asyncio.gather(
        fleet.start_host("north-0", "taipei-a"),
        fleet.start_host("north-1", "taoyuan-b"),
        fleet.start_host("south-0", "kaohsiung-a", log=link.address),
    )
    sections = create_server_section("north-engine", "cobbler-assist", north.http)
    sections += create_server_section(
        "south-engine", "cobbler-assist", south.http, "kaohsiung-a"
    )
    version = await fleet.publish(create_sample_configuration(sections))
    await fleet.wait_ready(version)
    return link


def test_requests_stay_in_their_region_while_it_has_a_server(run_fleet):
    async def scenario(fleet):
        link = await start_two_regions(fleet)
        caller = fleet.create_caller(place="kaohsiung-a")
        addresses = await caller.fetch_entry_addresses()
        assert addresses[0] == fleet.hosts["south-0"].http
        results = await asyncio.gather(
            *(caller.chat(f"p{n}", 4, "kind=quote") for n in range(8))
        )
        assert all(r.complete for r in results)
        north = await fleet.wait_answer(fleet.servers["north-engine"].http, "/counts")
        assert north["prefills"] == 0
        await fleet.publish(
            "[server south-engine]\nremove = yes\n",
        )
        await asyncio.sleep(1.0)
        rerouted = await caller.chat("far", 4, "kind=quote")
        assert rerouted.complete
        await link.stop()

    run_fleet(scenario)


def test_region_without_store_gets_configuration_from_peers(run_fleet):
    async def scenario(fleet):
        link = await start_two_regions(fleet)
        link.cut()
        version = await fleet.publish("[workspace w]\nconcurrent = 4\n")
        # The disconnected host must get the version from its peers within 8 s.
        async with asyncio.timeout(8.0):
            await fleet.wait_ready(version)
        await link.stop()

    run_fleet(scenario)


def test_partitioned_regions_reconnect(run_fleet):
    async def scenario(fleet):
        fleet.settings = FAST_TIMING
        fleet.membership = FAST_MEMBERSHIP
        await fleet.start_platform()
        links = [FaultProxy(fleet.log_address)]
        await links[0].start()
        for name, place, log in (
            ("north", "taipei-a", fleet.log_address),
            ("south", "kaohsiung-a", links[0].address),
        ):
            peer = f"127.0.0.1:{find_free_port()}"
            link = FaultProxy(peer)
            await link.start()
            links.append(link)
            await fleet.start_host(name, place, log, link.address, peer)
        version = await fleet.publish(create_sample_configuration(""))
        await fleet.wait_ready(version)
        for link in links:
            link.cut()
        later = await fleet.publish("[workspace w]\nconcurrent = 4\n")
        await asyncio.sleep(6.0)
        north, south = fleet.hosts.values()
        assert (await fleet.read_status(north))["members"]["south"] == "dead"
        isolated = await fleet.read_status(south)
        assert (isolated["ready"], isolated["reason"]) == (False, "isolated")
        assert isolated["version"] == version
        for link in links:
            link.heal()
        async with asyncio.timeout(8.0):
            await fleet.wait_ready(later)
        for link in links:
            await link.stop()

    run_fleet(scenario)


def test_configuration_survives_restart_of_all_hosts_after_retention(run_fleet):
    async def scenario(fleet):
        fleet.settings = FAST_TIMING
        fleet.membership = FAST_MEMBERSHIP
        platform = await fleet.start_platform("--retention-ms", "6000")
        await asyncio.gather(*(fleet.start_host(f"host-{n}") for n in range(2)))
        for host in fleet.hosts.values():
            path = fleet.folder / f"{host.name}.ini"
            text = path.read_text()
            text = text.replace("[platform]\n", "[platform]\nretention_ms = 6000\n")
            path.write_text(text)
        await fleet.publish(create_sample_configuration(""))
        await restart_hosts(fleet)
        version = await fleet.publish("[workspace w]\nconcurrent = 7\n")
        await fleet.wait_ready(version)
        # After two retention periods, all records of changes have been removed.
        await asyncio.sleep(14.0)
        page = await fleet.wait_answer(
            platform.http, "/streams/configuration/records?from=100000"
        )
        assert page["earliest"] > version
        await restart_hosts(fleet)
        await fleet.wait_ready(version)
        for host in fleet.hosts.values():
            assert (await fleet.read_status(host))["version"] == version

    run_fleet(scenario)


async def restart_hosts(fleet):
    """Kill all hosts at once and restart each with its settings."""
    for host in fleet.hosts.values():
        fleet.send_signal(host, signal.SIGKILL)
    for host in fleet.hosts.values():
        await host.process.wait()
        restarted = await fleet._start(
            host.name, host.http, "node", str(fleet.folder / f"{host.name}.ini")
        )
        host.process = restarted.process
    for host in fleet.hosts.values():
        await fleet.wait_answer(host.http, "/healthz")


async def start_overload_fleet(fleet):
    """Start two hosts and one engine with four slots."""
    fleet.settings = FAST_TIMING
    fleet.membership = FAST_MEMBERSHIP
    await fleet.start_platform()
    engine = await fleet.start_engine("engine-0", "--batch", "4")
    await asyncio.gather(*(fleet.start_host(f"host-{n}") for n in range(2)))
    section = create_server_section("engine-0", "cobbler-assist", engine.http, slots=4)
    version = await fleet.publish(create_sample_configuration(section))
    await fleet.wait_ready(version)


async def send_quotes(fleet, count):
    """Send quote requests at about twice the capacity; return their tasks."""
    caller = fleet.create_caller("heelmark", deadline_ms=8000, attempts=1)
    tasks = []
    for number in range(count):
        call = caller.chat(f"quote {number}", 20, "kind=quote")
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(0.05)
    return tasks


def start_drafts(fleet, count, tokens):
    """Start requests of the low-tier class `draft`, retried if they are refused."""
    caller = fleet.create_caller(
        "guild", deadline_ms=30_000, attempts=20, total_timeout_ms=30_000.0
    )
    calls = [caller.chat(f"draft {n}", tokens, "kind=draft") for n in range(count)]
    return [asyncio.create_task(call) for call in calls]


async def check_refusals(fleet, results):
    """Check the outcome, retry delay and trace of every refused request."""
    refused = [r for r in results if not r.complete]
    assert refused, "no request was refused, so the check is void"
    for result in refused:
        assert result.outcome == "not-run"
        assert result.retry_after_ms > 0
        await check_not_refused_for_lower_tier(fleet, result)


def test_overload_does_not_starve_lower_tier(run_fleet):
    async def scenario(fleet):
        await start_overload_fleet(fleet)
        quotes = await send_quotes(fleet, OVERLOAD_QUOTES // 9)
        drafts = start_drafts(fleet, 6, 20)
        quotes += await send_quotes(fleet, OVERLOAD_QUOTES)
        # At least one low-tier request completes while the overload lasts.
        assert any(task.done() for task in drafts)
        await check_refusals(fleet, await asyncio.gather(*quotes))
        finished = await asyncio.gather(*drafts)
        assert all(r.complete for r in finished), [r.kind for r in finished]

    run_fleet(scenario)


def test_quotes_are_not_refused_while_drafts_occupy_all_slots(run_fleet):
    async def scenario(fleet):
        await start_overload_fleet(fleet)
        drafts = start_drafts(fleet, 4, 250)
        await asyncio.sleep(0.5)
        quotes = await send_quotes(fleet, OVERLOAD_QUOTES // 3)
        await check_refusals(fleet, await asyncio.gather(*quotes))
        finished = await asyncio.gather(*drafts)
        assert all(r.complete for r in finished), [r.kind for r in finished]

    run_fleet(scenario)


async def check_not_refused_for_lower_tier(fleet, result):
    """Check that at most one request of class `draft` ran when `result` was refused."""
    trace = await fleet.explain(result.request_id)
    (refusal,) = [d for d in trace["decisions"] if d["stage"] == "refused"]
    for row in refusal["details"]["occupancy"]:
        name, _, counts = row.partition("/")
        if name == "draft":
            running = int(counts.split("waiting, ")[1].split()[0])
            assert running <= 1, row
