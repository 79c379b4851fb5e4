"""Test the usage reports of a fleet of hosts, with one failure at a time."""

import asyncio

from cornelnotch.duties.tests.duty_hosts import WORKSPACE, run_duty_fleet


def run(scenario):
    asyncio.run(scenario())


# Guards against windows that are missing or wrong in normal operation.
def test_windows_are_reported_with_the_counts_of_all_hosts():
    async def scenario():
        async with run_duty_fleet(3) as fleet:
            await fleet.wait_for_holder(timeout_s=5.0)
            first = fleet.find_window() + 1
            await fleet.send_load(fleet.list_hosts(), 5.0)
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
