"""Test what failed dispatches say about their servers."""

import math

import pytest

from cornelnotch.gateway.dispatch import DispatchOutcome, UpstreamResponse
from cornelnotch.gateway.header_codec import ResponseHead
from cornelnotch.gateway.models import ServerRecord, WorkKind
from cornelnotch.gateway.server_failures import record_failed_dispatch
from cornelnotch.gateway.servers import ServerView

NOW = 10_000.0


def create_view():
    return ServerView(ServerRecord("engine", "llm", "10.0.0.1:80", "a", 64))


@pytest.mark.parametrize(
    ("outcome", "timed_out", "kind", "is_silence", "may_be_cut"),
    [
        (DispatchOutcome.BROKEN, True, WorkKind.STREAM, True, True),
        (DispatchOutcome.BROKEN, True, WorkKind.REPEATABLE, False, True),
        (DispatchOutcome.BROKEN, False, WorkKind.STREAM, False, False),
        (DispatchOutcome.NOT_SENT, False, WorkKind.STREAM, False, True),
    ],
)
def test_failure_ejects_the_server(outcome, timed_out, kind, is_silence, may_be_cut):
    view, response = create_view(), UpstreamResponse(outcome, timed_out=timed_out)
    assert record_failed_dispatch(view, response, kind, NOW) is may_be_cut
    assert view.ejected_until_ms > NOW
    view.end_silence()
    assert (view.ejected_until_ms <= NOW) is is_silence


@pytest.mark.parametrize("outcome", [DispatchOutcome.REFUSED, DispatchOutcome.FAILED])
def test_answer_of_the_server_ejects_nothing(outcome):
    view = create_view()
    response = UpstreamResponse(outcome)
    assert not record_failed_dispatch(view, response, WorkKind.STREAM, NOW)
    assert view.ejected_until_ms == 0.0
    assert view.failures == 0


def test_server_that_is_another_one_is_not_used_again():
    view = create_view()
    head = ResponseHead(421, "r1", False, not_run=True, other_server=True, headers=[])
    response = UpstreamResponse(DispatchOutcome.REFUSED, head=head)
    assert not record_failed_dispatch(view, response, WorkKind.STREAM, NOW)
    assert view.ejected_until_ms == math.inf
