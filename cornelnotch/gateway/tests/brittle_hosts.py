"""Run several hosts over real sockets, and servers that fall over when they reject."""

import asyncio
import itertools
from collections import Counter, deque
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.tests.conftest import (
    Deployment,
    create_configuration,
    create_host,
    create_settings,
    wait_until,
)
from cornelnotch.standins.upstream import REPORT_PATH, UpstreamStandin

SERVERS_PER_SERVICE = 3
SLOTS = 4
USUAL_ROOM = 4
WORK_MS = 400.0
# Calls are given up, and streams refused, some multiple of these after they came.
CALL_TARGET_MS = 2 * WORK_MS
STREAM_TARGET_MS = WORK_MS / 2
EVENTS = 8
DOWN_S = 2.0
# Calls to paths that end so take longer than servers announce brittleness ahead.
LONG = "/long"
LONG_MS = 7500.0
DEADLINE_MS = 3000
LONG_DEADLINE_MS = 10_000
STATUS_OK = 200
STATUS_UNAVAILABLE = 503


class BrittleUpstream(UpstreamStandin):
    """A server with few slots that falls over when it rejects too much in a second.

    It ends its work also if the caller has left.
    """

    def __init__(self, name):
        super().__init__(name, events=EVENTS, boot_ms=1)
        self.room = USUAL_ROOM
        self.falls_s: list[float] = []
        self.rejections = 0
        self.down_s = DOWN_S
        self.relist_s = 0.0
        self.restarted = lambda server: None
        self.faults.call_ms = WORK_MS
        self.faults.event_ms = WORK_MS / EVENTS
        self._fall = None
        self._reset()

    def _reset(self):
        self.held = 0
        self._slots = asyncio.Semaphore(SLOTS)
        self._rejected_s: deque[float] = deque()

    async def stop(self):
        if self._fall is not None:
            self._fall.cancel()
        await super().stop()

    async def _handle(self, exchange):
        if exchange.path == REPORT_PATH:
            await super()._handle(exchange)
        elif self.held >= SLOTS + self.room:
            await self._reject(exchange)
        else:
            await self._hold(exchange)

    async def _hold(self, exchange):
        slots, boot_ms = self._slots, self.boot_ms
        self.held += 1
        try:
            async with slots:
                until_s = asyncio.get_running_loop().time() + WORK_MS / 1000.0
                try:
                    await super()._handle(exchange)
                except Exception:
                    await self._work_until(until_s)
                    raise
                await self._work_until(until_s)
        finally:
            if boot_ms == self.boot_ms:
                self.held -= 1

    async def _is_left_within(self, exchange, wait_ms):
        is_long = exchange.path.endswith(LONG)
        return await super()._is_left_within(exchange, LONG_MS if is_long else wait_ms)

    @staticmethod
    async def _work_until(until_s):
        await asyncio.sleep(until_s - asyncio.get_running_loop().time())

    async def _reject(self, exchange):
        """Reject a request, and fall over if that is one too many."""
        self.rejections += 1
        now_s = asyncio.get_running_loop().time()
        self._rejected_s.append(now_s)
        while self._rejected_s[0] <= now_s - 1.0:
            self._rejected_s.popleft()
        brittle = self.faults.brittle
        if brittle is not None and len(self._rejected_s) > float(brittle):
            self._fall_over(now_s)
            exchange.abort()
            return
        headers = self._create_headers(exchange.headers.get("x-attempt-id", ""))
        headers["x-not-executed"] = "1"
        await exchange.respond(STATUS_UNAVAILABLE, headers, b"")

    def _fall_over(self, now_s):
        if self._fall is None or self._fall.done():
            self.falls_s.append(now_s)
            self.crash()

    def crash(self):
        """End at once, and start again after a while."""
        self._fall = asyncio.create_task(self._restart())

    async def _restart(self):
        port = self.server.port
        await self.server.stop()
        await asyncio.sleep(self.down_s)
        self.boot_ms += 1
        self._reset()
        await self.server.start("127.0.0.1", port)
        await asyncio.sleep(self.relist_s)
        self.restarted(self)


@dataclass(frozen=True)
class Answer:
    """What a caller got; `whole` if nothing of it is missing."""

    sent_s: float
    took_s: float
    path: str
    status: int
    whole: bool


