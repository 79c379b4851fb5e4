"""Test the aggregation and expiry of the load that hosts report."""

from cornelnotch.gateway.loads import LoadBoard, LoadSums
from cornelnotch.wire.messages import LoadReport, LoadSummary, ServerUse


def create_use(server="s", running=1, waiting=1, failures=0, backlog=(0, 100)):
    return ServerUse(server, running, waiting, failures, 0, 0, list(backlog))


def test_totals_include_all_hosts_and_drop_expired_reports():
    board = LoadBoard()
    board.take(LoadReport("a", [create_use(backlog=(5,))], []), 0.0)
    board.take(LoadReport("b", [create_use(backlog=(0, 100))], []), 1000.0)
    (total,) = board.sum_up(1000.0)
    assert (total.running, total.waiting, total.backlog) == (2, 2, [5, 100])
    (later,) = board.sum_up(2000.0)
    assert later.backlog == [0, 100]
    assert board.sum_up(5000.0) == []


def test_own_load_is_subtracted_from_the_summary():
    sums = LoadSums({})
    own = create_use(running=1, waiting=2, backlog=(0, 40))
    total = create_use(running=3, waiting=2, backlog=(0, 100))
    sums.take(LoadSummary("c", [total], [], []), [own], 0.0)
    others = sums.find("s", 100.0)
    assert others is not None
    assert (others.running, others.waiting, others.backlog) == (2, 0, [0, 60])


def test_expired_summary_is_ignored():
    sums = LoadSums({})
    sums.take(LoadSummary("c", [create_use()], [], []), [], 0.0)
    assert sums.find("s", 5000.0) is None
