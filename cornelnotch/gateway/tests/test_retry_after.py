"""Test early rejection and the retry delays of rejected callers."""

import random

from cornelnotch.gateway.models import Route, ServiceShare, WorkKind
from cornelnotch.gateway.retry_after import (
    CLEAR_EXCESS,
    MAX_RETRY_AFTER_SHARE,
    MIN_RETRY_AFTER_MS,
    choose_retry_after_ms,
    estimate_caller_timeout_ms,
    is_infeasible,
)


def create_route(target_ms, gap_ms):
    share = (ServiceShare("llm", 1.0),)
    return Route(
        "r", "", "/", WorkKind.STREAM, 1e9, target_ms, 1, 1, share, target_itl_ms=gap_ms
    )


def test_caller_timeout_is_the_longest_of_three_within_the_deadline():
    assert estimate_caller_timeout_ms(create_route(100.0, 50.0), 1e9) == 2000.0
    assert estimate_caller_timeout_ms(create_route(2500.0, 50.0), 1e9) == 10_000.0
    assert estimate_caller_timeout_ms(create_route(100.0, 600.0), 1e9) == 4800.0
    assert estimate_caller_timeout_ms(create_route(2500.0, 600.0), 3000.0) == 3000.0


def test_only_waits_clearly_above_the_limit_are_infeasible():
    assert not is_infeasible(1000.0, 1000.0)
    assert not is_infeasible(1000.0 * CLEAR_EXCESS, 1000.0)
    assert is_infeasible(1000.0 * CLEAR_EXCESS + 1.0, 1000.0)


def test_retry_delays_are_jittered_and_within_the_maximum_share():
    generator = random.Random(1)
    delays = [choose_retry_after_ms(60_000.0, 12_000.0, generator) for _ in range(500)]
    assert max(delays) <= 12_000.0 * MAX_RETRY_AFTER_SHARE
    assert max(delays) - min(delays) >= 900.0
    assert choose_retry_after_ms(0.0, 0.0, generator) <= MIN_RETRY_AFTER_MS
