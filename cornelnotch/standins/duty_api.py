"""Simulated API of the platform for duties, with fencing tokens and faults."""

import asyncio
import time
from collections import deque
from dataclasses import dataclass
from typing import Any

import orjson

from cornelnotch.web import Exchange, HttpServer

__all__ = ["AcceptedCall", "DutyApiStandin"]

MAX_BODY_BYTES = 2 * 1024 * 1024
STATUS_BAD = 400
STATUS_CONFLICT = 409
STATUS_BUSY = 429
RATE_WINDOW_S = 1.0
USAGE_PATH = "/usage"
SCALING_PATH = "/scaling"


@dataclass(frozen=True, slots=True)
class AcceptedCall:
    """A call that the API executed, at a time in monotonic seconds."""

    path: str
    holder: str
    token: int
    content: dict[str, Any]
    at_s: float

    @property
    def subject(self) -> str:
        """Return the scope in which tokens are compared."""
        if self.path == USAGE_PATH:
            return USAGE_PATH
        return f"{SCALING_PATH}/{self.content['service']}/{self.content['zone']}"


class DutyApiStandin:
    """Simulated API; `is_fenced` makes it refuse outdated tokens.

    While `is_silent` is set it executes no call, and while `late_s` is not 0 it
    executes calls that long after it received them; both get no response. Calls of
    `silent_holders` are not executed either.
    """

    def __init__(self, is_fenced: bool = True, calls_per_s: float = 20.0) -> None:
        self.server = HttpServer(self._handle)
        self.is_fenced = is_fenced
        self.calls_per_s = calls_per_s
        self.is_silent = False
        self.late_s = 0.0
        self.silent_holders: set[str] = set()
        self.accepted: list[AcceptedCall] = []
        self.refused: list[AcceptedCall] = []
        self.busy = 0
        self.received = 0
        self._recent: deque[float] = deque()

    @property
    def address(self) -> str:
        """Return the address that the API listens on."""
        return f"127.0.0.1:{self.server.port}"

    async def start(self) -> None:
        """Listen on a free port."""
        await self.server.start("127.0.0.1", 0)

    async def stop(self) -> None:
        """Stop immediately."""
        await self.server.stop()

    def list_reports(self) -> list[AcceptedCall]:
        """Return the reports of usage that were accepted."""
        return [call for call in self.accepted if call.path == USAGE_PATH]

    def list_windows(self) -> dict[int, dict[str, int]]:
        """Return the counts that were accepted last for each window."""
        reports = self.list_reports()
        return {call.content["window_id"]: call.content["counts"] for call in reports}

    async def _handle(self, exchange: Exchange) -> None:
        body = await exchange.read_body(MAX_BODY_BYTES)
        self.received += 1
        now = time.monotonic()
        while self._recent and now - self._recent[0] > RATE_WINDOW_S:
            self._recent.popleft()
        if len(self._recent) >= self.calls_per_s * RATE_WINDOW_S:
            self.busy += 1
            await exchange.respond_json(STATUS_BUSY, {})
            return
        self._recent.append(now)
        holder = exchange.headers["x-duty-holder"]
        token = int(exchange.headers["x-fencing-token"])
        if self.is_silent or holder in self.silent_holders:
            await exchange.disconnected.wait()
            exchange.abort()
            return
        late_s = self.late_s
        if late_s:
            await asyncio.sleep(late_s)
        status = self._execute(exchange.path, holder, token, orjson.loads(body))
        if late_s:
            exchange.abort()
            return
        await exchange.respond_json(status, {})

    def _execute(
        self, path: str, holder: str, token: int, content: dict[str, Any]
    ) -> int:
        if path not in {USAGE_PATH, SCALING_PATH}:
            return STATUS_BAD
        call = AcceptedCall(path, holder, token, content, time.monotonic())
        known = [c.token for c in self.accepted if c.subject == call.subject]
        if self.is_fenced and token < max(known, default=0):
            self.refused.append(call)
            return STATUS_CONFLICT
        self.accepted.append(call)
        return 200
