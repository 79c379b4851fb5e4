"""Simulated server of the platform whose work is set by the query of each request."""

import asyncio
import time
from collections import defaultdict
from dataclasses import dataclass, field

from cornelnotch.web import Exchange, HttpServer

__all__ = ["RunLedger", "WorkerRun", "WorkerStandin"]

MAX_BODY_BYTES = 8 * 1024 * 1024
STATUS_OK = 200
STATUS_MISDIRECTED = 421


@dataclass(slots=True)
class WorkerRun:
    """One request that reached a server; times in monotonic seconds.

    `broke` is true if the server ended the request by crashing.
    """

    server: str
    received_s: float
    executed: bool = False
    finished: bool = False
    broke: bool = False
    ended_s: float = float("inf")


RunLedger = defaultdict[str, list[WorkerRun]]


@dataclass
class WorkerStandin:
    """Simulated server that records all requests in a ledger shared by all servers.

    Query `work` is the time to the response in ms, `size` the size of a body or event,
    `events` the number of events (none for a call), and `gap` the time between them.
    """

    name: str
    ledger: RunLedger
    leaving: bool = False
    crashed: bool = False
    active: int = 0
    silent_until_s: float = 0.0
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
        self.crashed = True
        await self.server.stop()

    def fall_silent(self, duration_s: float) -> None:
        """Send nothing for `duration_s`, then go on."""
        self.silent_until_s = time.monotonic() + duration_s

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
            run.broke = self.crashed and not run.finished

    async def _run(self, exchange: Exchange, request_id: str, run: WorkerRun) -> None:
        await exchange.read_body(MAX_BODY_BYTES)
        headers = {"x-attempt-id": request_id}
        if self.leaving:
            headers["server-leaving"] = "1"
        if exchange.headers.get("x-target-instance") != self.name:
            await exchange.respond(STATUS_MISDIRECTED, headers, b"")
            return
        run.executed = True
        headers["x-server-signature"] = f"{self.name}.{request_id}"
        if not await self._work(exchange, float(exchange.query["work"])):
            return
        if int(exchange.query["events"]):
            run.finished = await self._stream(exchange, headers)
            return
        body = request_id.encode().ljust(int(exchange.query["size"]), b".")
        await exchange.respond(STATUS_OK, headers, body)
        run.finished = True

    async def _work(self, exchange: Exchange, work_ms: float) -> bool:
        """Work for `work_ms`; return false if the gateway has left meanwhile."""
        left_s = work_ms / 1000.0
        while left_s > 0.0:
            try:
                async with asyncio.timeout(left_s):
                    await exchange.disconnected.wait()
            except TimeoutError:
                left_s = self.silent_until_s - time.monotonic()
                continue
            exchange.abort()
            return False
        return True

    async def _stream(self, exchange: Exchange, headers: dict[str, str]) -> bool:
        first = int(exchange.headers.get("last-event-id", "0")) + 1
        padding = "." * int(exchange.query["size"])
        await exchange.start(
            STATUS_OK, {**headers, "content-type": "text/event-stream"}
        )
        for number in range(first, int(exchange.query["events"]) + 1):
            await exchange.send(f"id: {number}\ndata: {padding}\n\n".encode())
            if not await self._work(exchange, float(exchange.query["gap"])):
                return False
        await exchange.finish()
        return True
