"""Test the estimated durations of requests."""

import random

from cornelnotch.gateway.durations import (
    DurationTracker,
    RequestDuration,
    RunningRequest,
)

SHARE = 0.95


def record_many(tracker, count, *values):
    for _ in range(count):
        tracker.record("chat", RequestDuration(*values))


def estimate_ms(tracker, tokens=0, waited_ms=0.0, events=0, now=0.0, share=SHARE):
    request = RequestDuration(waited_ms, 0.0, tokens, events)
    estimate = tracker.estimate_ms("chat", share, request, now)
    assert estimate is not None
    return estimate


def test_unknown_routes_have_no_estimate():
    request = RequestDuration(0.0, 0.0, 100)
    assert DurationTracker().estimate_ms("chat", SHARE, request, 0.0) is None


def test_estimate_scales_with_the_allowance_where_that_explains_durations():
    tracker = DurationTracker()
    record_many(tracker, 20, 100.0, 1000.0, 50, 50)
    record_many(tracker, 20, 100.0, 4000.0, 200, 200)
    assert estimate_ms(tracker, 100) == 100.0 + 2000.0


def test_estimate_exceeds_no_duration_seen_where_outputs_end_before_their_allowance():
    generator = random.Random(3)
    tracker = DurationTracker()
    for _ in range(50):
        tokens = generator.choice([64, 256, 1024, 4096])
        rest_ms = generator.uniform(1000.0, 3000.0)
        tracker.record("chat", RequestDuration(100.0, rest_ms, tokens, 50))
    for tokens in (64, 256, 1024, 4096):
        assert 1000.0 < estimate_ms(tracker, tokens, share=1.0) <= 3100.0


def test_few_requests_are_not_scaled():
    tracker = DurationTracker()
    record_many(tracker, 3, 100.0, 1000.0, 20, 20)
    assert estimate_ms(tracker, 400) == 1100.0


def test_estimate_covers_its_share_of_requests_and_few_more():
    generator = random.Random(7)
    tracker = DurationTracker()
    exceeded = 0
    excess = []
    for number in range(2000):
        tokens = generator.randint(20, 200)
        first_ms = generator.uniform(50.0, 400.0)
        rest_ms = tokens * generator.uniform(15.0, 30.0)
        if number > 50:
            estimate = estimate_ms(tracker, tokens)
            exceeded += first_ms + rest_ms > estimate
            excess.append(estimate / (first_ms + rest_ms))
        tracker.record("chat", RequestDuration(first_ms, rest_ms, tokens))
    assert exceeded < 2000 * (1.0 - SHARE)
    assert sum(excess) / len(excess) < 1.6


def find_bound_ms(tracker, tokens, waited_ms=0.0, events=0, now=0.0):
    request = RequestDuration(waited_ms, 0.0, tokens, events)
    return tracker.find_bound_ms("chat", request, now)


def test_only_an_allowance_bounds_a_request():
    tracker = DurationTracker()
    assert find_bound_ms(tracker, 100) is None
    record_many(tracker, 20, 100.0, 1000.0, 100, 10)
    assert find_bound_ms(tracker, 0) is None
    assert find_bound_ms(tracker, 100) == 100.0 + 100 * 100.0
    assert find_bound_ms(tracker, 100, waited_ms=300.0) == 100 * 100.0
    assert find_bound_ms(tracker, 100, events=40) == 100.0 + 60 * 100.0
    assert find_bound_ms(tracker, 100, events=400) == 100.0 + 100.0


def test_bound_takes_the_slowest_pace_of_recent_and_running_streams():
    tracker = DurationTracker()
    record_many(tracker, 30, 100.0, 1000.0, 100, 100)
    record_many(tracker, 1, 100.0, 100.0, 100, 5)
    assert find_bound_ms(tracker, 50) == 100.0 + 50 * 20.0
    tracker.start("chat", RunningRequest(0.0, 50, 0.0))
    assert find_bound_ms(tracker, 50, now=900.0) == 100.0 + 50 * 20.0
    assert find_bound_ms(tracker, 50, now=5000.0) == 100.0 + 5000.0


def test_calls_have_no_bound():
    tracker = DurationTracker()
    record_many(tracker, 20, 100.0)
    assert find_bound_ms(tracker, 100) is None


def test_time_waited_already_shortens_the_rest():
    tracker = DurationTracker()
    record_many(tracker, 20, 400.0, 1000.0, 100, 100)
    assert estimate_ms(tracker, 100) == 1400.0
    assert estimate_ms(tracker, 100, waited_ms=300.0) == 1100.0
    assert estimate_ms(tracker, 100, waited_ms=9000.0) == 1000.0


def test_one_stream_without_an_allowance_does_not_change_the_estimate_of_others():
    tracker = DurationTracker()
    record_many(tracker, 20, 100.0, 2000.0, 100, 100)
    record_many(tracker, 20, 100.0, 4000.0, 200, 200)
    record_many(tracker, 1, 100.0, 2000.0, 0, 100)
    assert estimate_ms(tracker, 100) == 2100.0


def test_large_allowances_do_not_shorten_the_estimate_of_small_ones():
    tracker = DurationTracker()
    record_many(tracker, 30, 100.0, 1000.0, 4096, 50)
    assert estimate_ms(tracker, 200) >= 1100.0


def test_stream_resumed_near_its_end_is_estimated_by_the_rest():
    tracker = DurationTracker()
    record_many(tracker, 40, 0.0, 2000.0, 100, 100)
    assert round(estimate_ms(tracker, 100, events=90)) == 200
    assert estimate_ms(tracker, 100, events=5000) == 100.0


def test_running_streams_that_take_too_long_raise_the_estimate():
    tracker = DurationTracker()
    record_many(tracker, 50, 10.0, 1000.0, 50, 50)
    running = [RunningRequest(0.0, 50, 10.0) for _ in range(5)]
    for request in running:
        tracker.start("chat", request)
    assert estimate_ms(tracker, 50, now=900.0) == 1010.0
    assert estimate_ms(tracker, 50, now=4010.0) == 4010.0
    for request in running:
        tracker.finish("chat", request)
    assert estimate_ms(tracker, 50, now=4010.0) == 1010.0


def test_streams_that_wait_for_their_callers_do_not_raise_the_estimate():
    tracker = DurationTracker()
    record_many(tracker, 50, 10.0, 1000.0, 50, 50)
    for _ in range(60):
        request = RunningRequest(0.0, 50, 10.0)
        tracker.start("chat", request)
        request.start_writing(100.0)
        request.finish_writing(2100.0)
        request.start_writing(2500.0)
    assert estimate_ms(tracker, 50, now=4010.0) == 1010.0


def test_only_recent_requests_count():
    tracker = DurationTracker()
    record_many(tracker, 200, 10.0, 9000.0, 50, 50)
    record_many(tracker, 50, 10.0, 100.0, 50, 50)
    assert estimate_ms(tracker, 50, share=1.0) == 110.0
