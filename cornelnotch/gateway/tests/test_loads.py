"""Test the aggregation and expiry of the load that hosts report."""

from cornelnotch.gateway.loads import LoadAggregates, LoadAggregator
from cornelnotch.wire.messages import LoadReport, LoadSummary, ServerUsage


def create_usage(server="s", running=1, waiting=1, failures=0, backlog=(0, 100)):
    return ServerUsage(server, running, waiting, failures, 0, 0, list(backlog))


def test_totals_include_all_hosts_and_drop_expired_reports():
    aggregator = LoadAggregator()
    aggregator.add_report(LoadReport("a", [create_usage(backlog=(5,))], []), 0.0)
    aggregator.add_report(LoadReport("b", [create_usage(backlog=(0, 100))], []), 1000.0)
    (total,) = aggregator.compute_totals(1000.0)
    assert (total.running, total.waiting, total.backlog) == (2, 2, [5, 100])
    (later,) = aggregator.compute_totals(2000.0)
    assert later.backlog == [0, 100]
    assert aggregator.compute_totals(5000.0) == []


def test_own_load_is_subtracted_from_the_summary():
    aggregates = LoadAggregates({})
    own = create_usage(running=1, waiting=2, backlog=(0, 40))
    total = create_usage(running=3, waiting=2, backlog=(0, 100))
    aggregates.update(LoadSummary("c", [total], [], []), [own], 0.0)
    others = aggregates.get("s", 100.0)
    assert others is not None
    assert (others.running, others.waiting, others.backlog) == (2, 0, [0, 60])


def test_expired_summary_is_ignored():
    aggregates = LoadAggregates({})
    aggregates.update(LoadSummary("c", [create_usage()], [], []), [], 0.0)
    assert aggregates.get("s", 5000.0) is None
