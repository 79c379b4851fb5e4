"""Run several hosts whose links to servers and to each other can be cut."""

import asyncio
import itertools
import re
import socket
import struct
from collections import Counter
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from enum import StrEnum

from cornelnotch.exceptions import UpstreamUnreachableError
from cornelnotch.gateway.settings import HostSection
from cornelnotch.gateway.tests.conftest import (
    Deployment,
    create_configuration,
    create_host,
    create_settings,
    wait_until,
)
from cornelnotch.gateway.tests.kept_connection import KeptConnection, Reply
from cornelnotch.standins.upstream import UpstreamStandin
from cornelnotch.web import HttpClient, parse_address

LOOPBACK_ADDRESS = "127.0.0.1"
READ_BYTES = 65536
HOLE_CONNECTIONS = 4
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
EVENTS = 6
SERVERS_PER_SERVICE = 3
REGIONS = {"north-a": "north", "north-b": "north", "south-a": "south"}
DEADLINE_MS = 2500
CALLER_TIMEOUT_S = 3.0
SETTLE_PER_SECOND = 12
SETTLE_S = 0.5
STATUS_OK = 200
REFUSAL_STATUSES = frozenset({429, 503})
REQUEST_ID = re.compile(rb"x-attempt-id: *(\S+)\r\n", re.IGNORECASE)
EVENT_ID = re.compile(rb"id: (\d+)\ndata: piece \d+\w*\n\n")


class Way(StrEnum):
    """What a cut does to open and to new connections."""

    HANG = "hang"
    REFUSE = "refuse"
    RESET_THEN_HANG = "reset-then-hang"
    KEEP_THEN_REFUSE = "keep-then-refuse"

    @property
    def hangs(self):
        return self in {Way.HANG, Way.RESET_THEN_HANG}

    @property
    def resets(self):
        return self in {Way.REFUSE, Way.RESET_THEN_HANG}


class Kind(StrEnum):
    """What a caller requests."""

    READ = "read"
    BOOK = "book"
    STREAM = "stream"


class UnservedAddresses:
    """An address where connecting hangs, and one where it is refused."""

    def __init__(self):
        # Connections beyond the backlog are neither accepted nor refused.
        self._full = socket.create_server((LOOPBACK_ADDRESS, 0), backlog=0)
        self._sockets = [self._full]
        for _ in range(HOLE_CONNECTIONS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._full.getsockname())
            self._sockets.append(filler)
        self._closed = socket.socket()
        self._closed.bind((LOOPBACK_ADDRESS, 0))
        self._sockets.append(self._closed)

    @property
    def hanging(self):
        return f"{LOOPBACK_ADDRESS}:{self._full.getsockname()[1]}"

    @property
    def refusing(self):
        return f"{LOOPBACK_ADDRESS}:{self._closed.getsockname()[1]}"

    def close(self):
        for each in self._sockets:
            each.close()


class Link:
    """Link of one host to one server or to another host's callers' address."""

    def __init__(self, target, unserved):
        self.target = target
        self.request_ids = []
        self._unserved = unserved
        self._way = None
        self._open = asyncio.Event()
        self._open.set()
        self._prepared = []
        self._writers = set()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, LOOPBACK_ADDRESS, 0)

    async def stop(self):
        self._server.close()
        for _, writer in self._prepared:
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self, way):
        self._way = way
        if way is Way.HANG:
            self._open.clear()
        if way.resets:
            for writer in list(self._writers):
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                writer.transport.abort()

    def heal(self):
        self._way = None
        self._open.set()

    async def find_address(self):
        """Return the address that the host connects to for its next connection."""
        if self._way is not None:
            unserved = self._unserved
            return unserved.hanging if self._way.hangs else unserved.refusing
        try:
            prepared = await asyncio.open_connection(*parse_address(self.target))
        except OSError:
            return self._unserved.refusing
        self._prepared.append(prepared)
        return f"{LOOPBACK_ADDRESS}:{self._server.sockets[0].getsockname()[1]}"

    async def _accept(self, reader, writer):
        task = asyncio.current_task()
        server_reader, server_writer = self._prepared.pop()
        self._tasks.add(task)
        self._writers |= {writer, server_writer}
        try:
            await asyncio.gather(
                self._forward(reader, server_writer, is_request=True),
                self._forward(server_reader, writer),
            )
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.discard(task)
            self._writers -= {writer, server_writer}
            writer.transport.abort()
            server_writer.transport.abort()

    async def _forward(self, reader, writer, is_request=False):
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self._open.wait()
                if is_request:
                    found = REQUEST_ID.findall(data)
                    self.request_ids += [request_id.decode() for request_id in found]
                writer.write(data)
                await writer.drain()
        await self._open.wait()
        writer.close()


