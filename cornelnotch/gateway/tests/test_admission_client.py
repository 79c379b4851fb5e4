"""Test how a host waits for admission, also when the controller is silent."""

import asyncio

import pytest

from cornelnotch.gateway import admission_client
from cornelnotch.gateway.admission_client import AdmissionClient, AdmissionResult
from cornelnotch.gateway.models import CallerRequest, PromptPart, ServerRecord
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.kernel import TaskSupervisor, create_clock, create_event_log
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    AdmissionEnd,
    AdmissionGrant,
    AdmissionQueued,
    AdmissionRequest,
)

WAIT_LIMIT_MS = 3000.0
PROMPT = (PromptPart("thing", 13_000), PromptPart("own", 400))


class RecordingPeers(PeerNetwork):
    """Record what a host sends and deliver messages of other hosts to it."""

    def __init__(self):
        events = create_event_log("h1")
        super().__init__("h1", 1, events, TaskSupervisor(events))
        self.sent = []

    def send(self, host, message):
        self.sent.append((host, message))

    def deliver(self, message, sender="h2"):
        self._receive(sender, message)

    def list_asks(self, stage=None):
        asks = [(h, m) for h, m in self.sent if isinstance(m, AdmissionRequest)]
        return [(h, m) for h, m in asks if stage in {None, m.stage}]


class Setup:
    """A client, one engine and the hosts that may control its admission."""

    def __init__(self):
        self.peers = RecordingPeers()
        self.hosts = ["h2"]
        self.listed = True
        self.brittle: list[ServerView] = []
        self.client = AdmissionClient(
            self.peers,
            create_clock(),
            lambda view: self.hosts,
            lambda view: self.listed,
            list_brittle=lambda: self.brittle,
        )
        record = ServerRecord("engine", "llm", "10.0.0.1:80", "a", 64)
        self.view = ServerView(record)
        self.in_flight = InFlightRequest("r1", 0.0, 0, priority=2)

    def start(self, name="r1"):
        request = CallerRequest(
            name, "POST", "/", "", "/", [], prompt=PROMPT, prompt_tokens=13_500
        )
        self.in_flight = InFlightRequest(name, 0.0, 0, priority=2)
        now = create_clock().read()
        wait = self.client.wait_for_admission(
            request, self.view, self.in_flight, now, WAIT_LIMIT_MS
        )
        return asyncio.create_task(wait)


@pytest.fixture(autouse=True)
def shorten_periods(monkeypatch):
    monkeypatch.setattr(admission_client, "ASK_PERIOD_MS", 20.0)
    monkeypatch.setattr(admission_client, "ANSWER_TIMEOUT_MS", 40.0)
    monkeypatch.setattr(admission_client, "REPORT_PERIOD_MS", 60.0)


def run_scenario(scenario):
    async def run():
        async with asyncio.timeout(5.0):
            await scenario(Setup())

    asyncio.run(run())


def test_a_request_waits_while_its_controller_answers():
    async def scenario(setup):
        wait = setup.start()
        for _ in range(8):
            await asyncio.sleep(0.02)
            setup.peers.deliver(AdmissionQueued("r1", "engine", 900, 50.0))
        assert not wait.done()
        assert setup.in_flight.prefill_tokens == 900
        setup.peers.deliver(AdmissionGrant("r1", "engine", 500))
        assert await wait is AdmissionResult.GRANTED
        assert setup.in_flight.prefill_tokens == 500
        host, ask = setup.peers.list_asks()[0]
        assert (host, ask.own_tokens, ask.priority) == ("h2", 500, 2)
        assert [part.name for part in ask.shared] == ["thing"]

    run_scenario(scenario)


def test_a_wait_estimate_beyond_the_callers_limit_ends_the_wait():
    async def scenario(setup):
        wait = setup.start()
        await asyncio.sleep(0)
        setup.peers.deliver(AdmissionQueued("r1", "engine", 900, WAIT_LIMIT_MS))
        await asyncio.sleep(0)
        assert not wait.done()
        setup.peers.deliver(AdmissionQueued("r1", "engine", 900, WAIT_LIMIT_MS * 2))
        assert await wait is AdmissionResult.INFEASIBLE
        assert setup.in_flight.wait_ms == WAIT_LIMIT_MS * 2

    run_scenario(scenario)


