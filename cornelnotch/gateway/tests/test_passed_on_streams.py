"""Test that streams which hosts pass on to other hosts stay one run."""

import asyncio
import re

from cornelnotch.gateway.tests.conftest import create_configuration, wait_until
from cornelnotch.gateway.tests.severed_hosts import Kind, Way, run_hosts

DRAFT_PATH = "/stream/draft/1"
EVENT_MS = 100.0
LONG_EVENT_MS = 300.0
STREAMS = 8
# Longer than a gap after which a host seeks another server.
STALL_MS = 1600.0
DEADLINE_MS = "4000"
FIRST_EVENTS_S = 0.35
# Longer than a host takes to find that it is cut off, and a stream to be repeated.
REPEAT_S = 2.0
PROMPT = {"x_prompt_prefix": "p1:10", "x_token_usage": "10,20"}
VERSION = re.compile(rb"data: piece \d+(v\d+)\n\n")


def copy_streams(fleet):
    """Have streams that may not be repeated copied to a second engine."""
    for engine in fleet.engines:
        engine.backup_engines = {other.address: other for other in fleet.engines}
        engine.faults.event_ms = EVENT_MS
    services = [
        {"name": "desk"},
        {"name": "llm", "engine": {"kv_capacity": 9999, "backups": True}},
    ]
    fleet.configure(create_configuration(2, services=services))
    return wait_until(lambda: all(h.context.table.version == 2 for h in fleet.hosts))


def test_a_stream_with_a_copy_that_may_not_be_repeated_is_not_passed_on():
    async def run():
        async with run_hosts() as fleet:
            await copy_streams(fleet)
            # The first stream provides the expected duration.
            await fleet.send_to(0, Kind.STREAM, path=DRAFT_PATH, **PROMPT)
            sending = fleet.start_request(
                0, Kind.STREAM, request_id="draft", path=DRAFT_PATH, **PROMPT
            )
            await asyncio.sleep(FIRST_EVENTS_S)
            fleet.cut({0}, Way.REFUSE)
            attempt = await sending
            await asyncio.sleep(REPEAT_S)
            assert any("draft" in engine.backed_up_ids for engine in fleet.engines)
            assert not attempt.is_served
            assert fleet.count_executions()["draft"] == 1

    asyncio.run(run())


async def list_versions(fleet):
    """Have the engines run two versions of their software."""
    for engine, version in zip(fleet.engines, ("v1", "v2", "v2"), strict=True):
        engine.software = version
        engine.boot_ms = 1
        engine.faults.event_ms = LONG_EVENT_MS
        fleet.list_server(engine, "llm", version=version, born=1)
    names = {engine.name for engine in fleet.engines}
    await wait_until(
        lambda: all(
            host.context.pool.servers[name].record.boot_ms
            for host in fleet.hosts
            for name in names
        )
    )


def find_versions(attempt):
    return set(VERSION.findall(attempt.reply.body))


def test_a_stream_begun_over_another_host_goes_on_at_its_version_over_own_links():
    async def run():
        async with run_hosts() as fleet:
            await list_versions(fleet)
            links = fleet.hosts[0].context.links
            fleet.cut({0}, Way.REFUSE)
            await fleet.send_to(0, Kind.STREAM)
            await wait_until(lambda: links.is_cut_off("llm"))
            begun = [fleet.start_request(0, Kind.STREAM) for _ in range(STREAMS)]
            await asyncio.sleep(FIRST_EVENTS_S)
            fleet.heal({0})
            await wait_until(lambda: not links.is_cut_off("llm"))
            fleet.cut_between_hosts(0, Way.REFUSE)
            attempts = await asyncio.gather(*begun)
            own = set(fleet.list_ids_over_links(0))
            assert all(attempt.request_id in own for attempt in attempts)
            assert not any(len(find_versions(attempt)) > 1 for attempt in attempts)
            assert all(attempt.is_served for attempt in attempts)

    asyncio.run(run())


def test_a_silent_stream_is_kept_where_no_retry_is_left_to_pass_it_on():
    async def run():
        async with run_hosts() as fleet:
            for settings in fleet.settings_by_host:
                settings.bounds.retry_extra = 0.0
            for engine in fleet.engines:
                engine.faults.stall_after_events = 2
                engine.faults.stall_ms = STALL_MS
            sending = fleet.start_request(0, Kind.STREAM, x_deadline_ms=DEADLINE_MS)
            await asyncio.sleep(FIRST_EVENTS_S)
            fleet.cut({0}, Way.KEEP_THEN_REFUSE)
            links = fleet.hosts[0].context.links
            links.suspect("llm")
            await wait_until(lambda: links.is_cut_off("llm"))
            attempt = await sending
            assert attempt.is_served

    asyncio.run(run())


def test_a_stream_that_another_host_breaks_off_runs_at_no_more_servers_than_allowed():
    async def run():
        async with run_hosts() as fleet:
            links = fleet.hosts[0].context.links
            fleet.cut({0}, Way.REFUSE)
            await fleet.send_to(0, Kind.STREAM)
            await wait_until(lambda: links.is_cut_off("llm"))
            for engine in fleet.engines:
                engine.faults.abort_after_events = 1
            attempts = create_configuration()["routes"][2]["max_attempts"]
            begun = [fleet.start_request(0, Kind.STREAM) for _ in range(STREAMS)]
            broken = await asyncio.gather(*begun)
            runs = fleet.count_executions()
            assert all(0 < runs[each.request_id] <= attempts for each in broken)

    asyncio.run(run())


def test_a_stream_goes_on_over_a_third_host_when_the_second_is_killed():
    async def run():
        async with run_hosts() as fleet:
            links = fleet.hosts[0].context.links
            fleet.cut({0}, Way.REFUSE)
            await fleet.send_to(0, Kind.STREAM)
            await wait_until(lambda: links.is_cut_off("llm"))
            for engine in fleet.engines:
                engine.faults.event_ms = LONG_EVENT_MS
            sending = fleet.start_request(0, Kind.STREAM, request_id="passed")
            await asyncio.sleep(FIRST_EVENTS_S)
            await fleet.kill_host(fleet.find_sender("passed"))
            attempt = await sending
            assert attempt.is_served

    asyncio.run(run())
