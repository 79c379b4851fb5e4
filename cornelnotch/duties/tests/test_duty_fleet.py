"""Test the usage reports of a fleet of hosts, with one failure at a time."""

import asyncio
import itertools
import time

from cornelnotch.duties.tests.duty_hosts import (
    WORKSPACE,
    run_duty_fleet,
)
from cornelnotch.wire.messages import (
    DutyHeartbeat,
    UsageReceipt,
    UsageTotals,
    WindowTotals,
)

LEASE_S = 1.0


def run(scenario):
    asyncio.run(scenario())


# Guards against windows that are missing or wrong in normal operation.
def test_windows_are_reported_with_the_counts_of_all_hosts():
    async def scenario():
        async with run_duty_fleet(3) as fleet:
            await fleet.wait_for_holder(timeout_s=5.0)
            first = fleet.find_window() + 1
            await fleet.send_load(fleet.list_hosts(), 7.0)
            last = fleet.find_window() - 1
            await fleet.wait_for_reports(last)
            assert last > first
            windows = fleet.api.list_windows()
            for window in range(first, last + 1):
                sent = fleet.sent[window]
                counted = windows[window][WORKSPACE]
                assert abs(counted - sent) <= max(0.05 * sent, 3), (counted, sent)
            fleet.check()

    run(scenario)


def assert_order_of_holders(fleet, lease_s=LEASE_S):
    """Check that no holder acts, is followed by another, and acts within a lease."""
    last: dict[str, float] = {}
    previous = ""
    for call in sorted(fleet.api.accepted, key=lambda call: call.at_s):
        if previous and call.holder != previous and call.holder in last:
            assert call.at_s - last[call.holder] >= lease_s
        last[call.holder] = call.at_s
        previous = call.holder


async def assert_goes_on(fleet, first):
    """Check that the windows from `first` on are reported, without a gap."""
    last = max(fleet.find_window(), first + 1)
    await fleet.wait_for_reports(last)
    windows = fleet.api.list_windows()
    assert [w for w in range(first, last + 1) if w not in windows] == []
    fleet.check()
    assert_order_of_holders(fleet)


# Guards against duties that no host performs after the holder's host was lost.
def test_a_killed_holder_is_succeeded_within_three_leases():
    async def scenario():
        async with run_duty_fleet(3, lease_ms=1500.0) as fleet:
            holder = await fleet.wait_for_holder()
            await fleet.wait_for_reports(fleet.find_window())
            window = fleet.find_window()
            lost_s = time.monotonic()
            await fleet.kill(holder)
            await fleet.wait_for_holder()
            assert time.monotonic() - lost_s < 3 * 1.5
            await assert_goes_on(fleet, window)

    run(scenario)


# Guards against a fleet whose duties end with a restart of all its hosts.
def test_a_fleet_whose_hosts_were_all_killed_has_a_holder_again():
    async def scenario():
        async with run_duty_fleet(2) as fleet:
            await fleet.wait_for_holder()
            await fleet.wait_for_reports(fleet.find_window())
            for host in fleet.list_hosts():
                await fleet.kill(host)
            for _ in range(2):
                await fleet.add_host()
            await fleet.wait_for_holder(timeout_s=6.0)
            await assert_goes_on(fleet, fleet.find_window())

    run(scenario)


# Guards against duties that wait for a lease at each host of a rolling upgrade.
def test_planned_stops_in_series_hand_over_within_a_second():
    async def scenario():
        async with run_duty_fleet(4) as fleet:
            holder = await fleet.wait_for_holder()
            await fleet.wait_for_reports(fleet.find_window())
            first = fleet.find_window()
            for _ in range(3):
                stopping = asyncio.create_task(fleet.stop_host(holder))
                asked_s = time.monotonic()
                holder = await fleet.wait_for_holder(excluded=holder)
                assert time.monotonic() - asked_s < 1.0
                await stopping
            await assert_goes_on(fleet, first)

    run(scenario)


# Guards against a holder that cannot prove its claim and keeps the duties.
def test_a_holder_cut_from_the_store_hands_over():
    async def scenario():
        async with run_duty_fleet(3) as fleet:
            holder = await fleet.wait_for_holder()
            await fleet.wait_for_reports(fleet.find_window())
            first = fleet.find_window()
            holder.store.is_cut = True
            await fleet.wait_for_holder(excluded=holder)
            assert not holder.is_holder()
            await assert_goes_on(fleet, first)

    run(scenario)


