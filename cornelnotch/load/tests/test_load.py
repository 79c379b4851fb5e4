"""Test scenarios, the check of guarantees, result files and reports."""

from dataclasses import replace

import pytest
from returns.result import Success

from cornelnotch.exceptions import SettingsError
from cornelnotch.load.generator import plan_calls
from cornelnotch.load.report import create_page
from cornelnotch.load.results import (
    RunResult,
    Sample,
    check_guarantees,
    read_result,
    summarize_classes,
    write_result,
)
from cornelnotch.load.scenario import list_bundled_scenarios, read_scenario

BOOKING = Sample("booking", 10.0, "complete", True, False, "ran", "booking-1")


def test_bundled_scenarios_are_valid_and_arrivals_are_reproducible():
    bundled = list_bundled_scenarios()
    assert set(bundled) == {"heelmark", "guild"}
    for path in bundled.values():
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
def test_error_of_invalid_scenario_names_key(tmp_path, text, named):
    path = tmp_path / "bad.ini"
    path.write_text(text)
    assert named in str(read_scenario(path).failure())


@pytest.mark.parametrize(
    ("sample", "ledger", "broken"),
    [
        (BOOKING, {"booking-1": 1}, None),
        (BOOKING, {"booking-1": 2}, "doubled"),
        (BOOKING, {}, "lost"),
        (replace(BOOKING, outcome="not-run"), {"booking-1": 1}, "false_not_run"),
        (replace(BOOKING, outcome="unknown"), {"booking-1": 1}, None),
        (replace(BOOKING, reference="", wrong=True), {}, "wrong_answers"),
    ],
)
def test_outcomes_are_checked_against_ledger(sample, ledger, broken):
    result = RunResult("x", 1, [sample], ledgers={"desk": ledger})
    guarantees = check_guarantees(result)
    assert guarantees.violations == (0 if broken is None else 1)
    if broken is not None:
        assert getattr(guarantees, broken) == 1


def test_decreasing_version_violates_guarantee():
    result = RunResult("x", 1, [BOOKING], {"h": [(0.0, 3), (1.0, 2)]})
    result.ledgers = {"desk": {"booking-1": 1}}
    assert check_guarantees(result).version_reversals == 1


def test_results_round_trip_and_are_compared_in_report(tmp_path):
    chat = Sample("quote", 5.0, "complete", True, False, "ran", "", (), 90.0, 20.0, 500)
    result = RunResult("x", 1, [BOOKING, chat], {"h": [(0.0, 3)]}, tokens_generated=10)
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
