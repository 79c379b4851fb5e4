"""Simulated server of the platform, with calls, event streams and faults."""

import asyncio
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field

from cornelnotch.web import Exchange, HttpServer

__all__ = ["UpstreamFaults", "UpstreamStandin"]

MAX_BODY_BYTES = 8 * 1024 * 1024
STATUS_UNAVAILABLE = 503
STATUS_MISDIRECTED = 421
STREAM_PREFIX = "/stream/"
REPORT_PATH = "/report"


@dataclass(slots=True)
class UpstreamFaults:
    """Faults of the server, which apply to every request.

    `abort` closes the connection without a response. `abort_after_events` is the number
    of complete events after which a stream is aborted within the next event;
    `stall_after_events` is the number after which it stops sending but stays open, for
    `stall_ms` or until its caller leaves; it does so `stall_times`, each after as many
    further events. A stream starts after `first_ms`. The first
    `fail_times` calls fail. `leaving` is announced in every response, `retry_after` in
    every refusal. `rate_limit` and `brittle` are announced in every response, unless
    they are None. A call takes `call_ms`, unless its caller leaves before.
    """

    refuse: bool = False
    fail: bool = False
    fail_times: int = 0
    abort: bool = False
    wrong_id: bool = False
    unsigned: bool = False
    hang: bool = False
    abort_after_events: int | None = None
    stall_after_events: int | None = None
    stall_ms: float | None = None
    stall_times: int = 1
    event_ms: float = 5.0
    first_ms: float = 0.0
    leaving: bool = False
    retry_after: str = ""
    rate_limit: str | None = None
    brittle: str | None = None
    call_ms: float = 0.0


@dataclass
class UpstreamStandin:
    """Simulated server that records requests and counts executions by id.

    `backup_engines` are engines by address, to which it copies the KV cache of a
    request if asked to; `backed_up_ids` contains the ids of requests whose KV cache was
    copied to this server. `received_s` contains the monotonic times of all requests.
    `software` is part of each event. A report names `boot_ms`, the time of its start.
    `disconnects` counts callers that closed their connection
    before the response was complete.
    """

    name: str
    events: int = 6
    software: str = ""
    boot_ms: int = 0
    reports: int = 0
    faults: UpstreamFaults = field(default_factory=UpstreamFaults)
    executions: Counter[str] = field(default_factory=Counter)
    received_headers: list[dict[str, str]] = field(default_factory=list)
    received_s: list[float] = field(default_factory=list)
    targets: list[str] = field(default_factory=list)
    bodies: list[bytes] = field(default_factory=list)
    disconnects: int = 0
    backed_up_ids: set[str] = field(default_factory=set)
    backup_engines: dict[str, "UpstreamStandin"] = field(default_factory=dict)

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
        """Stop immediately."""
        await self.server.stop()

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.path == REPORT_PATH:
            self.reports += 1
            await exchange.respond_json(200, {"born": self.boot_ms})
            return
        self.received_s.append(time.monotonic())
        body = await exchange.read_body(MAX_BODY_BYTES)
        self.received_headers.append(exchange.headers)
        self.targets.append(exchange.target)
        self.bodies.append(body)
        request_id = exchange.headers.get("x-attempt-id", "")
        headers = self._create_headers(request_id)
        if exchange.headers.get("x-target-instance") != self.name:
            await exchange.respond(STATUS_MISDIRECTED, headers, b"")
            return
        if self.faults.refuse:
            headers["x-not-executed"] = "1"
            if self.faults.retry_after:
                headers["retry-after"] = self.faults.retry_after
            await exchange.respond(STATUS_UNAVAILABLE, headers, b"")
            return
        copy = exchange.headers.get("kv-from", "")
        if copy and (
            copy != f"{self.address}/{request_id}"
            or request_id not in self.backed_up_ids
        ):
            headers["x-not-executed"] = "1"
            await exchange.respond(STATUS_UNAVAILABLE, headers, b"")
            return
        backup = self.backup_engines.get(exchange.headers.get("x-kv-backup", ""))
        if backup is not None:
            backup.backed_up_ids.add(request_id)
        self.executions[request_id] += 1
        if self.faults.wrong_id:
            headers["x-attempt-id"] = "another"
        if not self.faults.unsigned:
            headers["x-server-signature"] = f"{self.name}.{request_id}"
        await self._answer(exchange, headers)

    def _create_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of every response."""
        headers = {"x-attempt-id": request_id}
        if self.faults.leaving:
            headers["server-leaving"] = "1"
        if self.faults.rate_limit is not None:
            headers["server-limit"] = self.faults.rate_limit
        if self.faults.brittle is not None:
            headers["server-brittle"] = self.faults.brittle
        return headers

    async def _answer(self, exchange: Exchange, headers: dict[str, str]) -> None:
        if self.faults.abort:
            exchange.abort()
            return
        if self.faults.hang:
            await exchange.disconnected.wait()
            self.disconnects += 1
            return
        if exchange.path.startswith(STREAM_PREFIX):
            await self._stream(exchange, headers)
            return
        if await self._is_left_within(exchange, self.faults.call_ms):
            return
        fails = self.faults.fail or self.faults.fail_times > 0
        self.faults.fail_times = max(self.faults.fail_times - 1, 0)
        status = 500 if fails else 200
        await exchange.respond(status, headers, b"done by " + self.name.encode())

    async def _stream(self, exchange: Exchange, headers: dict[str, str]) -> None:
        start = int(exchange.headers.get("last-event-id", "0"))
        await asyncio.sleep(self.faults.first_ms / 1000.0)
        await exchange.start(200, {**headers, "content-type": "text/event-stream"})
        breaks, stalls = self.faults.abort_after_events, self.faults.stall_after_events
        stalls_left = self.faults.stall_times
        if "kv-from" in exchange.headers:
            breaks = stalls = None
        for number in range(start + 1, self.events + 1):
            if exchange.disconnected.is_set():
                self.disconnects += 1
                exchange.abort()
                return
            event = f"id: {number}\ndata: piece {number}{self.software}\n\n".encode()
            if breaks is not None and number > breaks:
                await exchange.send(event[:7])
                exchange.abort()
                return
            if stalls is not None and number > stalls:
                if await self._stall(exchange):
                    return
                stalls_left -= 1
                stalls = stalls + stalls if stalls_left else None
            await exchange.send(event)
            await asyncio.sleep(self.faults.event_ms / 1000.0)
        await exchange.finish()

    async def _stall(self, exchange: Exchange) -> bool:
        """Send no event for a while; return whether the stream has ended meanwhile."""
        return await self._is_left_within(exchange, self.faults.stall_ms)

    async def _is_left_within(self, exchange: Exchange, wait_ms: float | None) -> bool:
        """Send nothing for a while; return whether the caller has left meanwhile."""
        if wait_ms == 0:
            return False
        with suppress(TimeoutError):
            async with asyncio.timeout(None if wait_ms is None else wait_ms / 1000):
                await exchange.disconnected.wait()
                self.disconnects += 1
                exchange.abort()
                return True
        return False
