"""Test that the origins of streams are written to the store and read back."""

import asyncio

import pytest

from cornelnotch.exceptions import LogUnavailableError
from cornelnotch.gateway.origin_log import OriginBatch, SoftwareSeen
from cornelnotch.platform.store import ORIGINS_TOPIC, PlatformStore
from cornelnotch.standins.store import StoreStandin
from cornelnotch.web import HttpClient
from cornelnotch.wire.messages import BegunStreams


def create_batch(number):
    groups = [BegunStreams("llm", "v1", [number, 2**64 - 1])]
    return OriginBatch(1e12, 30_000.0, [SoftwareSeen("llm", "v1")], groups)


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


def test_batches_are_read_back_in_order():
    async def scenario(store, log):
        assert (await log.read_origins()).is_first
        for number in range(3):
            await log.append_origins(create_batch(number))
        history = await log.read_origins()
        assert history.batches == [create_batch(n) for n in range(3)]
        assert not history.is_first

    run_with_store(scenario)


def test_batches_are_read_from_the_first_that_the_store_has_kept():
    async def scenario(store, log):
        for number in range(3):
            await log.append_origins(create_batch(number))
        store.topics[ORIGINS_TOPIC].earliest = 2
        history = await log.read_origins()
        assert history.batches == [create_batch(2)]
        store.topics[ORIGINS_TOPIC].earliest = 3
        history = await log.read_origins()
        assert not history.batches and not history.is_first

    run_with_store(scenario)


@pytest.mark.parametrize("record", [b"", b"\xc1", b"\x94\x01", b"\x91" * 10_000])
def test_a_malformed_batch_does_not_hide_the_others(record):
    async def scenario(store, log):
        await log.append_origins(create_batch(1))
        store.topics[ORIGINS_TOPIC].write("", record)
        await log.append_origins(create_batch(2))
        history = await log.read_origins()
        assert history.batches == [create_batch(1), create_batch(2)]
        assert history.malformed == 1

    run_with_store(scenario)


def test_a_store_that_is_down_raises_an_error():
    async def scenario(store, log):
        store.fault = "busy"
        with pytest.raises(LogUnavailableError):
            await log.append_origins(create_batch(1))
        with pytest.raises(LogUnavailableError):
            await log.read_origins()

    run_with_store(scenario)