# Guards against a holder that cannot call and keeps the duties.
def test_a_holder_cut_from_the_api_hands_over():
    async def scenario():
        async with run_duty_fleet(3, due_s=8.0) as fleet:
            holder = await fleet.wait_for_holder()
            await fleet.wait_for_reports(fleet.find_window())
            first = fleet.find_window()
            holder.client.cut_address = fleet.api.address
            await fleet.wait_for_holder(excluded=holder)
            await assert_goes_on(fleet, first)

    run(scenario)


# Guards against reports that end when the API has been silent.
def test_reports_go_on_after_the_api_was_silent():
    async def scenario():
        async with run_duty_fleet(3, due_s=12.0) as fleet:
            await fleet.wait_for_holder()
            await fleet.wait_for_reports(fleet.find_window())
            first = fleet.find_window()
            fleet.api.is_silent = True
            await asyncio.sleep(5.0)
            fleet.api.is_silent = False
            await assert_goes_on(fleet, first)

    run(scenario)


# Guards against calls that the API executes after newer ones.
def test_calls_that_are_executed_late_change_nothing():
    async def scenario():
        async with run_duty_fleet(3, due_s=8.0) as fleet:
            await fleet.wait_for_holder()
            await fleet.wait_for_reports(fleet.find_window())
            first = fleet.find_window()
            fleet.api.late_s = 3.0
            await asyncio.sleep(5.0)
            fleet.api.late_s = 0.0
            await assert_goes_on(fleet, first)

    run(scenario)


# Guards against reports that end when the store has been away.
def test_reports_go_on_after_the_store_was_away():
    async def scenario():
        async with run_duty_fleet(3, due_s=8.0) as fleet:
            await fleet.wait_for_holder()
            await fleet.wait_for_reports(fleet.find_window())
            first = fleet.find_window()
            fleet.store.fault = "busy"
            await asyncio.sleep(4.0)
            fleet.store.fault = ""
            await assert_goes_on(fleet, first)

    run(scenario)


# Guards against a token or a window that is used twice when the store loses writes.
def test_a_restored_store_leads_to_higher_tokens_and_no_second_content():
    async def scenario():
        async with run_duty_fleet(3, due_s=8.0) as fleet:
            await fleet.wait_for_holder()
            window = fleet.find_window()
            backup = fleet.store.create_backup()
            await fleet.send_load(fleet.list_hosts(), 5.0)
            await fleet.wait_for_reports(window + 1)
            tokens = {call.token for call in fleet.api.accepted}
            fleet.store.restore(backup)
            restored = fleet.find_window()
            await assert_goes_on(fleet, restored + 1)
            newer = [call for call in fleet.api.accepted if call.token not in tokens]
            assert min(call.token for call in newer) > max(tokens)

    run(scenario)


# Guards against a holder that does not know its claim, and one that trusts a late one.
def test_lost_and_late_appends_of_claims_lead_to_one_holder():
    async def scenario():
        async with run_duty_fleet(3, due_s=8.0) as fleet:
            fleet.store.lost_appends = 2
            fleet.store.late_append_s = 0.3
            await fleet.wait_for_holder()
            first = fleet.find_window()
            await fleet.wait_for_reports(first)
            fleet.store.lost_appends = 2
            fleet.store.late_append_s = 1.5
            await assert_goes_on(fleet, first)
            assert len(fleet.list_holders()) == 1

    run(scenario)


# Guards against log lines for each message that does not reach the holder.
def test_a_lost_holder_is_not_logged_each_second(caplog):
    async def scenario():
        async with run_duty_fleet(3) as fleet:
            holder = await fleet.wait_for_holder()
            for host in fleet.list_hosts():
                if host is not holder:
                    host.host.peers.set_address(holder.name, "127.0.0.1:1")
            caplog.clear()
            await fleet.send_load([h for h in fleet.list_hosts() if h is not holder], 3)
            numbers = [r.event.number for r in caplog.records if hasattr(r, "event")]
            assert sum(7000 <= number < 7200 for number in numbers) < 12

    run(scenario)


