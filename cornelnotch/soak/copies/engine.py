"""Simulated engine in a process of its own, which keeps copies of others' runs."""

import asyncio
import random
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import typer

from cornelnotch.exceptions import CallerDisconnectedError, UpstreamError
from cornelnotch.kernel.tasks import cancel_and_wait
from cornelnotch.soak.copies.memory import CopyStore
from cornelnotch.soak.copies.records import RunBegin, RunEnd, RunLog
from cornelnotch.web import Exchange, HttpClient, HttpServer, parse_address

__all__ = ["CopyEngine"]

MAX_BODY_BYTES = 1024 * 1024
STATUS_OK = 200
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
MS_PER_SECOND = 1000.0
PLACES = 40
# Parts of a copy are sent this often, and arrive after a lag.
COPY_PERIOD_S = 0.2
COPY_LAG_S = (0.02, 0.15)
COPY_TIMEOUT_MS = 1000.0
# Time to read what a copy lacks: at all, and for each event.
COPIED_READ_S = 0.02
LACKING_EVENT_S = 0.002
COPY_PATH, SILENCE_PATH, DELAY_PATH = "/copy", "/silence", "/delay"


@dataclass(slots=True)
class ActiveRun:
    """One request that the engine works on; `events` is the number of the last one."""

    number: int
    request_id: str
    events: int
    made: int = 0
    is_finished: bool = False


