"""Test who is closed when connections hold too much."""

import pytest

from cornelnotch.kernel.clock import ManualClock
from cornelnotch.web.memory import (
    PROGRESS_WINDOW_MS,
    SEARCH_PAUSE_MS,
    STALLED_MS,
    MemoryAccount,
)

LIMIT_BYTES = 100_000
BASE_BYTES = 1_000


class Crowd:
    """Connections of one account, by name, and which of them were closed."""

    def __init__(self, names):
        self.clock = ManualClock()
        self.account = MemoryAccount(1.0, self.clock)
        self.account.limit_bytes = LIMIT_BYTES
        self.closed = []
        self.reasons: list[str] = []
        self.account.note_closed = lambda listener, reason: self.reasons.append(reason)
        self.by_name = {name: self.open(name) for name in names}

    def open(self, name):
        def close():
            self.closed.append(name)
            connection.release()

        connection = self.account.open("a", close, BASE_BYTES)
        return connection

    def hold(self, name, size):
        connection = self.by_name[name]
        connection.note_moved(size)
        connection.set_part("unparsed", size)


# Guards against hosts whose connections hold more than the machine has.
def test_least_progress_for_what_is_held_is_closed_first():
    crowd = Crowd(["stopped", "steady", "idle"])
    crowd.hold("stopped", 40_000)
    crowd.hold("steady", 40_000)
    crowd.clock.advance(2 * PROGRESS_WINDOW_MS)
    crowd.by_name["steady"].note_moved(500)
    crowd.by_name["idle"].add_part("response", 30_000)
    assert crowd.closed == ["stopped"]
    assert crowd.reasons == ["memory"]
    assert crowd.account.held_bytes <= LIMIT_BYTES


# Guards against requests that may not be repeated and are ended at a server.
def test_request_at_a_server_is_never_closed():
    crowd = Crowd(["forwarded", "other"])
    crowd.hold("forwarded", 90_000)
    crowd.by_name["forwarded"].protected = True
    crowd.hold("other", 20_000)
    assert crowd.closed == ["other"]
    crowd.by_name["forwarded"].add_part("response", 50_000)
    assert crowd.closed == ["other"]


# Guards against idle kept connections that are closed for the bytes of others.
def test_idle_connections_are_closed_last():
    crowd = Crowd(["idle-1", "idle-2", "large"])
    crowd.clock.advance(60_000.0)
    crowd.hold("large", 99_000)
    assert crowd.closed == ["large"]


# Guards against clients that lose what they have sent because others send more.
def test_bodies_find_no_room_before_others_are_closed():
    crowd = Crowd(["old"])
    crowd.hold("old", 70_000)
    assert not crowd.account.find_room(20_000)
    assert crowd.closed == []


# Guards against bodies that stop short of their end and keep the room for long.
def test_stalled_connections_are_closed_for_a_body():
    crowd = Crowd(["stalled", "steady"])
    crowd.hold("stalled", 40_000)
    crowd.hold("steady", 35_000)
    crowd.clock.advance(STALLED_MS)
    crowd.by_name["steady"].note_moved(1)
    assert crowd.account.find_room(20_000)
    assert crowd.closed == ["stalled"]
    assert crowd.reasons == ["stalled"]


# Guards against a search through thousands of connections for every byte.
def test_searches_that_find_nothing_are_not_repeated_at_once():
    crowd = Crowd(["forwarded", "other"])
    crowd.by_name["forwarded"].protected = True
    crowd.hold("forwarded", 101_000)
    crowd.clock.advance(SEARCH_PAUSE_MS / 2)
    crowd.hold("other", 100)
    assert crowd.closed == ["other"]
    late = crowd.by_name["late"] = crowd.open("late")
    late.add_part("unparsed", 100)
    assert crowd.closed == ["other"]
    crowd.clock.advance(SEARCH_PAUSE_MS)
    late.add_part("unparsed", 100)
    assert crowd.closed == ["other", "late"]


def test_ended_connections_return_their_memory_once():
    crowd = Crowd(["a"])
    crowd.hold("a", 5_000)
    connection = crowd.by_name["a"]
    connection.release()
    connection.release()
    connection.add_part("unparsed", 10)
    connection.close("memory")
    assert crowd.account.held_bytes == 0
    assert crowd.closed == []


# Guards against memory that is given away before a closed connection has ended.
def test_closed_connections_count_until_they_have_ended():
    clock = ManualClock()
    account = MemoryAccount(1.0, clock)
    account.limit_bytes = LIMIT_BYTES
    closed = []
    first = account.open("a", lambda: closed.append("first"), BASE_BYTES)
    second = account.open("a", lambda: closed.append("second"), BASE_BYTES)
    second.set_part("unparsed", 30_000)
    first.set_part("unparsed", 80_000)
    assert closed == ["first"]
    assert account.is_full()
    first.release()
    assert not account.is_full()
    assert account.held_bytes == account.count_remaining() == 31_000


@pytest.mark.parametrize(
    ("memory_mb", "idle_mb", "least_mb", "most_mb"),
    [(200, 45, 70, 90), (90, 45, 20, 30), (50, 60, 1, 5)],
)
def test_limit_follows_from_the_memory_of_the_process(
    memory_mb, idle_mb, least_mb, most_mb
):
    account = MemoryAccount(memory_mb, ManualClock())
    account.set_idle_process(idle_mb * 1_000_000)
    assert least_mb <= account.limit_bytes / 1_000_000 <= most_mb
    account.set_memory(memory_mb)
    assert least_mb <= account.limit_bytes / 1_000_000 <= most_mb
