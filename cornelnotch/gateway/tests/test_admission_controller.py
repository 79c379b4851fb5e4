"""Test the answers of an admission controller and which state it drops."""

import asyncio
import inspect

import pytest

from cornelnotch.gateway.models import PromptPart, ServerRecord
from cornelnotch.gateway.tests.conftest import run_deployment, wait_until
from cornelnotch.wire.messages import (
    AdmissionEnd,
    AdmissionGrant,
    AdmissionQueued,
    AdmissionRequest,
    StreamProgress,
)

SHARED_PREFIX = [PromptPart("thing", 40_000)]


class ControllerHarness:
    """The controller of a host, recording what it sends to other hosts."""

    def __init__(self, host):
        self.host = host
        self.sent: list[tuple[str, object]] = []
        host.peers.send = lambda name, message: self.sent.append((name, message))

    def list_engine(self, name="engine", boot_ms=1):
        record = ServerRecord(name, "llm", "10.0.0.1:80", "north-a", 64, False, boot_ms)
        pool = self.host.context.pool
        pool.replace([record, *(v.record for v in pool.servers.values())])

    def ask(self, name, sender="h2", own=1000, server="engine", shared=SHARED_PREFIX):
        self.sent.clear()
        message = AdmissionRequest(name, server, 1, shared, own, 0.0, "waiting")
        self.host.peers._receive(sender, message)
        return self.sent[-1] if self.sent else None

    def list_grants(self):
        messages = [message for _, message in self.sent]
        return [m.request_id for m in messages if isinstance(m, AdmissionGrant)]

    def report_progress(self):
        """Run a request at a listed engine and report its progress."""
        self.list_engine()
        self.ask("a")
        progress = StreamProgress(100, 1000.0, 20.0)
        begun = AdmissionRequest(
            "a", "engine", 1, SHARED_PREFIX, 1000, 0.0, "begun", 250.0, progress
        )
        self.host.peers._receive("h2", begun)

    def end(self, name, server="engine"):
        self.host.peers._receive("h2", AdmissionEnd(name, server))


def run_scenario(scenario):
    async def run():
        async with run_deployment() as deployment:
            result = scenario(ControllerHarness(deployment.host))
            if inspect.isawaitable(result):
                await result

    asyncio.run(run())


def test_a_lost_grant_is_sent_again():
    def scenario(harness):
        first = harness.ask("a")
        assert first == ("h2", AdmissionGrant("a", "engine", 41_000))
        assert harness.ask("a") == first

    run_scenario(scenario)


def test_the_answer_to_a_waiting_request_counts_uncached_tokens():
    def scenario(harness):
        harness.ask("a")
        name, wait = harness.ask("b", "h3")
        assert name == "h3"
        assert isinstance(wait, AdmissionQueued)
        assert wait.unread == 1000
        assert wait.wait_ms > 0

    run_scenario(scenario)


def test_a_restarted_engine_has_an_empty_cache():
    def scenario(harness):
        harness.list_engine(boot_ms=1)
        harness.ask("a")
        harness.end("a")
        assert harness.ask("b")[1].unread == 1000
        harness.end("b")
        harness.host.context.pool.replace([])
        assert harness.ask("c")[1].unread == 1000
        harness.end("c")
        harness.list_engine(boot_ms=2)
        assert harness.ask("d")[1].unread == 41_000

    run_scenario(scenario)


def test_queues_of_unlisted_engines_are_dropped():
    def scenario(harness):
        for number in range(50):
            harness.ask("a", server=f"gone-{number}")
            harness.end("a", server=f"gone-{number}")
        assert len(harness.host.admission_controller._queues) <= 2

    run_scenario(scenario)


def test_a_waiting_request_is_granted_after_the_prefill_ahead_of_it():
    async def scenario(harness):
        harness.ask("a", own=9000, shared=[])
        harness.ask("b", own=9000, shared=[])
        assert not harness.list_grants()
        await wait_until(lambda: harness.list_grants() == ["b"], 2.0)

    run_scenario(scenario)


def test_a_waiting_request_is_granted_at_once_when_another_ends():
    def scenario(harness):
        harness.ask("a", own=90_000, shared=[])
        harness.ask("b", own=9000, shared=[])
        assert not harness.list_grants()
        harness.end("a")
        assert harness.list_grants() == ["b"]

    run_scenario(scenario)


def test_reported_progress_updates_the_estimated_rates():
    def scenario(harness):
        harness.report_progress()
        (rates,) = harness.host.admission_controller.list_rates()
        assert rates.event_ms == pytest.approx(10.0, rel=0.1)

    run_scenario(scenario)


def test_former_controller_of_an_engine_reports_no_rates():
    def scenario(harness):
        harness.report_progress()
        controller = harness.host.admission_controller
        assert len(controller.list_rates()) == 1
        harness.host.context.admission.find_controller = lambda view: "h2"
        assert controller.list_rates() == []

    run_scenario(scenario)
