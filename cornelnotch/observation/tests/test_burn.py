"""Test sliding windows, burn rates computed from metrics, and request traces."""

import pytest

from cornelnotch.kernel import ManualClock
from cornelnotch.observation import NodeMetrics, TraceStore
from cornelnotch.observation.burn import HostSample, compute_burn_report


def create_metrics_text(clock, attained, missed):
    metrics = NodeMetrics("h", clock)
    for attained_objective in [True] * attained + [False] * missed:
        metrics.windows.record("quote", attained_objective)
    return metrics.render().decode()


def test_burn_sums_hosts_and_excludes_unresponsive_ones():
    clock = ManualClock(1e6)
    samples = [
        HostSample("a:1", create_metrics_text(clock, 90, 10)),
        HostSample("b:1", create_metrics_text(clock, 100, 0)),
        HostSample("c:1", None),
    ]
    report = compute_burn_report(samples, {"quote": 0.95, "draft": 0.9})
    assert report.silent == ["c:1"]
    row = next(r for r in report.rows if (r.class_name, r.minutes) == ("quote", 5))
    assert (row.total, row.attained) == (200, 190)
    assert row.burn_rate == pytest.approx(1.0)
    assert row.budget_left == pytest.approx(0.0)
    empty = next(r for r in report.rows if r.class_name == "draft")
    assert empty.total == 0


def test_windows_exclude_older_requests():
    clock = ManualClock(1e6)
    metrics = NodeMetrics("h", clock)
    metrics.windows.record("quote", False)
    clock.advance(120_000)
    metrics.windows.record("quote", True)
    counts = {c.minutes: (c.attained, c.total) for c in metrics.windows.count()}
    assert counts == {1: (1, 1), 5: (1, 2), 60: (1, 2)}


def test_traces_of_old_requests_are_evicted():
    log = TraceStore(ManualClock())
    for number in range(6000):
        log.start_trace(str(number)).note("classified", tier=1)
    assert log.find("0") is None
    trace = log.find("5999")
    assert trace is not None
    assert trace.describe()[0]["details"] == {"tier": 1}
