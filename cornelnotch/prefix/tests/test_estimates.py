"""Test the estimates at the border of each regime, where a wrong one costs most."""

import math

import pytest

from cornelnotch.prefix import estimates
from cornelnotch.prefix.replication import (
    MAX_HOLDERS,
    compute_stagger,
    count_holders,
    estimate_queue_ms,
)


def test_a_part_is_held_until_about_a_lifetime_after_its_last_use():
    """Guards against counting parts as cached that an engine has evicted."""
    lifetime_ms = estimates.estimate_lifetime_ms(575_000, 20.0)
    assert lifetime_ms == 28_750.0
    assert estimates.estimate_held(0.0, lifetime_ms) == 1.0
    assert estimates.estimate_held(lifetime_ms / 2, lifetime_ms) == 1.0
    assert estimates.estimate_held(lifetime_ms, lifetime_ms) == pytest.approx(0.5)
    assert estimates.estimate_held(lifetime_ms * 2, lifetime_ms) == 0.0


def test_an_engine_without_cache_memory_holds_nothing_and_an_idle_one_everything():
    """Guards against a division by zero at engines without memory or load."""
    assert estimates.estimate_lifetime_ms(0, 20.0) == 0.0
    assert estimates.estimate_held(0.0, 0.0) == 0.0
    assert estimates.estimate_lifetime_ms(575_000, 0.0) == math.inf
    assert estimates.estimate_held(1e9, math.inf) == 1.0
    assert estimates.estimate_reuse(0.0, math.inf) == 0.0
    assert estimates.estimate_reuse(1e-9, math.inf) == 1.0


def test_chances_stay_probabilities():
    """Guards against savings that exceed the prompt."""
    assert estimates.combine_chances(0.0, 0.0) == 0.0
    assert estimates.combine_chances(1.0, 0.3) == 1.0
    assert estimates.combine_chances(0.5, 0.5) == 0.75
    assert 0.0 < estimates.estimate_reuse(1e-4, 10_000.0) < 1.0


def test_requests_wait_for_slots_or_for_memory_whichever_is_scarcer():
    """Guards against sending long prompts to engines whose memory is full."""
    slots_only = estimates.estimate_slot_wait_ms(63, 64, 575_000, 1000.0, 2500.0)
    assert slots_only == 0.0
    assert estimates.estimate_slot_wait_ms(64, 64, 0, 0.0, 2500.0) > 0.0
    in_memory = estimates.estimate_slot_wait_ms(40, 64, 575_000, 17_000.0, 2500.0)
    assert in_memory > 0.0
    # A prompt that exceeds the memory counts as one that fits alone.
    assert estimates.estimate_slot_wait_ms(1, 64, 1000, 9e9, 2500.0) == 2500.0


def test_a_prefill_costs_others_more_the_busier_the_service_is_within_a_bound():
    """Guards against repeated prefill that saturates all engines, and endless waits."""
    idle, busy, full, beyond = (
        estimates.estimate_delay_to_next_ms(100.0, u) for u in (0.0, 0.5, 0.65, 40.0)
    )
    assert idle == 0.0 < busy < full == beyond
    assert full / 100.0 < 10.0


def test_only_memory_that_is_used_again_makes_eviction_costly():
    """Guards against avoiding engines because of parts that nobody uses again."""
    assert estimates.estimate_live_share(20.0, 0.0, 0.001, 28_000.0) == 0.0
    rare = estimates.estimate_live_share(5.0, 20.0, 1e-6, 28_000.0)
    frequent = estimates.estimate_live_share(5.0, 20.0, 1e-3, 28_000.0)
    assert frequent < 0.001 < rare < 1.0
    assert estimates.estimate_live_share(0.0, 0.0, 0.0, 0.0) == 0.0
    assert estimates.estimate_eviction_ms(6100, 0.5, 61.0) == 50.0


def test_a_prefill_stalls_only_streams_whose_gap_it_exceeds():
    """Guards against long prompts beside streams that accept only short gaps."""
    assert estimates.estimate_stall_ms(50_000, 60.0, 30.0, 0.0) == 0.0
    assert estimates.estimate_stall_ms(3000, 60.0, 30.0, 150.0) == 0.0
    assert estimates.estimate_stall_ms(12_000, 60.0, 30.0, 150.0) == pytest.approx(
        102.5
    )


def test_a_copy_takes_the_bytes_over_the_link_and_is_never_free():
    """Guards against copies on deployments that do not state their cost."""
    assert estimates.estimate_copy_ms(1000, 100_000, 100_000) == 8.0
    assert estimates.estimate_copy_ms(1000, 0, 100_000) == math.inf
    assert estimates.estimate_copy_ms(1000, 100_000, 0) == math.inf


def test_a_hot_prefix_gets_further_holders_and_gives_them_up():
    """Guards against one engine with a quarter of the traffic, and needless copies."""
    work_ms, again_ms = 61.0, 218.0
    counts = [
        count_holders(rate / 1000.0, work_ms, 0.3, again_ms, 0.5)
        for rate in (0.4, 5.0, 15.0, 25.0, 62.0)
    ]
    assert counts == sorted(counts)
    assert counts[0] == counts[1] == 1 < counts[2]
    assert counts[-1] > 3
    assert count_holders(9.0, work_ms, 0.3, again_ms, 0.5) == MAX_HOLDERS


def test_busy_engines_do_not_spread_a_rarely_used_prefix():
    """Guards against copies of every prefix once all engines are busy."""
    for utilization in (0.5, 0.9, 5.0):
        assert count_holders(0.0004, 61.0, utilization, 218.0, 0.0) == 1


def test_hosts_open_a_further_holder_one_after_another():
    """Guards against all hosts prefilling a hot prefix elsewhere at once."""
    staggers = [compute_stagger(f"host-{number}", "menu") for number in range(70)]
    shares = []
    for rate in range(0, 30):
        counts = [
            count_holders(rate / 1000.0, 61.0, 0.3, 218.0, stagger)
            for stagger in staggers
        ]
        shares.append(sum(count > 1 for count in counts) / len(counts))
    assert shares[0] == 0.0
    assert shares[-1] == 1.0
    assert any(0.1 < share < 0.9 for share in shares)
    assert staggers != [compute_stagger(f"host-{n}", "other") for n in range(70)]


def test_the_queue_of_a_saturated_engine_is_finite():
    """Guards against an infinite wait that hides differences between engines."""
    assert estimate_queue_ms(0.0, 61.0) == 0.0
    assert math.isfinite(estimate_queue_ms(7.0, 61.0))
