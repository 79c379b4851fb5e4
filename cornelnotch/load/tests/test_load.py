"""Plan, judge, keep and draw runs."""

from dataclasses import replace

import pytest
from returns.result import Success

from cornelnotch.exceptions import SettingsError
from cornelnotch.load.driver import plan_calls
from cornelnotch.load.report import create_page
from cornelnotch.load.results import (
    RunResult,
    Sample,
    judge_promises,
    read_result,
    summarize_classes,
    write_result,
)
from cornelnotch.load.scenario import list_shipped_scenarios, read_scenario

ONCE = Sample("booking", 10.0, "complete", True, False, "ran", "booking-1")


def test_shipped_scenarios_are_valid_and_their_arrivals_seeded():
    shipped = list_shipped_scenarios()
    assert set(shipped) == {"heelmark", "guild"}
    for path in shipped.values():
        scenario = read_scenario(path)
        assert isinstance(scenario, Success), scenario
        assert plan_calls(scenario.unwrap()) == plan_calls(scenario.unwrap())


@pytest.mark.parametrize(
    ("text", "named"),
    [
        ("[general]\nname = x\nspeed = 1\n", "general.speed"),
        ("[general]\nname = x\n[class a]\nlabels = k=v\n", "classes.a.rate"),
        ("[general]\nname = x\n[wave]\na = 1\n", "wave"),
        ("[general\n", "no section"),
    ],
)
def test_a_bad_scenario_names_the_key(tmp_path, text, named):
    path = tmp_path / "bad.ini"
    path.write_text(text)
    assert named in str(read_scenario(path).failure())


@pytest.mark.parametrize(
    ("sample", "ledger", "broken"),
    [
        (ONCE, {"booking-1": 1}, None),
        (ONCE, {"booking-1": 2}, "doubled"),
        (ONCE, {}, "lost"),
        (replace(ONCE, outcome="not-run"), {"booking-1": 1}, "false_not_run"),
        (replace(ONCE, outcome="unknown"), {"booking-1": 1}, None),
        (replace(ONCE, reference="", wrong=True), {}, "wrong_answers"),
    ],
)
def test_the_ledger_judges_what_callers_were_told(sample, ledger, broken):
    result = RunResult("x", 1, [sample], ledgers={"desk": ledger})
    promises = judge_promises(result)
    assert promises.broken == (0 if broken is None else 1)
    if broken is not None:
        assert getattr(promises, broken) == 1


def test_a_version_that_goes_down_is_a_broken_promise():
    result = RunResult("x", 1, [ONCE], {"h": [(0.0, 3), (1.0, 2)]})
    result.ledgers = {"desk": {"booking-1": 1}}
    assert judge_promises(result).version_reversals == 1


def test_results_survive_writing_and_are_drawn_side_by_side(tmp_path):
    chat = Sample("quote", 5.0, "complete", True, False, "ran", "", (), 90.0, 20.0, 500)
    result = RunResult("x", 1, [ONCE, chat], {"h": [(0.0, 3)]}, tokens_generated=10)
    path = tmp_path / "run.json"
    write_result(result, path)
    assert read_result(path) == result
    page = create_page([result, result])
    assert page.count("<svg") == 10
    assert "quote: attainment" in page
    assert [row.class_name for row in summarize_classes(result)] == ["booking", "quote"]
    path.write_text("{}")
    with pytest.raises(SettingsError, match="no result file"):
        read_result(path)
