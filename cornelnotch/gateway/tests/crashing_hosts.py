"""Run several hosts over real sockets, and servers that one request crashes."""

import asyncio
import itertools
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

from cornelnotch.gateway.tests.conftest import (
    HOST_NAME,
    KEY,
    Deployment,
    create_configuration,
    create_host,
    create_settings,
    wait_until,
)
from cornelnotch.standins.upstream import UpstreamStandin

OTHER_KEY = "key-2"
OTHER_WORKSPACE = "other"
SERVERS = 4
DOWN_S = 0.8
DEADLINE_MS = 2500
CALLER_TIMEOUT_S = 3.0


@dataclass(frozen=True)
class Request:
    """What a caller sends, apart from its id."""

    path: str
    body: bytes = b""
    prompt: str = ""
    key: str = KEY
    method: str = "POST"
    is_chunked: bool = False

    def encode(self, request_id):
        headers = {
            "host": HOST_NAME,
            "x-attempt-id": request_id,
            "x-key": self.key,
            "x-deadline-ms": str(DEADLINE_MS),
            "connection": "close",
        }
        if self.prompt:
            headers["x-prompt-prefix"] = self.prompt
            headers["x-token-usage"] = "100,10"
        body = self.body
        if self.is_chunked:
            headers["transfer-encoding"] = "chunked"
            pieces = [body[i : i + 7] for i in range(0, len(body), 7)]
            chunks = [b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces]
            body = b"".join(chunks) + b"0\r\n\r\n"
        else:
            headers["content-length"] = str(len(body))
        lines = [f"{self.method} {self.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        return "\r\n".join([*lines, "", ""]).encode() + body


@dataclass
class CrashingUpstream(UpstreamStandin):
    """A server that crashes when it begins to run one request, and starts again."""

    hosts: Any = field(default=None, repr=False)
    boots: int = 1

    def is_deadly(self):
        """Return whether the latest request crashes the server."""
        received = self.received_headers[-1]
        workspace = "acme" if self.hosts.deadly.key == KEY else OTHER_WORKSPACE
        return (
            self.targets[-1] == self.hosts.deadly.path
            and self.bodies[-1] == self.hosts.deadly.body
            and received.get("x-prompt-prefix", "") in self.hosts.deadly_prompts
            and received.get("x-tenant") == workspace
        )

    async def _answer(self, exchange, headers):
        if self.is_deadly():
            self.hosts.note_deadly_send()
            self.hosts.start_task(self._crash())
            await exchange.disconnected.wait()
            exchange.abort()
            return
        await super()._answer(exchange, headers)

    async def _crash(self):
        port = self.server.port
        self.hosts.crashes_s.append(asyncio.get_running_loop().time())
        await self.server.stop()
        await asyncio.sleep(DOWN_S)
        self.boots += 1
        await self.server.start("127.0.0.1", port)
        self.hosts.list_server(self, "llm")


class CrashingHosts(Deployment):
    """Hosts over real sockets, and servers of one service that `deadly` crashes."""

    server_type = CrashingUpstream

    def __init__(self, deadly, hosts, deadly_prompts=None):
        super().__init__()
        self.deadly = deadly
        self.deadly_prompts = deadly_prompts or {deadly.prompt}
        self.desks = []
        self.engines = [
            self.server_type(f"llm-{n}", hosts=self) for n in range(SERVERS)
        ]
        self.host_count = hosts
        self.others = []
        self.crashes_s: list[float] = []
        self.deadly_sends_s: list[float] = []
        self.sound: list[tuple[float, int]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._ids = itertools.count()

    def list_server(self, server, service, **fields):
        fields.setdefault("born", server.boots)
        super().list_server(server, service, **fields)

    async def start(self):
        await self.store.start()
        for server in self.engines:
            await server.start()
            self.list_server(server, "llm")
        tenants = [
            {"name": "acme", "api_keys": [KEY]},
            {"name": OTHER_WORKSPACE, "api_keys": [OTHER_KEY]},
        ]
        content = create_configuration(tenants=tenants)
        for route in content["routes"]:
            route["service"] = "llm"
        self.configure(content)
        self.settings = create_settings(self.store)
        self.host = create_host(self.settings)
        await self.host.start()
        seeds = self.settings.listen.peers
        for number in range(1, self.host_count):
            settings = create_settings(self.store, f"host-{number + 1}", seeds=seeds)
            self.others.append(create_host(settings))
            await self.others[-1].start()
        await self.wait_until_joined()

    async def wait_until_joined(self):
        """Wait until each host knows all hosts and all servers."""
        await wait_until(
            lambda: all(
                len(host.context.hosts) == self.host_count
                and len(host.context.pool.servers) == SERVERS
                for host in self.list_hosts()
            )
        )

    def list_hosts(self):
        return [self.host, *self.others]

    def start_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def note_deadly_send(self):
        self.deadly_sends_s.append(asyncio.get_running_loop().time())

    async def send_to(self, host, request):
        """Send a request to a host; return its status, or 0 without a whole answer."""
        address, _, port = host.settings.listen.callers.rpartition(":")
        data = b""
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CALLER_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(address, int(port))
                try:
                    writer.write(request.encode(f"a{next(self._ids)}"))
                    data = await reader.read(-1)
                finally:
                    writer.transport.abort()
        return int(data.split(b" ", 2)[1]) if data.startswith(b"HTTP/1.1 ") else 0

    async def send_repeatedly(self, create, per_second, duration_s, statuses):
        """Send requests at a fixed rate, to each host in turn."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for number in range(int(per_second * duration_s)):
            await asyncio.sleep(began_s + number / per_second - loop.time())
            host = self.list_hosts()[number % self.host_count]
            self.start_task(self._record(host, create(number), statuses))

    async def _record(self, host, request, statuses):
        sent_s = asyncio.get_running_loop().time()
        statuses.append((sent_s, await self.send_to(host, request)))

    async def wait_for_tasks(self):
        while self._tasks:
            await asyncio.wait(self._tasks)

    def count_late_sends(self, crashes, bound_s):
        """Return the sends of the request later than `bound_s` after that crash."""
        if len(self.crashes_s) < crashes:
            return 0
        end_s = self.crashes_s[crashes - 1] + bound_s
        return sum(sent_s > end_s for sent_s in self.deadly_sends_s)

    def find_sound_share(self, since_s):
        """Return the share of the sound requests sent since then that were served."""
        statuses = [status for sent_s, status in self.sound if sent_s >= since_s]
        return statuses.count(200) / max(len(statuses), 1)

    async def stop(self):
        for host in self.others:
            await host.stop()
        await super().stop()