class LinkedClient(HttpClient):
    """Client of a host that reaches servers and hosts only over its links."""

    def __init__(self, links):
        super().__init__()
        self._links = links

    async def _connect(self, address, *arguments, **fields):
        link = self._links.get(address)
        if link is None:
            return await super()._connect(address, *arguments, **fields)
        try:
            found = await link.find_address()
            return await super()._connect(found, *arguments, **fields)
        except UpstreamUnreachableError:
            self.close_idle_connections(address)
            raise


@dataclass(frozen=True)
class Attempt:
    """A first try of a caller at a host, and what came of it."""

    host: int
    kind: Kind
    request_id: str
    sent_s: float
    took_s: float
    reply: Reply

    @property
    def is_served(self):
        """Return whether the caller received the whole response."""
        if self.reply.status != STATUS_OK or not self.reply.whole:
            return False
        return self.kind is not Kind.STREAM or self.numbers == list(
            range(1, EVENTS + 1)
        )

    @property
    def is_refused(self):
        return self.reply.status in REFUSAL_STATUSES

    @property
    def numbers(self):
        return [int(number) for number in EVENT_ID.findall(self.reply.body)]


@dataclass(frozen=True)
class Share:
    """How many of all first tries were served."""

    served: int
    tries: int

    @property
    def value(self):
        return self.served / max(self.tries, 1)


