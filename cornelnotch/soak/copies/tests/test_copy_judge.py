"""Tests that each form of a run at two engines is found, and nothing else."""

import pytest

from cornelnotch.soak.attempts import Attempt, Work
from cornelnotch.soak.copies.judge import EnginePause, Form, judge_copies
from cornelnotch.soak.copies.memory import COPY_LIFETIME_S, CopyStore
from cornelnotch.soak.copies.plan import Trouble, create_copy_plan
from cornelnotch.soak.copies.records import (
    EngineRun,
    RunBegin,
    RunEnd,
    RunLog,
    read_runs,
)

LAST_S = 100.0


def create_run(engine, begin_s, end_s, *, route="draft", finished=False, **fields):
    return EngineRun(
        engine, 1, "a", route, begin_s, end_s=end_s, is_finished=finished, **fields
    )


def create_copied(engine, begin_s, end_s, **fields):
    return create_run(engine, begin_s, end_s, is_copied=True, after=7, **fields)


def stand_still(engine, since_s, until_s):
    return EnginePause(engine, Trouble.STAND_STILL, since_s, until_s)


def kill(engine, at_s):
    return EnginePause(engine, Trouble.KILL, at_s, at_s + 1.0)


def find_forms(runs, *pauses):
    verdict = judge_copies(runs, pauses, {}, LAST_S)
    return [finding.form for finding in verdict.findings]


def create_attempt(body, *, route="draft", events=2, whole=True, abandoned=False):
    work = Work(route, 10.0, events=events, gap_ms=10.0)
    attempt = Attempt("a", work, "host-0.0", 0.0, 20.0, 0.0, status=200, whole=whole)
    attempt.body, attempt.abandoned = bytearray(body), abandoned
    return attempt


def write_events(*numbers):
    return b"".join(b"id: %d\ndata: a.%d\n\n" % (n, n) for n in numbers)


# Guards against a second run without the copy that passes for the same run.
@pytest.mark.parametrize("route", ["draft", "book"])
def test_a_second_run_without_its_copy_is_found(route):
    first = create_run("x", 1.0, 2.0, route=route)
    assert find_forms([first, create_run("x", 3.0, 4.0, route=route)]) == [Form.AGAIN]
    assert find_forms([first, create_copied("y", 3.0, 4.0, route=route)]) == []
    resumed = create_run("y", 3.0, 4.0, route="chat")
    assert find_forms([create_run("x", 1.0, 2.0, route="chat"), resumed]) == []


# Guards against a bound of the overlap that is missed or moved.
def test_an_overlap_up_to_the_bound_is_allowed():
    second = create_copied("y", 2.0, 5.0, finished=True)
    assert find_forms([create_run("x", 1.0, 2.39), second]) == []
    assert find_forms([create_run("x", 1.0, 2.41), second]) == [Form.WENT_ON]
    assert find_forms([create_run("y", 1.0, 2.41), second]) == []


# Guards against a first engine that goes on and passes as one that stood still.
def test_an_engine_that_stood_still_is_told_from_one_that_goes_on():
    second = create_copied("y", 2.0, 5.0, finished=True)
    still = stand_still("x", 0.9, 3.0)
    ended, went_on = create_run("x", 0.5, 3.01), create_run("x", 0.5, 3.5)
    assert find_forms([ended, second], still) == [Form.STOOD_STILL]
    assert find_forms([went_on, second], still) == [Form.WENT_ON]
    early = stand_still("x", 0.9, 2.1)
    assert find_forms([ended, second], early) == [Form.WENT_ON]
    other = stand_still("y", 0.9, 3.0)
    assert find_forms([ended, second], other) == [Form.WENT_ON]


# Guards against the return to the first engine once the second has the stream.
def test_a_second_run_that_was_ended_for_the_first_one_is_found():
    first = create_run("x", 0.5, 6.0, finished=True)
    left = create_copied("y", 2.0, 2.1, has_left=True)
    assert find_forms([first, left]) == [Form.SECOND_ENDED]
    late = create_copied("y", 2.0, 7.0, has_left=True)
    assert find_forms([first, late]) == [Form.SECOND_ENDED]
    soon = create_run("x", 0.5, 3.1, finished=True)
    still = stand_still("x", 0.9, 3.0)
    assert find_forms([soon, left], still) == [Form.SECOND_ENDED]


