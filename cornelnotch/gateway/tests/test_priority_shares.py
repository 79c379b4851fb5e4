"""Test which priority counts as the least urgent one of a service."""

from cornelnotch.gateway.priority_shares import HALF_LIFE_MS, PriorityShares


def create_shares(*priorities):
    shares = PriorityShares()
    for priority in priorities:
        shares.record("llm", priority, 0.0)
    return shares


def test_priority_that_is_hardly_used_is_not_the_least_urgent():
    assert create_shares(*[0] * 60, *[2] * 39, 9).find_least_urgent("llm") == 2


def test_priority_that_is_no_longer_used_is_forgotten():
    shares = create_shares(2, 2, 2)
    for number in range(10):
        shares.record("llm", 1, 8.0 * HALF_LIFE_MS + number)
    assert shares.find_least_urgent("llm") == 1


def test_without_prompts_every_priority_is_the_least_urgent():
    assert PriorityShares().find_least_urgent("llm") == 0
