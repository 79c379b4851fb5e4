"""Test which requests may be sent again, by kind of work and dispatch outcome."""

import pytest

from cornelnotch.gateway.dispatch import DispatchOutcome
from cornelnotch.gateway.models import Route, ServiceShare, WorkKind
from cornelnotch.gateway.retry_policy import (
    MAX_REFUSED_DISPATCHES,
    MAX_UNSENT_DISPATCHES,
    DispatchCounts,
    may_send_again,
)

MAY_HAVE_RUN = [DispatchOutcome.BROKEN, DispatchOutcome.FAILED, DispatchOutcome.DONE]


def create_route(kind, resumable=False, attempts=3):
    share = (ServiceShare("s", 1.0),)
    return Route("r", "", "/", kind, 1.0, 1.0, attempts, 1, share, resumable=resumable)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_work_that_may_have_run_is_retried_only_if_repeatable(outcome):
    counts = DispatchCounts()
    counts.count(outcome)
    assert counts.ran == 1
    assert not may_send_again(create_route(WorkKind.ONCE), counts, outcome)
    assert not may_send_again(create_route(WorkKind.STREAM), counts, outcome)
    assert may_send_again(create_route(WorkKind.REPEATABLE), counts, outcome)
    assert may_send_again(create_route(WorkKind.STREAM, True), counts, outcome)


@pytest.mark.parametrize("outcome", MAY_HAVE_RUN)
def test_attempts_limit_retries_of_work_that_may_have_run(outcome):
    counts = DispatchCounts(ran=3)
    assert not may_send_again(create_route(WorkKind.REPEATABLE), counts, outcome)


@pytest.mark.parametrize("kind", list(WorkKind))
def test_any_work_proved_not_run_is_retried_up_to_a_limit(kind):
    route = create_route(kind, attempts=1)
    for outcome, limit in (
        (DispatchOutcome.NOT_SENT, MAX_UNSENT_DISPATCHES),
        (DispatchOutcome.REFUSED, MAX_REFUSED_DISPATCHES),
    ):
        counts = DispatchCounts()
        for _ in range(limit - 1):
            counts.count(outcome)
            assert may_send_again(route, counts, outcome)
        counts.count(outcome)
        assert not may_send_again(route, counts, outcome)
