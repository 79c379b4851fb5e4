"""Tests of reading a store that was restored from an older copy."""

import asyncio

import pytest

from cornelnotch.exceptions import LogTrimmedError, LogUnavailableError
from cornelnotch.gateway.tests.conftest import (
    create_configuration,
    run_deployment,
    wait_until,
)
from cornelnotch.platform.store import PlatformStore, parse_timeline
from cornelnotch.standins.store import StoreStandin
from cornelnotch.web import HttpClient


@pytest.mark.parametrize(
    ("headers", "timeline"),
    [
        ({"store-era": "3"}, 3),
        ({"store-era": " 12 "}, 12),
        ({}, None),
        ({"store-era": ""}, None),
        ({"store-era": "-1"}, None),
        ({"store-era": "2.0"}, None),
        ({"store-era": "two"}, None),
        ({"store-era": "\u0663"}, None),
    ],
)
def test_missing_or_malformed_timeline_is_none(headers, timeline):
    assert parse_timeline(headers) == timeline


def run_with_store(scenario):
    async def run():
        store = StoreStandin()
        await store.start()
        client = HttpClient()
        try:
            await scenario(store, PlatformStore(store.address, client))
        finally:
            client.close()
            await store.stop()

    asyncio.run(run())


def test_responses_and_errors_include_the_timeline():
    async def scenario(store, source):
        store.topics["keyed.op"].write("config", b"1")
        copy = store.create_backup()
        store.topics["keyed.op"].write("config", b"2")
        store.restore(copy)
        assert (await source.read_newest("configuration")).timeline == 2
        assert (await source.read_from("configuration", 0, 0.0)).timeline == 2
        with pytest.raises(LogTrimmedError) as trimmed:
            await source.read_from("configuration", 2, 0.0)
        assert trimmed.value.timeline == 2
        store.fault = "busy"
        with pytest.raises(LogUnavailableError) as unavailable:
            await source.read_newest("configuration")
        assert unavailable.value.timeline == 2

    run_with_store(scenario)


def test_pages_of_different_timelines_are_rejected():
    async def scenario(store, source):
        for number in range(8):
            store.topics["keyed.servers"].write(f"s{number}", b"x")
        answer_newest = store._answer_newest

        async def answer_and_restore(exchange, topic):
            await answer_newest(exchange, topic)
            store.timeline = "2"

        store._answer_newest = answer_and_restore
        with pytest.raises(LogUnavailableError, match="between two pages"):
            await source.read_newest("servers")
        assert len((await source.read_newest("servers")).records) == 8

    run_with_store(scenario)


def test_host_keeps_its_state_after_a_restoration_and_applies_new_records():
    async def run():
        async with run_deployment() as d:
            copy = d.store.create_backup()
            d.configure(create_configuration(2))
            await wait_until(lambda: d.host.context.table.version == 2)
            d.drop_server(d.desks[1])
            await wait_until(lambda: d.count_servers() == 3)
            d.store.restore(copy)
            await wait_until(lambda: d.host.follower.timeline == 2)
            assert d.host.context.table.version == 2
            d.configure(create_configuration(3))
            await wait_until(lambda: d.host.context.table.version == 3)
            assert d.count_servers() == 3
            answer = await d.send("/read/x")
            assert await answer.read() == b"done by desk-1"

    asyncio.run(run())


def test_hosts_never_write_to_the_store():
    async def run():
        async with run_deployment() as d:
            for path in ("/read/x", "/stream/x", "/nowhere/x"):
                answer = await d.send(path, "POST", b"b", x_attempt_id=path)
                await answer.read()
            copy = d.store.create_backup()
            d.configure(create_configuration(2))
            await wait_until(lambda: d.host.context.table.version == 2)
            d.store.restore(copy)
            await wait_until(lambda: d.host.follower.timeline == 2)
            assert d.store.paths == {"/log-newest", "/log-read"}

    asyncio.run(run())
