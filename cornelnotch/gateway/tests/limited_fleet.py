"""Simulate hosts and servers with rate limits, in virtual time.

Hosts run the production code of requests, placement, admission and load exchange. The
network between them, the servers and the callers are simulated.
"""

import asyncio
import logging
import random
from collections import Counter
from dataclasses import dataclass
from typing import Any, cast

from cornelnotch.exceptions import CallerDisconnectedError
from cornelnotch.gateway.admission_controller import AdmissionController
from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.flow import RequestFlow
from cornelnotch.gateway.load_exchange import LoadExchange
from cornelnotch.gateway.models import (
    CallerLimits,
    CallerRequest,
    Route,
    RoutingTable,
    ServerRecord,
    Service,
    ServiceShare,
    WorkKind,
)
from cornelnotch.gateway.relay import ReaderCandidate, RelayPlan
from cornelnotch.gateway.settings import (
    BoundsSection,
    HostSection,
    HostSettings,
    ListenSection,
    StoreSection,
)
from cornelnotch.gateway.tests.fleet import Peers
from cornelnotch.kernel import create_event_log
from cornelnotch.platform.header_codec import PlatformHeaderCodec
from cornelnotch.testing.virtual_time import VirtualClock

DOMAINS = ("a", "b", "c")
REGIONS = dict.fromkeys(DOMAINS, "north")
SERVICE = "desk"
DEADLINE_MS = 3000.0
WORK_MS = 40.0
MIN_LATENCY_S = 0.0005
MAX_LATENCY_S = 0.003
# Time within which the other hosts notice that a host has stopped or started.
MAX_DETECTION_S = 2.0
TIERS = 3


@dataclass(frozen=True)
class Arrival:
    """A request that reached a server; `told` if its host knew of the limit."""

    at_s: float
    host: str
    told: bool
    tier: int


class LimitedServer:
    """A server that announces a rate limit in each response, unless it is None."""

    def __init__(self, name, per_second=None):
        self.record = ServerRecord(name, SERVICE, f"{name}:80", "a", 64, boot_ms=1)
        self.per_second = per_second
        self.arrivals: list[Arrival] = []

    def create_headers(self, request_id):
        headers = [(b"x-attempt-id", request_id), (b"x-server-signature", b"s")]
        if self.per_second is not None:
            headers.append((b"server-limit", f"{self.per_second:f}".encode()))
        return headers


class Response:
    """A complete response of a server."""

    def __init__(self, headers):
        self.status = 200
        self.raw_headers = headers
        self.complete = False
        self.framed = True
        self.reused = False

    async def read_chunk(self):
        self.complete = True
        return b""

    def close(self):
        pass


class Client:
    """Deliver the requests of one host to servers."""

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host

    async def send(self, address, head, body, fresh, note_sending):
        note_sending()
        server = self.fleet.servers[address]
        headers = dict(head.headers)
        await self.fleet.wait_until_thawed(self.host)
        limit = self.host.context.rate_limits.find(server.record)
        await self.fleet.delay()
        now_s = asyncio.get_running_loop().time()
        tier = int(headers[b"x-request-priority"])
        told = limit is not None
        server.arrivals.append(Arrival(now_s, self.host.name, told, tier))
        response_headers = server.create_headers(headers[b"x-attempt-id"])
        await asyncio.sleep(WORK_MS / 1000.0)
        await self.fleet.delay()
        await self.fleet.wait_until_thawed(self.host)
        return Response(response_headers)


class Exchange:
    """A caller that records its response."""

    def __init__(self):
        self.disconnected = asyncio.Event()
        self.response_started = False
        self.response_finished = False
        self.status = 0
        self.retry_after_s = 0.0

    async def respond(self, status, headers, body):
        self.response_started = True
        self.response_finished = True
        self.status = status
        fields = dict(headers)
        self.retry_after_s = float(fields.get(b"retry-after", 0))


