"""Check how a host waits for turns, and what it does when nobody answers."""

import asyncio

import pytest

from cornelnotch.gateway import asking
from cornelnotch.gateway.asking import Turn, TurnClient
from cornelnotch.gateway.models import CallerRequest, PromptPart, ServerRecord
from cornelnotch.gateway.servers import Flight, ServerView
from cornelnotch.kernel import TaskGroup, create_clock, create_event_log
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import TurnAsk, TurnEnd, TurnGrant, TurnWait

PATIENCE_MS = 3000.0
PROMPT = (PromptPart("thing", 13_000), PromptPart("own", 400))


class RecordingPeers(PeerNetwork):
    """Keep what a host sends, and hand it what others would."""

    def __init__(self):
        events = create_event_log("h1")
        super().__init__("h1", 1, events, TaskGroup(events))
        self.sent = []

    def send(self, host, message):
        self.sent.append((host, message))

    def deliver(self, message, sender="h2"):
        self._receive(sender, message)

    def list_asks(self, stage=None):
        asks = [(h, m) for h, m in self.sent if isinstance(m, TurnAsk)]
        return [(h, m) for h, m in asks if stage in {None, m.stage}]


class Scene:
    """Hold a client, one engine and the hosts that may keep its turns."""

    def __init__(self):
        self.peers = RecordingPeers()
        self.hosts = ["h2"]
        self.listed = True
        self.client = TurnClient(
            self.peers,
            create_clock(),
            lambda view: self.hosts,
            lambda view: self.listed,
        )
        record = ServerRecord("engine", "llm", "10.0.0.1:80", "a", 64)
        self.view = ServerView(record)
        self.flight = Flight("r1", 0.0, 0, priority=2)

    def start(self, name="r1"):
        request = CallerRequest(
            name, "POST", "/", "", "/", [], prompt=PROMPT, prompt_tokens=13_500
        )
        self.flight = Flight(name, 0.0, 0, priority=2)
        now = create_clock().read()
        wait = self.client.wait(request, self.view, self.flight, now, PATIENCE_MS)
        return asyncio.create_task(wait)


@pytest.fixture(autouse=True)
def quick(monkeypatch):
    monkeypatch.setattr(asking, "ASK_MS", 20.0)
    monkeypatch.setattr(asking, "SILENT_MS", 40.0)
    monkeypatch.setattr(asking, "TELL_MS", 60.0)


def play(scenario):
    async def run():
        async with asyncio.timeout(5.0):
            await scenario(Scene())

    asyncio.run(run())


def test_a_request_waits_as_long_as_its_keeper_answers():
    async def scenario(scene):
        wait = scene.start()
        for _ in range(8):
            await asyncio.sleep(0.02)
            scene.peers.deliver(TurnWait("r1", "engine", 900, 50.0))
        assert not wait.done()
        assert scene.flight.prefill_tokens == 900
        scene.peers.deliver(TurnGrant("r1", "engine", 500))
        assert await wait is Turn.GRANTED
        assert scene.flight.prefill_tokens == 500
        host, ask = scene.peers.list_asks()[0]
        assert (host, ask.own_tokens, ask.priority) == ("h2", 500, 2)
        assert [part.name for part in ask.shared] == ["thing"]

    play(scenario)


def test_a_wait_beyond_the_callers_patience_ends_at_once():
    async def scenario(scene):
        wait = scene.start()
        await asyncio.sleep(0)
        scene.peers.deliver(TurnWait("r1", "engine", 900, PATIENCE_MS))
        await asyncio.sleep(0)
        assert not wait.done()
        scene.peers.deliver(TurnWait("r1", "engine", 900, PATIENCE_MS * 2))
        assert await wait is Turn.HOPELESS
        assert scene.flight.wait_ms == PATIENCE_MS * 2

    play(scenario)


def test_a_silent_keeper_holds_up_one_request_only():
    async def scenario(scene):
        assert await scene.start() is Turn.ALONE
        assert scene.peers.list_asks("sent")
        asked = len(scene.peers.list_asks("waiting"))
        assert await scene.start("r2") is Turn.ALONE
        assert len(scene.peers.list_asks("waiting")) == asked
        scene.peers.deliver(TurnWait("r2", "engine", 0, 0.0))
        wait = scene.start("r3")
        await asyncio.sleep(0.01)
        assert len(scene.peers.list_asks("waiting")) == asked + 1
        wait.cancel()

    play(scenario)


def test_a_new_keeper_is_asked_when_hosts_change():
    async def scenario(scene):
        wait = scene.start()
        await asyncio.sleep(0.01)
        scene.hosts = ["h3"]
        scene.client.forget_keepers()
        await asyncio.sleep(0.03)
        assert scene.peers.list_asks("waiting")[-1][0] == "h3"
        assert ("h2", TurnEnd("r1", "engine")) in scene.peers.sent
        scene.peers.deliver(TurnGrant("r1", "engine", 1), "h3")
        assert await wait is Turn.GRANTED

    play(scenario)


def test_an_engine_that_leaves_is_not_waited_for():
    async def scenario(scene):
        wait = scene.start()
        await asyncio.sleep(0.01)
        scene.listed = False
        assert await wait is Turn.LOST
        other = scene.start("r2")
        await asyncio.sleep(0)
        scene.peers.deliver(TurnGrant("r2", "engine", 1))
        assert await other is Turn.LOST

    play(scenario)


def test_an_engine_that_fails_others_is_not_waited_for():
    async def scenario(scene):
        wait = scene.start()
        scene.view.fail(create_clock().read())
        assert await wait is Turn.LOST

    play(scenario)


def test_a_request_that_is_given_up_frees_its_turn():
    async def scenario(scene):
        wait = scene.start()
        await asyncio.sleep(0.01)
        wait.cancel()
        scene.client.end(scene.flight)
        scene.client.end(scene.flight)
        ends = [m for _, m in scene.peers.sent if isinstance(m, TurnEnd)]
        assert ends == [TurnEnd("r1", "engine")]

    play(scenario)


def test_what_runs_is_told_again_and_at_once_to_a_new_keeper():
    async def scenario(scene):
        wait = scene.start()
        await asyncio.sleep(0)
        scene.peers.deliver(TurnGrant("r1", "engine", 1))
        await wait
        telling = asyncio.create_task(scene.client.run())
        scene.client.begin(scene.flight)
        before = len(scene.peers.list_asks("begun"))
        await asyncio.sleep(0.15)
        assert len(scene.peers.list_asks("begun")) > before
        scene.hosts = ["h3"]
        scene.client.forget_keepers()
        await asyncio.sleep(0.03)
        assert scene.peers.list_asks("begun")[-1][0] == "h3"
        telling.cancel()

    play(scenario)
