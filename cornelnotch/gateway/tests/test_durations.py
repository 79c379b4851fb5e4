"""Test the estimated durations of requests."""

import random

from cornelnotch.gateway.durations import DurationTracker, SmoothedValue


def estimate_ms(tracker, elapsed_ms, tokens):
    estimate = tracker.estimate_ms("chat", elapsed_ms, tokens)
    assert estimate is not None
    return estimate


def test_unknown_routes_have_no_estimate():
    assert DurationTracker().estimate_ms("chat", 0.0, 100) is None


def test_first_sample_is_taken_with_a_wide_margin():
    tracker = DurationTracker()
    tracker.record("chat", 100.0, 1000.0, 50)
    assert estimate_ms(tracker, 0.0, 50) == 300.0 + 3000.0


def test_estimate_covers_nearly_all_requests_of_a_route_and_few_more():
    generator = random.Random(7)
    tracker = DurationTracker()
    exceeded = 0
    excess = []
    for number in range(2000):
        tokens = generator.randint(20, 200)
        first_ms = generator.uniform(50.0, 400.0)
        rest_ms = tokens * generator.uniform(15.0, 30.0)
        if number > 20:
            estimate = estimate_ms(tracker, 0.0, tokens)
            exceeded += first_ms + rest_ms > estimate
            excess.append(estimate / (first_ms + rest_ms))
        tracker.record("chat", first_ms, rest_ms, tokens)
    assert exceeded < 20
    assert sum(excess) / len(excess) < 3.0


def test_time_waited_already_shortens_the_rest():
    tracker = DurationTracker()
    for _ in range(200):
        tracker.record("chat", 400.0, 1000.0, 100)
    whole_ms = estimate_ms(tracker, 0.0, 100)
    assert estimate_ms(tracker, 300.0, 100) == whole_ms - 300.0
    assert estimate_ms(tracker, 9000.0, 100) >= 1000.0


def test_estimate_follows_a_service_that_turns_slow():
    value = SmoothedValue()
    for _ in range(100):
        value.record(20.0)
    for _ in range(8):
        value.record(100.0)
    assert (value.estimate_high() or 0.0) > 100.0
