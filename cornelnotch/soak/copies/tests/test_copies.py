"""A short soak of copies with real processes."""

import asyncio

import pytest

from cornelnotch.soak.copies.judge import Form
from cornelnotch.soak.copies.plan import create_copy_plan
from cornelnotch.soak.copies.run import run_copies

pytestmark = pytest.mark.alone

SECONDS = 22.0
# Share of the streams at disturbed engines that end whole from their copies.
WHOLE_SHARE = 0.85


# Guards against a silent engine that goes on with a stream after its copy has begun,
# and against hosts that keep this rule by giving such streams up.
def test_no_stream_that_may_not_be_repeated_runs_at_two_engines(tmp_path):
    verdict = asyncio.run(run_copies(create_copy_plan(1, SECONDS), tmp_path, print))
    assert verdict.errors == []
    assert [f.detail for f in verdict.findings if f.is_violation] == []
    single = verdict.single
    assert single.copied_runs > 0
    assert single.touched > 10
    assert single.touched_whole >= WHOLE_SHARE * single.touched
    assert verdict.count(is_resumable=True)[Form.ORDER] == 0
