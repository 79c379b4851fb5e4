"""Test how a controller spends the rate limit of a server, and who may spend it."""

import asyncio

from cornelnotch.gateway.admission_client import AdmissionClient, AdmissionResult
from cornelnotch.gateway.limit_control import GRANT_TTL_MS, TAKEOVER_MS
from cornelnotch.gateway.models import CallerRequest, ServerRecord
from cornelnotch.gateway.relay import ReaderCandidate
from cornelnotch.gateway.servers import InFlightRequest
from cornelnotch.gateway.tests.limited_fleet import LimitedFleet, LimitedServer
from cornelnotch.testing.virtual_time import run_in_virtual_time
from cornelnotch.wire.messages import (
    AdmissionGrant,
    AdmissionQueued,
    AdmissionRequest,
    RateLimitNotice,
)

SERVER = "s0"
BOOT_MS = 1
LIMIT = RateLimitNotice(SERVER, BOOT_MS, 10.0, 0.0)
TAKEOVER_S = TAKEOVER_MS / 1000.0
INTERVAL_S = 0.02


class Harness:
    """The controller of one server, and what it sends."""

    def __init__(self):
        self.fleet = LimitedFleet(1, [LimitedServer(SERVER)])
        self.host = self.fleet.hosts["host-0"]
        self.sent: list[tuple[str, object]] = []
        self.grants = 0
        self.host.peers.send = self._send

    def _send(self, name, message):
        self.sent.append((name, message))
        self.grants += isinstance(message, AdmissionGrant)

    @property
    def now(self):
        return self.host.context.clock.read()

    def ask(self, name, priority=1, waited_ms=0.0, limit=LIMIT, sender="h2"):
        self.sent.clear()
        message = AdmissionRequest(
            name, SERVER, priority, [], 0, waited_ms, "waiting", limit=limit
        )
        self.host.peers.handlers[AdmissionRequest](sender, message)

    def list_granted(self):
        messages = [message for _, message in self.sent]
        return [m.request_id for m in messages if isinstance(m, AdmissionGrant)]

    def list_waits_ms(self):
        messages = [message for _, message in self.sent]
        return [m.wait_ms for m in messages if isinstance(m, AdmissionQueued)]

    def set_hosts(self, reachable, unreachable=0):
        hosts = [ReaderCandidate(name, "a") for name in reachable]
        self.host.context.set_hosts(hosts, unreachable)
        self.host.controller.note_hosts_changed()


def run_scenario(scenario):
    async def run():
        harness = Harness()
        try:
            await scenario(harness)
        finally:
            harness.fleet.stop()

    run_in_virtual_time(run())


async def count_grants(harness, duration_s, limit=LIMIT):
    """Return how many of many requests are granted within a time."""
    before = harness.grants
    for _ in range(int(duration_s / INTERVAL_S)):
        harness.ask(f"r{harness.now}", limit=limit)
        await asyncio.sleep(INTERVAL_S)
    return harness.grants - before


def test_a_new_controller_grants_nothing_until_the_previous_one_has_stopped():
    async def scenario(harness):
        harness.ask("a")
        assert not harness.list_granted()
        (wait_ms,) = harness.list_waits_ms()
        assert wait_ms >= TAKEOVER_MS
        assert await count_grants(harness, TAKEOVER_S) == 0
        assert await count_grants(harness, 2.0) in range(17, 24)

    run_scenario(scenario)


def test_a_controller_that_did_not_run_for_a_while_grants_nothing_at_first():
    async def scenario(harness):
        await asyncio.sleep(TAKEOVER_S)
        assert await count_grants(harness, 1.0) > 0
        harness.host.controller._control.checked_ms = harness.now - 2000.0
        assert await count_grants(harness, TAKEOVER_S) == 0
        assert await count_grants(harness, 1.0) > 0

    run_scenario(scenario)


def test_a_host_that_is_not_the_controller_spends_no_rate_limit():
    async def scenario(harness):
        await asyncio.sleep(TAKEOVER_S)
        names = ("host-0", *(f"host-{n}" for n in range(1, 40)))
        harness.set_hosts(names[1:])
        assert await count_grants(harness, 1.0) == 0
        assert harness.list_waits_ms() == [TAKEOVER_MS]
        harness.set_hosts(names[:1])
        assert await count_grants(harness, TAKEOVER_S) == 0

    run_scenario(scenario)


def test_a_controller_spends_only_the_share_of_the_hosts_that_it_reaches():
    async def scenario(harness):
        harness.set_hosts(["host-0"], unreachable=4)
        await asyncio.sleep(TAKEOVER_S)
        assert await count_grants(harness, 10.0) in range(18, 23)

    run_scenario(scenario)


def test_the_rate_limit_admits_higher_tiers_first():
    async def scenario(harness):
        harness.ask("low", priority=3)
        harness.ask("high", priority=0)
        await asyncio.sleep(0.9)
        harness.ask("low", priority=3)
        harness.ask("high", priority=0)
        await asyncio.sleep(0.9)
        harness.ask("low", priority=3)
        harness.ask("high", priority=0)
        await asyncio.sleep(0.7)
        harness.ask("high", priority=0)
        harness.ask("low", priority=3)
        harness.sent.clear()
        await asyncio.sleep(0.15)
        assert harness.list_granted() == ["high"]
        await asyncio.sleep(0.1)
        assert harness.list_granted() == ["high", "low"]

    run_scenario(scenario)


