"""Test with several hosts that no stream holds events of two software versions."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from cornelnotch.gateway.tests.conftest import create_configuration, wait_until
from cornelnotch.gateway.tests.versioned_hosts import EVENT_MS, EVENTS, VersionedHosts
from cornelnotch.platform.store import ORIGINS_TOPIC

STREAMS = 12
# Of the streams that are taken up, this share goes on.
MIN_RESUMED_SHARE = 0.5
STATUS_SERVER_ERROR = 500


@asynccontextmanager
async def run_hosts(*arguments, **fields):
    hosts = VersionedHosts(*arguments, **fields)
    await hosts.start()
    try:
        yield hosts
    finally:
        await hosts.stop()


async def begin_streams(hosts, host=0):
    """Begin streams at one host, some at each version."""
    begun = await asyncio.gather(*(hosts.begin(host) for _ in range(STREAMS)))
    assert {v for _, answer in begun for v in answer.versions} == {"v1", "v2"}
    return begun


async def resume_streams(hosts, begun, host=0):
    resumed = await asyncio.gather(
        *(hosts.resume(host, request_id, answer) for request_id, answer in begun)
    )
    return [(first, second) for (_, first), second in zip(begun, resumed, strict=True)]


def check_separate(pairs):
    """Check that no stream went on at another version than the one that began it."""
    joined = [first.versions | second.versions for first, second in pairs]
    assert all(len(versions) == 1 for versions in joined)


def check_resumed(pairs):
    whole = [second.is_whole(first.numbers[-1] + 1) for first, second in pairs]
    assert sum(whole) >= MIN_RESUMED_SHARE * len(pairs)


def test_a_stream_goes_on_within_its_response_only_at_its_version():
    async def run():
        async with run_hosts() as hosts:
            hosts.engines[0].faults.abort_after_events = 3
            hosts.engines[2].faults.abort_after_events = 3
            answers = await asyncio.gather(
                *(hosts.send_to(0, hosts.create_id()) for _ in range(STREAMS))
            )
            assert all(answer.is_whole() for answer in answers)
            assert all(len(answer.versions) == 1 for answer in answers)

    asyncio.run(run())


def test_a_stream_whose_version_is_gone_is_broken_off():
    async def run():
        async with run_hosts(versions=("v1", "v2")) as hosts:
            hosts.engines[0].faults.abort_after_events = 3
            answers = await asyncio.gather(
                *(hosts.send_to(0, hosts.create_id()) for _ in range(STREAMS))
            )
            assert {v for answer in answers for v in answer.versions} == {"v1", "v2"}
            for answer in answers:
                expected = [1, 2, 3] if answer.versions == {"v1"} else None
                assert answer.numbers == expected or answer.is_whole()
                assert len(answer.versions) == 1

    asyncio.run(run())


@pytest.mark.parametrize("resuming_host", [0, 1])
def test_a_stream_that_is_taken_up_goes_on_at_its_version(resuming_host):
    async def run():
        async with run_hosts(2) as hosts:
            begun = await begin_streams(hosts)
            pairs = await resume_streams(hosts, begun, resuming_host)
            check_separate(pairs)
            check_resumed(pairs)

    asyncio.run(run())


@pytest.mark.parametrize("resuming_host", [0, 1, 2])
def test_a_stream_that_is_taken_up_at_once_is_not_unknown(resuming_host):
    async def run():
        async with run_hosts(3) as hosts:
            pairs = []
            for n in range(STREAMS):
                begun = [await hosts.begin(n % 3, events=1)]
                pairs += await resume_streams(hosts, begun, resuming_host)
            check_separate(pairs)
            statuses = [second.status for _, second in pairs]
            print(statuses)
            assert STATUS_SERVER_ERROR not in statuses

    asyncio.run(run())


@pytest.mark.parametrize("killed", [0, 1, 2])
def test_a_stream_is_taken_up_after_the_host_that_began_it_was_killed(killed):
    async def run():
        async with run_hosts(3) as hosts:
            begun = await begin_streams(hosts, killed)
            await asyncio.sleep(0.2)
            await hosts.hosts[killed].tasks.stop()
            await hosts.hosts[killed].stop()
            pairs = await resume_streams(hosts, begun, (killed + 1) % 3)
            check_separate(pairs)
            check_resumed(pairs)

    asyncio.run(run())


def test_a_stream_is_taken_up_at_its_version_after_all_hosts_were_killed():
    async def run():
        async with run_hosts(3) as hosts:
            begun = await begin_streams(hosts)
            await asyncio.sleep(1.5)
            await hosts.restart_hosts()
            pairs = await resume_streams(hosts, begun, 1)
            check_separate(pairs)
            check_resumed(pairs)

    asyncio.run(run())


def test_a_stream_that_no_host_knows_is_refused_while_versions_differ():
    async def run():
        async with run_hosts(2) as hosts:
            begun = await begin_streams(hosts)
            unknown = [(f"unknown-{name}", answer) for name, answer in begun]
            pairs = await resume_streams(hosts, unknown, 1)
            assert all(second.status not in {0, 200} for _, second in pairs)

    asyncio.run(run())


@pytest.mark.parametrize("gap_s", [0.0, 1.5])
def test_a_stream_of_a_version_that_left_before_all_hosts_were_killed_is_refused(gap_s):
    async def run():
        async with run_hosts(2) as hosts:
            begun = await begin_streams(hosts)
            await asyncio.sleep(gap_s)
            await hosts.drop_engines("v1")
            await hosts.restart_hosts()
            pairs = await resume_streams(hosts, begun, 1)
            check_separate([p for p in pairs if p[1].status == 200])
            old = [second for first, second in pairs if first.versions == {"v1"}]
            assert old and all(second.status not in {0, 200} for second in old)

    asyncio.run(run())


def test_a_stream_that_is_unknown_goes_on_while_there_was_only_one_version():
    async def run():
        async with run_hosts(2, versions=("v1", "v1")) as hosts:
            request_id, begun = await hosts.begin(0)
            await hosts.restart_hosts()
            resumed = await hosts.resume(1, f"unknown-{request_id}", begun)
            assert resumed.is_whole(begun.numbers[-1] + 1)

    asyncio.run(run())


def test_a_stream_that_was_taken_up_twice_goes_on_at_the_version_that_began_it():
    async def run():
        async with run_hosts(2) as hosts:
            begun = await begin_streams(hosts)
            pairs = []
            for request_id, first in begun:
                second = await hosts.send_to(
                    1,
                    hosts.create_id(),
                    stop_after=2,
                    last_event_id=str(first.numbers[-1]),
                    resumes=request_id,
                )
                third = await hosts.resume(0, request_id, second)
                pairs += [(first, second), (first, third)]
                assert third.numbers[-1] == EVENTS
            check_separate(pairs)

    asyncio.run(run())


def test_a_stream_goes_on_at_the_service_that_began_it():
    async def run():
        async with run_hosts(2) as hosts:
            split = [
                {"service": "llm", "weight": 50},
                {"service": "llm-2", "weight": 50},
            ]
            for engine in hosts.engines[2:]:
                hosts.list_server(engine, "llm-2", version=engine.software)
            content = create_configuration(2, services=[{"name": "llm"}])
            for route in content["routes"]:
                route["traffic_split"] = split
            hosts.configure(content)
            await wait_until(
                lambda: all(
                    host.context.table.version == 2
                    and len(host.context.pool.list_ready("llm-2")) == 2
                    for host in hosts.hosts
                )
            )
            pairs = await resume_streams(hosts, await begin_streams(hosts), 1)
            check_separate(pairs)
            check_resumed(pairs)

    asyncio.run(run())


def test_a_stream_is_asked_to_come_again_while_the_log_of_origins_is_away():
    async def run():
        async with run_hosts(1) as hosts:
            begun = await begin_streams(hosts)
            await asyncio.sleep(1.0)
            await hosts.kill_hosts()
            hosts.store.silent_topics.add(ORIGINS_TOPIC)
            await hosts.start_hosts()
            pairs = await resume_streams(hosts, begun)
            assert {second.status for _, second in pairs} == {503}
            hosts.store.silent_topics.clear()
            await wait_until(hosts.hosts[0].origin_keeper.is_loaded)
            pairs = await resume_streams(hosts, begun)
            check_separate(pairs)
            check_resumed(pairs)

    asyncio.run(run())


def test_a_host_without_fresh_records_does_not_assume_one_version():
    async def run():
        async with run_hosts(1, versions=("v1", "v1")) as hosts:
            request_id, begun = await hosts.begin(0)
            hosts.store.fault = "busy"
            await asyncio.sleep(2.5)
            unknown = await hosts.resume(0, f"unknown-{request_id}", begun)
            known = await hosts.resume(0, request_id, begun)
            assert unknown.status not in {0, 200}
            assert known.is_whole(begun.numbers[-1] + 1)

    asyncio.run(run())


def test_a_stream_does_not_go_on_at_a_server_that_is_back_as_another_version():
    async def run():
        async with run_hosts(versions=("v1", "v1", "v2")) as hosts:
            begun = await begin_streams(hosts)
            await hosts.restart_engine(hosts.engines[0], "v2")
            pairs = await resume_streams(hosts, begun)
            check_separate(pairs)
            check_resumed(pairs)

    asyncio.run(run())


def test_a_stream_that_a_restarted_server_began_is_not_joined():
    async def run():
        async with run_hosts(versions=("v1", "v1", "v2")) as hosts:
            restarted = hosts.engines[0]
            await hosts.restart_engine(restarted, "v2")
            restarted.faults.event_ms = 5 * EVENT_MS
            tasks = [asyncio.create_task(hosts.begin(0, 9)) for _ in range(STREAMS)]
            await asyncio.sleep(3 * EVENT_MS / 1000.0)
            hosts.list_engine(restarted)
            begun = await asyncio.gather(*tasks)
            assert restarted.executions
            restarted.faults.event_ms = EVENT_MS
            pairs = await resume_streams(hosts, begun)
            check_separate([p for p in pairs if p[1].status == 200])
            check_resumed([p for p in pairs if p[0].versions == {"v1"}])

    asyncio.run(run())
