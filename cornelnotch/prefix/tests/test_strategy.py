"""Test the choice between waiting, copying and prefilling, without a network."""

import subprocess
import sys

import pytest

from cornelnotch.gateway.models import (
    CallerRequest,
    Engine,
    PromptPart,
    Route,
    ServerRecord,
    ServiceShare,
    WorkKind,
)
from cornelnotch.gateway.placement import GrantedPrompt, PlacementNeed, Placer
from cornelnotch.gateway.rate_limits import RateLimitTable
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.kernel.hashing import rank_owners
from cornelnotch.prefix.strategy import WeighedStrategy

SHARED = (PromptPart("menu", 13_300),)
OWN_TOKENS = 1000
# 13,300 tokens of this size take 106 ms over 100 Gbit/s, and 532 ms to prefill at the
# prior rate of 25 tokens per ms.
TOKEN_BYTES = 100_000.0


def create_route(kind=WorkKind.STREAM):
    return Route("r", "", "/", kind, 1e9, 1e9, 1, 1, (ServiceShare("llm", 1.0),))


def create_views(count=4):
    return [
        ServerView(ServerRecord(f"s{n}", "llm", f"10.0.0.{n}:80", "a", 64))
        for n in range(count)
    ]


def create_request(shared=SHARED):
    prompt = (*shared, PromptPart("own", OWN_TOKENS))
    tokens = sum(part.tokens for part in prompt)
    return CallerRequest(
        "r", "POST", "/", "", "/", [], prompt=prompt, prompt_tokens=tokens
    )


def create_placer(engine=None, limits=None):
    placer = Placer("a", {"a": "north"}, rate_limits=limits)
    placer.strategy = WeighedStrategy(
        "host", placer.estimates, lambda service: engine, lambda: 70
    )
    return placer


def choose(placer, views, request=None, kind=WorkKind.STREAM, now=1000.0):
    need = PlacementNeed(1, ())
    request = request or create_request()
    return placer.choose(views, create_route(kind), request, need, now)


def find_owner(views):
    names = {view.record.name: view for view in views}
    return names[rank_owners("menu", names)[0]]


def queue_tokens(view, tokens):
    view.start(InFlightRequest(f"queued {tokens}", 0.0, tokens, priority=0))


def test_the_holder_is_waited_for_while_that_is_cheaper_than_prefilling():
    """Guards against prefilling again for every short queue, and endless queues."""
    views = create_views()
    placer = create_placer(Engine(575_000))
    owner = find_owner(views)
    queue_tokens(owner, 20_000)
    waiting = choose(placer, views)
    assert waiting.server is owner
    assert waiting.wait_ms > 0 < waiting.saved_ms
    queue_tokens(owner, 400_000)
    moved = choose(placer, views)
    assert moved.server is not owner
    assert moved.source is None


def test_a_prefix_is_copied_only_where_a_copy_is_faster_than_a_prefill():
    """Guards against copies, which are billed, that save no time."""
    views = create_views()
    owner = find_owner(views)
    owner.record_cached(SHARED, 0.0)
    queue_tokens(owner, 400_000)
    fast = choose(create_placer(Engine(575_000, False, TOKEN_BYTES, 100_000.0)), views)
    assert fast.server is not owner
    assert fast.source is owner
    slow = choose(create_placer(Engine(575_000, False, TOKEN_BYTES, 10_000.0)), views)
    assert slow.server is not owner
    assert slow.source is None


def test_a_copy_lets_prompts_leave_a_queue_earlier():
    """Guards against waiting at a holder for longer than a copy takes."""
    engine = Engine(575_000, False, TOKEN_BYTES, 100_000.0)
    lengths = []
    for tried in (Engine(575_000), engine):
        for tokens in range(0, 400_000, 5000):
            views = create_views()
            owner = find_owner(views)
            owner.record_cached(SHARED, 0.0)
            queue_tokens(owner, tokens)
            if choose(create_placer(tried), views).server is not owner:
                lengths.append(tokens)
                break
    assert lengths[1] < lengths[0]


