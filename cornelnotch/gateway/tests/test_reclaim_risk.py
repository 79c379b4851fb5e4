"""Test that copies of streams survive the loss of a domain's spot servers."""

from cornelnotch.gateway.models import ServerRecord
from cornelnotch.gateway.reclaim_risk import list_safe_from_reclaim
from cornelnotch.gateway.servers import ServerView


def create_view(name, domain, reclaimable):
    record = ServerRecord(name, "llm", "10.0.0.1:80", domain, 8)
    return ServerView(
        ServerRecord(
            record.name,
            record.service,
            record.address,
            record.domain,
            record.slots,
            reclaimable=reclaimable,
        )
    )


SPOT = create_view("spot", "a1", True)
NEAR_SPOT = create_view("near-spot", "a1", True)
NEAR = create_view("near", "a1", False)
FAR_SPOT = create_view("far-spot", "a2", True)


def test_copies_of_a_spot_server_leave_out_those_reclaimed_with_it():
    found = list_safe_from_reclaim(SPOT, [NEAR_SPOT, NEAR, FAR_SPOT])
    assert found == [NEAR, FAR_SPOT]


def test_a_copy_beside_its_server_is_better_than_none():
    assert list_safe_from_reclaim(SPOT, [NEAR_SPOT]) == [NEAR_SPOT]


def test_copies_of_other_servers_go_anywhere():
    assert list_safe_from_reclaim(NEAR, [NEAR_SPOT, FAR_SPOT]) == [NEAR_SPOT, FAR_SPOT]
