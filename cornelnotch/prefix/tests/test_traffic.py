"""Test what one of many hosts concludes from the few prompts that it sees."""

import pytest

from cornelnotch.gateway.models import PromptPart
from cornelnotch.prefix.traffic import (
    MAX_CONTINUATIONS,
    MIN_CONFIRMED_SHARE,
    REMEMBERED_PARTS,
    WINDOW_MS,
    PromptSample,
    ServiceTraffic,
)

HOSTS = 70


def record(traffic, names, now, held=None, expected=1000):
    shared = tuple(PromptPart(name, 1000) for name in names)
    held = expected if held is None else held
    traffic.record(PromptSample(shared, 500, 700, expected, held), now)


def test_rates_are_those_seen_also_before_the_window_has_passed():
    """Guards against rates that are too low after a start."""
    traffic = ServiceTraffic()
    for number in range(200):
        record(traffic, [f"p{number}"], number * 10.0)
        if number in {60, 199}:
            now = number * 10.0
            assert traffic.read_prompt_rate(now) == pytest.approx(0.1, rel=0.1)
    assert traffic.read_mean_own(1990.0) == pytest.approx(500.0)
    assert traffic.read_mean_inserted(1990.0) == pytest.approx(700.0)


def test_a_host_without_prompts_has_no_rates():
    """Guards against a division by zero at a host that has just started."""
    traffic = ServiceTraffic()
    assert not traffic.is_informed(0.0)
    assert traffic.read_prompt_rate(0.0) == 0.0
    assert traffic.read_mean_own(0.0) == traffic.read_mean_inserted(0.0) == 0.0
    assert traffic.estimate_use_rate("p", HOSTS, 0.0) == 0.0
    assert traffic.find_proven_use_rate("p", HOSTS, 0.0) == 0.0
    assert traffic.read_confirmed_share(0.0) == 1.0


def test_a_few_uses_do_not_make_a_prefix_hot_and_many_do_until_they_end():
    """Guards against copies of prefixes that one host saw twice by chance."""
    traffic = ServiceTraffic()
    for number in range(400):
        now = number * 100.0
        name = "hot" if number % 4 == 0 else f"p{number // 3}"
        record(traffic, [name], now)
        if name != "hot":
            assert traffic.find_proven_use_rate(name, HOSTS, now) == 0.0
    # 2.5 uses per second at each of 70 hosts.
    proven = traffic.find_proven_use_rate("hot", HOSTS, now)
    assert 0.05 < proven < 0.175
    assert traffic.find_proven_use_rate("hot", HOSTS, now + 5 * WINDOW_MS) == 0.0


def test_unconfirmed_tokens_lower_the_confirmed_share_within_a_bound():
    """Guards against distrust of all caches after one controller was replaced."""
    traffic = ServiceTraffic()
    for number in range(2000):
        record(traffic, ["p"], number * 1.0, held=0)
    assert traffic.read_confirmed_share(2000.0) == MIN_CONFIRMED_SHARE
    for number in range(2000):
        record(traffic, ["p"], 60_000.0 + number)
    assert traffic.read_confirmed_share(62_000.0) > 0.95


def test_memory_is_bounded():
    """Guards against callers that send ever new prefixes."""
    traffic = ServiceTraffic()
    for number in range(REMEMBERED_PARTS + 500):
        record(traffic, ["first", f"p{number}"], number * 1.0)
    assert len(traffic._parts) == REMEMBERED_PARTS
    assert traffic.count_continuations("first") == MAX_CONTINUATIONS
    assert traffic.count_continuations("p1") == 0
