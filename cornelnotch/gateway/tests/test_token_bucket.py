"""Test that a token bucket bounds the events of every window."""

import pytest

from cornelnotch.gateway.token_bucket import BURST_MS, TokenBucket


@pytest.mark.parametrize("per_second", [0.2, 0.5, 1.0, 10.0, 100.0])
def test_no_window_exceeds_the_rate_and_one_burst(per_second):
    bucket = TokenBucket(per_second, 0.0)
    taken_ms = []
    for step in range(60_000):
        now = step * 0.5
        # Nothing asks for tokens between 5 and 10 s.
        if not 5000 < now < 10_000 and bucket.find_delay_ms(now) <= 0:
            bucket.take()
            taken_ms.append(now)
    burst = max(per_second * BURST_MS / 1000.0, 1.0)
    for start in taken_ms:
        count = sum(start <= t < start + 4000.0 for t in taken_ms)
        assert count <= 4.0 * per_second + burst + 1e-6
    assert len(taken_ms) >= 25.0 * per_second * 0.9 - 1


def test_no_token_exists_before_the_start():
    bucket = TokenBucket(10.0, 2000.0)
    assert bucket.find_delay_ms(0.0) == pytest.approx(2100.0)
    assert bucket.find_delay_ms(2000.0) == pytest.approx(100.0)
    assert bucket.find_delay_ms(2000.0, ahead=2) == pytest.approx(300.0)
    assert bucket.find_delay_ms(2101.0) <= 0


def test_a_lower_rate_takes_back_tokens_beyond_its_burst():
    bucket = TokenBucket(100.0, 0.0)
    bucket.set_rate(1.0, 10_000.0)
    bucket.take()
    assert bucket.find_delay_ms(10_000.0) == pytest.approx(1000.0)


def test_an_earlier_time_neither_adds_nor_hides_tokens():
    bucket = TokenBucket(1.0, 0.0)
    bucket.set_rate(1.0, 5000.0)
    assert bucket.find_delay_ms(4999.0) <= 0
