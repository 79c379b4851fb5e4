"""A short soak of planned stops with real processes."""

import asyncio

import pytest

from cornelnotch.soak.plan import create_plan, lengthen_replies
from cornelnotch.soak.stops import run_stops

pytestmark = pytest.mark.alone


@pytest.mark.parametrize("seed", [19, 20])
def test_planned_stops_cut_and_refuse_no_request_that_was_run(seed, tmp_path):
    plan = create_plan(seed, seconds=17.0, hosts=4, grace_s=5.0)
    verdict = asyncio.run(run_stops(plan, tmp_path, print))
    assert verdict.findings == []
    assert verdict.calm_served > 0
    assert verdict.early_served > 0


# Guards against late streams that are longer than all before them and are cut.
def test_planned_stops_cut_no_stream_that_is_longer_than_all_before(tmp_path):
    plan = lengthen_replies(create_plan(9103, seconds=20.0, hosts=4, grace_s=8.0))
    verdict = asyncio.run(run_stops(plan, tmp_path, print))
    assert verdict.findings == []
    assert verdict.early_served > 0
    assert verdict.late
