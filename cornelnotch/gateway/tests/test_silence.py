"""Notice engines that fall silent, and only those."""

from typing import Any, cast

import pytest

from cornelnotch.gateway.models import ServerRecord
from cornelnotch.gateway.servers import Flight, ServerPool
from cornelnotch.gateway.silence import (
    LATE_MS,
    MIN_SILENCE_MS,
    PERIOD_MS,
    SilenceWatch,
    find_silence_limit_ms,
)
from cornelnotch.kernel import ManualClock, create_event_log

ADDRESS = "10.0.0.1:80"


class Client:
    def __init__(self):
        self.dropped = []

    def drop_idle(self, address):
        self.dropped.append(address)


class Parts:
    def __init__(self):
        self.clock = ManualClock()
        self.clock.advance(10_000.0)
        self.client = Client()
        self.pool = ServerPool()
        self.pool.replace([ServerRecord("engine", "llm", ADDRESS, "a", 64)])
        self.events = create_event_log("test")


class Scene:
    """Hold an engine with one running stream and the watch over it."""

    def __init__(self):
        self.parts = cast(Any, Parts())
        self.view = self.parts.pool.servers["engine"]
        self.watch = SilenceWatch(self.parts)
        self.flight = Flight("r1", self.now, 0)
        self.view.start(self.flight)

    @property
    def now(self):
        return self.parts.clock.read()

    def stream(self, seconds, event_ms, flight=None):
        end_ms = self.now + seconds * 1000.0
        heard_ms = self.now
        while self.now < end_ms:
            self.parts.clock.advance(10.0)
            if self.now - heard_ms >= event_ms:
                heard_ms = self.now
                self.view.hear(flight or self.flight, self.now)
            if self.now % PERIOD_MS < 10.0:
                self.watch.check()

    def wait(self, ms):
        for _ in range(int(ms / PERIOD_MS)):
            self.parts.clock.advance(PERIOD_MS)
            self.watch.check()

    def is_aside(self):
        return self.now < self.view.ejected_until_ms


@pytest.mark.parametrize("event_ms", [20.0, 250.0, 900.0])
def test_a_sound_engine_is_not_put_aside_however_slow(event_ms):
    scene = Scene()
    scene.stream(20.0, event_ms)
    assert scene.view.failures == 0


@pytest.mark.parametrize("event_ms", [20.0, 250.0])
def test_an_engine_that_falls_silent_gets_nothing_and_loses_its_connections(event_ms):
    scene = Scene()
    scene.stream(5.0, event_ms)
    limit_ms = find_silence_limit_ms(scene.view)
    scene.wait(limit_ms + 3 * PERIOD_MS)
    assert scene.is_aside()
    assert scene.parts.client.dropped == [ADDRESS]


def test_it_stays_aside_as_long_as_it_is_silent_and_returns_with_its_events():
    scene = Scene()
    scene.stream(5.0, 20.0)
    scene.wait(6000.0)
    assert scene.view.failures > 2
    scene.stream(5.0, 20.0)
    assert not scene.is_aside()


def test_a_silence_does_not_teach_to_bear_the_next():
    scene = Scene()
    scene.stream(5.0, 20.0)
    scene.wait(6000.0)
    scene.stream(1.0, 20.0)
    assert find_silence_limit_ms(scene.view) == MIN_SILENCE_MS


def test_an_engine_without_running_streams_is_never_silent():
    scene = Scene()
    scene.wait(10_000.0)
    scene.stream(1.0, 20.0)
    scene.view.finish(scene.flight)
    scene.wait(10_000.0)
    late = Flight("r2", scene.now, 0)
    scene.view.start(late)
    scene.view.hear(late, scene.now)
    scene.wait(2 * PERIOD_MS)
    assert scene.view.failures == 0


def test_a_host_that_stood_still_blames_no_engine():
    scene = Scene()
    scene.stream(5.0, 20.0)
    scene.parts.clock.advance(LATE_MS + 4000.0)
    scene.watch.check()
    scene.wait(2 * PERIOD_MS)
    assert scene.view.failures == 0
