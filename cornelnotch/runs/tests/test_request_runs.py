"""Test which servers may run a request."""

import pytest

from cornelnotch.exceptions import RepeatedRunError
from cornelnotch.runs import RequestRuns


def test_a_request_that_may_not_be_repeated_is_claimed_once():
    runs = RequestRuns(may_repeat=False)
    runs.claim("a")
    with pytest.raises(RepeatedRunError):
        runs.claim("b")
    assert runs.may_go_on("a")
    assert not runs.may_go_on("b")


def test_a_server_that_did_not_run_the_request_is_no_owner():
    runs = RequestRuns(may_repeat=False)
    runs.claim("a")
    runs.release("a")
    assert not runs.may_go_on("a")
    runs.claim("b")
    assert runs.may_go_on("b")


def test_a_run_that_goes_on_from_a_copy_takes_the_request_from_its_first_server():
    runs = RequestRuns(may_repeat=False)
    runs.claim("a")
    runs.claim("b", copied=True)
    assert not runs.may_go_on("a")
    assert runs.may_go_on("b")


def test_a_server_gets_the_request_back_if_the_next_one_did_not_run_it():
    runs = RequestRuns(may_repeat=False)
    runs.claim("a")
    runs.claim("b", copied=True)
    runs.release("b")
    assert runs.may_go_on("a")


def test_a_request_that_may_be_repeated_goes_on_anywhere():
    runs = RequestRuns(may_repeat=True)
    runs.claim("a")
    runs.claim("b")
    assert runs.may_go_on("a")
    assert runs.may_go_on("b")
