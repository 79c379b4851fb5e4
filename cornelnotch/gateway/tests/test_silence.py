"""Test that unresponsive engines, and only those, are detected."""

from typing import Any, cast

import pytest

from cornelnotch.gateway.models import ServerRecord
from cornelnotch.gateway.servers import InFlightRequest, ServerPool
from cornelnotch.gateway.silence import (
    CHECK_INTERVAL_MS,
    MAX_CHECK_DELAY_MS,
    MIN_SILENCE_LIMIT_MS,
    SilenceDetector,
    find_silence_limit_ms,
)
from cornelnotch.kernel import ManualClock, create_event_log

ADDRESS = "10.0.0.1:80"


class Client:
    def __init__(self):
        self.dropped = []

    def close_idle_connections(self, address):
        self.dropped.append(address)


class Links:
    def __init__(self):
        self.suspected = []

    def suspect(self, service):
        self.suspected.append(service)


class Context:
    def __init__(self):
        self.clock = ManualClock()
        self.clock.advance(10_000.0)
        self.client = Client()
        self.pool = ServerPool()
        self.pool.replace([ServerRecord("engine", "llm", ADDRESS, "a", 64)])
        self.events = create_event_log("test")
        self.links = Links()


class SilenceFixture:
    """An engine with one running stream and its silence detector."""

    def __init__(self):
        self.context = cast(Any, Context())
        self.view = self.context.pool.servers["engine"]
        self.detector = SilenceDetector(self.context)
        self.in_flight = InFlightRequest("r1", self.now, 0)
        self.view.start(self.in_flight)

    @property
    def now(self):
        return self.context.clock.read()

    def stream(self, seconds, event_ms, in_flight=None):
        end_ms = self.now + seconds * 1000.0
        last_event_ms = self.now
        while self.now < end_ms:
            self.context.clock.advance(10.0)
            if self.now - last_event_ms >= event_ms:
                last_event_ms = self.now
                self.view.record_received(in_flight or self.in_flight, self.now)
            if self.now % CHECK_INTERVAL_MS < 10.0:
                self.detector.check()

    def wait(self, ms):
        for _ in range(int(ms / CHECK_INTERVAL_MS)):
            self.context.clock.advance(CHECK_INTERVAL_MS)
            self.detector.check()

    def is_ejected(self):
        return self.now < self.view.ejected_until_ms


@pytest.mark.parametrize("event_ms", [20.0, 250.0, 900.0])
def test_healthy_engine_is_not_ejected_however_slow(event_ms):
    fixture = SilenceFixture()
    fixture.stream(20.0, event_ms)
    assert fixture.view.failures == 0


@pytest.mark.parametrize("event_ms", [20.0, 250.0])
def test_silent_engine_is_ejected_and_its_idle_connections_are_dropped(event_ms):
    fixture = SilenceFixture()
    fixture.stream(5.0, event_ms)
    limit_ms = find_silence_limit_ms(fixture.view)
    fixture.wait(limit_ms + 3 * CHECK_INTERVAL_MS)
    assert fixture.is_ejected()
    assert fixture.context.client.dropped == [ADDRESS]


def test_engine_stays_ejected_while_silent_and_returns_with_its_events():
    fixture = SilenceFixture()
    fixture.stream(5.0, 20.0)
    fixture.wait(6000.0)
    assert fixture.view.failures > 2
    fixture.stream(5.0, 20.0)
    assert not fixture.is_ejected()


# Guards against rejections by full servers while a sound one is left out.
@pytest.mark.parametrize("is_whole", [True, False])
def test_engine_that_sends_again_after_a_silence_is_used_at_once(is_whole):
    fixture = SilenceFixture()
    fixture.stream(5.0, 20.0)
    fixture.wait(1500.0)
    fixture.view.record_silence(fixture.now)
    assert fixture.view.ejected_until_ms - fixture.now > 1000.0
    if is_whole:
        fixture.view.record_success()
    else:
        fixture.view.end_silence()
    assert not fixture.is_ejected()
    assert fixture.view.failures == 0


def test_events_do_not_end_the_ejection_of_an_engine_that_fails_requests():
    fixture = SilenceFixture()
    fixture.stream(5.0, 20.0)
    fixture.view.record_failure(fixture.now)
    fixture.view.record_silence(fixture.now)
    fixture.view.end_silence()
    assert fixture.is_ejected()
    fixture.wait(1500.0)
    fixture.view.record_silence(fixture.now)
    fixture.view.record_failure(fixture.now)
    fixture.view.end_silence()
    fixture.view.record_success()
    assert fixture.is_ejected()


def test_engine_that_no_longer_exists_stays_ejected_when_a_stream_ends_there():
    fixture = SilenceFixture()
    fixture.view.record_silence(fixture.now)
    fixture.view.disable_until_relisted()
    fixture.view.end_silence()
    assert fixture.is_ejected()


def test_silence_does_not_raise_the_limit():
    fixture = SilenceFixture()
    fixture.stream(5.0, 20.0)
    fixture.wait(6000.0)
    fixture.stream(1.0, 20.0)
    assert find_silence_limit_ms(fixture.view) == MIN_SILENCE_LIMIT_MS


def test_engine_without_running_streams_is_never_silent():
    fixture = SilenceFixture()
    fixture.wait(10_000.0)
    fixture.stream(1.0, 20.0)
    fixture.view.finish(fixture.in_flight)
    fixture.wait(10_000.0)
    late = InFlightRequest("r2", fixture.now, 0)
    fixture.view.start(late)
    fixture.view.record_received(late, fixture.now)
    fixture.wait(2 * CHECK_INTERVAL_MS)
    assert fixture.view.failures == 0


def test_suspended_host_ejects_no_engine():
    fixture = SilenceFixture()
    fixture.stream(5.0, 20.0)
    fixture.context.clock.advance(MAX_CHECK_DELAY_MS + 4000.0)
    fixture.detector.check()
    fixture.wait(2 * CHECK_INTERVAL_MS)
    assert fixture.view.failures == 0
