"""Test what is known of a server's load after some time."""

import random

import pytest

from cornelnotch.pressure.models import ServerLoad
from cornelnotch.pressure.observed_load import (
    MALFORMED_INTERVAL_MS,
    MAX_AGE_MS,
    ObservedLoads,
)

BOOT = 7


def estimate(loads, boot_ms, now):
    found = loads.estimate("s", boot_ms, now)
    assert found is not None
    return found


def observe_all(loads, observations, server="s"):
    for at_ms, load in observations:
        loads.observe(server, "desk", BOOT, load, at_ms)


def test_nothing_is_known_without_an_observation():
    loads = ObservedLoads()
    assert loads.estimate("s", BOOT, 0.0) is None
    assert loads.find_pace("s", BOOT, 0.0) == 1.0


def test_a_fresh_observation_counts_fully_and_an_old_one_not():
    # A host that trusts an old header sends calls to a server that is full by now.
    loads = ObservedLoads()
    usual = [(t * 100.0, ServerLoad(3, 0, 6)) for t in range(100)]
    observe_all(loads, [*usual, (10_000.0, ServerLoad(6, 12, 6, 2.5))])
    fresh = estimate(loads, BOOT, 10_000.0)
    assert fresh.expect_requests(0, None) == 18
    assert fresh.pace == 2.5
    old = estimate(loads, BOOT, 13_000.0)
    assert old.expect_requests(0, None) == pytest.approx(3.5, abs=1.0)
    assert old.pace < 1.1
    assert old.weight < 0.01
    assert loads.estimate("s", BOOT, 10_001.0 + MAX_AGE_MS) is None


def test_the_half_life_follows_how_fast_loads_change():
    # Queues that change within 50 ms must not be trusted for as long as steady ones.
    generator = random.Random(4)
    quick, steady = ObservedLoads(), ObservedLoads()
    phase = 0
    for step in range(600):
        load = ServerLoad(generator.randrange(7), generator.randrange(9), 6)
        quick.observe("s", "desk", BOOT, load, step * 100.0)
        if step % 40 == 0:
            phase = generator.randrange(15)
        steady.observe("s", "desk", BOOT, ServerLoad(phase, 0, 6), step * 100.0)
    at_ms = 599 * 100.0 + 200.0
    quick_weight = estimate(quick, BOOT, at_ms).weight
    steady_weight = estimate(steady, BOOT, at_ms).weight
    assert quick_weight < 0.3
    assert steady_weight > 0.8


def test_an_older_observation_or_boot_does_not_replace_a_newer_one():
    # Another host's news may arrive after an own observation.
    loads = ObservedLoads()
    assert loads.observe("s", "desk", BOOT, ServerLoad(1, 0, 6), 100.0)
    assert not loads.observe("s", "desk", BOOT, ServerLoad(9, 0, 6), 90.0)
    assert not loads.observe("s", "desk", BOOT - 1, ServerLoad(9, 0, 6), 200.0)
    assert estimate(loads, BOOT, 100.0).observed == 1
    assert loads.observe("s", "desk", BOOT + 1, ServerLoad(2, 0, 6), 50.0)
    assert loads.estimate("s", BOOT, 100.0) is None
    assert estimate(loads, BOOT + 1, 100.0).observed == 2


def test_a_server_that_refused_is_full_until_it_holds_more():
    loads = ObservedLoads()
    load = ServerLoad(6, 24, 6)
    loads.observe("s", "desk", BOOT, load, 100.0)
    loads.note_full("s", BOOT, load)
    loads.observe("s", "desk", BOOT, ServerLoad(6, 3, 6), 200.0)
    assert estimate(loads, BOOT, 200.0).full_at == 30
    loads.observe("s", "desk", BOOT, ServerLoad(6, 30, 6), 300.0)
    assert estimate(loads, BOOT, 300.0).full_at == 0


def test_malformed_loads_are_logged_now_and_then():
    # A server that sends a malformed header with each response must not fill the log.
    loads = ObservedLoads()
    assert loads.may_log_malformed("s", 0.0)
    assert not loads.may_log_malformed("s", 1.0)
    assert loads.may_log_malformed("t", 1.0)
    assert loads.may_log_malformed("s", MALFORMED_INTERVAL_MS)


def test_own_requests_are_counted_exactly_and_those_of_others_as_known():
    # A host that has sent calls since the header must not see an empty server.
    loads = ObservedLoads()
    loads.observe("s", "desk", BOOT, ServerLoad(4, 0, 6), 100.0, held=1)
    load = estimate(loads, BOOT, 100.0)
    assert load.expect_requests(own=5, others=9) == 5 + 3
    old = estimate(loads, BOOT, 9000.0)
    assert old.expect_requests(own=5, others=9) == pytest.approx(5 + 9, abs=0.01)


def test_the_usual_time_of_work_excludes_waits_and_slow_phases():
    loads = ObservedLoads()
    for _ in range(200):
        loads.note_work("desk", ServerLoad(3, 0, 6, 2.5), 40.0)
        loads.note_work("desk", ServerLoad(6, 9, 6), 400.0)
    assert loads.find_work_ms("desk") == pytest.approx(16.0, rel=0.01)
    assert loads.find_work_ms("other") == 20.0
