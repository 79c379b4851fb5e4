"""Run gateway hosts with duties in the test process, against a store and an API."""

import asyncio
import time
from collections import Counter
from contextlib import asynccontextmanager
from typing import Any

from cornelnotch.exceptions import LogUnavailableError, UpstreamError
from cornelnotch.gateway.host import GatewayHost
from cornelnotch.gateway.settings import (
    BoundsSection,
    DutiesSection,
    HostSection,
    HostSettings,
    ListenSection,
    StoreSection,
)
from cornelnotch.kernel import create_clock, create_event_log
from cornelnotch.platform.decoder import PlatformDecoder
from cornelnotch.platform.header_codec import PlatformHeaderCodec
from cornelnotch.platform.identity import PlatformServerIdentity
from cornelnotch.platform.program import start_duties
from cornelnotch.platform.store import PlatformStore
from cornelnotch.standins.deployment import (
    create_configuration_record,
    create_request,
    create_server_record,
)
from cornelnotch.standins.duty_api import DutyApiStandin
from cornelnotch.standins.store import StoreStandin
from cornelnotch.standins.upstream import UpstreamStandin
from cornelnotch.testing.ports import find_free_port
from cornelnotch.web import HttpClient

__all__ = ["DutyFleetOfHosts", "DutyHost", "run_duty_fleet"]

WORKSPACE = "soak"
POLL_S = 0.05


class SeveredStore(PlatformStore):
    """The store as a host sees it that may be cut from it."""

    is_cut = False

    async def call(self, *arguments, **options):
        if self.is_cut:
            raise LogUnavailableError("cut", "mend the link")
        return await super().call(*arguments, **options)


class SeveredClient(HttpClient):
    """A client that may be cut from one address."""

    cut_address = ""

    async def send(self, address, *arguments, **options):
        if address == self.cut_address:
            raise UpstreamError("cut", "mend the link")
        return await super().send(address, *arguments, **options)


class DutyHost:
    """One host with its duties."""

    def __init__(self, fleet, name, seeds):
        self.name = name
        ports = [find_free_port() for _ in range(4)]
        self.addresses = [f"127.0.0.1:{port}" for port in ports]
        callers, readiness, directory, peers = self.addresses
        settings = HostSettings(
            HostSection(name, "north-a", "north"),
            ListenSection(callers, readiness, directory, peers, seeds=seeds),
            StoreSection(fleet.store.address),
            BoundsSection(grace_s=2.0),
            {"north-a": "north"},
            fleet.create_section(),
        )
        clock = fleet.create_clock()
        self.store = SeveredStore(fleet.store.address, HttpClient())
        self.client = SeveredClient()
        client = HttpClient()
        self.host = GatewayHost(
            settings,
            clock,
            create_event_log(name),
            PlatformHeaderCodec(),
            self.store,
            PlatformDecoder(),
            client,
            self.store,
            PlatformServerIdentity(client),
            self.store,
            self.store,
        )
        self.duties: Any = None

    @property
    def keeper(self):
        return self.duties.keeper

    def is_holder(self):
        return self.keeper.tracker.own is not None

    async def start(self):
        await self.host.start()
        self.duties = start_duties(self.host, self.store, self.client)

    async def kill(self):
        await self.host.stop()

    async def stop(self):
        """Stop as the program does after SIGTERM."""
        self.host.start_drain()
        await self.host.stopped.wait()
        await self.duties.stop()
        await self.host.stop()


class DutyFleetOfHosts:
    """Hosts, a server, a store and the API."""

    def __init__(self, window_s, due_s, lease_ms, calls_per_s):
        self.store = StoreStandin()
        self.api = DutyApiStandin(calls_per_s=calls_per_s)
        self.server = UpstreamStandin("server-1")
        self.hosts = {}
        self.sent: Counter[int] = Counter()
        self.window_s = window_s
        self._section = (calls_per_s, lease_ms, window_s, due_s)
        self._callers = HttpClient()
        self._requests = 0

    create_clock = staticmethod(create_clock)

    def create_section(self):
        calls_per_s, lease_ms, window_s, due_s = self._section
        return DutiesSection(
            self.api.address,
            "metering",
            calls_per_s,
            True,
            lease_ms,
            300.0,
            window_s,
            due_s,
        )

    async def start(self, count):
        await self.store.start()
        await self.api.start()
        await self.server.start()
        record = create_configuration_record(1, 4000.0)
        self.store.topics["keyed.op"].write("config", record)
        record = create_server_record(self.server.address, False, 1, 64)
        self.store.topics["keyed.servers"].write("server-1", record)
        for _ in range(count):
            await self.add_host()
        await wait_until(lambda: all(h.host.serving for h in self.list_hosts()))

    async def add_host(self):
        name = f"host-{len(self.hosts)}"
        running = [h.addresses[3] for h in self.list_hosts()]
        host = self.hosts[name] = DutyHost(self, name, ",".join(running))
        await host.start()
        return host

    def list_hosts(self):
        return [host for host in self.hosts.values() if host is not None]

    def list_holders(self):
        return [host for host in self.list_hosts() if host.is_holder()]

    async def wait_for_holder(self, excluded=None, timeout_s=15.0):
        def find():
            return [host for host in self.list_holders() if host is not excluded]

        await wait_until(find, timeout_s)
        return find()[0]

    async def kill(self, host):
        self.hosts[host.name] = None
        await host.kill()

    async def stop_host(self, host):
        self.hosts[host.name] = None
        await host.stop()

    async def request(self, host):
        """Send a request through a host and count it in the window of its response."""
        self._requests += 1
        head = create_request(f"r-{self._requests}", "/read/x", 3000.0, 0, {})
        response = await self._callers.send(host.addresses[0], head, b"")
        await response.read()
        assert response.status == 200, (response.status, response.headers)
        self.sent[int(time.time() // self.window_s)] += 1

    async def send_load(self, hosts, seconds, period_s=0.02):
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            for host in hosts:
                await self.request(host)
            await asyncio.sleep(period_s)

    async def wait_for_reports(self, window, timeout_s=20.0):
        await wait_until(lambda: window in self.api.list_windows(), timeout_s)

    def find_window(self):
        return int(time.time() // self.window_s)

    def check(self):
        """Check what must hold whatever fails."""
        contents: dict[int, dict[str, int]] = {}
        for call in self.api.list_reports():
            window, counts = call.content["window_id"], call.content["counts"]
            assert contents.setdefault(window, counts) == counts
        holders: dict[int, str] = {}
        for call in self.api.accepted + self.api.refused:
            assert holders.setdefault(call.token, call.holder) == call.holder
        assert self.api.busy == 0

    async def stop(self):
        for host in self.list_hosts():
            await host.kill()
        self._callers.close()
        await self.server.stop()
        await self.api.stop()
        await self.store.stop()


async def wait_until(condition, timeout_s=10.0):
    async with asyncio.timeout(timeout_s):
        while not condition():  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)


@asynccontextmanager
async def run_duty_fleet(
    count, window_s=2.0, due_s=4.0, lease_ms=1000.0, calls_per_s=20.0
):
    fleet = DutyFleetOfHosts(window_s, due_s, lease_ms, calls_per_s)
    try:
        await fleet.start(count)
        yield fleet
    finally:
        await fleet.stop()
