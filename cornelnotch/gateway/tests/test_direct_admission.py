"""Test which prompts are sent without a grant, and the rates that this relies on.

The load is that of short prompts with targets of 0.4 s beside prompts of 17,000 tokens,
on engines that prefill 61 tokens per ms and start a prompt in some 60 ms.
"""

import asyncio

import pytest

from cornelnotch.gateway.admission_client import AdmissionClient, AdmissionResult
from cornelnotch.gateway.direct_admission import (
    UNSHARED_SLOTS,
    draw_share,
    find_spread_ms,
    is_within_share,
    may_send_directly,
)
from cornelnotch.gateway.engine_estimates import PRIOR_RATES, EngineEstimate
from cornelnotch.gateway.models import CallerRequest, PromptPart, ServerRecord
from cornelnotch.gateway.rate_limits import RateLimit
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.gateway.tests.test_admission_client import RecordingPeers
from cornelnotch.kernel import create_clock
from cornelnotch.testing.prefix_fleet import FleetEvent, FleetShape
from cornelnotch.testing.priority_fleet import (
    Burst,
    PriorityFleet,
    PromptKind,
    create_load,
)
from cornelnotch.wire.messages import AdmissionRequest, EngineRates, ServerUsage

SLOTS = 64
TARGET_MS = 400.0
RATES = EngineRates("engine", 25.0, 40.0, 40.0, 1.0)
IDLE = ServerUsage("engine", 0, 0, 0, 0, 0, [])
TOKENS_PER_MS = 61.0
START_MS = 60.0


def decide(tokens=1100, priority=0, target_ms=TARGET_MS, usage=IDLE):
    return may_send_directly(tokens, priority, target_ms, usage, SLOTS, RATES)


def test_a_short_prompt_does_not_wait_for_a_grant():
    assert decide()


def test_less_urgent_prompts_in_the_queue_do_not_hold_a_short_one():
    backlog = [0, 0, 200_000]
    assert decide(usage=ServerUsage("engine", 9, 12, 0, 0, 0, backlog))


@pytest.mark.parametrize(
    "usage",
    [
        ServerUsage("engine", 60, 4, 0, 0, 0, []),
        ServerUsage("engine", 3, 1, 1, 0, 0, []),
        ServerUsage("engine", 3, 1, 0, 0, 12_000, []),
        ServerUsage("engine", 3, 9, 0, 0, 0, [12_000]),
    ],
    ids=["batch full", "failing", "prompts sent", "prompts as urgent wait"],
)
def test_a_prompt_that_would_wait_at_the_engine_is_queued(usage):
    """Guard against queues at engines, where no request can be moved or refused."""
    assert not decide(usage=usage)


def test_a_long_prompt_is_queued():
    """Guard against bursts of long prompts that delay streams for seconds."""
    assert not decide(tokens=17_000)


# Fewer requests than this may be preempted: those that exceed the slots of an engine.
MAX_PREEMPTED = 10
SHORT = PromptKind(
    "short", 0, 73.0, 40, 172, 543, 0.9, 90, 250.0, 415.0, 3200.0, 15_000.0
)
LONG = PromptKind(
    "long", 1, 40.0, 1485, 6300, 2890, 1.0, 50, 1000.0, 2035.0, 6000.0, 6106.0
)


@pytest.mark.parametrize("is_lossy", [False, True])
def test_burst_of_short_prompts_does_not_overfill_engines(is_lossy):
    """Guard against preempted requests where hosts choose by the same load summary."""
    fleet = PriorityFleet(FleetShape(45, 60, weighed=False), kinds=(SHORT, LONG))
    prompts = create_load(fleet.kinds, [Burst("short", 2000.0, 6000.0, 8.0)], 7.0, 1)

    def lose_engines(fleet):
        for number in range(11 if is_lossy else 0):
            fleet.crash(f"engine-{number}")

    fleet.play(prompts, [FleetEvent(2500.0, lose_engines)])
    most = max(engine.most_held for engine in fleet.list_engines())
    assert most < SLOTS + MAX_PREEMPTED


