"""Test the prefill order on one engine; the last tests simulate whole workloads."""

import random

import pytest

from cornelnotch.gateway import admission_queue
from cornelnotch.gateway.admission_queue import AdmissionQueue, QueueEntry
from cornelnotch.gateway.engine_estimates import PRIOR_RATES
from cornelnotch.gateway.models import PromptPart
from cornelnotch.gateway.placement import Placer
from cornelnotch.testing.enginemodel import (
    PlacedRequest,
    create_engines,
    play_requests,
)

CACHE_TOKENS = 100_000
RATE = PRIOR_RATES.read_rate


def create_entry(
    name, own=1000, shared=0, shared_name="", priority=1, at=0.0, **fields
):
    parts = (PromptPart(shared_name or f"part of {name}", shared),) if shared else ()
    return QueueEntry(name, "h1", priority, parts, own, at, at, **fields)


def create_queue(*entries, slots=64):
    queue = AdmissionQueue(slots, CACHE_TOKENS)
    for entry in entries:
        queue.add_or_refresh(entry)
    return queue


def list_granted(queue, now=0.0):
    return [entry.request_id for entry in queue.grant(now)]


def test_idle_engine_is_granted_requests_immediately():
    assert list_granted(create_queue(create_entry("a", own=60_000))) == ["a"]


def test_order_is_by_priority_and_then_by_prefill_length():
    queue = create_queue(create_entry("first", own=20_000))
    queue.grant(0.0)
    for entry in (
        create_entry("long", own=9000),
        create_entry("short", own=300),
        create_entry("urgent", own=9000, priority=0),
    ):
        queue.add_or_refresh(entry)
    assert list_granted(queue) == []
    read_ms = 20_000 / RATE
    queue.mark_prefilled("first", read_ms)
    assert list_granted(queue, read_ms) == ["urgent"]
    read_ms += 9000 / RATE
    queue.mark_prefilled("urgent", read_ms)
    assert list_granted(queue, read_ms) == ["short", "long"]


def test_cached_parts_do_not_count_as_prefill():
    queue = create_queue(create_entry("a", own=100, shared=13_000, shared_name="x"))
    queue.grant(0.0)
    queue.add_or_refresh(create_entry("cold", own=100, shared=12_000, shared_name="y"))
    queue.add_or_refresh(create_entry("warm", own=2000, shared=13_000, shared_name="x"))
    assert list_granted(queue) == []
    queue.mark_prefilled("a")
    queue.remove("a")
    assert list_granted(queue) == ["warm", "cold"]


def test_least_recently_used_parts_are_evicted_from_the_cache():
    queue = create_queue()
    for number in range(3):
        queue.add_or_refresh(
            create_entry(f"a{number}", own=0, shared=45_000, shared_name=f"{number}")
        )
        queue.grant(0.0)
        queue.remove(f"a{number}")
    first = create_entry("b", own=0, shared=45_000, shared_name="0")
    last = create_entry("c", own=0, shared=45_000, shared_name="2")
    assert queue.count_uncached_tokens(first) == 45_000
    assert queue.count_uncached_tokens(last) == 0


def test_waiting_long_prompt_precedes_new_short_prompts():
    queue = create_queue(create_entry("running", own=30_000))
    queue.grant(0.0)
    queue.add_or_refresh(create_entry("long", own=15_000, at=0.0))
    queue.add_or_refresh(create_entry("short", own=9000, at=6000.0))
    queue.mark_prefilled("running", 30_000 / RATE)
    assert list_granted(queue, 6000.0)[0] == "long"


def test_next_prompt_is_granted_before_the_engine_is_idle():
    queue = create_queue(create_entry("a", own=15_000), create_entry("b", own=15_000))
    assert list_granted(queue) == ["a"]
    due_ms = queue.find_next_grant_ms(0.0)
    assert list_granted(queue, due_ms - 1.0) == []
    assert list_granted(queue, due_ms + 1.0) == ["b"]


def test_engine_without_prefill_progress_gets_no_more_grants():
    queue = create_queue(*(create_entry(f"t{n}", own=7000) for n in range(20)))
    granted = []
    for second in range(5):
        granted += list_granted(queue, second * 1000.0)
    assert len(granted) * 7000 <= admission_queue.MAX_UNFINISHED_MS * RATE + 7000


def test_grants_are_limited_by_slots():
    queue = create_queue(*(create_entry(f"t{n}", own=10) for n in range(9)), slots=4)
    granted = list_granted(queue)
    assert len(granted) == 4 + admission_queue.EXTRA_GRANTS
    queue.remove(granted[0])
    assert len(list_granted(queue)) == 1


def test_requests_that_hosts_stop_reporting_expire():
    queue = create_queue(create_entry("sent", own=60_000), create_entry("waits"))
    queue.grant(0.0)
    queue.add_or_refresh(create_entry("later", own=10, at=8000.0))
    queue.remove_expired(8000.0)
    assert list(queue.entries) == ["later"]


