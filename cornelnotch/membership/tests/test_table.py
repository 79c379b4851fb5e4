"""Tests of merging, expiring and disseminating updates."""

import random

from hypothesis import given, strategies as st

from cornelnotch.membership import MemberState, MemberTable, ServerTable
from cornelnotch.wire.messages import MemberUpdate, ServerUpdate

STATES = ["joining", "alive", "leaving", "suspect", "dead"]


def create_update(host, state="alive", incarnation=1):
    return MemberUpdate(host, "h", "p", "place", state, incarnation)


def create_table():
    table = MemberTable(create_update("a"), 0.0)
    table.merge(create_update("b"), 0.0)
    return table


@given(
    st.lists(st.tuples(st.sampled_from(STATES[1:]), st.integers(1, 3)), max_size=6),
    st.randoms(use_true_random=False),
)
def test_updates_converge_in_any_order(updates, generator):
    shuffled = list(updates)
    generator.shuffle(shuffled)
    tables = [create_table(), create_table()]
    for table, order in zip(tables, (updates, shuffled), strict=True):
        for state, incarnation in order:
            table.merge(create_update("b", state, incarnation), 0.0)
    first, second = (table.members["b"] for table in tables)
    assert (first.state, first.incarnation) == (second.state, second.incarnation)


def test_suspected_host_increments_its_incarnation():
    table = create_table()
    assert table.merge(create_update("a", "suspect", 1), 0.0)
    assert table.local_member.incarnation == 2
    assert table.local_member.state is MemberState.ALIVE


def test_reachable_host_returns_to_leaving_after_suspicion():
    table = create_table()
    table.merge(create_update("b", "leaving", 2), 0.0)
    table.mark_suspect("b", 0.0)
    table.mark_reachable("b", 0, 1.0)
    assert table.members["b"].state is MemberState.LEAVING


def test_leaving_host_that_no_longer_responds_gets_no_duties_back():
    tables = [create_table(), create_table()]
    for table in tables:
        table.merge(create_update("b", "leaving", 2), 0.0)
    tables[0].mark_suspect("b", 0.0)
    tables[1].merge(create_update("b", "suspect", 2), 0.0)
    assert [[m.name for m in table.list_live()] for table in tables] == [["a"], ["a"]]


def test_unresponsive_host_is_suspected_declared_dead_and_removed():
    table = create_table()
    table.mark_suspect("b", 0.0)
    assert [m.name for m in table.list_live()] == ["a", "b"]
    assert table.expire(2000.0, 1500.0, 60_000.0) == ["b"]
    assert [m.name for m in table.list_live()] == ["a"]
    table.expire(70_000.0, 1500.0, 60_000.0)
    assert "b" not in table.members


def test_each_host_is_probed_once_per_round():
    table = create_table()
    for name in "cde":
        table.merge(create_update(name), 0.0)
    generator = random.Random(1)
    probed = [table.choose_probe(generator) for _ in range(4)]
    assert sorted(probed) == ["b", "c", "d", "e"]


def test_updates_are_retransmitted_a_bounded_number_of_times():
    table = create_table()
    rounds = 0
    while table.pop_updates():
        rounds += 1
        assert rounds < 50


def test_server_stays_leaving_until_a_newer_update():
    servers = ServerTable()
    assert servers.update_from_listing("s", "leaving", 10.0, 3)
    assert not servers.merge(ServerUpdate("s", "live", 5), 3)
    assert servers.list_leaving() == {"s"}
    assert servers.merge(ServerUpdate("s", "live", 11), 3)
    assert servers.list_leaving() == frozenset()