def test_a_silent_controller_delays_only_one_request():
    async def scenario(setup):
        assert await setup.start() is AdmissionResult.UNANSWERED
        assert setup.peers.list_asks("sent")
        asked = len(setup.peers.list_asks("waiting"))
        assert await setup.start("r2") is AdmissionResult.UNANSWERED
        assert len(setup.peers.list_asks("waiting")) == asked
        setup.peers.deliver(AdmissionQueued("r2", "engine", 0, 0.0))
        wait = setup.start("r3")
        await asyncio.sleep(0.01)
        assert len(setup.peers.list_asks("waiting")) == asked + 1
        wait.cancel()

    run_scenario(scenario)


def test_a_new_controller_is_asked_when_hosts_change():
    async def scenario(setup):
        wait = setup.start()
        await asyncio.sleep(0.01)
        setup.hosts = ["h3"]
        setup.client.reset_controllers()
        await asyncio.sleep(0.03)
        assert setup.peers.list_asks("waiting")[-1][0] == "h3"
        assert ("h2", AdmissionEnd("r1", "engine")) in setup.peers.sent
        setup.peers.deliver(AdmissionGrant("r1", "engine", 1), "h3")
        assert await wait is AdmissionResult.GRANTED

    run_scenario(scenario)


def test_a_wait_ends_when_the_engine_is_delisted():
    async def scenario(setup):
        wait = setup.start()
        await asyncio.sleep(0.01)
        setup.listed = False
        assert await wait is AdmissionResult.ENGINE_LOST
        other = setup.start("r2")
        await asyncio.sleep(0)
        setup.peers.deliver(AdmissionGrant("r2", "engine", 1))
        assert await other is AdmissionResult.ENGINE_LOST

    run_scenario(scenario)


def test_a_wait_ends_when_the_engine_is_ejected():
    async def scenario(setup):
        wait = setup.start()
        setup.view.record_failure(create_clock().read())
        assert await wait is AdmissionResult.ENGINE_LOST

    run_scenario(scenario)


def test_a_cancelled_request_releases_its_admission_once():
    async def scenario(setup):
        wait = setup.start()
        await asyncio.sleep(0.01)
        wait.cancel()
        setup.client.report_end(setup.in_flight)
        setup.client.report_end(setup.in_flight)
        ends = [m for _, m in setup.peers.sent if isinstance(m, AdmissionEnd)]
        assert ends == [AdmissionEnd("r1", "engine")]

    run_scenario(scenario)


def test_running_requests_are_reported_again_and_at_once_to_a_new_controller():
    async def scenario(setup):
        wait = setup.start()
        await asyncio.sleep(0)
        setup.peers.deliver(AdmissionGrant("r1", "engine", 1))
        await wait
        reporting = asyncio.create_task(setup.client.run_reports())
        setup.client.report_prefilled(setup.in_flight)
        before = len(setup.peers.list_asks("begun"))
        await asyncio.sleep(0.15)
        assert len(setup.peers.list_asks("begun")) > before
        setup.hosts = ["h3"]
        setup.client.reset_controllers()
        await asyncio.sleep(0.03)
        assert setup.peers.list_asks("begun")[-1][0] == "h3"
        reporting.cancel()

    run_scenario(scenario)


def test_requests_sent_before_a_server_was_brittle_are_reported_once():
    async def scenario(setup):
        in_flight = InFlightRequest("r1", 0.0, 0, sent=True)
        setup.view.start(in_flight)
        setup.view.start(InFlightRequest("r2", 0.0, 0))
        setup.brittle.append(setup.view)
        reports = asyncio.create_task(setup.client.run_reports())
        await asyncio.sleep(2.5 * admission_client.ASK_PERIOD_MS / 1000.0)
        asks = setup.peers.list_asks()
        assert [(h, m.request_id, m.stage) for h, m in asks] == [("h2", "r1", "sent")]
        setup.view.finish(in_flight)
        setup.client.report_end(in_flight)
        assert ("h2", AdmissionEnd("r1", "engine", abandoned=True)) in setup.peers.sent
        reports.cancel()

    run_scenario(scenario)