class Host:
    """One host; `known` are the hosts that it believes alive, `lost` those dead."""

    def __init__(self, fleet, name, domain):
        self.fleet = fleet
        self.name = name
        self.is_alive = True
        self.thawed_s = 0.0
        self.known: dict[str, ReaderCandidate] = {}
        self.lost: set[str] = set()
        self.candidate = ReaderCandidate(name, domain)
        peers = cast(Any, Peers(fleet, name))
        self.peers = peers
        settings = HostSettings(
            HostSection(name, domain, "north"),
            ListenSection("", "", "", ""),
            StoreSection(""),
            BoundsSection(),
            REGIONS,
        )
        self.context = GatewayContext(
            settings,
            VirtualClock(),
            create_event_log(name),
            PlatformHeaderCodec(),
            cast(Any, fleet.create_client(self)),
            peers,
        )
        self.context.table = fleet.table
        self.context.pool.replace(server.record for server in fleet.servers.values())
        self.controller = AdmissionController(self.context, peers)
        self.plan = RelayPlan(name)
        exchange = LoadExchange(
            self.context, peers, self.plan, peers, lambda: list(self.known), list
        )
        self.tasks = [
            asyncio.create_task(exchange.run()),
            asyncio.create_task(self.controller.run()),
            asyncio.create_task(self.context.admission.run_reports()),
        ]

    def see(self, candidate, is_alive):
        """Apply a change of another host's state."""
        if is_alive:
            self.known[candidate.name] = candidate
            self.lost.discard(candidate.name)
        else:
            self.known.pop(candidate.name, None)
            self.lost.add(candidate.name)
        self.apply()

    def apply(self):
        hosts = list(self.known.values())
        self.context.set_hosts(hosts, len(self.lost))
        self.plan.set_hosts(hosts)
        self.controller.note_hosts_changed()

    def stop(self):
        self.is_alive = False
        for task in self.tasks:
            task.cancel()


