"""Check whose prompt an engine reads next; the last tests play whole loads."""

import random

import pytest

from cornelnotch.gateway import turns
from cornelnotch.gateway.engines import PRIOR_PACE
from cornelnotch.gateway.models import PromptPart
from cornelnotch.gateway.placing import Placer
from cornelnotch.gateway.turns import Ticket, TurnQueue
from cornelnotch.testing.enginemodel import (
    PlacedRequest,
    create_engines,
    play_requests,
)

CACHE_TOKENS = 100_000
RATE = PRIOR_PACE.read_rate


def create_ticket(name, own=1000, shared=0, thing="", priority=1, at=0.0, **fields):
    parts = (PromptPart(thing or f"part of {name}", shared),) if shared else ()
    return Ticket(name, "h1", priority, parts, own, at, at, **fields)


def create_queue(*tickets, slots=64):
    queue = TurnQueue(slots, CACHE_TOKENS)
    for ticket in tickets:
        queue.ask(ticket)
    return queue


def list_granted(queue, now=0.0):
    return [ticket.request_id for ticket in queue.grant(now)]


def test_an_idle_engine_gets_what_comes_at_once():
    assert list_granted(create_queue(create_ticket("a", own=60_000))) == ["a"]


def test_urgent_prompts_go_first_and_then_short_ones():
    queue = create_queue(create_ticket("first", own=20_000))
    queue.grant(0.0)
    for ticket in (
        create_ticket("long", own=9000),
        create_ticket("short", own=300),
        create_ticket("urgent", own=9000, priority=0),
    ):
        queue.ask(ticket)
    assert list_granted(queue) == []
    read_ms = 20_000 / RATE
    queue.begin("first", read_ms)
    assert list_granted(queue, read_ms) == ["urgent"]
    read_ms += 9000 / RATE
    queue.begin("urgent", read_ms)
    assert list_granted(queue, read_ms) == ["short", "long"]


def test_a_prompt_whose_parts_the_engine_has_read_is_short():
    queue = create_queue(create_ticket("a", own=100, shared=13_000, thing="x"))
    queue.grant(0.0)
    queue.ask(create_ticket("cold", own=100, shared=12_000, thing="y"))
    queue.ask(create_ticket("warm", own=2000, shared=13_000, thing="x"))
    assert list_granted(queue) == []
    queue.begin("a")
    queue.end("a")
    assert list_granted(queue) == ["warm", "cold"]


def test_parts_that_no_longer_fit_are_read_again():
    queue = create_queue()
    for number in range(3):
        queue.ask(create_ticket(f"a{number}", own=0, shared=45_000, thing=f"{number}"))
        queue.grant(0.0)
        queue.end(f"a{number}")
    first = create_ticket("b", own=0, shared=45_000, thing="0")
    last = create_ticket("c", own=0, shared=45_000, thing="2")
    assert queue.count_unread(first) == 45_000
    assert queue.count_unread(last) == 0


def test_a_long_prompt_that_has_waited_goes_before_new_short_ones():
    queue = create_queue(create_ticket("running", own=30_000))
    queue.grant(0.0)
    queue.ask(create_ticket("long", own=15_000, at=0.0))
    queue.ask(create_ticket("short", own=9000, at=6000.0))
    queue.begin("running", 30_000 / RATE)
    assert list_granted(queue, 6000.0)[0] == "long"


def test_the_next_prompt_is_sent_before_the_engine_runs_dry():
    queue = create_queue(create_ticket("a", own=15_000), create_ticket("b", own=15_000))
    assert list_granted(queue) == ["a"]
    due_ms = queue.find_next_ms(0.0)
    assert list_granted(queue, due_ms - 1.0) == []
    assert list_granted(queue, due_ms + 1.0) == ["b"]


def test_an_engine_that_does_not_read_gets_no_more():
    queue = create_queue(*(create_ticket(f"t{n}", own=7000) for n in range(20)))
    granted = []
    for second in range(5):
        granted += list_granted(queue, second * 1000.0)
    assert len(granted) * 7000 <= turns.MAX_UNBEGUN_MS * RATE + 7000


def test_slots_bound_what_runs():
    queue = create_queue(*(create_ticket(f"t{n}", own=10) for n in range(9)), slots=4)
    granted = list_granted(queue)
    assert len(granted) == 4 + turns.SPARE_GRANTS
    queue.end(granted[0])
    assert len(list_granted(queue)) == 1


