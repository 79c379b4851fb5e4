"""Tests of plans and of the load that they draw."""

import random

import pytest

from cornelnotch.soak.attempts import Prompt, Work
from cornelnotch.soak.plan import Action, Plan, create_plan, lengthen_replies
from cornelnotch.soak.profile import CALLERS_PER_HOST, LoadProfile, draw_users_work

SEEDS = range(1, 301)
SECONDS = 25.0


def create_plans() -> list[Plan]:
    return [create_plan(seed, SECONDS) for seed in SEEDS]


def test_share_of_plans_like_users_deployments():
    plans = [plan for plan in create_plans() if plan.profile.like_users]
    assert 0.3 < len(plans) / len(SEEDS) < 0.5
    assert any(plan.profile.has_prompts and plan.profile.places for plan in plans)
    assert any(not plan.profile.has_prompts for plan in plans)
    assert any(not plan.profile.places for plan in plans)
    assert all(plan.callers <= plan.hosts * CALLERS_PER_HOST for plan in plans)


def test_places_are_for_the_callers_of_the_plan():
    plans = [create_plan(seed, SECONDS, hosts=60) for seed in SEEDS]
    limited = [plan for plan in plans if plan.profile.places]
    assert limited
    for plan in limited:
        places = plan.profile.places * plan.servers
        assert 0.7 < places / plan.callers < 1.4


def test_other_plans_draw_their_work_as_before():
    plan = next(plan for plan in create_plans() if not plan.profile.like_users)
    assert plan.profile == LoadProfile()
    generator = random.Random(1)
    works = [plan.draw_work(generator, 0.0, 0.0) for _ in range(200)]
    assert all(work.prompt is None for work in works)


def test_long_replies_come_only_during_stops_and_name_no_other_allowance():
    plan = lengthen_replies(create_plan(1, SECONDS))
    stop = next(step for step in plan.steps if step.action is Action.TERMINATE)
    generator = random.Random(1)

    def draw_streams(at_s):
        works = [plan.draw_work(generator, 0.0, at_s) for _ in range(500)]
        return [work for work in works if work.events]

    calm, stopping = draw_streams(0.0), draw_streams(stop.at_s + 4.0)
    longest = max(work.events for work in calm)
    share = sum(work.events > longest for work in stopping) / len(stopping)
    assert 0.5 < share < 0.9
    headers = {
        work.build_prompt_headers("x")["x-token-usage"].split(",")[1]
        for work in calm + stopping
    }
    assert len(headers) == 1


@pytest.mark.parametrize("has_prompts", [True, False])
def test_work_like_that_of_users(has_prompts):
    generator = random.Random(1)
    profile = LoadProfile(True, has_prompts)
    works = [draw_users_work(generator, profile) for _ in range(500)]
    streams = [work for work in works if work.events]
    assert {work.work_ms for work in works if not work.events} == {22.0}
    assert all(17 <= work.events <= 86 for work in streams)
    assert all(20.0 <= work.gap_ms <= 40.0 for work in streams)
    assert all((work.prompt is not None) == has_prompts for work in streams)
    assert len({work.read_rate for work in works}) == 4
    assert {work.may_repeat for work in streams} == {True, False}


def test_prompts_share_the_first_part_only():
    work = Work("chat", 20.0, 86, prompt=Prompt("c1", 350, 1_110))
    first, second = (work.build_prompt_headers(f"c1-{n}") for n in range(2))
    parts = [h["x-prompt-prefix"].split(",") for h in (first, second)]
    assert parts[0][0] == parts[1][0] == "c1:350"
    assert parts[0][1] != parts[1][1]
    assert parts[0][1].endswith(":1110")
    assert first["x-token-usage"] == "1460,172"
