"""Test how a host knows until when it has read all that the store had."""

import asyncio

from cornelnotch.gateway.record_reads import RecordReads


def test_a_read_covers_what_the_store_had_when_it_began():
    reads = RecordReads()
    assert not reads.covers(0.0)
    reads.note(500.0)
    reads.note(400.0)
    assert reads.covers(500.0)
    assert not reads.covers(501.0)
    assert reads.find_latest_ms() == 500.0


def test_all_who_wait_go_on_with_the_read_that_they_need():
    async def run():
        reads = RecordReads()
        early = asyncio.create_task(reads.wait(100.0, 5000.0))
        late = asyncio.create_task(reads.wait(200.0, 5000.0))
        await asyncio.sleep(0)
        reads.note(150.0)
        await asyncio.wait_for(early, 1.0)
        assert not late.done()
        reads.note(200.0)
        await asyncio.wait_for(late, 1.0)

    asyncio.run(run())


def test_a_wait_ends_without_a_read():
    async def run():
        reads = RecordReads()
        await reads.wait(100.0, 10.0)
        assert not reads.covers(100.0)

    asyncio.run(run())
