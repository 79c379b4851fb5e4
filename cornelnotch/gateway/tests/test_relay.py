"""Test the choice of store readers, the relay of changes and failures of both."""

import pytest

from cornelnotch.gateway import follower
from cornelnotch.gateway.relay import (
    CONTACT_TTL_MS,
    TAKEOVER_DELAY_MS,
    ReaderCandidate,
    RelayPlan,
    split_targets,
)

DOMAINS = ("a", "b", "c")


def create_plans(count):
    hosts = [ReaderCandidate(f"host-{i}", DOMAINS[i % 3]) for i in range(count)]
    plans = {host.name: RelayPlan(host.name) for host in hosts}
    for plan in plans.values():
        plan.set_hosts(hosts)
    return plans


def list_active(plans, topic, now):
    return [name for name, plan in plans.items() if plan.must_read(topic, now)]


def note_everywhere(plans, origin, age_ms, now):
    for plan in plans.values():
        plan.record_age(origin, "servers", age_ms, now)


@pytest.mark.parametrize("count", [2, 9, 79, 320])
def test_two_hosts_of_different_domains_read_whatever_the_size(count):
    plans = create_plans(count)
    reader = next(iter(plans.values())).list_readers(0.0)
    note_everywhere(plans, reader[0], 0.0, 0.0)
    assert sorted(list_active(plans, "servers", 100.0)) == sorted(reader)
    domains = {DOMAINS[int(name.split("-")[1]) % 3] for name in reader}
    assert len(reader) == len(domains) == 2


def test_every_host_reads_the_store_when_both_readers_are_silent():
    plans = create_plans(9)
    reader = next(iter(plans.values())).list_readers(0.0)
    note_everywhere(plans, reader[0], 0.0, 0.0)
    # The bound is 3 s, and a read takes a few ms.
    assert len(list_active(plans, "servers", 2000.0)) == 9


def test_next_in_rank_take_over_from_a_reader_that_cannot_read():
    plans = create_plans(9)
    readers = plans["host-0"].list_readers(0.0)
    note_everywhere(plans, readers[0], 5000.0, 0.0)
    now = plans["host-0"].list_readers(TAKEOVER_DELAY_MS)
    assert readers[0] not in now
    assert len(now) == 2
    # It keeps trying, so that it can announce its recovery.
    assert plans[readers[0]].must_read("servers", TAKEOVER_DELAY_MS)
    note_everywhere(plans, readers[0], 0.0, TAKEOVER_DELAY_MS + 10.0)
    assert plans["host-0"].list_readers(TAKEOVER_DELAY_MS + 20.0) == readers


def test_loads_are_collected_while_no_host_can_read():
    plans = create_plans(9)
    readers = plans["host-0"].list_readers(0.0)
    for plan in plans.values():
        for host in plans:
            plan.record_unable(host, "servers", 0.0)
        assert plan.list_readers(TAKEOVER_DELAY_MS) == readers


def test_reader_that_cannot_read_stays_replaced_while_others_refresh_its_copy():
    plans = create_plans(9)
    readers = plans["host-0"].list_readers(0.0)
    for plan in plans.values():
        plan.record_unable(readers[0], "servers", 0.0)
        plan.record_age(readers[0], "servers", 200.0, 10.0)
        plan.record_age(readers[0], "configuration", 0.0, 10.0)
        assert readers[0] not in plan.list_readers(TAKEOVER_DELAY_MS)
        plan.record_age(readers[0], "servers", 0.0, TAKEOVER_DELAY_MS)
        assert plan.list_readers(TAKEOVER_DELAY_MS + 1.0) == readers


def test_reader_that_cannot_read_one_topic_goes_on_with_the_other_and_its_duties():
    plans = create_plans(9)
    readers = plans["host-0"].list_readers(0.0)
    for plan in plans.values():
        plan.record_unable(readers[0], "configuration", 0.0)
        found = plan.list_readers(TAKEOVER_DELAY_MS, "configuration")
        assert readers[0] not in found
        assert plan.list_readers(TAKEOVER_DELAY_MS) == readers


@pytest.mark.parametrize("count", [0, 1, 16, 17, 320])
def test_branches_reach_every_host_once_and_each_remote_region_once(count):
    regions = {f"host-{i}": "north" if i % 2 else "south" for i in range(count)}
    branches = split_targets(list(regions), "north", regions)
    reached = [b.head for b in branches] + [n for b in branches for n in b.others]
    assert sorted(reached) == sorted(regions)
    remote = [b for b in branches if regions[b.head] == "south"]
    assert len(remote) == min(count, 1)
    assert len(branches) - len(remote) <= 16
    for branch in branches:
        assert {regions[name] for name in branch.others} <= {regions[branch.head]}


def simulate_outage(count, outage_ms):
    """Return the times of store calls in an outage and of the first read after it."""
    plans = create_plans(count)
    readers = plans["host-0"].list_readers(0.0)
    note_everywhere(plans, readers[0], 0.0, 0.0)
    due = dict.fromkeys(plans, 0.0)
    failures = dict.fromkeys(plans, 0)
    calls: list[float] = []
    now = 0.0
    while True:
        now += 10.0
        for name, plan in plans.items():
            if now < due[name]:
                continue
            due[name] = now + follower.TICK_MS
            if not plan.must_read("servers", now):
                continue
            if now > outage_ms:
                return calls, now
            calls.append(now)
            if plan.must_publish("servers", now):
                age_ms = plan.find_age_ms("servers", now)
                note_everywhere(plans, name, age_ms, now)
            pause = follower.RETRY_MS * 2.0 ** failures[name]
            failures[name] += pause < follower.MAX_RETRY_MS
            due[name] = now + pause


@pytest.mark.parametrize("count", [8, 60, 320])
def test_call_rate_is_bounded_during_a_store_outage(count):
    outage_ms = 8000.0
    calls, recovered_ms = simulate_outage(count, outage_ms)
    assert len(calls) <= 20.0 * outage_ms / 1000.0
    assert recovered_ms <= outage_ms + 1000.0


def test_host_in_contact_with_others_does_not_read_the_store():
    plans = create_plans(9)
    readers = plans["host-0"].list_readers(0.0)
    note_everywhere(plans, readers[0], 0.0, 0.0)
    note_everywhere(plans, readers[0], 3000.0, 3000.0)
    active = list_active(plans, "servers", 3100.0)
    assert len(active) <= 4
    assert len(list_active(plans, "servers", 3000.0 + CONTACT_TTL_MS + 1.0)) == 9
