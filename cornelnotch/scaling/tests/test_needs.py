"""Test how many servers follow from demand; each test names its load."""

import pytest

from cornelnotch.scaling.models import EngineSupply, Work
from cornelnotch.scaling.needs import (
    BURST_FACTOR,
    USABLE_SHARE,
    count_busy_servers,
    find_need,
)

# Engine of deployments of record: 61.8 prompt tokens per ms, 64 slots.
ENGINE = EngineSupply(61.8, 10.0, 64)
BOOT_MS = 4000.0


def test_long_prompts_take_the_time_of_their_prefill():
    # 20 prompts of 17,000 tokens a second: 340,000 tokens at 61,800 a second.
    work = Work(20.0, 20 * 17_000.0, 20 * 20.0)
    assert count_busy_servers(work, ENGINE) == pytest.approx(5.5, abs=0.01)


def test_long_replies_take_slots():
    # 30 replies of 1000 tokens a second at 10 ms each hold 300 slots of 64.
    work = Work(30.0, 30 * 100.0, 30 * 1000.0)
    assert count_busy_servers(work, ENGINE) == pytest.approx(300 / 64, rel=0.01)


def test_stated_tokens_that_are_never_generated_hold_no_slots():
    # Callers allow 4000 tokens, and replies take 2 s.
    work = Work(30.0, 30 * 100.0, 30 * 4000.0, served_ms=2000.0)
    assert count_busy_servers(work, ENGINE) == pytest.approx(60 / 64, rel=0.01)


def test_running_requests_take_memory():
    supply = EngineSupply(61.8, 10.0, 64, memory_tokens=40_000)
    # 300 run at a time, with 1100 tokens each.
    work = Work(30.0, 30 * 100.0, 30 * 1000.0)
    assert count_busy_servers(work, supply) == pytest.approx(300 * 1100 / 40_000, 0.01)


def test_calls_without_tokens_hold_slots_for_the_measured_time():
    work = Work(100.0, served_ms=320.0)
    assert count_busy_servers(work, EngineSupply(0.0, 0.0, 8)) == pytest.approx(4.0)


def test_no_demand_needs_no_servers():
    assert count_busy_servers(Work(), ENGINE) == 0.0
    assert find_need([], [], BOOT_MS).full == 0.0


def test_steady_load_keeps_room_for_a_burst():
    need = find_need([15.0] * 80, [5.0] * 80, BOOT_MS)
    assert need.full == pytest.approx(15 * BURST_FACTOR / USABLE_SHARE)
    assert need.lasting < need.secure < need.full


def test_a_burst_of_2_3_times_is_met_by_what_steady_load_had_kept():
    before = find_need([15.0] * 80, [5.0] * 80, BOOT_MS)
    assert before.full >= 15 * 2.3


def test_rising_load_is_met_a_boot_ahead():
    # From 10 busy servers, one more each second.
    busy = [10.0 + window * 0.5 for window in range(40)]
    need = find_need(busy, busy, BOOT_MS)
    assert need.full * USABLE_SHARE >= busy[-1] + BOOT_MS / 1000.0


def test_falling_load_keeps_the_peak_of_the_last_half_minute():
    busy = [30.0] * 40 + [5.0] * 40
    assert find_need(busy, busy, BOOT_MS).secure >= 30.0
    busy += [5.0] * 40
    assert find_need(busy, busy, BOOT_MS).full < 30.0


def test_the_most_urgent_requests_keep_room_for_their_burst():
    # Nearly all load is urgent, so that what is left must hold a burst of it.
    need = find_need([10.0] * 80, [9.0] * 80, BOOT_MS)
    assert need.lasting * USABLE_SHARE >= 9.0 * 2.3
