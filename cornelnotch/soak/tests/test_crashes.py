"""Tests of the judgement of a request that crashes servers."""

from collections import defaultdict
from pathlib import Path
from unittest.mock import Mock

from cornelnotch.soak.attempts import Attempt, Work
from cornelnotch.soak.crashes import find_crashing_runs
from cornelnotch.soak.fleet import HostLife
from cornelnotch.soak.judge import Check, StopJudge
from cornelnotch.standins.worker import WorkerRun

CRASHING = Work("read", 20.0, crashes=True)


def create_life(ready_s=0.0, **fields):
    return HostLife("host-1.0", Mock(), Path("log"), 0.0, ready_s, **fields)


def create_attempts(*received_s, work=CRASHING):
    """Return one attempt that was run by a server at each time, and the ledger."""
    attempts, ledger = {}, defaultdict(list)
    for number, at_s in enumerate(received_s):
        attempt = Attempt(f"c-{number}", work, "host-1.0", at_s, at_s + 5.0)
        attempts[attempt.request_id] = attempt
        ledger[attempt.request_id].append(WorkerRun("server-1", at_s, executed=True))
    return attempts, ledger


def find(*received_s, life=None, **fields):
    attempts, ledger = create_attempts(*received_s, **fields)
    lives = {"host-1.0": life or create_life()}
    return find_crashing_runs(attempts.values(), ledger, lives)


def test_runs_are_late_from_contact_after_the_third_crash_on():
    found = find(10.0, 10.5, 11.0, 14.9, 15.1, 20.0)
    assert [run.received_s for run in found.late] == [15.1, 20.0]
    assert not found.is_excessive


def test_more_than_three_late_runs_are_a_finding():
    times = (10.0, 10.5, 11.0, 16.0, 17.0, 18.0, 19.0)
    attempts, ledger = create_attempts(*times)
    judge = StopJudge(5.0, 20.0, ledger)
    judge.judge_crashing(attempts, {"host-1.0": create_life()})
    assert judge.verdict.count() == {Check.CRASHING: 1}


def test_hosts_that_just_started_or_were_paused_may_not_know():
    times = (10.0, 10.5, 11.0, 16.0, 17.0, 18.0, 19.0)
    assert find(*times, life=create_life(ready_s=15.5)).late == ()
    paused = create_life(pauses=[(12.0, 15.5)])
    assert len(find(*times, life=paused).late) == 0
    assert len(find(*times, life=create_life(ready_s=14.5)).late) == 1


def test_requests_that_crash_nothing_are_not_counted():
    times = (10.0, 10.5, 11.0, 16.0, 17.0, 18.0, 19.0)
    found = find(*times, work=Work("read", 20.0))
    assert found.attempts == 0
    assert found.runs == ()


def test_a_rejected_request_is_no_run():
    attempts, ledger = create_attempts(10.0, 10.5, 11.0)
    ledger["c-0"].append(WorkerRun("server-2", 30.0))
    found = find_crashing_runs(attempts.values(), ledger, {"host-1.0": create_life()})
    assert len(found.runs) == 3
    assert found.late == ()


def test_a_crashing_request_is_judged_by_its_runs_only():
    attempts, ledger = create_attempts(10.0)
    attempt = attempts["c-0"]
    attempt.ended_s, attempt.status = 12.0, 500
    judge = StopJudge(5.0, 20.0, ledger)
    assert judge.judge_attempt(attempt, create_life()) == []
    assert judge.verdict.calm == 0
