"""Test server selection, partly by simulating workloads in virtual time."""

import random

import pytest

from cornelnotch.gateway import placement
from cornelnotch.gateway.engine_estimates import PRIOR_RATES, find_prefill_budget
from cornelnotch.gateway.models import (
    CallerRequest,
    PromptPart,
    Route,
    ServerRecord,
    ServiceShare,
    WorkKind,
)
from cornelnotch.gateway.placement import PlacementNeed, Placer
from cornelnotch.gateway.rate_limits import RateLimitTable
from cornelnotch.gateway.reservation import (
    choose_reserved,
    count_reserved,
    find_latency_sensitive_gap_ms,
)
from cornelnotch.gateway.servers import InFlightRequest, ServerPool, ServerView
from cornelnotch.testing.enginemodel import (
    PlacedRequest,
    create_engines,
    play_requests,
)

REGIONS = {"a": "north", "b": "north", "c": "south"}
CHAT_GAP_MS = 150.0
ENGINES = 10


def create_workload(seed, seconds, chats_per_s, prompts_per_s, shared_prompts=60):
    """Return chats and long prompts that share their first 13,300 tokens."""
    generator = random.Random(seed)
    requests: list[PlacedRequest] = []
    for kind, rate in (("chat", chats_per_s), ("long", prompts_per_s)):
        at_ms = 0.0
        while at_ms < seconds * 1000.0:
            at_ms += generator.expovariate(rate) * 1000.0
            shared_prompt = generator.randrange(shared_prompts)
            name = f"{kind} {len(requests)}"
            if kind == "chat":
                shape = (True, "greeting", 210, 1250, 170, 0)
            else:
                own = min(int(generator.lognormvariate(7.7, 1.1)), 53_200)
                shape = (False, f"thing {shared_prompt}", 13_300, own, 120, 2)
            requests.append(PlacedRequest(name, at_ms, *shape))
    return requests


def simulate(requests, reserve=True, queued=True):
    engines = create_engines(ENGINES, queued)
    outcomes = play_requests(requests, engines, Placer("a", REGIONS), reserve)
    return outcomes, sum(engine.read_tokens for engine in engines)


def measure_violation_share(outcomes):
    chats = [o for o in outcomes if o.request.latency_sensitive]
    return sum(o.longest_gap_ms > CHAT_GAP_MS for o in chats) / len(chats)


def find_first_token_percentile(outcomes, latency_sensitive, share):
    waits = sorted(
        o.first_ms for o in outcomes if o.request.latency_sensitive is latency_sensitive
    )
    return waits[int(len(waits) * share)]


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_reserved_engines_keep_chat_gaps_short_during_a_burst_of_long_prompts(seed):
    requests = create_workload(seed, 20, chats_per_s=30, prompts_per_s=30)
    reserved, _ = simulate(requests)
    unreserved, _ = simulate(requests, reserve=False)
    assert measure_violation_share(reserved) < measure_violation_share(unreserved)
    assert find_first_token_percentile(reserved, True, 0.95) <= 1500.0
    assert find_first_token_percentile(reserved, False, 0.9) <= 2500.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_burst_with_shared_parts_prefills_each_part_about_once(seed, monkeypatch):
    requests = create_workload(seed, 20, chats_per_s=2, prompts_per_s=50)
    outcomes, read = simulate(requests)
    needed = 60 * 13_300 + sum(r.own_tokens for r in requests)
    assert read <= needed * 1.25
    assert find_first_token_percentile(outcomes, False, 0.5) <= 2500.0
    unqueued, _ = simulate(requests, queued=False)
    assert find_first_token_percentile(
        unqueued, False, 0.5
    ) > find_first_token_percentile(outcomes, False, 0.5)
    monkeypatch.setattr(placement, "REPEATED_PREFILL_WEIGHT", 0.0)
    _, repeated = simulate(requests)
    assert repeated > read * 1.05


def create_view(name, domain="a", **fields):
    view = ServerView(ServerRecord(name, "llm", "10.0.0.1:80", domain, 64))
    for key, value in fields.items():
        setattr(view, key, value)
    return view


ROUTE = Route(
    "r", "", "/", WorkKind.STREAM, 1e9, 1e9, 1, 1, (ServiceShare("llm", 1.0),)
)


def choose(views, request, need=None, now=0.0):
    need = need or PlacementNeed(1, ())
    return Placer("a", REGIONS).choose(views, ROUTE, request, need, now)


def create_request(shared=13_300, own=1000):
    parts = (PromptPart("s", shared), PromptPart("o", own))
    return CallerRequest(
        "r", "POST", "/", "", "/", [], prompt=parts, prompt_tokens=shared + own
    )


def test_hosts_agree_on_the_server_of_shared_parts():
    views = [create_view(f"s{i}") for i in range(9)]
    first = choose(views, create_request())
    other = choose(list(reversed(views)), create_request())
    assert first.server.record.name == other.server.record.name
    assert first.prefill_tokens == 1000


def test_parts_are_not_fetched_from_a_leaving_server():
    views = [create_view(f"s{i}") for i in range(4)]
    owner = choose(views, create_request()).server
    holder = next(view for view in views if view is not owner)
    holder.record_cached([PromptPart("s", 13_300)], 0.0)
    holder.record = ServerRecord(holder.record.name, "llm", "1:1", "a", 64, True)
    ready = [view for view in views if not view.record.leaving]
    placed = choose(ready, create_request())
    assert placed.source is None or placed.source.record.name != "left"


def limit_servers(views, *names):
    table = RateLimitTable()
    for view in views:
        if view.record.name in names:
            table.observe(view.record.name, view.record.boot_ms, 1.0, 0.0)
    return Placer("a", REGIONS, rate_limits=table)


