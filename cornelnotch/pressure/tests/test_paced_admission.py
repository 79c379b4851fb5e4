"""Test that an engine that is slow now is granted less, and that waits show it."""

import random

import pytest

from cornelnotch.gateway.admission_queue import AdmissionQueue, QueueEntry
from cornelnotch.gateway.models import (
    CallerRequest,
    PromptPart,
    Route,
    ServerRecord,
    ServiceShare,
    WorkKind,
)
from cornelnotch.gateway.placement import PlacementNeed, Placer
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.pressure.models import ServerLoad
from cornelnotch.pressure.observed_load import ObservedLoads

BOOT = 3
ROUTE = Route(
    "chat", "h", "/", WorkKind.STREAM, 9000, 500, 2, 1, (ServiceShare("llm", 1),)
)


def create_entry(name, at_ms, tokens=1000):
    return QueueEntry(name, "h1", 1, (), tokens, at_ms, at_ms)


def create_queue(pace):
    queue = AdmissionQueue(64, 400_000)
    queue.set_pace(pace, 0.0)
    for number in range(20):
        queue.add_or_refresh(create_entry(f"r-{number}", 0.0))
    return queue


def test_a_slow_engine_is_granted_less_and_waits_are_longer():
    # While work takes 2.5 times as long, prompts granted at the usual rate wait in the
    # engine, where they can no longer move to another one.
    usual, slow = create_queue(1.0), create_queue(2.5)
    granted_usual = len(usual.grant(0.0))
    granted_slow = len(slow.grant(0.0))
    assert granted_slow < granted_usual
    last = create_entry("last", 0.0, 2000)
    assert slow.estimate_wait_ms(slow.add_or_refresh(last), 0.0) > (
        2.0 * usual.estimate_wait_ms(usual.add_or_refresh(last), 0.0)
    )


def test_a_backlog_shrinks_by_the_pace_of_each_time():
    queue = create_queue(2.5)
    queue.grant(0.0)
    rate = queue.estimate.rates.read_rate
    before = queue._backlog_tokens
    queue.set_pace(1.0, 100.0)
    assert queue._backlog_tokens == pytest.approx(before - 100.0 * rate / 2.5)


def test_a_slow_phase_does_not_lower_the_estimated_usual_rate():
    # Otherwise the pace counts twice, and an engine is granted too little afterwards.
    rates = {}
    for pace in (1.0, 2.5):
        queue = AdmissionQueue(64, 400_000)
        queue.set_pace(pace, 0.0)
        for number in range(20):
            at_ms = number * 1000.0
            queue.add_or_refresh(create_entry(f"r-{number}", at_ms))
            queue.grant(at_ms)
            queue.mark_prefilled(f"r-{number}", at_ms + 40.0 * pace)
        rates[pace] = queue.estimate.rates.read_rate
    assert rates[2.5] == pytest.approx(rates[1.0])


def test_a_queue_without_a_stated_pace_is_as_before():
    queue = AdmissionQueue(64, 400_000)
    queue.add_or_refresh(create_entry("a", 0.0, 20_000))
    queue.grant(0.0)
    assert queue.pace == 1.0
    assert queue.find_next_grant_ms(0.0) == 20_000 / queue.estimate.rates.read_rate - (
        160.0
    )


def test_a_waiting_prompt_moves_from_an_engine_that_is_slow_now():
    # Its host hears of the pace from the controller; the other engine is as usual.
    loads = ObservedLoads()
    placer = Placer("a", {"a": "north"}, loads=loads, generator=random.Random(1))
    views = [
        ServerView(ServerRecord(name, "llm", "10.0.0.1:80", "a", 64, False, BOOT))
        for name in ("e-1", "e-2")
    ]
    for view, tokens in zip(views, (4000, 5000), strict=True):
        view.start(InFlightRequest(f"r-{view.record.name}", 0.0, tokens, sent=True))
    prompt = (PromptPart("own", 3000),)
    request = CallerRequest(
        "r", "POST", "/", "h", "/", [], prompt=prompt, prompt_tokens=3000
    )
    need = PlacementNeed(1, (), current="e-1")

    def choose(now):
        placement = placer.choose(views, ROUTE, request, need, now)
        assert placement is not None
        return placement.server.record.name

    assert choose(1000.0) == "e-1"
    loads.observe("e-1", "llm", BOOT, ServerLoad(2, 0, 64, 2.5), 1000.0)
    assert choose(1010.0) == "e-2"
    assert choose(4000.0) == "e-1"
