"""Simulated server of the platform whose work is set by the query of each request."""

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from cornelnotch.kernel.tasks import cancel_and_wait
from cornelnotch.web import Exchange, HttpServer

__all__ = [
    "PROMPT_TOKENS_PER_MS",
    "Disturbance",
    "RateLimit",
    "RunLedger",
    "WorkerRun",
    "WorkerStandin",
]

MAX_BODY_BYTES = 8 * 1024 * 1024
STATUS_OK = 200
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
PROMPT_TOKENS_PER_MS = 30.0
DOWN_S = 2.0
# Time in which hosts send requests again to a server that is back.
RETURN_S = 2.0


@dataclass(slots=True)
class WorkerRun:
    """One request that reached a server; times in monotonic seconds.

    `broke` is true if the server ended the request by crashing. `due_s` is when it
    would have ended its work, had the host not left before.
    """

    server: str
    received_s: float
    executed: bool = False
    finished: bool = False
    broke: bool = False
    ended_s: float = float("inf")
    due_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Time in which a server takes less than usual; in monotonic seconds."""

    since_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class RateLimit:
    """Requests per second that a server takes, from and until monotonic seconds."""

    per_second: float
    since_s: float
    until_s: float


RunLedger = defaultdict[str, list[WorkerRun]]


@dataclass
class WorkerStandin:
    """Simulated server that records all requests in a ledger shared by all servers.

    Query `work` is the time to the response in ms, `size` the size of a body or event,
    `events` the number of events (none for a call), and `gap` the time between them.
    Prompts are read one after another; the parts of those read before are cached. A
    server with `places` turns away what comes while it works on so many requests. A
    server names the last of its `limits` while it lasts, but enforces none. A
    request whose query has `crash` crashes the server, which is back after a while and
    calls `note_start`; `starts` counts its processes. `disturbances` may be shared.
    """

    name: str
    ledger: RunLedger
    places: int = 0
    leaving: bool = False
    crashed: bool = False
    active: int = 0
    running: int = 0
    silent_until_s: float = 0.0
    read_until_s: float = 0.0
    cached_parts: set[str] = field(default_factory=set)
    dropped: list[WorkerRun] = field(default_factory=list)
    starts: int = 1
    note_start: Callable[[], None] = lambda: None
    restart: asyncio.Task[None] | None = None
    limits: list[RateLimit] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    server: HttpServer = field(init=False)

    def __post_init__(self) -> None:
        self.server = HttpServer(self._handle)

    @property
    def address(self) -> str:
        """Return the address that the server listens on."""
        return f"127.0.0.1:{self.server.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        await self.server.start("127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop immediately, like a process that crashes."""
        if self.restart is not None:
            await cancel_and_wait(self.restart)
        await self._crash()

    async def _crash(self) -> None:
        self.crashed = True
        await self.server.stop()

    async def _restart(self) -> None:
        port, now = self.server.port, time.monotonic()
        self.disturbances.append(Disturbance(now, now + DOWN_S + RETURN_S))
        await self._crash()
        await asyncio.sleep(DOWN_S)
        await self.server.start("127.0.0.1", port)
        self.crashed = False
        self.cached_parts.clear()
        self.starts += 1
        self.note_start()

    def fall_silent(self, duration_s: float) -> None:
        """Send nothing for `duration_s`, then go on."""
        now = time.monotonic()
        self.silent_until_s = now + duration_s
        for run in self.dropped:
            if run.due_s > now:
                run.due_s += duration_s

    def name_limit(self, per_second: float, duration_s: float) -> None:
        """Name a rate limit in all responses for `duration_s`."""
        now = time.monotonic()
        self.limits.append(RateLimit(per_second, now, now + duration_s))
        self.disturbances.append(Disturbance(now, now + duration_s))

    async def _handle(self, exchange: Exchange) -> None:
        request_id = exchange.headers.get("x-attempt-id", "")
        run = WorkerRun(self.name, time.monotonic())
        self.ledger[request_id].append(run)
        self.active += 1
        try:
            await self._run(exchange, request_id, run)
        finally:
            self.active -= 1
            run.ended_s = time.monotonic()
            if run.finished or run.due_s == float("inf"):
                run.due_s = run.ended_s
            else:
                # A server that was held up by a slow reader was at work until now.
                run.due_s = max(run.due_s, run.ended_s)
                self.dropped.append(run)
            run.broke = self.crashed and not run.finished

    async def _run(self, exchange: Exchange, request_id: str, run: WorkerRun) -> None:
        await exchange.read_body(MAX_BODY_BYTES)
        headers = {"x-attempt-id": request_id}
        if self.leaving:
            headers["server-leaving"] = "1"
        if self.limits and time.monotonic() < self.limits[-1].until_s:
            headers["server-limit"] = str(self.limits[-1].per_second)
        if exchange.headers.get("x-target-instance") != self.name:
            await exchange.respond(STATUS_MISDIRECTED, headers, b"")
            return
        if self.places:
            headers["x-server-load"] = f"{self.running},0,{self.places}"
            if self.running >= self.places:
                headers["x-not-executed"] = "1"
                await exchange.respond(STATUS_UNAVAILABLE, headers, b"")
                return
        self.running += 1
        try:
            headers["x-server-signature"] = f"{self.name}.{request_id}"
            await self._execute(exchange, request_id, headers, run)
        finally:
            self.running -= 1

    async def _execute(
        self,
        exchange: Exchange,
        request_id: str,
        headers: dict[str, str],
        run: WorkerRun,
    ) -> None:
        run.executed = True
        if "crash" in exchange.query:
            if self.restart is None or self.restart.done():
                # Not awaited here: the stop of the server cancels this task.
                self.restart = asyncio.create_task(self._restart())
            await exchange.disconnected.wait()
            return
        work_ms = float(exchange.query["work"]) + self._queue_prompt(exchange)
        first = int(exchange.headers.get("last-event-id", "0")) + 1
        events = max(int(exchange.query["events"]) + 1 - first, 0)
        stream_ms = events * float(exchange.query["gap"])
        if not await self._work(exchange, run, work_ms, stream_ms):
            return
        if int(exchange.query["events"]):
            run.finished = await self._stream(exchange, headers, run)
            return
        body = request_id.encode().ljust(int(exchange.query["size"]), b".")
        await exchange.respond(STATUS_OK, headers, body)
        run.finished = True

    def _queue_prompt(self, exchange: Exchange) -> float:
        """Return the time in ms until the server has read the prompt."""
        tokens = 0
        for part in filter(
            None, exchange.headers.get("x-prompt-prefix", "").split(",")
        ):
            name, _, size = part.partition(":")
            tokens += 0 if name in self.cached_parts else int(size)
            self.cached_parts.add(name)
        if not tokens:
            return 0.0
        now = time.monotonic()
        begin_s = max(self.read_until_s, now)
        self.read_until_s = begin_s + tokens / PROMPT_TOKENS_PER_MS / 1000.0
        return (self.read_until_s - now) * 1000.0

    async def _work(
        self, exchange: Exchange, run: WorkerRun, work_ms: float, later_ms: float
    ) -> bool:
        """Work for `work_ms`; return false if the gateway has left meanwhile.

        `later_ms` is the time that the rest of the request takes.
        """
        end_s = time.monotonic() + work_ms / 1000.0
        left_s = work_ms / 1000.0
        while left_s > 0.0:
            try:
                async with asyncio.timeout(left_s):
                    await exchange.disconnected.wait()
            except TimeoutError:
                left_s = self.silent_until_s - time.monotonic()
                continue
            run.due_s = max(end_s, self.silent_until_s) + later_ms / 1000.0
            exchange.abort()
            return False
        return True

    async def _stream(
        self, exchange: Exchange, headers: dict[str, str], run: WorkerRun
    ) -> bool:
        first = int(exchange.headers.get("last-event-id", "0")) + 1
        padding = "." * int(exchange.query["size"])
        await exchange.start(
            STATUS_OK, {**headers, "content-type": "text/event-stream"}
        )
        events, gap_ms = int(exchange.query["events"]), float(exchange.query["gap"])
        for number in range(first, events + 1):
            later_ms = (events - number) * gap_ms
            # The host may leave while an event is sent.
            run.due_s = time.monotonic() + (gap_ms + later_ms) / 1000.0
            await exchange.send(f"id: {number}\ndata: {padding}\n\n".encode())
            if not await self._work(exchange, run, gap_ms, later_ms):
                return False
        await exchange.finish()
        return True
