"""Test which servers a host uses during and after outages of the store."""

from typing import Any

from cornelnotch.gateway.follower import SERVERS
from cornelnotch.gateway.models import ServerRecord
from cornelnotch.gateway.records import KeyedView, Record, RecordDecoder, RecordPage
from cornelnotch.gateway.routing_state import RELISTING_GRACE_MS, RoutingState
from cornelnotch.gateway.servers import ServerPool
from cornelnotch.kernel import ManualClock, create_event_log


class NameDecoder(RecordDecoder):
    def decode_table(self, records):
        return None

    def decode_server(self, record):
        return ServerRecord(record.key, "llm", "1.2.3.4:5", "a", 8)


class Follower:
    def __init__(self):
        self.views = {SERVERS: KeyedView()}

    def subscribe(self, listener):
        self.listener = listener

    def write(self, offset, key, value=b"x"):
        page = RecordPage([Record(key, value, offset)], offset + 1, offset + 1)
        self.views[SERVERS].apply(page)


class Client:
    def __init__(self):
        self.dropped = []

    def close_idle_connections(self, address):
        self.dropped.append(address)


class Context:
    def __init__(self):
        self.client = Client()
        self.clock = ManualClock()
        self.pool = ServerPool()
        self.events = create_event_log("test")


def create_state():
    context: Any = Context()
    follower: Any = Follower()
    state = RoutingState(context, follower, NameDecoder(), lambda: None, lambda: None)
    for offset, name in enumerate("abc"):
        follower.write(offset, name)
    state.apply(SERVERS, False)
    return context, follower, state


def test_entries_that_expired_in_an_outage_are_retained_for_a_grace_period():
    context, follower, state = create_state()
    follower.write(3, "a", b"")
    state.apply(SERVERS, True)
    assert set(context.pool.servers) == {"a", "b", "c"}
    context.clock.advance(RELISTING_GRACE_MS + 1)
    state.expire()
    assert set(context.pool.servers) == {"b", "c"}


def test_server_that_leaves_after_an_outage_is_removed_immediately():
    # Regression test: such a server was retained for 3.2 s, above the bound of 3 s.
    context, follower, state = create_state()
    follower.write(3, "a", b"")
    state.apply(SERVERS, True)
    follower.write(4, "b", b"")
    state.apply(SERVERS, False)
    assert set(context.pool.servers) == {"a", "c"}


def test_entry_listed_again_after_an_outage_is_no_longer_retained():
    context, follower, state = create_state()
    follower.write(3, "a", b"")
    state.apply(SERVERS, True)
    follower.write(4, "a")
    state.apply(SERVERS, False)
    follower.write(5, "a", b"")
    state.apply(SERVERS, False)
    assert set(context.pool.servers) == {"b", "c"}


def test_restart_under_the_same_name_resets_the_state():
    context, _, _ = create_state()
    view = context.pool.servers["a"]
    view.record_failure(0.0)
    record = ServerRecord("a", "llm", "1.2.3.4:5", "a", 8, boot_ms=7)
    context.pool.replace([record])
    assert context.pool.servers["a"].failures == 0


def test_connections_to_a_removed_server_are_dropped():
    # Regression test: non-repeatable streams were lost on connections from before an
    # engine restart.
    context, follower, state = create_state()
    follower.write(3, "a", b"")
    state.apply(SERVERS, False)
    assert context.client.dropped == ["1.2.3.4:5"]
