"""Test the scheduling of a shard: tiers, floors, displacement, limits, failures."""

import pytest

from cornelnotch.queueing import Grant, PreemptionNotice, Refusal, create_shard
from cornelnotch.queueing.models import (
    ClassConfig,
    ServerConfig,
    ShardConfig,
    WorkspaceLimits,
)
from cornelnotch.wire.messages import (
    HeldPermit,
    HeldPermits,
    PermitAsk,
    PermitRelease,
)

TIERS = {"high": 1, "low": 5}


def create_rule(servers=1, slots=2, preemptible=True, workspaces=None):
    return ShardConfig(
        "s",
        "tiered",
        "adaptive",
        preemptible,
        2.0,
        100.0,
        {
            name: ClassConfig(name, tier, 500.0, None, 2000.0, 0.0)
            for name, tier in TIERS.items()
        },
        {
            f"e{n}": ServerConfig(f"e{n}", f"127.0.0.1:{n + 1}", slots, False)
            for n in range(servers)
        },
        workspaces or {},
    )


def request_permit(shard, name, number, now, deadline_ms=5000.0, workspace="w"):
    message = PermitAsk(
        f"{name}-{number}",
        "host",
        "s",
        name,
        TIERS[name],
        workspace,
        "",
        0.0,
        deadline_ms,
        [],
        0,
    )
    return shard.request_permit(message, now)


def finish_request(shard, request_id, now, outcome="done"):
    server = shard.running[request_id].server
    message = PermitRelease(request_id, "s", server, outcome, 100.0, 10.0, 5.0, 10)
    return shard.finish_request(message, now)


def list_granted(effects):
    return [e.request_id for e in effects if isinstance(e, Grant)]


def test_free_slot_is_granted_to_highest_tier():
    shard = create_shard(create_rule())
    for number in range(2):
        request_permit(shard, "high", number, 0.0)
    request_permit(shard, "low", 2, 1.0)
    request_permit(shard, "high", 3, 2.0)
    assert list_granted(finish_request(shard, "high-0", 450.0)) == ["high-3"]


def test_urgent_request_displaces_lower_tier_and_notifies_holder():
    shard = create_shard(create_rule())
    request_permit(shard, "low", 0, 0.0)
    request_permit(shard, "low", 1, 0.0)
    request_permit(shard, "high", 2, 10.0)
    effects = shard.schedule(480.0)
    assert [e for e in effects if isinstance(e, PreemptionNotice)] == [
        PreemptionNotice("low-1", "host", True)
    ]
    assert list_granted(effects) == ["high-2"]
    back = finish_request(shard, "high-2", 600.0)
    assert PreemptionNotice("low-1", "host", False) in back


def test_displaced_requests_do_not_count_as_external_load():
    shard = create_shard(create_rule())
    request_permit(shard, "low", 0, 0.0)
    request_permit(shard, "low", 1, 0.0)
    request_permit(shard, "high", 2, 10.0)
    shard.schedule(480.0)
    shard.apply_load_report("e0", 3, 4000.0)
    assert shard.servers["e0"].external == 0


def test_last_slot_of_lower_tier_is_not_displaced():
    shard = create_shard(create_rule(slots=1))
    request_permit(shard, "low", 0, 0.0)
    request_permit(shard, "high", 1, 0.0)
    assert shard.schedule(495.0) == []


def test_full_queue_evicts_newest_request_of_lowest_tier():
    shard = create_shard(create_rule(slots=1))
    request_permit(shard, "high", 0, 0.0)
    for number in range(1, 17):
        request_permit(shard, "low", number, 1.0, 60_000.0)
    # The first is admitted to the queue place reserved for its class.
    assert request_permit(shard, "high", 98, 2.0) == []
    effects = request_permit(shard, "high", 99, 2.0)
    refused = [e for e in effects if isinstance(e, Refusal)]
    assert [e.request_id for e in refused] == ["low-16"]
    assert shard.discipline.find("high-99") is not None
    assert refused[0].retry_after_ms > 0
    assert refused[0].occupancy


def test_request_that_cannot_meet_deadline_is_refused_at_once():
    shard = create_shard(create_rule())
    for number in range(8):
        request_permit(shard, "high", number, 0.0)
        if f"high-{number}" in shard.running:
            finish_request(shard, f"high-{number}", 0.0)
    (refusal,) = request_permit(shard, "high", 50, 0.0, deadline_ms=10.0)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == "deadline"


def test_overdue_class_is_granted_slot_before_higher_tier():
    shard = create_shard(create_rule(preemptible=False))
    for number in range(2):
        request_permit(shard, "high", number, 0.0, 60_000.0)
    request_permit(shard, "low", 2, 0.0, 60_000.0)
    for number in range(3, 6):
        request_permit(shard, "high", number, 1.0, 60_000.0)
    assert list_granted(finish_request(shard, "high-0", 2100.0)) == ["low-2"]


def test_failed_server_is_ejected_and_requests_go_to_others():
    shard = create_shard(create_rule(servers=2))
    request_permit(shard, "high", 0, 0.0)
    failed = shard.running["high-0"].server
    finish_request(shard, "high-0", 10.0, "broken")
    for number in range(1, 3):
        request_permit(shard, "high", number, 20.0)
    servers = {r.server for r in shard.running.values()}
    assert failed not in servers


def test_straggler_is_detected_by_its_durations():
    shard = create_shard(create_rule(servers=3, slots=4))
    for number in range(12):
        request_permit(shard, "high", number, 0.0)
    for request_id, running in list(shard.running.items()):
        pace = 10.0 if running.server == "e0" else 1.0
        shard.record_first_token(request_id, 10.0 * pace, 0.0)
        message = PermitRelease(
            request_id, "s", running.server, "done", 90.0 * pace, 10.0, 5.0 * pace, 10
        )
        shard.finish_request(message, 100.0)
    assert shard.servers["e0"].slow
    assert not shard.servers["e1"].slow


@pytest.mark.parametrize(
    ("rule", "admitted"),
    [(WorkspaceLimits(None, 1, 1), 1), (WorkspaceLimits(1.0, 2, None), 2)],
)
def test_workspace_limits_refuse_with_retry_time(rule, admitted):
    shard = create_shard(create_rule(slots=8, workspaces={"w": rule}))
    effects = [e for n in range(4) for e in request_permit(shard, "high", n, 0.0)]
    refused = [e for e in effects if isinstance(e, Refusal)]
    assert len(effects) - len(refused) == admitted
    assert {e.reason for e in refused} == {"workspace-limit"}
    assert all(e.retry_after_ms > 0 for e in refused)


def test_held_permits_are_added_and_missing_ones_released():
    shard = create_shard(create_rule())
    permits = [HeldPermit(f"r{n}", "e0", "high", 1, "w") for n in range(2)]
    shard.sync_held_permits(HeldPermits("host", "s", permits), 0.0)
    assert request_permit(shard, "high", 9, 1.0) == []
    effects = shard.sync_held_permits(HeldPermits("host", "s", permits[:1]), 3000.0)
    assert list_granted(effects) == [] or list_granted(effects) == ["high-9"]
    assert set(shard.running) - {"high-9"} == {"r0"}


def test_repeated_request_is_granted_same_server():
    shard = create_shard(create_rule())
    first = request_permit(shard, "high", 0, 0.0)
    again = request_permit(shard, "high", 0, 5.0)
    assert [e.server for e in first] == [e.server for e in again]
    assert len(shard.running) == 1