def test_a_limited_server_is_no_owner_of_shared_parts_and_no_source():
    views = [create_view(name) for name in ("s1", "s2", "s3")]
    request = create_request()
    need = PlacementNeed(1, ())
    owner = choose(views, request).server
    placer = limit_servers(views, owner.record.name)
    chosen = placer.choose(views, ROUTE, request, need, 0.0)
    assert chosen.server is not owner
    owner.record_cached(request.prompt, 0.0)
    owner.expect_permit(60_000.0, 0.0)
    chosen = placer.choose(views, ROUTE, request, need, 0.0)
    assert chosen.server is not owner
    assert chosen.source is not owner


def test_the_expected_wait_for_a_permit_counts_at_a_limited_server():
    views = [create_view(name) for name in ("s1", "s2")]
    placer = limit_servers(views, "s1")
    request = create_request(0, 100)
    views[1].start(InFlightRequest("busy", 0.0, 4000))
    need = PlacementNeed(1, ())
    assert placer.choose(views, ROUTE, request, need, 0.0).server is views[0]
    views[0].expect_permit(5000.0, 0.0)
    assert placer.choose(views, ROUTE, request, need, 0.0).server is views[1]
    assert placer.choose(views, ROUTE, request, need, 5000.0).server is views[0]
    waiting = PlacementNeed(1, (), current="s1", current_wait_ms=60_000.0)
    assert placer.choose(views, ROUTE, request, waiting, 5000.0).server is views[1]


def test_busy_owner_is_avoided_only_when_queueing_costs_more_than_prefill():
    views = [create_view(f"s{i}") for i in range(4)]
    owner = choose(views, create_request()).server
    owner.start(InFlightRequest("x", 0.0, 20_000, priority=0))
    owner.start(InFlightRequest("y", 0.0, 200_000, priority=1))
    assert choose(views, create_request()).server is owner
    owner.start(InFlightRequest("z", 0.0, 200_000, priority=0))
    moved = choose(views, create_request())
    assert moved.server is not owner
    assert moved.source is owner


def test_queued_work_of_lower_priority_is_ignored():
    views = [create_view("s0"), create_view("s1")]
    views[0].start(InFlightRequest("x", 0.0, 50_000, priority=5))
    views[1].start(InFlightRequest("y", 0.0, 5000, priority=0))
    placed = choose(views, create_request(0, 500), PlacementNeed(1, ()))
    assert placed.server is views[0]


def test_failing_and_excluded_servers_are_avoided():
    views = [create_view("s0"), create_view("s1")]
    views[0].record_failure(0.0)
    assert choose(views, create_request(0, 500), now=10.0).server is views[1]
    need = PlacementNeed(1, {"s1"})
    assert choose(views, create_request(0, 500), need, 10.0).server is views[0]
    assert choose(views, create_request(), PlacementNeed(1, {"s0", "s1"})) is None


def test_nearest_of_equal_servers_is_chosen():
    views = [create_view("far", "c"), create_view("near", "b"), create_view("here")]
    assert choose(views, create_request(0, 10)).server.record.name == "here"
    assert choose(views[:2], create_request(0, 10)).server.record.name == "near"


def test_reserved_engines_of_a_region_follow_its_latency_sensitive_streams():
    records = [ServerRecord(f"n{i}", "llm", "1:1", "a", 64) for i in range(20)]
    records += [ServerRecord(f"s{i}", "llm", "1:1", "c", 64) for i in range(2)]
    few = choose_reserved(records, REGIONS, {"n0": 1, "s0": 60})
    assert len(few) == 3
    busy = {"n0": 60, "n5": 60, "s0": 60}
    many = choose_reserved(records, REGIONS, busy)
    assert len(many) == 5
    assert few < many
    assert sum(name.startswith("s") for name in many) == 1
    assert many == choose_reserved(reversed(records), REGIONS, {"n1": 120})


def test_at_most_half_of_a_region_is_reserved():
    assert count_reserved(20, 64, 10_000) == 10
    assert count_reserved(3, 64, 10_000) == 1


def test_small_region_reserves_one_engine_without_load():
    assert count_reserved(3, 64, 0) == 1
    assert count_reserved(2, 64, 1) == 1
    assert count_reserved(1, 64, 10_000) == 0
    records = [ServerRecord(f"n{i}", "llm", "1:1", "a", 64) for i in range(3)]
    assert len(choose_reserved(records, REGIONS, {})) == 1


def test_reserved_engines_accept_only_prompts_that_fit_into_the_gap():
    views = [create_view("kept"), create_view("other")]
    views[1].start(InFlightRequest("x", 0.0, 15_000, priority=0))
    need = PlacementNeed(1, (), False, frozenset({"kept"}), 250.0)
    budget = find_prefill_budget(PRIOR_RATES, 250.0)
    harmless = int(budget * placement.INTERFERENCE_FREE_SHARE)
    short = choose(views, create_request(0, harmless), need)
    assert short.server is views[0]
    long = choose(views, create_request(0, int(budget) + 1), need)
    assert long.server is views[1]


def test_only_clearly_shorter_gaps_are_latency_sensitive():
    assert find_latency_sensitive_gap_ms([500.0, 200.0, 120.0]) == 120.0
    assert find_latency_sensitive_gap_ms([200.0, 180.0]) == 0.0
    assert find_latency_sensitive_gap_ms([0.0]) == 0.0


def test_ejected_servers_are_used_when_no_other_is_available():
    pool = ServerPool()
    pool.replace([ServerRecord("s0", "llm", "1:1", "a", 64)])
    pool.servers["s0"].record_failure(0.0)
    assert len(pool.list_usable("llm", 1.0)) == 1