class SeveredHosts(Deployment):
    """Hosts in several failure domains, and servers of two services."""

    def __init__(self, hosts=3):
        super().__init__()
        names = range(1, SERVERS_PER_SERVICE + 1)
        self.desks = [UpstreamStandin(f"desk-{n}") for n in names]
        self.engines = [UpstreamStandin(f"llm-{n}", events=EVENTS) for n in names]
        self.host_count = hosts
        self.hosts = []
        self.settings_by_host = []
        self.server_links = []
        self.host_links = []
        self.attempts = []
        self._unserved = UnservedAddresses()
        self._ids = itertools.count()
        self._tasks = set()

    @property
    def servers(self):
        return self.desks + self.engines

    async def start(self):
        await self.store.start()
        for service, servers in (("desk", self.desks), ("llm", self.engines)):
            for server, zone in zip(servers, REGIONS, strict=True):
                await server.start()
                self.list_server(server, service, zone=zone)
        self.configure(create_configuration())
        for number in range(self.host_count):
            self.settings_by_host.append(self._create_settings(number))
        for settings in self.settings_by_host:
            server_links = await self._create_links({s.address for s in self.servers})
            others = self.list_addresses() - {settings.listen.callers}
            host_links = await self._create_links(others)
            self.server_links.append(server_links)
            self.host_links.append(host_links)
            client = LinkedClient(server_links | host_links)
            self.hosts.append(create_host(settings, client))
            await self.hosts[-1].start()
        await wait_until(
            lambda: all(
                host.is_ready()
                and len(host.context.hosts) == self.host_count
                and len(host.context.pool.servers) == len(self.servers)
                for host in self.hosts
            )
        )

    def _create_settings(self, number):
        seeds = self.settings_by_host[0].listen.peers if number else ""
        name = f"host-{number + 1}"
        settings = create_settings(self.store, name, seeds=seeds)
        domain = list(REGIONS)[number % len(REGIONS)]
        settings.host = HostSection(name, domain, REGIONS[domain])
        settings.regions = dict(REGIONS)
        return settings

    async def _create_links(self, addresses):
        """Return a link to each address, by address."""
        links = {address: Link(address, self._unserved) for address in addresses}
        for link in links.values():
            await link.start()
        return links

    def list_addresses(self):
        """Return the addresses at which hosts take requests."""
        return {settings.listen.callers for settings in self.settings_by_host}

    def list_domain(self, domain):
        """Return the hosts of a failure domain."""
        domains = [settings.host.domain for settings in self.settings_by_host]
        return {number for number, each in enumerate(domains) if each == domain}

    def cut(self, hosts, way):
        """Cut the links of hosts to all servers."""
        for host in hosts:
            for link in self.server_links[host].values():
                link.cut(way)

    def heal(self, hosts):
        for host in hosts:
            for link in self.server_links[host].values():
                link.heal()

    def cut_between_hosts(self, host, way):
        """Cut the links of a host to the other hosts' addresses for callers."""
        for link in self.host_links[host].values():
            link.cut(way)

    async def kill_host(self, host):
        """Stop a host at once, without a chance to tell anything."""
        await self.hosts[host].tasks.stop()
        await self.hosts[host].stop()

    def create_id(self, kind):
        return f"{kind}-{next(self._ids)}"

    async def send_to(self, host, kind, request_id=None, path="", **headers):
        """Send a request on a connection of its own and return the attempt."""
        request_id = request_id or self.create_id(kind)
        method = "POST" if kind is Kind.BOOK else "GET"
        body = request_id.encode() if kind is Kind.BOOK else b""
        address = self.settings_by_host[host].listen.callers
        sent_s = asyncio.get_running_loop().time()
        reply = Reply(0, {}, b"", False)
        headers = {"x_deadline_ms": str(DEADLINE_MS), **headers}
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                connection = await KeptConnection.open(address)
                try:
                    reply = await connection.send(
                        request_id, path or f"/{kind}/1", method, body, **headers
                    )
                finally:
                    connection.writer.transport.abort()
        took_s = asyncio.get_running_loop().time() - sent_s
        return Attempt(host, kind, request_id, sent_s, took_s, reply)

    def start_request(self, host, kind, **fields):
        """Start to send a request and return the task."""
        task = asyncio.create_task(self._record(host, kind, **fields))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _record(self, host, kind, **fields):
        attempt = await self.send_to(host, kind, **fields)
        self.attempts.append(attempt)
        return attempt

    async def send_steadily(self, hosts, per_second, duration_s):
        """Send requests of all kinds to each host at a fixed rate."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        kinds = itertools.cycle(Kind)
        for number in range(int(per_second * duration_s)):
            await asyncio.sleep(began_s + number / per_second - loop.time())
            kind = next(kinds)
            for host in sorted(hosts):
                self.start_request(host, kind)

    async def settle(self):
        """Send a few requests to each host, so that it has used all its links."""
        await self.send_steadily(range(self.host_count), SETTLE_PER_SECOND, SETTLE_S)
        await self.wait_for_requests()

    async def wait_for_requests(self):
        """Wait until all requests have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def find_share(self, hosts, since_s, until_s):
        """Return the share of the first tries sent in that time that were served."""
        tries = [
            attempt
            for attempt in self.attempts
            if attempt.host in hosts and since_s <= attempt.sent_s < until_s
        ]
        return Share(sum(attempt.is_served for attempt in tries), len(tries))

    def count_executions(self):
        """Return how often each request was run, by id."""
        total: Counter[str] = Counter()
        for server in self.servers:
            total.update(server.executions)
        return total

    def list_repeated_books(self):
        """Return the ids of `book` calls that were run more than once."""
        prefix = f"{Kind.BOOK}-"
        runs = self.count_executions()
        return [name for name in runs if name.startswith(prefix) and runs[name] > 1]

    def list_false_refusals(self):
        """Return the `book` calls that were run and refused."""
        runs = self.count_executions()
        return [
            attempt
            for attempt in self.attempts
            if attempt.kind is Kind.BOOK
            and attempt.is_refused
            and runs[attempt.request_id]
        ]

    def count_hops(self):
        """Return the number of requests that hosts passed on to other hosts."""
        links = [link for links in self.host_links for link in links.values()]
        return sum(len(link.request_ids) for link in links)

    def count_disconnects(self):
        """Return how often servers were left before the end of a response."""
        return sum(server.disconnects for server in self.servers)

    def find_sender(self, request_id):
        """Return a host that sent a request to a server, or None."""
        senders = [
            host
            for host in range(self.host_count)
            if request_id in self.list_ids_over_links(host)
        ]
        return senders[0] if senders else None

    def list_ids_over_links(self, host):
        """Return the ids of the requests that a host sent over its own links."""
        links = self.server_links[host].values()
        return [request_id for link in links for request_id in link.request_ids]

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        self.client.close()
        for host in self.hosts:
            await host.stop()
        for links in self.server_links + self.host_links:
            for link in links.values():
                await link.stop()
        for server in self.servers:
            await server.stop()
        self._unserved.close()
        await self.store.stop()


@asynccontextmanager
async def run_hosts(hosts=3):
    fleet = SeveredHosts(hosts)
    await fleet.start()
    try:
        yield fleet
    finally:
        await fleet.stop()