def test_a_grant_that_was_lost_for_long_takes_another_token():
    async def scenario(harness):
        await asyncio.sleep(TAKEOVER_S)
        harness.ask("a")
        await asyncio.sleep(0.2)
        harness.ask("a")
        assert harness.list_granted() == ["a"]
        await asyncio.sleep((GRANT_TTL_MS + 10.0) / 1000.0)
        harness.ask("b")
        harness.ask("c")
        harness.ask("a")
        assert not harness.list_granted()
        await asyncio.sleep(0.3)
        assert "a" in harness.list_granted()

    run_scenario(scenario)


def test_a_withdrawn_limit_grants_at_once():
    async def scenario(harness):
        harness.ask("a")
        assert not harness.list_granted()
        now = harness.now
        harness.host.context.rate_limits.observe(SERVER, BOOT_MS, None, now)
        harness.ask("b", limit=None)
        assert harness.list_granted() == ["a", "b"]

    run_scenario(scenario)


def test_a_limit_of_zero_still_grants_a_request_now_and_then():
    async def scenario(harness):
        closed = RateLimitNotice(SERVER, BOOT_MS, 0.0, 0.0)
        assert await count_grants(harness, 30.0, closed) in range(4, 7)

    run_scenario(scenario)


class ClientSetup:
    """One request of a host for a server with a limit; messages are recorded."""

    def __init__(self, harness, better=False):
        self.harness = harness
        self.peers = harness.host.peers
        self.controller = "h2"
        self.client = AdmissionClient(
            self.peers,
            harness.host.context.clock,
            lambda view: [self.controller],
            lambda view: True,
            harness.host.context.find_rate_limit,
        )
        context = harness.host.context
        context.rate_limits.observe(SERVER, BOOT_MS, 10.0, harness.now)
        self.view = context.pool.servers[SERVER]
        self.in_flight = InFlightRequest("r1", harness.now, 0)
        request = CallerRequest("r1", "GET", "/", "h", "/", [])
        self.wait = asyncio.create_task(
            self.client.wait_for_admission(
                request,
                self.view,
                self.in_flight,
                harness.now,
                3000.0,
                has_better_server=lambda: better,
            )
        )

    def deliver(self, message, sender="h2"):
        self.peers.handlers[type(message)](sender, message)

    def list_asks(self):
        messages = [message for _, message in self.harness.sent]
        return [m for m in messages if isinstance(m, AdmissionRequest)]


def test_a_request_does_not_proceed_if_the_controller_of_a_limited_server_is_silent():
    async def scenario(harness):
        setup = ClientSetup(harness)
        assert await setup.wait is AdmissionResult.RATE_LIMITED
        assert setup.list_asks()[0].limit.per_second == 10.0

    run_scenario(scenario)


def test_a_grant_that_arrives_late_is_asked_for_again():
    async def scenario(harness):
        setup = ClientSetup(harness)
        for _ in range(9):
            await asyncio.sleep(0.1)
            setup.deliver(AdmissionQueued("r1", SERVER, 0, 100.0))
        setup.deliver(AdmissionGrant("r1", SERVER, 0, 0.0))
        await asyncio.sleep(0.01)
        assert not setup.wait.done()
        ask = setup.list_asks()[-1]
        assert ask.stage == "waiting"
        setup.deliver(AdmissionGrant("r1", SERVER, 0, ask.waited_ms))
        assert await setup.wait is AdmissionResult.GRANTED

    run_scenario(scenario)


def test_a_grant_of_another_host_than_the_controller_does_not_count():
    async def scenario(harness):
        setup = ClientSetup(harness)
        await asyncio.sleep(0.05)
        setup.deliver(AdmissionGrant("r1", SERVER, 0, 0.0), sender="h3")
        await asyncio.sleep(0.05)
        assert not setup.wait.done()
        setup.deliver(AdmissionGrant("r1", SERVER, 0, 0.0))
        assert await setup.wait is AdmissionResult.GRANTED

    run_scenario(scenario)


def test_a_request_moves_at_once_if_another_server_takes_it_sooner():
    async def scenario(harness):
        setup = ClientSetup(harness, better=True)
        await asyncio.sleep(0.01)
        # Longer than the caller waits, but another server is free.
        setup.deliver(AdmissionQueued("r1", SERVER, 0, 60_000.0))
        assert await setup.wait is AdmissionResult.BETTER_ENGINE
        assert harness.now < 100.0

    run_scenario(scenario)


def test_the_record_of_a_restarted_server_has_no_limit():
    async def scenario(harness):
        await asyncio.sleep(TAKEOVER_S)
        harness.ask("a")
        context = harness.host.context
        record = context.pool.servers[SERVER].record
        restarted = ServerRecord(
            record.name, record.service, record.address, record.domain, 8, boot_ms=2
        )
        context.pool.replace([restarted])
        harness.ask("b", limit=None)
        assert harness.list_granted() == ["b"]

    run_scenario(scenario)
