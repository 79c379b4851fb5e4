"""Test which dispatchers are notified of held and released permits."""

from cornelnotch.configuration import ShardPlan
from cornelnotch.kernel import ManualClock, TaskSupervisor, create_event_log
from cornelnotch.membership import MemberTable, ServerTable
from cornelnotch.routing.fleet import FleetView
from cornelnotch.routing.permits import (
    HeldEntry,
    PermitClient,
    PermitReport,
    PermitRequest,
)
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    HeldPermits,
    MemberUpdate,
    PermitGrant,
    PermitRelease,
)

SHARD = "pool/region/0"


class RecordingPeers(PeerNetwork):
    """Peer network that records sent messages."""

    def __init__(self):
        events = create_event_log("h1")
        super().__init__("h1", 1, events, TaskSupervisor(events))
        self.sent: list[tuple[str, object]] = []

    def send(self, host, message):
        self.sent.append((host, message))

    def list_receivers(self, kind):
        return [host for host, message in self.sent if isinstance(message, kind)]


class FixedFleet(FleetView):
    """View with a fixed ranking of dispatchers."""

    def __init__(self):
        own = MemberUpdate("h1", "1:1", "1:2", "p", "alive", 1)
        super().__init__(MemberTable(own, 0.0), ServerTable())
        self.plans = {SHARD: ShardPlan(SHARD, "pool", "region", ())}
        self.ranking = ["h1"]

    def rank_dispatchers(self, shard):
        return self.ranking


def test_every_dispatcher_that_counts_permit_is_notified_of_release():
    fleet, peers = FixedFleet(), RecordingPeers()
    permits = PermitClient(fleet, peers, ManualClock())
    request = PermitRequest("r1", "chat", 1, "pool", "w", "", 0.0, 9e9)
    grant = PermitGrant("r1", SHARD, "engine", "1:3", "gone", 0.0, "", 0.0)
    permits._held["r1"] = HeldEntry(request, grant)
    # Ownership moves twice while the request runs.
    for dispatcher in ("passing", "current"):
        fleet.ranking = [dispatcher]
        permits._report_held(everything=False)
    assert peers.list_receivers(HeldPermits) == ["passing", "current"]
    permits.release(grant, PermitReport("done", 10.0))
    assert sorted(peers.list_receivers(PermitRelease)) == ["current", "gone", "passing"]
