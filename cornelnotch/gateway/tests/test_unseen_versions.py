"""Test that a host sees all software versions that served between two of its reads."""

import asyncio
from typing import Any

import pytest

from cornelnotch.exceptions import LogTrimmedError
from cornelnotch.gateway.follower import SERVERS
from cornelnotch.gateway.models import ServerRecord
from cornelnotch.gateway.origin_keeper import OriginKeeper
from cornelnotch.gateway.stream_origins import StreamOrigin, StreamOrigins
from cornelnotch.gateway.tests.fleet import Decoder, Fleet

V1, V2 = StreamOrigin("llm", "v1"), StreamOrigin("llm", "v2")
SPAN_MS = 60_000.0
PAUSE_MS = 1000.0


class VersionDecoder(Decoder):
    """Take the first two letters of a server's name for its version."""

    def decode_server(self, record):
        name = record.key
        return ServerRecord(name, "llm", "1.2.3.4:5", "a", 8, software=name[:2])


class Play:
    """A host alone that reads twice, and what the store gets in between."""

    def __init__(self):
        self.fleet = Fleet(1)
        self.store = self.fleet.store
        self.host = self.fleet.hosts["host-0"]
        self.host.state._decoder = VersionDecoder()
        self.context = self.host.context
        self.context.origins = StreamOrigins()
        self.context.find_first_stream_ms = self.find_first_ms
        self.reads = self.host.follower.reads[SERVERS]
        log: Any = None
        self.keeper = OriginKeeper(self.context, self.host.plan, log, self.reads)
        self.history = self.context.software_history
        self.history.extend(float("-inf"))
        self.store.list_server("v1-1", 1)
        self.read()

    def read(self):
        self.fleet.clock.advance(PAUSE_MS)
        assert asyncio.run(self.host.follower._read(SERVERS, 0.0))

    def leave(self, name):
        self.store.write(SERVERS, name, b"")

    def find_only(self, since_ms):
        """Decide about a stream that was taken up when the last read began."""
        self.keeper.observe()
        now = self.fleet.clock.read()
        return self.history.find_only("llm", since_ms, now)

    def find_first_ms(self):
        return self.fleet.clock.read() - SPAN_MS


@pytest.fixture
def play():
    return Play()


def test_one_version_is_known_after_a_read(play):
    play.read()
    assert play.find_only(play.find_first_ms()) == V1


def test_a_version_that_joined_and_left_within_one_read_is_seen(play):
    # Regression test: its streams went on at the version that had stayed.
    play.store.list_server("v2-1", 1)
    play.leave("v2-1")
    play.read()
    assert play.find_only(play.find_first_ms()) is None
    assert set(play.history.list_since(play.find_first_ms())) == {V1, V2}


def test_a_version_that_left_served_until_the_read_that_shows_it(play):
    # Regression test: its last streams went on at the version that had joined.
    play.store.list_server("v2-1", 1)
    play.leave("v1-1")
    play.read()
    assert play.find_only(play.fleet.clock.read()) is None


def test_records_that_the_store_forgot_end_the_known_span(play):
    # Regression test: streams of the versions in them went on at the one that stayed.
    play.store.list_server("v2-1", 1)
    play.leave("v2-1")
    read_from = play.host.reader.read_from

    async def fail(topic, start, wait_ms):
        play.host.reader.read_from = read_from
        raise LogTrimmedError(start + 1, play.store.timeline)

    play.host.reader.read_from = fail
    play.read()
    assert play.reads.count_skips() == 1
    assert play.find_only(play.find_first_ms()) is None
