"""Test what is learned of the memory of servers, and which crashes that explains."""

import asyncio

import pytest

from cornelnotch.gateway.crash_watch import ServerLife
from cornelnotch.gateway.models import ServerRecord
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.gateway.tests.conftest import run_deployment, wait_until
from cornelnotch.pressure.held_bytes import (
    ACTIVE_MS,
    COMPLETE_MS,
    RAISE_INTERVAL_MS,
    SAFE_SHARE,
    HeldBytes,
)
from cornelnotch.wire.messages import (
    ServerBytes,
    ServerBytesReport,
    ServerBytesSummary,
    ServiceBytes,
)

BOOT = 2
MB = 1_000_000


def create_view(name="s-1", held=0):
    record = ServerRecord(name, "desk", "10.0.0.1:80", "north-a", 6, False, BOOT)
    view = ServerView(record)
    view.start(InFlightRequest(f"r-{name}", 0.0, 0, sent=True, held_bytes=held))
    return view


def note_crash(held_bytes, sizes, now, server="s-1", boot_ms=BOOT):
    found = [
        held_bytes.note_crash(server, boot_ms, "desk", host, size, now)
        for host, size in sizes.items()
    ]
    return found[-1]


def test_a_crash_under_many_bytes_gives_a_bound_once_all_hosts_have_told():
    held_bytes = HeldBytes("h1")
    assert note_crash(held_bytes, {"h1": 2 * MB, "h2": 8 * MB}, 0.0)
    assert held_bytes.learn_bounds(COMPLETE_MS / 2) == []
    (learned,) = held_bytes.learn_bounds(COMPLETE_MS)
    assert learned == ServiceBytes("desk", 0, 10 * MB)
    assert held_bytes.find_bound("desk") == 10 * MB * SAFE_SHARE


def test_a_crash_below_what_servers_bear_is_left_to_the_evidence():
    # A request that crashes servers must still be found among large ones.
    held_bytes = HeldBytes("h1")
    held_bytes.note_alive(create_view(held=20 * MB), 1, 0.0)
    assert not note_crash(held_bytes, {"h1": 5 * MB}, 10.0)
    assert held_bytes.learn_bounds(10.0 + COMPLETE_MS) == []
    assert note_crash(held_bytes, {"h1": 19 * MB}, 20.0, "s-2")


def test_small_requests_never_explain_a_crash():
    # Deployments with small requests find crashing ones as before.
    held_bytes = HeldBytes("h1")
    assert not note_crash(held_bytes, {"h1": 900_000}, 0.0)
    assert held_bytes.find_bound("desk") == 0


def test_a_server_near_its_bound_gets_no_large_request():
    held_bytes = HeldBytes("h1")
    held_bytes.set_bounds([ServiceBytes("desk", 4 * MB, 10 * MB)], 0.0)
    full, empty = create_view("s-1", 3 * MB), create_view("s-2", 0)
    held_bytes.set_others([ServerBytes("s-1", BOOT, 7 * MB)], {"s-1": 3 * MB}, 0.0)
    assert held_bytes.measure(full, 10.0) == 7 * MB
    assert held_bytes.list_with_room([full, empty], 2 * MB, 10.0) == [empty]
    assert held_bytes.list_with_room([full, empty], MB // 2, 10.0) == [full, empty]
    # One that no server bears beside others goes to one that holds nothing.
    assert held_bytes.list_with_room([full, empty], 50 * MB, 10.0) == [empty]


def test_counts_are_shared_only_while_they_are_large():
    held_bytes = HeldBytes("h1")
    held_bytes.note_alive(create_view(held=10_000), 60, 0.0)
    assert not held_bytes.is_active(0.0)
    held_bytes.note_alive(create_view(held=2 * MB), 60, 0.0)
    assert held_bytes.is_active(ACTIVE_MS - 1.0)
    assert not held_bytes.is_active(ACTIVE_MS)
    held_bytes.set_bounds([ServiceBytes("desk", 0, 6 * MB)], 0.0)
    held_bytes.note_alive(create_view(held=MB // 10), 60, 20_000.0)
    assert held_bytes.is_active(20_001.0)


@pytest.mark.parametrize(
    "told", [ServiceBytes("desk", -1, 5 * MB), ServiceBytes("desk", 9, 5)]
)
def test_absurd_bounds_of_another_host_are_ignored(told):
    held_bytes = HeldBytes("h1")
    held_bytes.set_bounds([told], 0.0)
    assert held_bytes.find_bound("desk") == 0


def test_a_bound_rises_while_servers_do_not_crash():
    # A bound that was learned too low must not refuse requests for good.
    held_bytes = HeldBytes("h1")
    note_crash(held_bytes, {"h1": 10 * MB}, 0.0)
    held_bytes.learn_bounds(COMPLETE_MS)
    bounds = [
        held_bytes.learn_bounds(COMPLETE_MS + step * RAISE_INTERVAL_MS)[0].fatal
        for step in range(4)
    ]
    assert bounds == sorted(set(bounds))
    assert 10 * MB < bounds[-1] < 11 * MB
    note_crash(held_bytes, {"h1": 9 * MB + MB // 2}, 50_000.0, "s-2")
    (learned,) = held_bytes.learn_bounds(50_000.0 + COMPLETE_MS)
    assert learned.fatal == 9 * MB + MB // 2


def create_requests(size):
    return [
        InFlightRequest(
            f"r-{number}",
            0.0,
            0,
            sent=True,
            held_bytes=size,
            fingerprints=(f"f{number}",),
        )
        for number in range(3)
    ]


def test_requests_are_not_blamed_for_a_server_whose_memory_they_exceeded():
    async def run():
        async with run_deployment() as deployment:
            context = deployment.host.context
            context.record_crash(ServerLife("desk-1", 0), create_requests(2 * MB))
            assert context.crashes.count_crashes() == 0
            context.record_crash(ServerLife("desk-2", 0), create_requests(100))
            assert context.crashes.count_crashes() == 1

    asyncio.run(run())


def test_what_other_hosts_had_there_clears_the_requests_later():
    # A host alone sees only a small part of what a server held.
    async def run():
        async with run_deployment() as deployment:
            host = deployment.host
            context = host.context
            context.record_crash(ServerLife("desk-1", 0), create_requests(100))
            assert context.crashes.count_crashes() == 1
            report = ServerBytesReport("h2", [], [ServerBytes("desk-1", 0, 9 * MB)])
            host.peers._receive("h2", report)
            assert context.crashes.count_crashes() == 0
            await wait_until(lambda: context.held_bytes.find_bound("desk") > 0)
            assert context.held_bytes.find_bound("desk") < 9 * MB

    asyncio.run(run())


def test_hosts_with_small_requests_share_nothing_and_run_no_timer():
    async def run():
        async with run_deployment() as deployment:
            host = deployment.host
            response = await deployment.send("/read/a", "POST", b"x" * 1000)
            assert response.status == 200
            await response.read()
            assert host.byte_notices._timer is None
            # A summary of another build with small totals does not wake this host.
            summary = ServerBytesSummary([ServerBytes("desk-1", 0, 5)], [], [], [])
            host.peers._receive("h2", summary)
            assert host.byte_notices._timer is None

    asyncio.run(run())
