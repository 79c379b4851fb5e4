"""Check what may be sent again, for every kind of work and end of a dispatch."""

import pytest

from cornelnotch.gateway.dispatch import Fate
from cornelnotch.gateway.models import Route, ServiceShare, WorkKind
from cornelnotch.gateway.repeating import (
    MAX_REFUSED_SENDS,
    MAX_UNSENT,
    Progress,
    may_send_again,
)

MAY_HAVE_RUN = [Fate.BROKEN, Fate.FAILED, Fate.DONE]


def create_route(kind, resumable=False, attempts=3):
    share = (ServiceShare("s", 1.0),)
    return Route("r", "", "/", kind, 1.0, 1.0, attempts, 1, share, resumable=resumable)


@pytest.mark.parametrize("fate", MAY_HAVE_RUN)
def test_what_may_have_run_goes_on_only_where_it_may_repeat(fate):
    progress = Progress()
    progress.count(fate)
    assert progress.ran == 1
    assert not may_send_again(create_route(WorkKind.ONCE), progress, fate)
    assert not may_send_again(create_route(WorkKind.STREAM), progress, fate)
    assert may_send_again(create_route(WorkKind.REPEATABLE), progress, fate)
    assert may_send_again(create_route(WorkKind.STREAM, True), progress, fate)


@pytest.mark.parametrize("fate", MAY_HAVE_RUN)
def test_attempts_bound_what_may_have_run(fate):
    progress = Progress(ran=3)
    assert not may_send_again(create_route(WorkKind.REPEATABLE), progress, fate)


@pytest.mark.parametrize("kind", list(WorkKind))
def test_proof_that_nothing_ran_lets_any_work_go_on_for_a_while(kind):
    route = create_route(kind, attempts=1)
    for fate, limit in (
        (Fate.NOT_SENT, MAX_UNSENT),
        (Fate.REFUSED, MAX_REFUSED_SENDS),
    ):
        progress = Progress()
        for _ in range(limit - 1):
            progress.count(fate)
            assert may_send_again(route, progress, fate)
        progress.count(fate)
        assert not may_send_again(route, progress, fate)