def test_hosts_that_fall_silent_hold_no_turns():
    queue = create_queue(create_ticket("sent", own=60_000), create_ticket("waits"))
    queue.grant(0.0)
    queue.ask(create_ticket("later", own=10, at=8000.0))
    queue.expire(8000.0)
    assert list(queue.tickets) == ["later"]


def test_a_new_keeper_hears_of_what_was_sent_before():
    queue = create_queue(create_ticket("sent", own=20_000, granted=True))
    queue.ask(create_ticket("waits"))
    assert list_granted(queue) == []
    queue.ask(create_ticket("sent", own=20_000, granted=True, begun=True))
    assert list_granted(queue) == ["waits"]


def test_time_before_a_request_was_told_reads_nothing_of_it():
    now = 1_000_000.0
    queue = create_queue(create_ticket("sent", own=200_000, at=now, granted=True))
    late = create_ticket("late", at=now)
    queue.ask(late)
    assert list_granted(queue, now) == []
    assert queue.estimate_wait(late, now) == pytest.approx(200_000 / RATE)


def test_a_host_that_went_ahead_is_counted_once():
    queue = create_queue(create_ticket("a", own=3000), create_ticket("b", own=3000))
    queue.ask(create_ticket("a", own=3000, granted=True))
    queue.ask(create_ticket("a", own=3000, granted=True))
    assert list_granted(queue) == ["b"]
    queue.ask(create_ticket("c"))
    assert list_granted(queue) == []


def test_the_wait_is_what_is_ahead():
    queue = create_queue(create_ticket("a", own=30_000))
    queue.grant(0.0)
    short, long = create_ticket("s", own=3000), create_ticket("l", own=9000)
    queue.ask(short)
    queue.ask(long)
    later = 2 * turns.ARRIVALS_MS
    assert queue.estimate_wait(short, later) == pytest.approx(30_000 / RATE)
    assert queue.estimate_wait(long, later) == pytest.approx(33_000 / RATE)


def test_the_wait_grows_with_what_is_likely_to_come_ahead():
    queue = create_queue(create_ticket("a", own=300_000))
    queue.grant(0.0)
    long = create_ticket("l", own=90_000)
    queue.ask(long)
    half = int(RATE * 150.0)
    for number in range(10):
        queue.ask(create_ticket(f"s{number}", own=half, at=number * 300.0))
        queue.end(f"s{number}")
    alone = queue.estimate_wait(create_ticket("x", own=10), 3000.0)
    assert queue.estimate_wait(long, 3000.0) == pytest.approx(2.0 * alone)


def create_overload(seed, seconds=12):
    """Return chats beside half as many more cold prompts as engines can read."""
    generator = random.Random(seed)
    requests: list[PlacedRequest] = []
    for kind, rate in (("chat", 12.0), ("long", 34.0)):
        at_ms = 0.0
        while at_ms < seconds * 1000.0:
            at_ms += generator.expovariate(rate) * 1000.0
            name = f"{kind} {len(requests)}"
            thing = f"thing {generator.randrange(220)}"
            own = min(int(generator.lognormvariate(7.7, 1.1)), 53_200)
            shape = (True, "greeting", 350, 1110, 170, 0)
            if kind == "long":
                shape = (False, thing, 13_300, own, 120, 2)
            requests.append(PlacedRequest(name, at_ms, *shape))
    return requests


def play(seed, turned, reserve=True):
    engines = create_engines(10, turned)
    return play_requests(create_overload(seed), engines, Placer("a", {}), reserve)


def count_in_time(outcomes, tight, target_ms):
    waits = [o.first_ms for o in outcomes if o.request.tight is tight]
    return sum(wait <= target_ms for wait in waits) / len(waits)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_more_callers_are_served_in_time_when_prompts_wait_for_their_turn(seed):
    turned, sent = play(seed, True), play(seed, False)
    assert count_in_time(turned, False, 2500.0) > count_in_time(sent, False, 2500.0)
    assert count_in_time(turned, True, 1500.0) >= 0.95


@pytest.mark.parametrize("seed", [1, 2])
def test_chats_overtake_prompts_where_no_engine_is_kept_for_them(seed):
    turned, sent = play(seed, True, reserve=False), play(seed, False, reserve=False)
    assert count_in_time(turned, True, 1500.0) >= 0.95
    assert count_in_time(sent, True, 1500.0) < 0.95


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_longest_prompts_are_served_nearly_as_often_as_others(seed):
    longs = [o for o in play(seed, True) if not o.request.tight]
    longs.sort(key=lambda o: o.request.own_tokens)
    tenth = longs[-len(longs) // 10 :]
    # Callers leave after four targets.
    assert count_in_time(tenth, False, 10_000.0) >= 0.7