class CopyEngine:
    """Engine that runs calls and streams, and copies the state of runs to others.

    Query `work` is the time to the response or first event in ms, `events` the number
    of events (none for a call) and `gap` the time between them.
    """

    def __init__(self, name: str, address: str, born: int, log: RunLog) -> None:
        self._name = name
        self._address = address
        self._born = born
        self._log = log
        self._copies = CopyStore(f"{name}/{born}")
        self._generator = random.Random(f"{name}/{born}")
        self._client = HttpClient()
        self._server = HttpServer(self._handle)
        self._silent_until_s = 0.0
        self._delay_s = 0.0
        self._delayed_until_s = 0.0
        self._active = 0
        self._runs = 0

    async def serve(self) -> None:
        """Serve until the process is killed."""
        host, port = parse_address(self._address)
        await self._server.start(host, port)
        await asyncio.Event().wait()

    async def _handle(self, exchange: Exchange) -> None:
        query = exchange.query
        await exchange.read_body(MAX_BODY_BYTES)
        if exchange.path == COPY_PATH:
            await self._store_copy(exchange)
            return
        if exchange.path == SILENCE_PATH:
            self._silent_until_s = time.monotonic() + float(query["s"])
            await exchange.respond(STATUS_OK, {}, b"")
            return
        if exchange.path == DELAY_PATH:
            self._delay_s = float(query["delay"])
            self._delayed_until_s = time.monotonic() + float(query["s"])
            await exchange.respond(STATUS_OK, {}, b"")
            return
        # A connection that was closed meanwhile ends the request, not the engine.
        with suppress(CallerDisconnectedError, OSError):
            await self._admit(exchange)

    async def _store_copy(self, exchange: Exchange) -> None:
        request_id = exchange.query["id"]
        if "end" in exchange.query:
            self._copies.free(request_id)
            await exchange.respond(STATUS_OK, {}, b"")
            return
        events = int(exchange.query["events"])
        has_room = self._copies.update(request_id, events, time.monotonic())
        status = STATUS_OK if has_room else STATUS_UNAVAILABLE
        await exchange.respond(status, {}, b"")

    async def _admit(self, exchange: Exchange) -> None:
        """Run a request, or reject it."""
        request_id = exchange.headers.get("x-attempt-id", "")
        headers = {"x-attempt-id": request_id}
        if exchange.headers.get("x-target-instance") != self._name:
            headers["x-not-executed"] = "1"
            await exchange.respond(STATUS_MISDIRECTED, headers, b"")
            return
        now_s = time.monotonic()
        if now_s < self._delayed_until_s and not await self._wait(
            exchange, self._delay_s
        ):
            exchange.abort()
            return
        after = int(exchange.headers.get("last-event-id") or "0")
        lacking_s = self._take_copy(exchange, request_id, after)
        if lacking_s is None or self._active >= PLACES:
            headers["x-not-executed"] = "1"
            await exchange.respond(STATUS_UNAVAILABLE, headers, b"")
            return
        headers["x-server-signature"] = f"{self._name}.{request_id}"
        await self._execute(exchange, headers, after, lacking_s)

    def _take_copy(
        self, exchange: Exchange, request_id: str, after: int
    ) -> float | None:
        """Return the time to read what the copy lacks, or None if there is none."""
        source = exchange.headers.get("kv-from", "")
        if not source:
            return 0.0
        if source != f"{self._address}/{request_id}":
            return None
        events = self._copies.take(request_id, time.monotonic())
        if events is None:
            return None
        return COPIED_READ_S + max(after - events, 0) * LACKING_EVENT_S

    async def _execute(
        self,
        exchange: Exchange,
        headers: dict[str, str],
        after: int,
        lacking_s: float,
    ) -> None:
        """Run a request and record the run."""
        run = ActiveRun(self._runs, headers["x-attempt-id"], after)
        self._runs += 1
        self._active += 1
        route = exchange.path.split("/")[1]
        is_copied = "kv-from" in exchange.headers
        self._log.write(
            RunBegin(
                self._name,
                self._born,
                run.number,
                run.request_id,
                route,
                time.monotonic(),
                is_copied,
                after,
            )
        )
        backup = exchange.headers.get("x-kv-backup", "")
        copying = asyncio.create_task(self._send_copies(run, backup))
        work_s = float(exchange.query["work"]) / MS_PER_SECOND
        try:
            await self._answer(
                exchange, headers, run, lacking_s if is_copied else work_s
            )
        finally:
            self._active -= 1
            self._log.write(
                RunEnd(
                    self._name,
                    self._born,
                    run.number,
                    time.monotonic(),
                    run.made,
                    run.is_finished,
                    exchange.disconnected.is_set() and not run.is_finished,
                )
            )
            await cancel_and_wait(copying)
        if backup and run.is_finished:
            with suppress(UpstreamError, OSError):
                await self._call(backup, f"{COPY_PATH}?id={run.request_id}&end=1")

    async def _answer(
        self,
        exchange: Exchange,
        headers: dict[str, str],
        run: ActiveRun,
        first_s: float,
    ) -> None:
        events = int(exchange.query["events"])
        if not await self._wait(exchange, first_s):
            exchange.abort()
            return
        if not events:
            await exchange.respond(STATUS_OK, headers, run.request_id.encode())
            run.is_finished = True
            return
        gap_s = float(exchange.query["gap"]) / MS_PER_SECOND
        await exchange.start(
            STATUS_OK, {**headers, "content-type": "text/event-stream"}
        )
        while run.events < events:
            run.events += 1
            run.made += 1
            text = f"id: {run.events}\ndata: {run.request_id}.{run.events}\n\n"
            await exchange.send(text.encode())
            if run.events < events and not await self._wait(exchange, gap_s):
                exchange.abort()
                return
        await exchange.finish()
        run.is_finished = True

    async def _wait(self, exchange: Exchange, wait_s: float) -> bool:
        """Work for a while; return false once the connection is closed."""
        end_s = time.monotonic() + wait_s
        while True:
            left_s = max(end_s, self._silent_until_s) - time.monotonic()
            if exchange.disconnected.is_set():
                return False
            if left_s <= 0.0:
                return True
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await exchange.disconnected.wait()

    async def _send_copies(self, run: ActiveRun, backup: str) -> None:
        """Send the state of a run to another engine as it grows."""
        if not backup:
            return
        sent = -1
        while True:
            await asyncio.sleep(COPY_PERIOD_S)
            events = run.events
            if events == sent:
                continue
            await asyncio.sleep(self._generator.uniform(*COPY_LAG_S))
            target = f"{COPY_PATH}?id={run.request_id}&events={events}"
            with suppress(UpstreamError, OSError):
                await self._call(backup, target)
                sent = events

    async def _call(self, address: str, target: str) -> None:
        async with asyncio.timeout(COPY_TIMEOUT_MS / MS_PER_SECOND):
            response = await self._client.request(address, "POST", target)
            await response.read()


def run_engine(
    name: str = typer.Option(..., help="name of the engine"),
    address: str = typer.Option(..., help="address to listen on"),
    born: int = typer.Option(1, help="start of the process, from 1 on"),
    records: Path = typer.Option(..., help="file to which runs are added"),
) -> None:
    """Run one engine until the process is killed."""
    engine = CopyEngine(name, address, born, RunLog(records))
    asyncio.run(engine.serve())


if __name__ == "__main__":
    typer.run(run_engine)