# Guards against calls beyond the rate that the API accepts from all hosts together.
def test_calls_keep_the_rate_of_the_api():
    async def scenario():
        async with run_duty_fleet(3, calls_per_s=1.0) as fleet:
            holder = await fleet.wait_for_holder()
            await fleet.wait_for_reports(fleet.find_window())
            await fleet.stop_host(holder)
            await fleet.wait_for_reports(fleet.find_window() + 1)
            fleet.check()

    run(scenario)


# Guards against a report whose count depends on requests without a workspace.
def test_reports_name_known_workspaces_only():
    async def scenario():
        async with run_duty_fleet(1) as fleet:
            await fleet.wait_for_holder()
            await fleet.send_load(fleet.list_hosts(), 1.0)
            await fleet.wait_for_reports(fleet.find_window())
            for counts in fleet.api.list_windows().values():
                assert set(counts) <= {WORKSPACE}

    run(scenario)


# Guards against duties that end with an absurd message of another host.
def test_absurd_messages_do_not_end_the_duties():
    async def scenario():
        async with run_duty_fleet(1) as fleet:
            holder = await fleet.wait_for_holder()
            numbers = (-(2**63), -1, 0, 2**53, 2**64 - 1)
            times = (float("nan"), float("inf"), -1.0, 0.0, 1e308)
            receive = holder.host.peers._receive
            for number, wall_ms in itertools.product(numbers, times):
                heartbeat = DutyHeartbeat(
                    "ghost", number, number, number, number, number, False
                )
                receive("ghost", heartbeat)
                receive("ghost", UsageReceipt("ghost", number, wall_ms))
                windows = [
                    WindowTotals(number, ["acme", "\x00"], [number, number]),
                    WindowTotals(number, ["acme"], []),
                ]
                receive("ghost", UsageTotals("ghost", number, wall_ms, windows))
            await assert_goes_on(fleet, fleet.find_window())
            assert fleet.list_holders() == [holder]
            assert all("\x00" not in c for c in fleet.api.list_windows().values())

    run(scenario)


def cut_from_others(fleet, host):
    """Drop all messages between a host and the others."""
    for other in fleet.list_hosts():
        send = other.host.peers.send

        def send_uncut(name, message, other=other, send=send):
            if (host.name in {name, other.name}) == (name == other.name == host.name):
                send(name, message)

        other.host.peers.send = send_uncut


# Guards against a holder that reports without the totals of the others, or comes back.
def test_a_holder_cut_from_other_hosts_hands_over_for_good():
    async def scenario():
        async with run_duty_fleet(3, due_s=8.0) as fleet:
            holder = await fleet.wait_for_holder()
            await fleet.wait_for_reports(fleet.find_window())
            first = fleet.find_window()
            cut_from_others(fleet, holder)
            await fleet.wait_for_holder(excluded=holder)
            await assert_goes_on(fleet, first + 3)
            assert not holder.is_holder()
            assert len(fleet.list_holders()) == 1

    run(scenario)


# Guards against a host without links that takes the duties from a sound holder.
def test_a_candidate_cut_from_other_hosts_does_not_claim():
    async def scenario():
        async with run_duty_fleet(3) as fleet:
            holder = await fleet.wait_for_holder()
            other = next(h for h in fleet.list_hosts() if h is not holder)
            cut_from_others(fleet, other)
            await assert_goes_on(fleet, fleet.find_window() + 3)
            assert fleet.list_holders() == [holder]

    run(scenario)


# Guards against requests that a stopping host counted and did not send any more.
def test_a_planned_stop_of_the_holder_loses_no_counts():
    async def scenario():
        async with run_duty_fleet(3, due_s=8.0) as fleet:
            holder = await fleet.wait_for_holder()
            others = [h for h in fleet.list_hosts() if h is not holder]
            first = fleet.find_window() + 1
            await fleet.send_load(fleet.list_hosts(), 3.0)
            stopping = asyncio.create_task(fleet.stop_host(holder))
            await fleet.send_load(others, 3.0)
            await stopping
            last = fleet.find_window() - 1
            await fleet.wait_for_reports(last)
            windows = fleet.api.list_windows()
            for window in range(first, last + 1):
                sent = fleet.sent[window]
                counted = windows[window].get(WORKSPACE, 0)
                assert abs(counted - sent) <= max(0.05 * sent, 3), (counted, sent)
            fleet.check()

    run(scenario)
