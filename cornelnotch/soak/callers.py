"""Callers that use a connection until the host closes it, whatever responses say."""

import asyncio
import random
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, replace

import h11

from cornelnotch.kernel.tasks import cancel_and_wait
from cornelnotch.soak.attempts import Attempt, Work
from cornelnotch.standins.deployment import create_request
from cornelnotch.web import parse_address

__all__ = ["CallerTarget", "SoakCaller"]

READ_BYTES = 16384
RECEIVE_BUFFER_BYTES = 16384
UPLOAD_PARTS = 10
CONNECT_TIMEOUT_S = 2.0
# Longer than the deadline, so that an answer to it still arrives.
GIVE_UP_S = 2.0
DEADLINES_S = (6.0, 15.0, 25.0)
MAX_PIPELINED = 3
MAX_IDLE_S = 7.0
OFTEN_IDLE_SHARE = 0.5
# Callers use an address for three lifetimes after the directory has dropped it, and
# longer if they cannot reach the directory.
CACHED_S = 3.0
STALE_S = 10.0
# Share of the requests whose bodies are sent in chunks.
CHUNKED_SHARE = 0.3


@dataclass(frozen=True, slots=True)
class CallerTarget:
    """Host that a caller may connect to; `find_host` names its current process."""

    address: str
    find_host: Callable[[], str]


class CallerConnection:
    """Connection of one caller; `leftover` are bytes of the next response."""

    def __init__(self, raw: socket.socket, host: str) -> None:
        self._raw = raw
        self.host = host
        self.leftover = b""
        self.previous_end_s = 0.0

    def is_closed(self) -> bool:
        """Return whether the host is known to have closed the connection."""
        try:
            return not self._raw.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return True

    async def receive(self) -> bytes:
        """Return the next bytes; those before a reset arrive before its error."""
        return await asyncio.get_running_loop().sock_recv(self._raw, READ_BYTES)

    async def send(self, data: bytes) -> None:
        """Send all bytes."""
        await asyncio.get_running_loop().sock_sendall(self._raw, data)

    def close(self) -> None:
        """Close the connection."""
        self._raw.close()


async def connect(target: CallerTarget) -> CallerConnection:
    """Open a connection; raise OSError or TimeoutError if there is none."""
    raw = socket.socket()
    raw.setblocking(False)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            loop = asyncio.get_running_loop()
            await loop.sock_connect(raw, parse_address(target.address))
    except BaseException:
        raw.close()
        raise
    return CallerConnection(raw, target.find_host())


