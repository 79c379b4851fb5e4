"""Serve HTTP/1.1 with h11 on asyncio streams."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

import h11
import orjson

from cornelnotch.exceptions import CallerGoneError, RequestError
from cornelnotch.kernel.tasks import end_task
from cornelnotch.web.exchange import Exchange

__all__ = ["Handler", "HttpServer", "ServerConnection", "ServerLimits"]

READ_BYTES = 65536
MAX_HEADER_BYTES = 32768
HEADER_TIMEOUT_S = 60.0
SKIP_TIMEOUT_S = 1.0
MAX_SKIPPED_BYTES = 4 * 1024 * 1024
WRITE_BUFFER_BYTES = 65536
MAX_EARLY_BYTES = 65536


Handler = Callable[[Exchange], Awaitable[None]]


@dataclass(slots=True)
class ServerLimits:
    """Bound what callers may send; may be changed while the server runs."""

    header_bytes: int = MAX_HEADER_BYTES
    header_timeout_s: float = HEADER_TIMEOUT_S
    idle_timeout_s: float = HEADER_TIMEOUT_S
    leaving: bool = False


class ServerConnection:
    """Own the socket of one caller."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        limits: ServerLimits,
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._watcher: asyncio.Task[None] | None = None
        self._busy = False
        self._closing = False
        self.gone = asyncio.Event()
        writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)

    async def serve(self, handler: Handler) -> None:
        """Answer requests until the caller closes or an error ends it."""
        while not self.gone.is_set():
            request = await self._read_request()
            if request is None:
                return
            exchange = Exchange(self, request)
            self._busy = True
            await handler(exchange)
            self._busy = False
            if not exchange.finished or self._closing:
                return
            await self._stop_watching()
            if self._protocol.our_state is h11.MUST_CLOSE:
                if self._protocol.their_state is h11.SEND_BODY:
                    self._writer.write_eof()
                    await self._skip_rest()
                return
            if self._protocol.their_state is not h11.DONE:
                return
            self._protocol.start_next_cycle()

    async def _read_request(self) -> h11.Request | None:
        try:
            await self._wait_for_bytes()
            async with asyncio.timeout(self._limits.header_timeout_s):
                event = await self.read_event()
        except (TimeoutError, CallerGoneError):
            return None
        except h11.RemoteProtocolError as error:
            await self._refuse(error)
            return None
        if not isinstance(event, h11.Request):
            return None
        size = sum(len(name) + len(value) for name, value in event.headers)
        if size > self._limits.header_bytes:
            # h11 bounds only heads that arrive in more than one piece.
            await self._refuse(
                h11.RemoteProtocolError(
                    f"headers above {self._limits.header_bytes} bytes",
                    error_status_hint=431,
                )
            )
            return None
        return event

    async def _wait_for_bytes(self) -> None:
        """Wait for the first bytes of a request; raise TimeoutError when idle."""
        if self._protocol.trailing_data[0]:
            return
        async with asyncio.timeout(self._limits.idle_timeout_s):
            await self._receive()

    def is_leaving(self) -> bool:
        """Tell whether the caller is to open its next connection elsewhere."""
        return self._limits.leaving

    async def _refuse(self, error: h11.RemoteProtocolError) -> None:
        if self._protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        body = orjson.dumps(
            {
                "error": {
                    "kind": "bad-http",
                    "message": f"{error}; send well-formed HTTP/1.1",
                }
            }
        )
        head = h11.Response(
            status_code=error.error_status_hint,
            headers=[
                ("content-type", "application/json"),
                ("cornelnotch-outcome", "not-run"),
                ("connection", "close"),
                ("content-length", str(len(body))),
            ],
        )
        with suppress(CallerGoneError, h11.LocalProtocolError, OSError):
            await self.send(head, h11.Data(data=body), h11.EndOfMessage())
            self._writer.write_eof()
            await self._skip_rest()

    def take_early_event(self) -> object:
        """Return what already follows the head, or None when nothing does."""
        try:
            event = self._protocol.next_event()
        except h11.RemoteProtocolError:
            return None
        return None if event is h11.NEED_DATA else event

    async def _skip_rest(self) -> None:
        """Read what a refused caller still sends, so that it sees the answer."""
        skipped = 0
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(SKIP_TIMEOUT_S):
                while skipped < MAX_SKIPPED_BYTES:
                    data = await self._reader.read(READ_BYTES)
                    if not data:
                        return
                    skipped += len(data)

    async def read_event(self) -> object:
        """Return the next h11 event; raise RequestError when it is malformed."""
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                await self._receive()
                continue
            return event

    def _next_event(self) -> object:
        try:
            return self._protocol.next_event()
        except h11.RemoteProtocolError as error:
            if self._protocol.our_state is h11.IDLE:
                raise
            if self._protocol.our_state is h11.SEND_RESPONSE and self._reading_head():
                raise
            raise RequestError(
                f"the body is malformed: {error}", "send a well-formed body"
            ) from error

    def _reading_head(self) -> bool:
        return self._protocol.their_state is h11.IDLE

    async def _receive(self) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            await self.send(informational)
        try:
            data = await self._reader.read(READ_BYTES)
        except OSError as error:
            self.gone.set()
            raise CallerGoneError("the caller closed", "send it again") from error
        if not data:
            self.gone.set()
        self._protocol.receive_data(data)

    def watch(self) -> None:
        """Notice while the answer is made that the caller has closed."""
        if self._watcher is None:
            self._watcher = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        # Bytes that arrive here are the start of the caller's next request.
        received = 0
        while received < MAX_EARLY_BYTES:
            try:
                data = await self._reader.read(READ_BYTES)
            except OSError:
                data = b""
            received += len(data)
            with suppress(h11.RemoteProtocolError):
                self._protocol.receive_data(data)
            if not data:
                self.gone.set()
                return

    async def _stop_watching(self) -> None:
        if self._watcher is None:
            return
        await end_task(self._watcher)
        self._watcher = None

    async def send(self, *events: h11.Event) -> None:
        """Write events; raise CallerGoneError when the caller has closed."""
        data = b"".join(self._protocol.send(event) or b"" for event in events)
        try:
            self._writer.write(data)
            await self._writer.drain()
        except OSError as error:
            self.gone.set()
            raise CallerGoneError("the caller closed", "send it again") from error

    def abort(self) -> None:
        """Drop the connection at once."""
        self._writer.transport.abort()

    def close_when_idle(self) -> None:
        """Close after the exchange in work, or at once when there is none."""
        self._closing = True
        if not self._busy:
            self._writer.close()

    async def close(self) -> None:
        """Close the socket after what was written has gone out."""
        await self._stop_watching()
        self._writer.close()
        with suppress(OSError):
            await self._writer.wait_closed()


class HttpServer:
    """Listen on one address and hand each request to a handler."""

    def __init__(self, handler: Handler, limits: ServerLimits | None = None) -> None:
        self.limits = limits or ServerLimits()
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self._open: set[ServerConnection] = set()
        self._refusing = False
        self.port = 0

    async def start(self, address: str, port: int) -> None:
        """Open the listening socket; port 0 picks a free one."""
        self._server = await asyncio.start_server(
            self._accept, address, port, limit=READ_BYTES, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def refuse_new(self) -> None:
        """Close the listener and idle connections; exchanges in work go on."""
        self._refusing = True
        if self._server is not None:
            self._server.close()
        for connection in self._open:
            connection.close_when_idle()

    async def stop(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        connection = ServerConnection(reader, writer, self.limits)
        if self._refusing:
            connection.close_when_idle()
        self._open.add(connection)
        try:
            await connection.serve(self._handler)
        except (CallerGoneError, RequestError, h11.ProtocolError, OSError):
            connection.abort()
        except asyncio.CancelledError:
            # asyncio would print a traceback for a cancelled accept callback.
            connection.abort()
        finally:
            self._connections.discard(task)
            self._open.discard(connection)
            await connection.close()
