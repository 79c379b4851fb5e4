"""Check which servers a host uses around outages of the store."""

from typing import Any

from cornelnotch.gateway.follower import SERVERS
from cornelnotch.gateway.models import ServerRecord
from cornelnotch.gateway.records import KeyedView, Record, RecordDecoder, RecordPage
from cornelnotch.gateway.servers import ServerPool
from cornelnotch.gateway.state import RETURN_MS, RoutingState
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

    def drop_idle(self, address):
        self.dropped.append(address)


class Parts:
    def __init__(self):
        self.client = Client()
        self.clock = ManualClock()
        self.pool = ServerPool()
        self.events = create_event_log("test")


def create_state():
    parts: Any = Parts()
    follower: Any = Follower()
    state = RoutingState(parts, follower, NameDecoder(), lambda: None, lambda: None)
    for offset, name in enumerate("abc"):
        follower.write(offset, name)
    state.apply(SERVERS, False)
    return parts, follower, state


def test_entries_that_lapsed_in_an_outage_are_kept_until_they_may_be_back():
    parts, follower, state = create_state()
    follower.write(3, "a", b"")
    state.apply(SERVERS, True)
    assert set(parts.pool.servers) == {"a", "b", "c"}
    parts.clock.advance(RETURN_MS + 1)
    state.expire()
    assert set(parts.pool.servers) == {"b", "c"}


def test_a_server_that_leaves_after_the_store_is_back_goes_at_once():
    # Such a server was once kept for 3.2 s, above the bound of 3 s.
    parts, follower, state = create_state()
    follower.write(3, "a", b"")
    state.apply(SERVERS, True)
    follower.write(4, "b", b"")
    state.apply(SERVERS, False)
    assert set(parts.pool.servers) == {"a", "c"}


def test_a_lapsed_entry_that_is_back_is_a_server_like_any_other():
    parts, follower, state = create_state()
    follower.write(3, "a", b"")
    state.apply(SERVERS, True)
    follower.write(4, "a")
    state.apply(SERVERS, False)
    follower.write(5, "a", b"")
    state.apply(SERVERS, False)
    assert set(parts.pool.servers) == {"b", "c"}


def test_a_restart_under_the_same_name_forgets_what_was_known():
    parts, _, _ = create_state()
    view = parts.pool.servers["a"]
    view.fail(0.0)
    record = ServerRecord("a", "llm", "1.2.3.4:5", "a", 8, boot_ms=7)
    parts.pool.replace([record])
    assert parts.pool.servers["a"].failures == 0


def test_connections_to_a_life_that_ended_are_dropped():
    # Streams that may not be repeated were lost on connections that the engine had
    # forgotten in a restart.
    parts, follower, state = create_state()
    follower.write(3, "a", b"")
    state.apply(SERVERS, False)
    assert parts.client.dropped == ["1.2.3.4:5"]
