"""Test early rejection and the retry delays of rejected callers."""

import random

from cornelnotch.gateway.models import Route, ServiceShare, WorkKind
from cornelnotch.gateway.returning import (
    CLEAR_EXCESS,
    HONOURED_SHARE,
    MIN_RETURN_MS,
    choose_return_ms,
    find_caller_patience,
    is_hopeless,
)


def create_route(target_ms, gap_ms):
    share = (ServiceShare("llm", 1.0),)
    return Route(
        "r", "", "/", WorkKind.STREAM, 1e9, target_ms, 1, 1, share, target_gap_ms=gap_ms
    )


def test_caller_timeout_is_the_longest_of_three_within_the_deadline():
    assert find_caller_patience(create_route(100.0, 50.0), 1e9) == 2000.0
    assert find_caller_patience(create_route(2500.0, 50.0), 1e9) == 10_000.0
    assert find_caller_patience(create_route(100.0, 600.0), 1e9) == 4800.0
    assert find_caller_patience(create_route(2500.0, 600.0), 3000.0) == 3000.0


def test_only_waits_clearly_above_the_limit_are_hopeless():
    assert not is_hopeless(1000.0, 1000.0)
    assert not is_hopeless(1000.0 * CLEAR_EXCESS, 1000.0)
    assert is_hopeless(1000.0 * CLEAR_EXCESS + 1.0, 1000.0)


def test_retry_delays_are_jittered_and_within_the_honoured_share():
    generator = random.Random(1)
    delays = [choose_return_ms(60_000.0, 12_000.0, generator) for _ in range(500)]
    assert max(delays) <= 12_000.0 * HONOURED_SHARE
    assert max(delays) - min(delays) >= 900.0
    assert choose_return_ms(0.0, 0.0, generator) <= MIN_RETURN_MS
