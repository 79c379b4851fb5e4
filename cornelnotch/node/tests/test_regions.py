"""Prove configuration and service across regions, cuts and retention."""

import asyncio
import signal

from cornelnotch.node.tests.conftest import FAST_MEMBERSHIP, FAST_TIMING
from cornelnotch.testing.processes import find_free_port
from cornelnotch.testing.proxy import FaultProxy
from cornelnotch.testing.samples import create_heelmark_text, create_server_section

WAVE_QUOTES = 180
LINK_DELAY_MS = 30.0
LINK_BITS_PER_SECOND = 15_000_000.0


async def start_two_regions(fleet):
    """Start two hosts near the store and one behind the narrow link."""
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
    version = await fleet.publish(create_heelmark_text(sections))
    await fleet.wait_ready(version)
    return link


def test_work_stays_in_its_region_while_that_has_a_server(run_fleet):
    async def scenario(fleet):
        link = await start_two_regions(fleet)
        caller = fleet.create_caller(place="kaohsiung-a")
        addresses = await caller.ask_entry()
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
        moved = await caller.chat("far", 4, "kind=quote")
        assert moved.complete
        await link.stop()

    run_fleet(scenario)


def test_a_region_cut_from_the_store_follows_its_peers(run_fleet):
    async def scenario(fleet):
        link = await start_two_regions(fleet)
        link.cut()
        version = await fleet.publish("[workspace w]\nconcurrent = 4\n")
        # The cut host hears of the version from peers within the promised 8 s.
        async with asyncio.timeout(8.0):
            await fleet.wait_ready(version)
        await link.stop()

    run_fleet(scenario)


def test_regions_that_lost_each_other_find_each_other_again(run_fleet):
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
        version = await fleet.publish(create_heelmark_text(""))
        await fleet.wait_ready(version)
        for link in links:
            link.cut()
        later = await fleet.publish("[workspace w]\nconcurrent = 4\n")
        await asyncio.sleep(6.0)
        north, south = fleet.hosts.values()
        assert (await fleet.read_status(north))["members"]["south"] == "dead"
        cut_off = await fleet.read_status(south)
        assert (cut_off["ready"], cut_off["reason"]) == (False, "isolated")
        assert cut_off["version"] == version
        for link in links:
            link.heal()
        async with asyncio.timeout(8.0):
            await fleet.wait_ready(later)
        for link in links:
            await link.stop()

    run_fleet(scenario)


def test_all_hosts_restarted_after_retention_keep_the_configuration(run_fleet):
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
        await fleet.publish(create_heelmark_text(""))
        await restart_hosts(fleet)
        version = await fleet.publish("[workspace w]\nconcurrent = 7\n")
        await fleet.wait_ready(version)
        # Longer than two retentions: every change record is gone by then.
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
    """Kill every host at once and start each again with its settings."""
    for host in fleet.hosts.values():
        fleet.send_signal(host, signal.SIGKILL)
    for host in fleet.hosts.values():
        await host.process.wait()
        again = await fleet._start(
            host.name, host.http, "node", str(fleet.folder / f"{host.name}.ini")
        )
        host.process = again.process
    for host in fleet.hosts.values():
        await fleet.wait_answer(host.http, "/healthz")


async def start_wave(fleet):
    """Start two hosts before one engine of four slots."""
    fleet.settings = FAST_TIMING
    fleet.membership = FAST_MEMBERSHIP
    await fleet.start_platform()
    engine = await fleet.start_engine("engine-0", "--batch", "4")
    await asyncio.gather(*(fleet.start_host(f"host-{n}") for n in range(2)))
    section = create_server_section("engine-0", "cobbler-assist", engine.http, slots=4)
    version = await fleet.publish(create_heelmark_text(section))
    await fleet.wait_ready(version)


async def send_quotes(fleet, count):
    """Send quotes at about twice the capacity; return the tasks."""
    caller = fleet.create_caller("heelmark", deadline_ms=8000, attempts=1)
    tasks = []
    for number in range(count):
        call = caller.chat(f"quote {number}", 20, "kind=quote")
        tasks.append(asyncio.create_task(call))
        await asyncio.sleep(0.05)
    return tasks


def start_drafts(fleet, count, tokens):
    """Send drafts whose callers come back when a full queue sends them away."""
    caller = fleet.create_caller(
        "guild", deadline_ms=30_000, attempts=20, patience_ms=30_000.0
    )
    calls = [caller.chat(f"draft {n}", tokens, "kind=draft") for n in range(count)]
    return [asyncio.create_task(call) for call in calls]


async def audit_refusals(fleet, results):
    """Check every refusal from outside by its own record."""
    refused = [r for r in results if not r.complete]
    assert refused, "nothing was refused; the check shows nothing"
    for result in refused:
        assert result.outcome == "not-run"
        assert result.retry_after_ms > 0
        await assert_not_shed_for_lower(fleet, result)


def test_a_morning_wave_starves_nobody(run_fleet):
    async def scenario(fleet):
        await start_wave(fleet)
        wave = await send_quotes(fleet, WAVE_QUOTES // 9)
        drafts = start_drafts(fleet, 6, 20)
        wave += await send_quotes(fleet, WAVE_QUOTES)
        # A draft that began to wait within the wave is served within the wave.
        assert any(task.done() for task in drafts)
        await audit_refusals(fleet, await asyncio.gather(*wave))
        finished = await asyncio.gather(*drafts)
        assert all(r.complete for r in finished), [r.kind for r in finished]

    run_fleet(scenario)


def test_drafts_that_hold_every_slot_cost_no_quote_its_place(run_fleet):
    async def scenario(fleet):
        await start_wave(fleet)
        drafts = start_drafts(fleet, 4, 250)
        await asyncio.sleep(0.5)
        wave = await send_quotes(fleet, WAVE_QUOTES // 3)
        await audit_refusals(fleet, await asyncio.gather(*wave))
        finished = await asyncio.gather(*drafts)
        assert all(r.complete for r in finished), [r.kind for r in finished]

    run_fleet(scenario)


async def assert_not_shed_for_lower(fleet, result):
    """Audit a refusal from outside by its own record."""
    trace = await fleet.explain(result.request_id)
    (refusal,) = [d for d in trace["decisions"] if d["stage"] == "refused"]
    for row in refusal["details"]["occupancy"]:
        name, _, counts = row.partition("/")
        if name == "draft":
            running = int(counts.split("waiting, ")[1].split()[0])
            assert running <= 1, row
