"""Test that urgent prompts are not refused while less urgent, longer ones begin."""

import pytest

from cornelnotch.testing.prefix_fleet import FleetEvent, FleetShape
from cornelnotch.testing.priority_fleet import (
    Burst,
    PriorityFleet,
    PromptKind,
    create_load,
    find_inversions,
    get_kind,
)

ENGINES = 45
HOSTS = 58
LOST_ENGINES = ENGINES // 4
SECONDS = 20.0
CHAT = PromptKind(
    "chat", 0, 31.6, 60, 350, 1110, 0.9, 171, 120.0, 1513.0, 6052.0, 15_000.0
)
DRAFT = PromptKind(
    "draft", 1, 31.6, 720, 6300, 2890, 1.0, 51, 200.0, 1522.0, 6088.0, 8119.0
)
REVIEW = PromptKind(
    "review", 2, 39.0, 1485, 13_300, 3720, 1.0, 120, 500.0, 2532.0, 10_128.0, 12_152.0
)
KINDS = (CHAT, DRAFT, REVIEW)


def lose_engines(fleet):
    for number in range(LOST_ENGINES):
        fleet.crash(f"engine-{number}")


def play(seed, bursts=(), events=()):
    shape = FleetShape(ENGINES, HOSTS, weighed=False, cache_tokens=578_165)
    fleet = PriorityFleet(shape, kinds=KINDS)
    return fleet.play(create_load(KINDS, bursts, SECONDS, seed), events)


def measure_served(outcomes, kind):
    found = [o for o in outcomes if get_kind(o.request) is kind]
    return sum(o.is_served for o in found) / len(found)


@pytest.mark.parametrize("seed", [0, 1, 2])
def test_urgent_prompts_are_not_refused_for_longer_ones_when_engines_are_lost(seed):
    bursts = [
        Burst("chat", 5000.0, 9000.0, 4.0),
        Burst("review", 11_000.0, 15_000.0, 3.0),
    ]
    outcomes = play(seed, bursts, [FleetEvent(5500.0, lose_engines)])
    assert find_inversions(outcomes) == []
    for kind in (CHAT, DRAFT):
        refused = [o for o in outcomes if o.refused and get_kind(o.request) is kind]
        assert refused == []


def test_all_kinds_of_prompts_are_served_without_an_overload():
    outcomes = play(3)
    for kind in KINDS:
        assert measure_served(outcomes, kind) >= 0.99