class BrittleHosts(Deployment):
    """Hosts, and brittle servers of a service of calls and of one of streams."""

    def __init__(self, hosts=3):
        super().__init__()
        numbers = range(1, SERVERS_PER_SERVICE + 1)
        self.desks = [BrittleUpstream(f"desk-{n}") for n in numbers]
        self.engines = [BrittleUpstream(f"llm-{n}") for n in numbers]
        self.host_count = hosts
        self.hosts = []
        self.answers = []
        self._ids = itertools.count()
        self._tasks = set()

    @property
    def servers(self):
        return self.desks + self.engines

    async def start(self):
        await self.store.start()
        for server in self.servers:
            await server.start()
            server.restarted = self.list_brittle
            self.list_brittle(server)
        content = create_configuration()
        for route in content["routes"]:
            route["timeout_ms"] = 2 * LONG_MS
            is_stream = route["route_type"] == "streaming"
            route["target_latency_ms"] = (
                STREAM_TARGET_MS if is_stream else CALL_TARGET_MS
            )
        self.configure(content)
        seeds = ""
        for number in range(self.host_count):
            settings = create_settings(self.store, f"host-{number + 1}", seeds=seeds)
            seeds = seeds or settings.listen.peers
            self.hosts.append(create_host(settings))
            await self.hosts[-1].start()
        await wait_until(
            lambda: all(
                host.is_ready()
                and len(host.context.hosts) == self.host_count
                and len(host.context.pool.servers) == len(self.servers)
                for host in self.hosts
            )
        )

    def list_brittle(self, server):
        service = "desk" if server in self.desks else "llm"
        self.list_server(server, service, born=server.boot_ms, capacity=SLOTS)

    async def become_brittle(self, per_second, contact_s, room=0):
        """Announce brittleness, and let fewer requests wait after a while."""
        for server in self.servers:
            server.faults.brittle = f"{per_second:g}"
        await asyncio.sleep(contact_s)
        for server in self.servers:
            server.room = room

    async def load(self, path, per_second, duration_s, leave_s=None):
        """Send requests to all hosts in turn at even times.

        With `leave_s`, every other caller leaves that long after it came.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        for number in range(int(per_second * duration_s)):
            await asyncio.sleep(began_s + number / per_second - loop.time())
            host = self.hosts[number % self.host_count]
            limit_s = leave_s if number % 2 else None
            self._start(self.send_once(host, path, limit_s))

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_for_answers(self):
        await asyncio.gather(*self._tasks)

    async def send_once(self, host, path, leave_s=None):
        """Send a request to a host and record its answer, unless the caller leaves."""
        with suppress(TimeoutError):
            async with asyncio.timeout(leave_s):
                await self._send_once(host, path)

    async def _send_once(self, host, path):
        sent_s = asyncio.get_running_loop().time()
        number = next(self._ids)
        status, whole = 0, False
        with suppress(UpstreamError):
            answer = await self.send(
                path,
                address=host.settings.listen.callers,
                x_attempt_id=f"a{number}",
                x_deadline_ms=str(
                    LONG_DEADLINE_MS if path.endswith(LONG) else DEADLINE_MS
                ),
                x_prompt_prefix=f"own-{number}:40",
                x_token_usage="40,10",
            )
            try:
                status = answer.status
                body = await answer.read()
            except asyncio.CancelledError:
                answer.close()
                raise
            whole = status != STATUS_OK or self._is_whole(path, body)
        took_s = asyncio.get_running_loop().time() - sent_s
        self.answers.append(Answer(sent_s, took_s, path, status, whole))

    @staticmethod
    def _is_whole(path, body):
        if not path.startswith("/stream/"):
            return body.startswith(b"done by desk-")
        events = range(1, EVENTS + 1)
        return body == b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in events)

    def count_statuses(self, path, since_s):
        found = [a for a in self.answers if a.path == path and a.sent_s >= since_s]
        return Counter(answer.status for answer in found)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        self.client.close()
        for host in self.hosts:
            await host.stop()
        for server in self.servers:
            await server.stop()
        await self.store.stop()


@asynccontextmanager
async def run_brittle_hosts():
    fleet = BrittleHosts()
    await fleet.start()
    try:
        yield fleet
    finally:
        await fleet.stop()
