"""Test that a host out of step in a release joins no streams of two versions."""

import asyncio

import pytest

from cornelnotch.gateway.tests.hosts_out_of_step import HostsOutOfStep

# Times since the host got out of step.
RELEASE_S = 0.2
WAVE_S = 0.1
AFTER_S = 2.0
RANKS = (0, 1, 2)
# Of the streams that are taken up, this share goes on.
MIN_RESUMED_SHARE = 0.5


async def play_release(hosts, out_s, leave, come_back, lost_rank=None):
    """Begin streams while a host is out of step and for some time after."""
    loop = asyncio.get_running_loop()
    others = [n for n in hosts.ranked if n != hosts.victim]
    if lost_rank is not None:
        others.remove(hosts.ranked[lost_rank])
    leave()
    started_s = loop.time()
    is_released = is_back = False
    while (elapsed_s := loop.time() - started_s) < out_s + AFTER_S:
        if not is_released and elapsed_s >= RELEASE_S:
            is_released = True
            await hosts.release()
            if lost_rank is not None:
                await hosts.lose_host(lost_rank)
        if not is_back and elapsed_s >= out_s:
            is_back = True
            come_back()
        for host in others:
            hosts.start_streams(host)
        await asyncio.sleep(WAVE_S)
    await hosts.wait_for_callers()


def check_taken_up(hosts):
    taken_up = hosts.taken_up
    joined = sum(stream.is_joined() for stream in taken_up)
    resumed = sum(stream.is_resumed() for stream in taken_up)
    print(f"taken up {len(taken_up)}, joined {joined}, resumed {resumed}")
    assert taken_up
    assert not joined
    assert resumed >= MIN_RESUMED_SHARE * len(taken_up)


def run_cut(rank, out_s, from_store, lost_rank=None):
    async def run():
        hosts = HostsOutOfStep(rank)
        await hosts.start()
        try:
            await play_release(
                hosts,
                out_s,
                lambda: hosts.cut_off(from_store),
                hosts.reconnect,
                lost_rank,
            )
            check_taken_up(hosts)
        finally:
            await hosts.stop()

    asyncio.run(run())


def run_lost_records(rank, out_s):
    async def run():
        hosts = HostsOutOfStep(rank)
        await hosts.start()
        try:
            await play_release(hosts, out_s, hosts.lose_records, hosts.reconnect)
            check_taken_up(hosts)
            refused = [a.status for t in hosts.taken_up for a in t.answers[:-1]]
            print(f"refused {len(refused)}")
            assert refused
            assert all(stream.is_resumed() for stream in hosts.taken_up)
        finally:
            await hosts.stop()

    asyncio.run(run())


def run_standstill(folder, rank, out_s, lost_rank=None):
    async def run():
        hosts = HostsOutOfStep(rank, folder)
        try:
            await hosts.start()
            await hosts.keep_connections()
            await play_release(
                hosts, out_s, hosts.stop_process, hosts.continue_process, lost_rank
            )
            check_taken_up(hosts)
        finally:
            await hosts.stop()

    asyncio.run(run())


@pytest.mark.parametrize("from_store", [False, True])
@pytest.mark.parametrize("out_s", [1.0, 3.0])
@pytest.mark.parametrize("rank", RANKS)
def test_a_host_that_was_cut_off_joins_no_versions(rank, out_s, from_store):
    run_cut(rank, out_s, from_store)


@pytest.mark.parametrize("out_s", [1.0, 3.0])
@pytest.mark.parametrize("rank", RANKS)
def test_a_host_that_stood_still_joins_no_versions(tmp_path, rank, out_s):
    run_standstill(tmp_path, rank, out_s)


@pytest.mark.parametrize("rank", RANKS)
def test_a_host_that_was_cut_off_as_a_reader_was_lost_joins_no_versions(rank):
    run_cut(rank, 2.0, False, lost_rank=1 if rank == 0 else 0)


@pytest.mark.parametrize("rank", RANKS)
def test_a_host_that_stood_still_as_a_reader_was_lost_joins_no_versions(tmp_path, rank):
    run_standstill(tmp_path, rank, 2.0, lost_rank=1 if rank == 0 else 0)


@pytest.mark.parametrize("rank", RANKS)
def test_a_stream_whose_version_is_not_listed_yet_is_not_refused_for_good(rank):
    run_lost_records(rank, 1.0)