@pytest.mark.parametrize("hosts", [8, 60, 320])
@pytest.mark.parametrize("running", [16, 32, 60])
def test_hosts_share_the_free_slots_until_the_next_summary(hosts, running):
    """Guard against engines that are filled by hosts which do not see each other."""
    usage = ServerUsage("engine", running, 0, 0, 0, 0, [])
    counts = []
    for number in range(50):
        sent = 0
        for host in range(hosts):
            drawn = draw_share(f"h{host}", "engine", 250.0 * number)
            recent = 0
            while is_within_share(usage, SLOTS, hosts, recent, drawn):
                recent += 1
            sent += recent
        counts.append(sent)
    assert 0 < sum(counts) / len(counts) <= SLOTS - running
    assert max(counts) <= SLOTS - running + MAX_PREEMPTED


def test_each_host_sends_one_prompt_to_an_engine_that_is_nearly_empty():
    usage = ServerUsage("engine", int(SLOTS * UNSHARED_SLOTS) - 1, 0, 0, 0, 0, [])
    assert is_within_share(usage, SLOTS, 320, 0, 1.0)
    assert not is_within_share(usage, SLOTS, 320, 1, 1.0)


def test_only_prompts_that_are_sent_directly_are_spread_over_engines():
    assert find_spread_ms(TARGET_MS) > 0
    assert find_spread_ms(1500.0) == find_spread_ms(0.0) == 0


@pytest.mark.parametrize("target_ms", [0.0, 1500.0, 2500.0])
def test_targets_that_bear_the_round_trip_keep_the_order_of_the_queue(target_ms):
    """Guard deployments with longer targets, which are served as before."""
    assert not decide(target_ms=target_ms)


async def admit(limit):
    peers = RecordingPeers()
    client = AdmissionClient(
        peers,
        create_clock(),
        lambda view: ["h2"],
        lambda view: True,
        lambda view: limit,
        may_send_directly=lambda view, in_flight, target_ms: True,
    )
    view = ServerView(ServerRecord("engine", "llm", "10.0.0.1:80", "a", SLOTS))
    prompt = (PromptPart("shared", 350), PromptPart("own", 1100))
    request = CallerRequest("r1", "POST", "/", "h", "/", [], prompt=prompt)
    in_flight = InFlightRequest("r1", 0.0, 1450)
    waiting = client.wait_for_admission(
        request, view, in_flight, 0.0, 2000.0, target_ms=TARGET_MS
    )
    task = asyncio.create_task(waiting)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    stages = [m.stage for _, m in peers.sent if isinstance(m, AdmissionRequest)]
    done = task.done()
    task.cancel()
    return done and task.result(), stages


def test_the_controller_hears_of_a_prompt_that_was_sent_directly():
    """Guard against a controller that grants more than the engine has room for."""
    result, stages = asyncio.run(admit(None))
    assert result is AdmissionResult.DIRECT
    assert stages == ["sent"]


def test_a_server_with_a_rate_limit_gets_nothing_without_a_grant():
    limit = RateLimit("engine", 1, 5.0, 0.0)
    result, stages = asyncio.run(admit(limit))
    assert not result
    assert stages == ["waiting"]


def learn(separates_start):
    """Return the prefill rate learned from short prompts, most of them from idle."""
    estimate = EngineEstimate("engine", PRIOR_RATES, separates_start)
    for number in range(200):
        tokens = 600 + number % 7 * 300
        was_idle = number % 4 > 0
        elapsed_ms = tokens / TOKENS_PER_MS + START_MS * was_idle
        estimate.record_prefill(tokens, elapsed_ms, number * 100.0, was_idle)
    return estimate.rates.read_rate


def test_the_start_of_short_prompts_does_not_count_as_prefill():
    """Guard against engines that seem slow and are left idle while requests wait."""
    assert learn(True) == pytest.approx(TOKENS_PER_MS, rel=0.15)
    assert learn(False) < TOKENS_PER_MS / 2
