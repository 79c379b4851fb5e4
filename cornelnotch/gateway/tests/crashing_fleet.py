"""Simulate hosts and servers that one part of a prompt crashes, in virtual time."""

import asyncio
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any, cast

from cornelnotch.exceptions import (
    CallerDisconnectedError,
    UpstreamError,
    UpstreamUnreachableError,
)
from cornelnotch.gateway.flow import RequestFlow
from cornelnotch.gateway.models import CallerRequest, PromptPart, ServerRecord
from cornelnotch.gateway.tests.limited_fleet import (
    DEADLINE_MS,
    SERVICE,
    WORK_MS,
    Exchange,
    LimitedFleet,
    Response,
)
from cornelnotch.web import Reachability

BAD_PART = "bad"
PART_TOKENS = 100
DOWN_S = 3.0
# Time within which hosts learn of a server's restart.
MAX_LISTING_S = 1.0
SHARED_PARTS = 2
WORKSPACES = 10
DOCUMENTS = 40


@dataclass(frozen=True)
class Crash:
    """A server that crashed; `cause` is the bad part that crashed it, if any."""

    at_s: float
    server: str
    cause: str = ""

    @property
    def bad(self):
        return bool(self.cause)


@dataclass(frozen=True)
class BadSend:
    """A request with a bad part that reached a server."""

    at_s: float
    cause: str


def find_cause(prompt):
    """Return the bad part of a prompt, or an empty text."""
    return next((p.name for p in prompt if p.name.startswith(BAD_PART)), "")


class CrashingServer:
    """A server that crashes when it begins to write a response with the bad part."""

    def __init__(self, fleet, name, domain):
        self.fleet = fleet
        self.record = ServerRecord(name, SERVICE, f"{name}:80", domain, 64, boot_ms=1)
        self.is_down = False
        self.crashed = asyncio.Event()

    async def serve(self, prompt):
        """Return after the work is done; raise UpstreamError if the server crashes."""
        crashed = self.crashed
        begun = asyncio.create_task(asyncio.sleep(WORK_MS / 2000.0))
        await begun
        if not crashed.is_set() and find_cause(prompt):
            self.crash(find_cause(prompt))
        try:
            async with asyncio.timeout(WORK_MS / 2000.0):
                await crashed.wait()
        except TimeoutError:
            return
        raise UpstreamError("the connection was closed", "retry")

    def crash(self, cause=""):
        loop = asyncio.get_running_loop()
        self.fleet.crashes.append(Crash(loop.time(), self.record.name, cause))
        self.crashed.set()
        self.is_down = True
        loop.call_later(DOWN_S, self._restart)

    def _restart(self):
        self.is_down = False
        self.crashed = asyncio.Event()
        self.record = replace(self.record, boot_ms=self.record.boot_ms + 1)
        self.fleet.announce_servers()


class CrashingClient:
    """Deliver the requests of one host to servers that may be down."""

    def __init__(self, fleet, host):
        self.fleet = fleet
        self.host = host

    async def send(self, address, head, body, fresh, note_sending):
        note_sending()
        fleet = self.fleet
        server = fleet.servers[address]
        request_id = dict(head.headers)[b"x-attempt-id"]
        await fleet.wait_until_thawed(self.host)
        await fleet.delay()
        if server.is_down:
            raise self._create_refusal(address)
        prompt = fleet.prompts[request_id]
        if cause := find_cause(prompt):
            now_s = asyncio.get_running_loop().time()
            fleet.bad_sends.append(BadSend(now_s, cause))
        await server.serve(prompt)
        await fleet.delay()
        await fleet.wait_until_thawed(self.host)
        headers = [(b"x-attempt-id", request_id), (b"x-server-signature", b"s")]
        return Response(headers)

    async def probe(self, address):
        await self.fleet.delay()
        is_down = self.fleet.servers[address].is_down
        return Reachability.REFUSED if is_down else Reachability.ACCEPTED

    def close_idle_connections(self, address):
        pass

    @staticmethod
    def _create_refusal(address):
        error = UpstreamUnreachableError(f"{address} is unreachable", "check it")
        error.__cause__ = ConnectionRefusedError()
        return error


