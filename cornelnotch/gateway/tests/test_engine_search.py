"""Test when a prompt asks another engine after some would admit it too late."""

import pytest

from cornelnotch.gateway.engine_search import (
    MAX_OVERLOADED,
    MAX_OVERLOADED_WITH_ROOM,
    has_room,
    may_ask_another,
)
from cornelnotch.gateway.models import ServerRecord
from cornelnotch.gateway.placement import ServerEstimates
from cornelnotch.gateway.servers import ServerView
from cornelnotch.wire.messages import LoadSummary, ServerUsage

SLOTS = 8
LEFT_MS = 3000.0


def create_servers(*usages):
    """Return servers with these loads, and what a host knows of them."""
    estimates = ServerEstimates("a", {"a": "north"})
    estimates.aggregates.update(LoadSummary("collector", list(usages), [], []), [], 0.0)
    names = [usage.server for usage in usages]
    servers = [ServerView(ServerRecord(n, "llm", "10.0.0.1:80", "a", 8)) for n in names]
    return servers, estimates


def create_usage(name, running=1, failures=0, backlog=()):
    return ServerUsage(name, running, 0, failures, 0, 0, list(backlog))


def find_room(*usages, priority=1):
    servers, estimates = create_servers(*usages)
    return has_room(servers, estimates, priority, 1000, LEFT_MS, 0.0)


def test_less_urgent_prompts_that_wait_leave_room_for_an_urgent_one():
    usage = create_usage("s", backlog=(0, 0, 10_000_000))
    assert find_room(usage, priority=1)
    assert not find_room(usage, priority=2)


@pytest.mark.parametrize(
    "usage",
    [
        create_usage("s", backlog=(10_000_000,)),
        create_usage("s", running=SLOTS),
        create_usage("s", failures=1),
    ],
)
def test_engine_that_is_full_or_fails_has_no_room(usage):
    assert not find_room(usage)
    assert find_room(usage, create_usage("empty"))


def test_urgent_prompt_asks_more_engines_while_others_have_room():
    assert may_ask_another(MAX_OVERLOADED, False, True)
    assert not may_ask_another(MAX_OVERLOADED, False, False)
    assert not may_ask_another(MAX_OVERLOADED_WITH_ROOM, False, True)


def test_least_urgent_prompt_is_refused_after_as_many_engines_as_before():
    assert may_ask_another(MAX_OVERLOADED - 1, True, False)
    assert not may_ask_another(MAX_OVERLOADED, True, True)
