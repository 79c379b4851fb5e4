"""Test that requests overtake only those that have slack."""

import random

import pytest

from cornelnotch.gateway import admission_queue
from cornelnotch.gateway.admission_queue import AdmissionQueue, QueueEntry
from cornelnotch.gateway.placement import Placer
from cornelnotch.testing.enginemodel import (
    PlacedRequest,
    create_engines,
    play_requests,
)

CHAT_TARGET_MS = 400.0
QUOTE_TARGET_MS = 2000.0


def create_load(seed, quotes_per_s, seconds=40.0, chats_per_s=12.0):
    """Return chats and the long "quotes" of a workspace with a higher priority."""
    generator = random.Random(seed)
    requests: list[PlacedRequest] = []
    for kind, rate in (("chat", chats_per_s), ("quote", quotes_per_s)):
        at_ms = 0.0
        while at_ms < seconds * 1000.0:
            at_ms += generator.expovariate(rate) * 1000.0
            name = f"{kind} {len(requests)}"
            if kind == "chat":
                shape = (False, "greeting", 200, 500, 30, 1, 0.0, CHAT_TARGET_MS)
            else:
                own = min(int(generator.lognormvariate(8.3, 0.7)), 18_000)
                shape = (False, "menu", 1000, own, 40, 0, 0.0, QUOTE_TARGET_MS)
            requests.append(PlacedRequest(name, at_ms, *shape))
    return requests


def measure_in_time(outcomes, kind):
    found = [o for o in outcomes if o.request.name.startswith(kind)]
    return sum(o.first_ms <= o.request.target_ms for o in found) / len(found)


def simulate(seed, quotes_per_s):
    load = create_load(seed, quotes_per_s)
    placer = Placer("a", {"a": "north"})
    return play_requests(load, create_engines(1, True), placer, False)


def measure_overtaking(monkeypatch, seed, quotes_per_s):
    """Return the share of chats in time gained, and of quotes lost, by overtaking."""
    overtaking = simulate(seed, quotes_per_s)
    with monkeypatch.context() as patch:
        patch.setattr(admission_queue, "OVERTAKING_SLACK_SHARE", 0.0)
        in_order = simulate(seed, quotes_per_s)
    gained = measure_in_time(overtaking, "chat") - measure_in_time(in_order, "chat")
    lost = measure_in_time(in_order, "quote") - measure_in_time(overtaking, "quote")
    return gained, lost


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_chats_overtake_long_prompts_with_slack(monkeypatch, seed):
    gained, lost = measure_overtaking(monkeypatch, seed, quotes_per_s=4.0)
    assert gained > 0.0
    assert lost <= 0.02


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
def test_overtaking_costs_little_on_an_overloaded_engine(monkeypatch, seed):
    _, lost = measure_overtaking(monkeypatch, seed, quotes_per_s=8.0)
    assert lost <= 0.05


def create_entry(name, priority, tokens, target_ms, queued_at_ms=0.0, gap_ms=0.0):
    return QueueEntry(
        name,
        "host",
        priority,
        (),
        tokens,
        queued_at_ms,
        queued_at_ms,
        gap_ms=gap_ms,
        target_ms=target_ms,
    )


def grant_first(entries, now):
    queue = AdmissionQueue(64, 100_000)
    busy = create_entry("busy", 0, 8000, 0.0)
    queue.add_or_refresh(busy)
    assert queue.grant(0.0) == [busy]
    for entry in entries:
        queue.add_or_refresh(entry)
    queue.mark_prefilled("busy", now)
    return queue.grant(now)[0].request_id


def test_request_without_slack_is_not_overtaken():
    chat = create_entry("chat", 1, 100, 400.0)
    quote = create_entry("quote", 0, 3000, 2000.0)
    assert grant_first([quote, chat], 350.0) == "chat"
    late = create_entry("quote", 0, 3000, 2000.0, queued_at_ms=-1700.0)
    assert grant_first([late, chat], 350.0) == "quote"
    unknown = create_entry("quote", 0, 3000, 0.0)
    assert grant_first([unknown, chat], 350.0) == "quote"


def test_prefill_longer_than_the_slack_does_not_overtake():
    long = create_entry("long", 1, 40_000, 500.0)
    assert grant_first([create_entry("quote", 0, 3000, 2000.0), long], 350.0) == "quote"