class LimitedFleet:
    """Hosts, the servers of one service, and callers."""

    def __init__(self, count, servers, seed=0):
        logging.disable(logging.CRITICAL)
        self.generator = random.Random(seed)
        self.servers = {server.record.address: server for server in servers}
        shares = (ServiceShare(SERVICE, 1.0),)
        self.routes = [
            Route(
                f"tier-{tier}",
                "h",
                "/",
                WorkKind.REPEATABLE,
                DEADLINE_MS,
                500.0,
                2,
                tier,
                shares,
            )
            for tier in range(TIERS)
        ]
        self.table = RoutingTable(
            1, {}, {SERVICE: Service(SERVICE)}, None, CallerLimits()
        )
        self.hosts: dict[str, Host] = {}
        self.cut: set[str] = set()
        self.messages = 0
        self.requests = 0
        self.outcomes: Counter[tuple[int, int]] = Counter()
        self.retry_after_s: list[float] = []
        self.errors: list[BaseException] = []
        self._tasks: set[asyncio.Task[None]] = set()
        for number in range(count):
            name = f"host-{number}"
            self.hosts[name] = self.create_host(name, DOMAINS[number % 3])
        for host in self.hosts.values():
            host.known = {h.name: h.candidate for h in self.hosts.values()}
            host.apply()

    def create_host(self, name, domain):
        """Return a host that has just started."""
        return Host(self, name, domain)

    def create_client(self, host):
        """Return the client with which a host reaches the servers."""
        return Client(self, host)

    def start(self, coroutine):
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._finish)

    def find_controller(self, server):
        """Return the host that most hosts ask for admission to a server."""
        views: Counter[str] = Counter()
        for host in self.hosts.values():
            view = host.context.pool.servers[server]
            views[host.context.admission.find_controller(view)] += 1
        return views.most_common(1)[0][0]

    def find_served_share(self, tier=None):
        """Return the share of the requests of a tier, or of all, that were served."""
        ended = {k: n for k, n in self.outcomes.items() if tier in {None, k[0]}}
        served = sum(n for (_, status), n in ended.items() if status == 200)
        return served / max(sum(ended.values()), 1)

    async def delay(self):
        await asyncio.sleep(self.generator.uniform(MIN_LATENCY_S, MAX_LATENCY_S))

    async def wait_until_thawed(self, host):
        now_s = asyncio.get_running_loop().time()
        if host.thawed_s > now_s:
            await asyncio.sleep(host.thawed_s - now_s)

    def deliver(self, sender, receiver, message):
        """Deliver a message unless the link is cut; frozen hosts handle it later."""
        self.messages += 1
        loop = asyncio.get_running_loop()
        source = self.hosts[sender]
        latency_s = self.generator.uniform(MIN_LATENCY_S, MAX_LATENCY_S)
        sent_s = max(loop.time(), source.thawed_s)
        loop.call_at(sent_s + latency_s, self._handle, sender, receiver, message)

    def _handle(self, sender, receiver, message):
        target = self.hosts.get(receiver)
        if target is None or not target.is_alive or not self.hosts[sender].is_alive:
            return
        if (sender in self.cut) != (receiver in self.cut):
            return
        loop = asyncio.get_running_loop()
        if target.thawed_s > loop.time():
            loop.call_at(target.thawed_s, self._handle, sender, receiver, message)
            return
        handler = target.peers.handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(sender, message)
        except Exception as error:
            self.errors.append(error)

    def _announce(self, candidate, is_alive, observers=None):
        loop = asyncio.get_running_loop()
        for name in observers if observers is not None else list(self.hosts):
            delay_s = self.generator.uniform(0.2, MAX_DETECTION_S)
            loop.call_later(delay_s, self._observe, name, candidate, is_alive)

    def _observe(self, name, candidate, is_alive):
        host = self.hosts[name]
        if host.is_alive and name != candidate.name:
            host.see(candidate, is_alive)

    async def restart(self, name, down_s):
        """Kill a host and start it again after `down_s`."""
        old = self.hosts[name]
        old.stop()
        self._announce(old.candidate, False)
        await asyncio.sleep(down_s)
        host = self.create_host(name, old.candidate.domain)
        host.known = {name: host.candidate}
        self.hosts[name] = host
        host.apply()
        for other in list(self.hosts.values()):
            if other.is_alive and other is not host:
                delay_s = self.generator.uniform(0.0, 0.5)
                asyncio.get_running_loop().call_later(
                    delay_s, host.see, other.candidate, True
                )
        self._announce(host.candidate, True)

    def freeze(self, name, for_s):
        """Stop a host for a while without its noticing."""
        now_s = asyncio.get_running_loop().time()
        host = self.hosts[name]
        host.thawed_s = now_s + for_s
        host.controller._control.checked_ms = now_s * 1000.0 - for_s * 1000.0
        others = [other for other in self.hosts if other != name]
        self._announce(host.candidate, False, others)
        asyncio.get_running_loop().call_later(
            for_s, self._announce, host.candidate, True, others
        )

    async def partition(self, names, for_s):
        """Cut some hosts off from the others, but not from the servers."""
        self.cut = set(names)
        rest = set(self.hosts) - self.cut
        self._announce_partition(rest, False)
        await asyncio.sleep(for_s)
        self.cut = set()
        self._announce_partition(rest, True)

    def _announce_partition(self, rest, is_alive):
        for side, other in ((self.cut or set(), rest), (rest, self.cut or set())):
            for name in side:
                self._announce(self.hosts[name].candidate, is_alive, list(other))

    async def load(self, per_second, duration_s):
        """Send requests at random times to random hosts."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            await asyncio.sleep(self.generator.expovariate(per_second))
            host = self.generator.choice(list(self.hosts.values()))
            if host.is_alive and host.thawed_s <= loop.time():
                self.start(self.request(host))

    def _finish(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.errors.append(task.exception())

    async def request(self, host):
        """Send one request to a host and wait for its end."""
        self.requests += 1
        route = self.generator.choice(self.routes)
        request = CallerRequest(
            f"r{self.requests}",
            "GET",
            "/",
            "h",
            "/",
            [(b"host", b"h"), (b"x-attempt-id", b"r%d" % self.requests)],
            deadline_ms=DEADLINE_MS,
        )
        exchange = Exchange()
        flow = RequestFlow(
            host.context,
            cast(Any, exchange),
            request,
            route,
            None,
            host.context.clock.read(),
        )
        try:
            await flow.run()
        except CallerDisconnectedError:
            pass
        self.outcomes[(route.priority, exchange.status)] += 1
        if exchange.status == 503:
            self.retry_after_s.append(exchange.retry_after_s)

    def stop(self):
        for host in self.hosts.values():
            host.stop()
        logging.disable(logging.NOTSET)
        if self.errors:
            raise self.errors[0]


def find_most_in_window(arrivals, since_s, window_s=4.0):
    """Return the largest number of arrivals in any window that starts at `since_s`."""
    times_s = sorted(a.at_s for a in arrivals if a.at_s >= since_s)
    most = first = 0
    for last, time_s in enumerate(times_s):
        while times_s[first] <= time_s - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
