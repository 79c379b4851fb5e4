"""Test what hosts tell each other about the loads of servers."""

import asyncio
import inspect

from cornelnotch.gateway.models import Engine, ServerRecord, Service
from cornelnotch.gateway.tests.conftest import run_deployment, wait_until
from cornelnotch.pressure.load_news import LoadNews, create_notice, read_notice
from cornelnotch.pressure.models import ServerLoad
from cornelnotch.pressure.observed_load import NewestLoad
from cornelnotch.wire.messages import (
    AdmissionQueued,
    AdmissionRequest,
    PromptPart,
    ServerLoadNotice,
    ServerLoadNotices,
)

BOOT = 4
USUAL = ServerLoad(2, 0, 6)
SLOW = ServerLoad(6, 3, 6, 2.5)


class HostHarness:
    """A host that lists two servers, and what it sends to other hosts."""

    def __init__(self, host):
        self.host = host
        self.context = host.context
        self.sent: list[tuple[str, object]] = []
        host.peers.send = lambda name, message: self.sent.append((name, message))
        records = [
            ServerRecord(name, service, "10.0.0.1:80", "north-a", 6, False, BOOT)
            for name, service in (("desk-9", "desk"), ("engine", "llm"))
        ]
        pool = self.context.pool
        pool.replace([*records, *(v.record for v in pool.servers.values())])
        services = self.context.table.services
        services["llm"] = Service("llm", Engine(400_000))

    def receive(self, *notices, targets=()):
        message = ServerLoadNotices(list(notices), list(targets))
        self.host.peers._receive("h2", message)

    def list_told(self):
        return [(n, m) for n, m in self.sent if isinstance(m, ServerLoadNotices)]


def run_scenario(scenario):
    async def run():
        async with run_deployment() as deployment:
            result = scenario(HostHarness(deployment.host))
            if inspect.isawaitable(result):
                await result

    asyncio.run(run())


def create_engine_notice(pace=2.5, age_ms=20.0, boot_ms=BOOT):
    return ServerLoadNotice("engine", boot_ms, 40, 2, 64, pace, age_ms)


def ask(harness, request_id, tokens=20_000):
    parts = [PromptPart(f"own of {request_id}", tokens)]
    message = AdmissionRequest(request_id, "engine", 1, parts, 10, 0.0, "waiting")
    harness.host.peers._receive("h3", message)


def test_a_controller_applies_the_pace_and_tells_the_hosts_that_wait():
    # Only the controller hears of every request; waiting hosts must learn why to move.
    def scenario(harness):
        ask(harness, "a")
        ask(harness, "b")
        usual_ms = harness.sent[-1][1].wait_ms
        harness.receive(create_engine_notice())
        (told,) = harness.list_told()
        assert told[0] == "h3"
        assert told[1].loads[0].pace == 2.5
        ask(harness, "b")
        answer = harness.sent[-1][1]
        assert isinstance(answer, AdmissionQueued)
        assert answer.wait_ms > 1.5 * usual_ms

    run_scenario(scenario)


def test_a_notice_of_another_process_or_an_absurd_one_is_ignored():
    def scenario(harness):
        harness.receive(
            create_engine_notice(boot_ms=BOOT + 1),
            create_engine_notice(pace=float("nan")),
            create_engine_notice(pace=-1.0),
            create_engine_notice(age_ms=-5.0),
            ServerLoadNotice("unknown", BOOT, 1, 0, 6, 1.0, 0.0),
            ServerLoadNotice("engine", BOOT, -1, 0, 6, 1.0, 0.0),
            ServerLoadNotice("engine", BOOT, 1, 0, 0, 1.0, 0.0),
        )
        assert harness.context.loads.count() == 0

    run_scenario(scenario)


def test_the_collector_tells_all_hosts_of_a_changed_load_once():
    async def scenario(harness):
        told = []
        harness.host.load_notices._forward = lambda message, names: told.append(message)
        notice = ServerLoadNotice("desk-9", BOOT, 6, 3, 6, 2.5, 10.0)
        harness.receive(notice)
        await wait_until(lambda: told)
        assert [n.server for n in told[0].loads] == ["desk-9"]
        assert told[0].loads[0].age_ms >= 10.0
        # The same load again, as another host relays it, is no news.
        harness.receive(notice)
        await asyncio.sleep(0.1)
        assert len(told) == 1

    run_scenario(scenario)


def test_the_load_of_an_engine_goes_to_its_controller():
    def scenario(harness):
        view = harness.context.pool.servers["engine"]
        harness.context.admission.find_controller = lambda view: "h9"
        harness.host.load_notices.announce(view, SLOW)
        notice = create_notice(NewestLoad("engine", BOOT, SLOW, 0.0), 0.0)
        assert harness.sent == [("h9", ServerLoadNotices([notice], []))]

    run_scenario(scenario)


def test_without_headers_no_message_is_sent_and_no_timer_runs():
    # Deployments whose servers state no load must not pay for it.
    def scenario(harness):
        ask(harness, "a")
        ask(harness, "b")
        assert harness.list_told() == []
        assert harness.host.load_notices._timer is None

    run_scenario(scenario)


def test_news_are_changes_and_repetitions():
    news = LoadNews()

    def take(load, at_ms):
        news.add(NewestLoad("s", BOOT, load, at_ms))
        return news.take(at_ms)

    assert take(USUAL, 0.0)
    assert not take(ServerLoad(3, 0, 6), 50.0)
    assert take(ServerLoad(4, 0, 6), 100.0)
    assert take(ServerLoad(4, 0, 6, 1.4), 150.0)
    assert not take(ServerLoad(4, 0, 6, 1.4), 200.0)
    assert take(ServerLoad(4, 0, 6, 1.4), 1200.0)
    assert news.take(1300.0) == []


def test_a_notice_is_read_as_it_was_written():
    notice = create_notice(NewestLoad("s", BOOT, SLOW, 40.0), 100.0)
    assert notice.age_ms == 60.0
    assert read_notice(notice) == SLOW