def test_nothing_is_copied_from_a_failing_or_limited_server():
    """Guards against prompts that wait for a source that cannot answer."""
    engine = Engine(575_000, False, TOKEN_BYTES, 100_000.0)
    views = create_views()
    owner = find_owner(views)
    owner.record_cached(SHARED, 0.0)
    limits = RateLimitTable()
    limits.observe(owner.record.name, 0, 1.0, 0.0)
    owner.expect_permit(60_000.0, 0.0)
    limited = choose(create_placer(engine, limits), views)
    assert limited.server is not owner is not limited.source
    owner.record_failure(1000.0)
    queue_tokens(owner, 400_000)
    failing = choose(create_placer(engine), views)
    assert failing.server is not owner is not failing.source


def test_a_holder_that_failed_lately_is_left_though_it_is_no_longer_ejected():
    """Guards against prompts that return to a server that fails time and again."""
    views = create_views()
    owner = find_owner(views)
    for _ in range(3):
        owner.record_failure(1000.0)
    placer = create_placer(Engine(575_000))
    assert choose(placer, views, now=2500.0).server is not owner
    assert choose(placer, views, now=60_000.0).server is owner


def test_what_controllers_do_not_confirm_is_expected_less():
    """Guards against queues at holders that have lost their caches."""
    views = create_views()
    owner = find_owner(views)
    prefills = []
    for uncached in (OWN_TOKENS, OWN_TOKENS + 13_300):
        # Memory for everything, so that only what controllers say lowers the chance.
        placer = create_placer(Engine(10**9))
        for number in range(40):
            part = PromptPart(f"part {number}", 13_300)
            grant = GrantedPrompt((part,), OWN_TOKENS, OWN_TOKENS, uncached)
            placer.record_grant(owner, grant, number * 100.0)
        prefills.append(choose(placer, [owner], now=4000.0).prefill_tokens)
    assert prefills[0] < 3000 < prefills[1]


def test_calls_follow_the_usual_rule():
    """Guards against estimates of prefill for requests without a prompt."""
    views = create_views()
    placer = create_placer()
    request = CallerRequest("r", "POST", "/", "", "/", [])
    chosen = choose(placer, views, request, WorkKind.REPEATABLE)
    usual = choose(Placer("a", {"a": "north"}), views, request, WorkKind.REPEATABLE)
    assert chosen == usual


@pytest.mark.parametrize("uncached", [-5, 0, 10**15])
def test_absurd_counts_of_uncached_tokens_stay_within_the_prompt(uncached):
    """Guards against a controller whose answers are wrong."""
    views = create_views()
    placer = create_placer(Engine(575_000))
    for number in range(200):
        grant = GrantedPrompt(SHARED, OWN_TOKENS, uncached, uncached)
        placer.record_grant(views[0], grant, number * 10.0)
    totals = placer.strategy.totals
    assert 0 <= totals.held_tokens <= totals.shared_tokens
    assert 0 <= totals.expected_tokens <= totals.shared_tokens
    assert choose(placer, views, now=2000.0).cost_ms < 1e6


def test_a_prefix_that_was_granted_is_expected_until_it_ages():
    """Guards against savings from parts that were evicted long ago."""
    views = create_views()
    placer = create_placer(Engine(20_000))
    other = next(view for view in views if view is not find_owner(views))
    for number in range(60):
        name = PromptPart(f"part {number}", 13_300)
        grant = GrantedPrompt((name,), OWN_TOKENS, 14_300, 14_300)
        placer.record_grant(other, grant, number * 100.0)
    recent = create_request((PromptPart("part 59", 13_300),))
    assert choose(placer, [other], recent, now=5900.0).prefill_tokens < 1500
    aged = choose(placer, [other], recent, now=15_900.0)
    assert aged.prefill_tokens > 1500


def test_the_package_is_not_imported_unless_prefixes_are_weighed():
    """Guards against memory used on deployments that do not enable this."""
    check = (
        "import sys, cornelnotch.platform.program;"
        "sys.exit(any(n.startswith('cornelnotch.prefix') for n in sys.modules))"
    )
    subprocess.run([sys.executable, "-c", check], check=True)