# Guards against runs of killed engines that count as still at work.
def test_the_run_of_a_killed_engine_ends_with_it():
    lost = create_run("x", 1.0, float("inf"))
    second = create_copied("y", 3.0, 5.0, finished=True)
    assert find_forms([lost, second], kill("x", 2.9)) == []
    lost.end_s = float("inf")
    assert find_forms([lost, second]) == [Form.WENT_ON]


# Guards against a report of (ii), or of streams that may be repeated, as a violation.
def test_only_faults_of_streams_that_may_not_be_repeated_are_violations():
    second = create_copied("y", 2.0, 5.0, finished=True)
    still = stand_still("x", 0.9, 3.0)
    first = create_run("x", 0.5, 3.01)
    assert judge_copies([first, second], [still], {}, LAST_S).violations == 0
    assert judge_copies([first, second], [], {}, LAST_S).violations == 1
    for run in (first, second):
        run.route = "chat"
    assert judge_copies([first, second], [], {}, LAST_S).violations == 0


# Guards against a stream that was put together wrongly and passes as whole.
@pytest.mark.parametrize(
    "body",
    [
        write_events(1, 3),
        write_events(1, 1),
        write_events(2),
        write_events(1),
        b"id: 1\ndaid: 2\ndata: a.2\n\n",
        b"id: 1\ndata: b.1\n\n",
    ],
)
def test_events_that_are_missing_joined_or_twice_are_found(body):
    attempts = {"a": create_attempt(body)}
    verdict = judge_copies([], [], attempts, LAST_S)
    assert [f.form for f in verdict.findings] == [Form.ORDER]


# Guards against a judge that takes a stream cut within an event for a wrong one.
def test_whole_streams_and_broken_ones_are_in_order():
    for attempt in (
        create_attempt(write_events(1, 2)),
        create_attempt(write_events(1) + b"id: 2\nda", whole=False),
    ):
        assert judge_copies([], [], {"a": attempt}, LAST_S).findings == []


# Guards against a host that gives disturbed streams up without a loss in the figures.
def test_touched_streams_are_counted_apart():
    run = create_run("x", 1.0, 3.0)
    lost = create_attempt(write_events(1), whole=False)
    for pause, touched in ((stand_still("x", 2.0, 4.0), 1), (kill("y", 2.0), 0)):
        tally = judge_copies([run], [pause], {"a": lost}, LAST_S).single
        assert (tally.all, tally.whole) == (1, 0)
        assert (tally.touched, tally.touched_whole) == (touched, 0)
    lost.abandoned = True
    tally = judge_copies([run], [kill("x", 2.0)], {"a": lost}, LAST_S).single
    assert (tally.all, tally.touched, tally.left) == (0, 0, 1)


# Guards against copies that are kinder than those of engines.
def test_a_copy_is_used_once_and_ends_after_its_lifetime():
    store = CopyStore("x")
    stored = [n for n in range(30) if store.update(f"r{n}", 5, 0.0)]
    assert 0 < len(stored) < 30
    name = f"r{stored[0]}"
    assert store.take(name, 1.0) == 5
    assert store.take(name, 1.0) is None
    assert not store.update(name, 6, 1.0)
    assert store.take(f"r{stored[1]}", COPY_LIFETIME_S + 0.1) is None
    store.update(f"r{stored[2]}", 6, COPY_LIFETIME_S + 0.2)
    store.free(f"r{stored[2]}")
    assert store.take(f"r{stored[2]}", COPY_LIFETIME_S + 0.3) is None


def test_runs_are_read_back_with_those_that_have_no_end(tmp_path):
    log = RunLog(tmp_path / "x.runs")
    log.write(RunBegin("x", 1, 0, "a", "draft", 1.0))
    log.write(RunBegin("x", 1, 1, "b", "draft", 2.0, True, 9))
    log.write(RunEnd("x", 1, 0, 3.0, 4, True, False))
    log.close()
    first, second = read_runs([tmp_path / "x.runs"])
    assert (first.end_s, first.events, first.is_finished) == (3.0, 4, True)
    assert (second.is_copied, second.after, second.end_s) == (True, 9, float("inf"))


def test_disturbances_come_in_series_and_overlap():
    plan = create_copy_plan(3, 60.0)
    assert plan == create_copy_plan(3, 60.0)
    assert {step.trouble for step in plan.steps} == set(Trouble)
    pairs = list(zip(plan.steps, plan.steps[1:], strict=False))
    assert any(b.at_s < a.at_s + a.duration_s for a, b in pairs)
