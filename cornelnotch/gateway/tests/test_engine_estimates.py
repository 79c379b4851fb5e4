"""Test the rate estimates of engines and their effect on inter-token gaps."""

import random
from dataclasses import replace

import pytest

from cornelnotch.gateway import admission_queue
from cornelnotch.gateway.engine_estimates import (
    PRIOR_RATES,
    EngineEstimate,
    average_rates,
    find_prefill_budget,
)
from cornelnotch.gateway.engine_rates import (
    MIN_PUBLISH_INTERVAL_MS,
    REPUBLISH_INTERVAL_MS,
    EngineRateTable,
    RateUpdateFilter,
)
from cornelnotch.gateway.placement import Placer
from cornelnotch.testing.enginemodel import (
    EngineShape,
    PlacedRequest,
    create_engines,
    play_requests,
)
from cornelnotch.wire.messages import EngineRates, StreamProgress

USUAL = EngineShape(event_tokens=4)
SLOW = replace(
    USUAL,
    step_ms=USUAL.step_ms * 5,
    step_per_stream_ms=USUAL.step_per_stream_ms * 5,
    tokens_per_ms=USUAL.tokens_per_ms / 5,
    pair_ms=USUAL.pair_ms * 5,
)
SMALL = replace(USUAL, cache_tokens=USUAL.cache_tokens // 10)
# A step that prefills a full chunk takes 300 ms.
COARSE = replace(USUAL, chunk_tokens=12_000, tokens_per_ms=40.0, pair_ms=0.0)
CHAT_GAP_MS = 250.0


def create_load(seed, chats, prompts, seconds=10, shared=2000, longest=20_000):
    """Return chats and long prompts; rates are per second."""
    generator = random.Random(seed)
    requests: list[PlacedRequest] = []
    for latency_sensitive, rate in ((True, chats), (False, prompts)):
        at_ms = 0.0
        while rate and at_ms < seconds * 1000.0:
            at_ms += generator.expovariate(rate) * 1000.0
            name = f"{latency_sensitive} {len(requests)}"
            if latency_sensitive:
                request = PlacedRequest(
                    name, at_ms, True, "hello", 150, 550, 250, 0, CHAT_GAP_MS
                )
            else:
                own = min(int(generator.lognormvariate(7.5, 0.8)), longest)
                shared_name = f"thing {generator.randrange(20)}"
                request = PlacedRequest(
                    name, at_ms, False, shared_name, shared, own, 60, 2
                )
            requests.append(request)
    return requests


def simulate(shape, requests, count=1):
    engines = create_engines(count, True, shape)
    outcomes = play_requests(requests, engines, Placer("a", {}), False)
    return engines, outcomes


def measure_reading(shape):
    """Return the tokens per ms that an engine prefills without running streams."""
    step = shape.step_ms + shape.chunk_tokens / shape.tokens_per_ms
    return shape.chunk_tokens / step


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("shape", [USUAL, SLOW, SMALL, COARSE])
def test_estimate_converges_within_ten_seconds(shape, seed):
    speed = shape.tokens_per_ms / USUAL.tokens_per_ms
    load = create_load(seed, chats=2.0 * speed, prompts=6.0 * speed)
    engines, _ = simulate(shape, load)
    rates = engines[0].queue.estimate.rates
    reading = measure_reading(shape)
    assert 0.5 * reading <= rates.read_rate <= 1.3 * reading
    assert 0.5 * shape.tokens_per_ms <= rates.chunk_rate <= 2.0 * shape.tokens_per_ms
    event_ms = shape.step_ms * shape.event_tokens
    assert 0.5 * event_ms <= rates.event_ms <= 2.0 * event_ms


def test_engine_without_observations_has_the_prior_rates():
    assert EngineEstimate("e").rates == PRIOR_RATES
    assert average_rates([]) == PRIOR_RATES
    table = EngineRateTable()
    assert table.get("e", "llm") == PRIOR_RATES


def test_outliers_change_the_estimate_little():
    estimate = EngineEstimate("e")
    for number in range(20):
        estimate.record_prefill(5000, 200.0, number * 250.0)
    known = estimate.rates.read_rate
    estimate.record_prefill(100, 60_000.0, 5000.0)
    estimate.record_prefill(5000, 0.0, 5000.0)
    assert 0.9 * known <= estimate.rates.read_rate <= 1.1 * known


def test_old_observations_decay():
    estimate = EngineEstimate("e")
    for number in range(20):
        estimate.record_prefill(5000, 1000.0, number * 1000.0)
    assert estimate.rates.read_rate < 0.4 * PRIOR_RATES.read_rate
    for number in range(20):
        estimate.record_prefill(5000, 100.0, 60_000.0 + number * 250.0)
    assert estimate.rates.read_rate > 1.5 * PRIOR_RATES.read_rate


def test_budget_grows_without_violations_and_shrinks_on_violations():
    estimate = EngineEstimate("e")
    for second in range(200):
        budget = find_prefill_budget(estimate.rates, 250.0)
        busy = [int(budget / 2)] * 12
        progress = StreamProgress(40, 1500.0, 200.0)
        estimate.record_progress(progress, busy, 250.0, second * 100.0)
    grown = estimate.rates.ease
    assert grown > 1.3
    estimate.record_progress(StreamProgress(9, 1500.0, 300.0), busy, 250.0, 21_000.0)
    assert estimate.rates.ease < grown
    lowered = estimate.rates.ease
    estimate.record_progress(StreamProgress(40, 1500.0, 90.0), [], 250.0, 22_000.0)
    assert estimate.rates.ease == lowered
    huge = [10_000_000]
    estimate.record_progress(StreamProgress(2, 1500.0, 900.0), huge, 250.0, 23_000.0)
    assert estimate.rates.ease == lowered


def test_streams_without_a_gap_limit_do_not_lower_the_budget():
    estimate = EngineEstimate("e")
    for _ in range(20):
        estimate.record_progress(StreamProgress(2, 1500.0, 900.0), [], 0.0, 0.0)
    assert estimate.rates.ease == PRIOR_RATES.ease


def test_prefill_budget_fits_into_the_gap():
    rates = EngineRates("e", 30.0, 40.0, 50.0, 1.0)
    assert find_prefill_budget(rates, 0.0) == float("inf")
    assert find_prefill_budget(rates, 1000.0) < 40.0 * 1000.0
    assert find_prefill_budget(rates, 200.0) > 0
    # Some prefill is allowed even if a single event takes as long as the gap.
    assert find_prefill_budget(replace(rates, event_ms=400.0), 200.0) > 0


def measure_share_in_time(outcomes):
    chats = [o for o in outcomes if o.request.latency_sensitive]
    return sum(o.longest_gap_ms <= CHAT_GAP_MS for o in chats) / len(chats)


def simulate_chats(monkeypatch, paced, seed):
    """Return the share of chats without a gap violation after the first 5 s."""
    if not paced:
        monkeypatch.setattr(
            admission_queue, "find_prefill_budget", lambda *_: float("inf")
        )
    shape = EngineShape(
        step_ms=5.0, chunk_tokens=2048, tokens_per_ms=38.0, event_tokens=4
    )
    load = create_load(seed, 3.0, 11.0, seconds=30, shared=0, longest=5000)
    _, outcomes = simulate(shape, load)
    return measure_share_in_time([o for o in outcomes if o.request.at_ms > 5000.0])


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_prefill_budget_keeps_chat_gaps_short_during_a_burst(monkeypatch, seed):
    with monkeypatch.context() as patch:
        unpaced = simulate_chats(patch, False, seed)
    paced = simulate_chats(monkeypatch, True, seed)
    assert unpaced < 0.5
    assert paced >= 0.95


def create_rates(name, rate=30.0):
    return EngineRates(name, rate, 40.0, 40.0, 1.0)


def test_only_changes_are_published_and_all_rates_are_repeated():
    rate_filter = RateUpdateFilter()
    assert rate_filter.select([create_rates("a"), create_rates("b")], 0.0)
    assert rate_filter.select([create_rates("a", 31.0)], 100.0) == []
    assert (
        rate_filter.select([create_rates("a", 34.0)], MIN_PUBLISH_INTERVAL_MS - 1.0)
        == []
    )
    assert rate_filter.select([create_rates("a", 34.0)], MIN_PUBLISH_INTERVAL_MS + 1.0)
    assert rate_filter.select([create_rates("b")], REPUBLISH_INTERVAL_MS + 1.0)
    # The queue of an engine unknown to this host has no name to publish.
    assert rate_filter.select([create_rates("")], 0.0) == []


def test_engine_of_unknown_rates_gets_the_mean_of_its_service():
    table = EngineRateTable()
    services = {"a": "llm", "b": "llm", "c": "llm", "d": "other"}
    table.update([create_rates("a", 20.0), create_rates("b", 40.0)], services)
    assert table.get("c", "llm").read_rate == 30.0
    assert table.get("a", "llm").read_rate == 20.0
    assert table.get("d", "other") == PRIOR_RATES
    table.update([create_rates("a", 20.0)], {"a": "llm"})
    assert table.get("b", "llm").read_rate == 20.0