def test_new_controller_counts_requests_granted_before():
    queue = create_queue(create_entry("sent", own=20_000, granted=True))
    queue.add_or_refresh(create_entry("waits"))
    assert list_granted(queue) == []
    queue.add_or_refresh(create_entry("sent", own=20_000, granted=True, prefilled=True))
    assert list_granted(queue) == ["waits"]


def test_time_before_the_first_report_does_not_reduce_the_backlog():
    now = 1_000_000.0
    queue = create_queue(create_entry("sent", own=200_000, at=now, granted=True))
    late = create_entry("late", at=now)
    queue.add_or_refresh(late)
    assert list_granted(queue, now) == []
    assert queue.estimate_wait_ms(late, now) == pytest.approx(200_000 / RATE)


def test_request_sent_without_a_grant_is_counted_once():
    queue = create_queue(create_entry("a", own=3000), create_entry("b", own=3000))
    queue.add_or_refresh(create_entry("a", own=3000, granted=True))
    queue.add_or_refresh(create_entry("a", own=3000, granted=True))
    assert list_granted(queue) == ["b"]
    queue.add_or_refresh(create_entry("c"))
    assert list_granted(queue) == []


def test_estimated_wait_is_the_prefill_time_ahead():
    queue = create_queue(create_entry("a", own=30_000))
    queue.grant(0.0)
    short, long = create_entry("s", own=3000), create_entry("l", own=9000)
    queue.add_or_refresh(short)
    queue.add_or_refresh(long)
    later = 2 * admission_queue.ARRIVAL_WINDOW_MS
    assert queue.estimate_wait_ms(short, later) == pytest.approx(30_000 / RATE)
    assert queue.estimate_wait_ms(long, later) == pytest.approx(33_000 / RATE)


def test_estimated_wait_includes_expected_overtaking_requests():
    queue = create_queue(create_entry("a", own=300_000))
    queue.grant(0.0)
    long = create_entry("l", own=90_000)
    queue.add_or_refresh(long)
    half = int(RATE * 150.0)
    for number in range(10):
        queue.add_or_refresh(create_entry(f"s{number}", own=half, at=number * 300.0))
        queue.remove(f"s{number}")
    alone = queue.estimate_wait_ms(create_entry("x", own=10), 3000.0)
    assert queue.estimate_wait_ms(long, 3000.0) == pytest.approx(2.0 * alone)


def create_overload(seed, seconds=12):
    """Return chats, and 1.5 times as many uncached prompts as engines can prefill."""
    generator = random.Random(seed)
    requests: list[PlacedRequest] = []
    for kind, rate in (("chat", 12.0), ("long", 34.0)):
        at_ms = 0.0
        while at_ms < seconds * 1000.0:
            at_ms += generator.expovariate(rate) * 1000.0
            name = f"{kind} {len(requests)}"
            shared_name = f"thing {generator.randrange(220)}"
            own = min(int(generator.lognormvariate(7.7, 1.1)), 53_200)
            shape = (True, "greeting", 350, 1110, 170, 0)
            if kind == "long":
                shape = (False, shared_name, 13_300, own, 120, 2)
            requests.append(PlacedRequest(name, at_ms, *shape))
    return requests


def simulate(seed, queued, reserve=True):
    engines = create_engines(10, queued)
    return play_requests(create_overload(seed), engines, Placer("a", {}), reserve)


def count_in_time(outcomes, latency_sensitive, target_ms):
    waits = [
        o.first_ms for o in outcomes if o.request.latency_sensitive is latency_sensitive
    ]
    return sum(wait <= target_ms for wait in waits) / len(waits)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_queueing_serves_more_callers_in_time(seed):
    queued, unqueued = simulate(seed, True), simulate(seed, False)
    assert count_in_time(queued, False, 2500.0) > count_in_time(unqueued, False, 2500.0)
    assert count_in_time(queued, True, 1500.0) >= 0.95


@pytest.mark.parametrize("seed", [1, 2])
def test_chats_overtake_long_prompts_without_reserved_engines(seed):
    queued, unqueued = (
        simulate(seed, True, reserve=False),
        simulate(seed, False, reserve=False),
    )
    assert count_in_time(queued, True, 1500.0) >= 0.95
    assert count_in_time(unqueued, True, 1500.0) < 0.95


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_longest_prompts_are_not_starved(seed):
    long_prompts = [o for o in simulate(seed, True) if not o.request.latency_sensitive]
    long_prompts.sort(key=lambda o: o.request.own_tokens)
    longest_tenth = long_prompts[-len(long_prompts) // 10 :]
    # Callers give up after four times the target.
    assert count_in_time(longest_tenth, False, 10_000.0) >= 0.7


def test_a_queue_takes_over_what_another_one_has_granted():
    former = create_queue(create_entry("granted"))
    assert list_granted(former) == ["granted"]
    former.add_or_refresh(create_entry("waiting"))
    queue = create_queue()
    queue.take_over(former)
    assert list(queue.entries) == ["granted"]
    queue.remove("granted")
    assert not queue.entries