class CrashingFleet(LimitedFleet):
    """Hosts, servers that a bad part crashes, and callers that send it."""

    server_type = CrashingServer

    def __init__(self, hosts, servers, seed=0):
        self.crashes: list[Crash] = []
        self.bad_sends: list[BadSend] = []
        self.prompts: dict[bytes, list[PromptPart]] = {}
        self.sound: Counter[tuple[int, bool]] = Counter()
        self.bad_statuses: Counter[int] = Counter()
        domains = ("a", "b", "c")
        named = [
            self.server_type(self, f"s{n}", domains[n % len(domains)])
            for n in range(servers)
        ]
        super().__init__(hosts, named, seed)

    def create_client(self, host):
        return CrashingClient(self, host)

    def announce_servers(self):
        """Tell each host the records of all servers after a while."""
        for host in self.hosts.values():
            delay_s = self.generator.uniform(0.0, MAX_LISTING_S)
            asyncio.get_running_loop().call_later(delay_s, self._list_servers, host)

    def _list_servers(self, host):
        host.context.pool.replace(s.record for s in self.servers.values())

    def create_repeated_prompt(self, number):
        """Return the prompt of a request that crashes servers by itself."""
        parts = ["shared-0", "workspace-0", "document-0", f"{BAD_PART}-{number}"]
        return [PromptPart(name, PART_TOKENS) for name in parts]

    def create_prompt(self, bad):
        """Return the parts of a prompt; the bad one may stand anywhere but last."""
        choose = self.generator.randrange
        parts = [f"shared-{choose(SHARED_PARTS)}", f"workspace-{choose(WORKSPACES)}"]
        parts.append(f"document-{choose(DOCUMENTS)}")
        if bad:
            parts[choose(len(parts))] = BAD_PART
        parts.append(f"own-{self.requests}")
        return [PromptPart(name, PART_TOKENS) for name in parts]

    async def load_bad(self, per_second, duration_s):
        """Send requests with the bad part at random times to random hosts."""
        await self._load(per_second, duration_s, bad=True)

    async def load_repeated(self, per_second, duration_s, number=0):
        """Send a request that crashes servers at random times to random hosts."""
        prompt = self.create_repeated_prompt(number)
        await self._load(per_second, duration_s, True, prompt)

    async def load(self, per_second, duration_s):
        await self._load(per_second, duration_s, bad=False)

    async def crash_servers(self, per_second, duration_s):
        """Crash random servers that no request is to blame for."""
        end_s = asyncio.get_running_loop().time() + duration_s
        while asyncio.get_running_loop().time() < end_s:
            await asyncio.sleep(self.generator.expovariate(per_second))
            server = self.generator.choice(list(self.servers.values()))
            if not server.is_down:
                server.crash()

    async def _load(self, per_second, duration_s, bad, prompt=None):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        while loop.time() < end_s:
            await asyncio.sleep(self.generator.expovariate(per_second))
            host = self.generator.choice(list(self.hosts.values()))
            if host.is_alive and host.thawed_s <= loop.time():
                self.start(self.send(host, bad, prompt))

    async def send(self, host, bad, prompt=None):
        """Send one request to a host and record what its caller got."""
        self.requests += 1
        request_id = b"r%d" % self.requests
        prompt = prompt or self.create_prompt(bad)
        self.prompts[request_id] = prompt
        request = CallerRequest(
            request_id.decode(),
            "GET",
            "/",
            "h",
            "/",
            [(b"host", b"h"), (b"x-attempt-id", request_id)],
            deadline_ms=DEADLINE_MS,
            prompt=tuple(prompt),
        )
        exchange = Exchange()
        context = host.context
        sent_s = asyncio.get_running_loop().time()
        flow = RequestFlow(
            context,
            cast(Any, exchange),
            request,
            self.generator.choice(self.routes),
            None,
            context.clock.read(),
        )
        try:
            await flow.run()
        except CallerDisconnectedError:
            pass
        if bad:
            self.bad_statuses[exchange.status] += 1
        else:
            self.sound[(int(sent_s), exchange.status == 200)] += 1

    def find_sound_share(self, since_s, until_s):
        """Return the share of sound requests sent in a span that were served."""
        sent = {k: n for k, n in self.sound.items() if since_s <= k[0] < until_s}
        served = sum(n for (_, is_served), n in sent.items() if is_served)
        return served / max(sum(sent.values()), 1)

    def count_sends_after_bound(self, bound_s, lives=5, cause=""):
        """Return the sends of a bad part later than `bound_s` after crash `lives`.

        Without a `cause`, those of all bad parts count.
        """
        crashes = [c for c in self.crashes if c.bad and cause in {"", c.cause}]
        if len(crashes) < lives:
            return 0
        end_s = crashes[lives - 1].at_s + bound_s
        sends = [send for send in self.bad_sends if cause in {"", send.cause}]
        return sum(send.at_s > end_s for send in sends)
