"""Test that retries stay within the budget of the fleet in every window."""

import random

from cornelnotch.gateway.retry_budget import RetryBudget

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


def test_a_share_of_the_requests_may_be_retried():
    budget = RetryBudget(SHARE, 0.0, WINDOW_MS)
    for _ in range(100):
        budget.record_request(0.0)
    assert sum(budget.try_acquire(1.0) for _ in range(50)) == 15