class SoakCaller:
    """Send requests until stopped; record each attempt.

    A caller that does not keep its connections sends each request to any host. One that
    `waits_often` keeps its connection idle before it sends every other request.
    """

    def __init__(
        self,
        name: str,
        generator: random.Random,
        choose_target: Callable[[random.Random, float], CallerTarget | None],
        think_s: float,
        draw_work: Callable[[random.Random, float], Work],
        keeps_connections: bool = True,
        *,
        waits_often: bool = False,
    ) -> None:
        self._name = name
        self._generator = generator
        self._choose_target = choose_target
        self._think_s = think_s
        self._draw_work = draw_work
        self._keeps_connections = keeps_connections
        self._read_rate = (
            generator.uniform(1e5, 4e5) if generator.random() < 0.1 else 0.0
        )
        self._idle_share = generator.choice((0.02, 0.02, 0.1))
        if waits_often:
            self._idle_share = OFTEN_IDLE_SHARE
        self._pipelines = generator.random() < 0.2
        self._cached_s = STALE_S if generator.random() < 0.25 else CACHED_S
        # Host that a caller with stale addresses returns to while it can connect.
        self._preferred: CallerTarget | None = None
        self._connection: CallerConnection | None = None
        self.attempts: list[Attempt] = []
        self.stopping = False

    async def run(self) -> None:
        """Send requests one after another until the caller is stopped."""
        while not self.stopping:
            if self._connection is None or self._connection.is_closed():
                await self._reconnect()
                continue
            await self._send_requests(self._connection)
            if not self._keeps_connections:
                self._close()
            await self._think()
        self._close()

    async def _think(self) -> None:
        """Wait between requests: not at all, briefly, or long enough to be idle."""
        generator = self._generator
        choice = generator.random()
        if choice < 0.3:
            return
        if choice > 1.0 - self._idle_share:
            await asyncio.sleep(generator.uniform(1.0, MAX_IDLE_S))
            return
        await asyncio.sleep(generator.expovariate(1.0 / self._think_s))

    def _close(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    async def _reconnect(self) -> None:
        self._close()
        target = self._preferred
        if target is None:
            target = self._choose_target(self._generator, self._cached_s)
        if target is None:
            await asyncio.sleep(0.1)
            return
        try:
            self._connection = await connect(target)
            self._preferred = target if self._cached_s == STALE_S else None
        except (OSError, TimeoutError):
            self._preferred = None
            work = self._draw_work(self._generator, 0.0)
            attempt = self._create_attempt(work, target.find_host())
            attempt.refused_connection = True
            attempt.ended_s = time.monotonic()
            await asyncio.sleep(0.05)

    def _create_attempt(self, work: Work, host: str) -> Attempt:
        now = time.monotonic()
        limit_s = self._generator.choice(DEADLINES_S)
        if self._generator.random() < 0.95:
            # Few requests reach their deadline.
            limit_s = max(limit_s, 2.0 * (work.upload_s + work.estimate_s()) + 2.0)
        deadline_s = now + limit_s
        request_id = f"{self._name}-{len(self.attempts)}"
        is_chunked = random.Random(f"body/{request_id}").random() < CHUNKED_SHARE
        work = replace(work, is_chunked=is_chunked)
        attempt = Attempt(request_id, work, host, now, deadline_s)
        self.attempts.append(attempt)
        return attempt

    async def _send_requests(self, connection: CallerConnection) -> None:
        count = 1
        if self._pipelines:
            count = self._generator.randint(1, MAX_PIPELINED)
        attempts = []
        for _ in range(count):
            work = self._draw_work(self._generator, self._read_rate)
            attempts.append(self._create_attempt(work, connection.host))
        upload = asyncio.create_task(self._upload(connection, attempts))
        try:
            for attempt in attempts:
                attempt.waited_from_s = connection.previous_end_s
                await self._read_response(connection, attempt)
                if not attempt.whole:
                    break
        finally:
            has_sent = upload.done()
            await cancel_and_wait(upload)
        end_s = time.monotonic()
        has_abandoned = any(attempt.abandoned for attempt in attempts)
        for attempt in attempts:
            if attempt.ended_s == float("inf"):
                attempt.ended_s = attempt.waited_from_s = end_s
                attempt.abandoned = has_abandoned
        if not has_sent or not all(attempt.whole for attempt in attempts):
            self._close()

    async def _upload(
        self, connection: CallerConnection, attempts: list[Attempt]
    ) -> None:
        with suppress(OSError):
            for attempt in attempts:
                work = attempt.work
                protocol = h11.Connection(h11.CLIENT)
                left_ms = (attempt.deadline_s - attempt.begun_s) * 1000.0
                size = None if work.is_chunked else work.body_bytes
                head = create_request(
                    attempt.request_id,
                    work.build_target(),
                    left_ms,
                    size,
                    work.build_prompt_headers(attempt.request_id),
                )
                await connection.send(protocol.send(head) or b"")
                parts = UPLOAD_PARTS if work.upload_s else 1
                for index in range(parts):
                    if work.upload_s:
                        await asyncio.sleep(work.upload_s / parts)
                    start = work.body_bytes * index // parts
                    end = work.body_bytes * (index + 1) // parts
                    part = h11.Data(data=b"b" * (end - start))
                    await connection.send(protocol.send(part) or b"")
                await connection.send(protocol.send(h11.EndOfMessage()) or b"")
                attempt.sent_s = time.monotonic()

    async def _read_response(
        self, connection: CallerConnection, attempt: Attempt
    ) -> None:
        protocol = h11.Connection(h11.CLIENT)
        protocol.send(h11.Request(method="GET", target="/", headers=[("host", "x")]))
        protocol.send(h11.EndOfMessage())
        if connection.leftover:
            protocol.receive_data(connection.leftover)
            connection.leftover = b""
        limit_s = attempt.deadline_s + GIVE_UP_S - time.monotonic()
        try:
            async with asyncio.timeout(max(limit_s, 0.0)):
                await self._read_events(connection, protocol, attempt)
        except TimeoutError:
            attempt.abandoned = True
        except (OSError, h11.RemoteProtocolError):
            pass
        attempt.ended_s = time.monotonic()
        connection.previous_end_s = attempt.ended_s
        connection.leftover = protocol.trailing_data[0]

    async def _read_events(
        self, connection: CallerConnection, protocol: h11.Connection, attempt: Attempt
    ) -> None:
        while True:
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                protocol.receive_data(await self._receive(connection, attempt))
            elif isinstance(event, h11.Response):
                attempt.status = event.status_code
            elif isinstance(event, h11.Data):
                attempt.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                attempt.whole = True
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    async def _receive(self, connection: CallerConnection, attempt: Attempt) -> bytes:
        rate = attempt.work.read_rate
        data = await connection.receive()
        if rate and data:
            await asyncio.sleep(len(data) / rate)
        return data
