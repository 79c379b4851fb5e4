"""Test the demand collected from reports that are lost, repeated, late or odd."""

import dataclasses

import pytest

from cornelnotch.scaling.history import DemandHistory
from cornelnotch.scaling.tests.demand_totals import create_totals, report_steadily


def measure_rates(history, now, **fields):
    works = history.measure("llm", {"a1", "a2"}, now, 2000.0, **fields)
    return [work.requests for work in works]


def test_steady_demand_is_measured_as_sent():
    history = DemandHistory()
    report_steadily(history, 40, 0, 20)
    rates = measure_rates(history, 20_000.0)
    assert rates[-1] == pytest.approx(40.0)
    assert min(rates) == pytest.approx(40.0)


def test_lost_reports_lose_no_requests():
    history = DemandHistory()
    for second in (0, 1, 2, 6, 7, 8):
        history.add(create_totals("h1", second, second * 40), second * 1000.0)
    assert measure_rates(history, 8000.0)[-1] == pytest.approx(40.0)


def test_repeated_and_reordered_reports_count_once():
    history = DemandHistory()
    report_steadily(history, 40, 0, 10)
    for sequence in (3, 10, 5):
        history.add(create_totals("h1", sequence, sequence * 40), 10_000.0)
    assert measure_rates(history, 10_000.0)[-1] == pytest.approx(40.0)


def test_demand_of_many_hosts_adds_up():
    history = DemandHistory()
    report_steadily(history, 40, 0, 10, "h1", "a1")
    report_steadily(history, 60, 0, 10, "h2", "a2")
    assert measure_rates(history, 10_000.0)[-1] == pytest.approx(100.0)


def test_a_restarted_host_begins_anew():
    # Totals that begin at 0 again must neither count as negative nor twice.
    history = DemandHistory()
    report_steadily(history, 40, 0, 10)
    for second in range(11, 16):
        totals = create_totals("h1", second - 10, (second - 11) * 40, boot_ms=2)
        history.add(totals, second * 1000.0)
    assert measure_rates(history, 15_000.0)[-1] == pytest.approx(40.0)
    late = create_totals("h1", 99, 10**9, boot_ms=1)
    assert history.add(late, 15_000.0)
    assert max(measure_rates(history, 16_000.0)) < 41.0


@pytest.mark.parametrize(
    "fields",
    [
        {"requests": -1},
        {"prefill_tokens": -5},
        {"served_ms": float("nan")},
        {"served_ms": float("inf")},
    ],
)
def test_odd_totals_are_ignored(fields):
    history = DemandHistory()
    totals = create_totals("h1", 1, 5)
    row = dataclasses.replace(totals.rows[0], **fields)
    assert not history.add(dataclasses.replace(totals, rows=[row]), 0.0)
    assert history.count_reporting(0.0) == 0


def test_hosts_that_fall_silent_do_not_count_as_reporting():
    history = DemandHistory()
    report_steadily(history, 40, 0, 10, "h1")
    report_steadily(history, 40, 0, 5, "h2")
    assert history.count_reporting(10_000.0) == 1
    history.forget_old(90_000.0)
    assert history.measure("llm", {"a1"}, 90_000.0, 2000.0)[-1].requests == 0


def test_only_the_asked_priority_counts():
    history = DemandHistory()
    report_steadily(history, 40, 0, 10)
    assert history.list_priorities("llm", 10_000.0) == [1]
    assert measure_rates(history, 10_000.0, priority=3)[-1] == 0.0
