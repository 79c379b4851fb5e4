"""Test that retries stay within the budget of the fleet in every window."""

import random

import pytest

from cornelnotch.gateway.retry_budget import RetryBudget
from cornelnotch.gateway.settings import BoundsSection
from cornelnotch.gateway.tests.limited_fleet import (
    MAX_DETECTION_S,
    LimitedFleet,
    LimitedServer,
)
from cornelnotch.testing.virtual_time import run_in_virtual_time

SHARE, EXTRA, WINDOW_MS = 0.2, 56.0, 10_000.0


def count_between(times, start, end):
    return sum(start <= t < end for t in times)


def test_retries_of_eight_hosts_stay_within_the_budget_of_any_window():
    generator = random.Random(7)
    budgets = [RetryBudget(SHARE, EXTRA, WINDOW_MS) for _ in range(8)]
    requests, retries = [], []
    for step in range(40_000):
        now = step * 1.0
        # A burst between two quiet periods, as in the scale tests.
        if generator.random() < (0.3 if 10_000 < now < 20_000 else 0.03):
            budget = generator.choice(budgets)
            budget.host_count = len(budgets)
            budget.record_request(now)
            requests.append(now)
            while budget.try_acquire(now):
                retries.append(now)
    for start in range(0, 30_000, 250):
        end = start + WINDOW_MS
        earlier = count_between(requests, start - WINDOW_MS, start)
        within = max(count_between(requests, start, end), earlier)
        assert count_between(retries, start, end) <= SHARE * within + EXTRA


@pytest.mark.parametrize("kills_ms", [[12_000.0], [9_000.0, 14_000.0, 16_500.0]])
def test_retries_stay_within_the_budget_after_all_hosts_were_killed(kills_ms):
    """Guards against processes that spend again what those before them have spent."""
    generator = random.Random(7)
    hosts = 8
    budgets = [RetryBudget(SHARE, EXTRA, WINDOW_MS) for _ in range(hosts)]
    requests, retries = [], []
    for step in range(40_000):
        now = step * 1.0
        if now in kills_ms:
            budgets = [RetryBudget(SHARE, EXTRA, WINDOW_MS, now) for _ in range(hosts)]
        if generator.random() < 0.05:
            budget = generator.choice(budgets)
            budget.host_count = hosts
            budget.record_request(now)
            requests.append(now)
            while budget.try_acquire(now):
                retries.append(now)
    for start in range(0, 30_000, 250):
        end = start + WINDOW_MS
        earlier = count_between(requests, start - WINDOW_MS, start)
        within = max(count_between(requests, start, end), earlier)
        assert count_between(retries, start, end) <= SHARE * within + EXTRA


def test_a_process_has_its_whole_share_after_its_first_window():
    budget = RetryBudget(0.0, EXTRA, WINDOW_MS, 0.0)
    assert sum(budget.try_acquire(1.0) for _ in range(50)) == EXTRA / 4
    later_ms = 1.0 + WINDOW_MS
    assert sum(budget.try_acquire(later_ms) for _ in range(50)) == EXTRA * 3 / 4


def test_a_share_of_the_requests_may_be_retried():
    budget = RetryBudget(SHARE, 0.0, WINDOW_MS)
    for _ in range(100):
        budget.record_request(0.0)
    assert sum(budget.try_acquire(1.0) for _ in range(50)) == 15


def test_hosts_on_both_sides_of_a_partition_share_one_retry_budget():
    async def run():
        fleet = LimitedFleet(8, [LimitedServer("s0")])
        names = list(fleet.hosts)
        await fleet.partition(names[:1], MAX_DETECTION_S + 0.1)
        retries = 0
        for host in fleet.hosts.values():
            budget = host.context.find_retry_budget("desk")
            while budget.try_acquire(host.context.clock.read()):
                retries += 1
        fleet.stop()
        return retries

    assert run_in_virtual_time(run()) <= BoundsSection().retry_extra
