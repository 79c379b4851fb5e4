"""HTTP/1.1 server based on h11 and asyncio streams."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from typing import cast

import h11
import orjson

from cornelnotch.exceptions import (
    CallerDisconnectedError,
    CornelnotchError,
    RequestError,
)
from cornelnotch.kernel.tasks import cancel_and_wait
from cornelnotch.web.connections import (
    count_outstanding_bytes,
    lengthen_queues,
    reset_on_close,
)
from cornelnotch.web.exchange import Exchange
from cornelnotch.web.input import (
    PIECE_BYTES,
    SMALL_PIECE_BYTES,
    PulledProtocol,
    PulledReader,
)
from cornelnotch.web.memory import MemoryAccount
from cornelnotch.web.turns import WorkTurns

__all__ = ["Handler", "HttpServer", "ServerConnection", "ServerLimits"]

READ_BYTES = PIECE_BYTES
MAX_HEADER_BYTES = 32768
# Heads of 32,768 bytes rarely have more than a hundred fields; each takes 500 bytes.
MAX_HEADER_FIELDS = 512
HEAD_PIECE_BYTES = 16384
HEADER_TIMEOUT_S = 60.0
LINGER_TIMEOUT_S = 1.0
LINGER_POLL_S = 0.01
MAX_DISCARDED_BYTES = 4 * 1024 * 1024
WRITE_BUFFER_HIGH_BYTES = 65536
# The size line of a chunk and the ends of its lines.
MAX_CHUNK_FRAMING_BYTES = 32
# Bytes of further requests that are read to notice that a caller closes.
MAX_PIPELINED_BYTES = SMALL_PIECE_BYTES
# Pipelined requests in a row that are handled without a pause. Crowds that pipeline
# would otherwise take the whole event loop.
UNPAUSED_REQUESTS = 8
STATUS_INTERNAL_ERROR = 500
STATUS_UNAVAILABLE = 503
STATUS_HEADER_FIELDS = 431
# Memory of a buffer that has grown piece by piece, per byte in it: some is allocated
# ahead, and what it took before leaves gaps.
GROWN_BUFFER = 2
# Pauses of a connection that is to be read while the memory account is full.
FULL_PAUSE_S = 0.02
MAX_FULL_PAUSES = 50
LISTEN_BACKLOG = 1024
# Connections accepted in one step of the event loop, each of which may be one too many.
# With 16, fifty callers at once began up to a second late beside servers that send
# without end; 24 and more exceed the bound of descriptors for a moment.
ACCEPTS_PER_STEP = 20
# Share of the connections that are closed at once to make room for others.
CLEARED_CONNECTIONS = 0.02
# Steps of the event loop from accepting a connection to its task.
ACCEPT_STEPS = 8
# Callers of older versions do not understand chunked bodies.
MIN_CHUNKED_VERSION = b"1.1"


Handler = Callable[[Exchange], Awaitable[None]]


@dataclass(slots=True)
class ServerLimits:
    """Limits on requests of callers; may be changed while the server runs.

    If `draining` is set, responses ask callers to close their connections. More than
    `connections` are not kept; 0 means any number.
    """

    header_bytes: int = MAX_HEADER_BYTES
    header_fields: int = MAX_HEADER_FIELDS
    header_timeout_s: float = HEADER_TIMEOUT_S
    idle_timeout_s: float = HEADER_TIMEOUT_S
    draining: bool = False
    connections: int = 0


class ServerConnection:
    """One connection of a caller."""

    def __init__(
        self,
        reader: PulledReader,
        writer: asyncio.StreamWriter,
        limits: ServerLimits,
        turns: WorkTurns,
        pipeline_turns: WorkTurns,
        account: MemoryAccount,
        listener: str,
    ) -> None:
        self.turns = turns
        self.memory = account.open(listener, self._close_at_once)
        self.requests = 0
        self.is_handling = False
        self._account = account
        self._pipeline_turns = pipeline_turns
        self._pipelined = 0
        self._unparsed_bytes = 0
        self._reader = reader
        self._writer = writer
        self._limits = limits
        self._protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._close_watcher: asyncio.Task[None] | None = None
        self._closing = False
        self.lingering = False
        self._is_head_refused = False
        self._reading: asyncio.Timeout | None = None
        self.disconnected = asyncio.Event()
        writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_BYTES)

    async def serve(self, handler: Handler) -> None:
        """Handle requests until the caller or an error closes the connection."""
        while not self.disconnected.is_set():
            request = await self._read_request()
            if request is None:
                if not self.lingering and not self.disconnected.is_set():
                    await self._linger()
                return
            if not await self._serve_request(handler, request):
                return
            # An idle connection must not hold the objects of its last request.
            del request
            if not await self._wait_until_taken():
                return
            await self._let_others_work()

    async def _serve_request(self, handler: Handler, request: h11.Request) -> bool:
        """Handle one request; return whether another one may follow."""
        try:
            exchange = Exchange(self, request)
        except RequestError as error:
            await self._respond_and_close(error.status, error.kind, str(error))
            return False
        self.is_handling = True
        self.requests += 1
        try:
            await self._handle(handler, exchange)
        finally:
            self.is_handling = False
            self.memory.protected = False
        if not exchange.response_finished:
            return False
        await self._stop_watching()
        if self._protocol.our_state is h11.MUST_CLOSE:
            await self._linger()
            return False
        if self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        self.memory.set_part("fields", 0)
        self.memory.set_part("body", 0)
        return True

    async def _let_others_work(self) -> None:
        """Pause before a request that was sent before the last one was answered."""
        if not self._unparsed_bytes:
            self._pipelined = 0
            return
        self._pipelined += 1
        if self._pipelined > UNPAUSED_REQUESTS:
            await self._pipeline_turns.take()
        else:
            await asyncio.sleep(0)

    async def _wait_until_taken(self) -> bool:
        """Wait until the system has taken the response; return False if it does not.

        A caller that reads no responses is not read from either.
        """
        if not self.count_unsent_bytes():
            return True
        transport = cast(asyncio.Transport, self._writer.transport)
        transport.set_write_buffer_limits(high=0)
        try:
            async with asyncio.timeout(self._limits.idle_timeout_s):
                await self._writer.drain()
        except (TimeoutError, OSError):
            self.abort()
            return False
        finally:
            transport.set_write_buffer_limits(high=WRITE_BUFFER_HIGH_BYTES)
            self.memory.set_part("response", self.count_unsent_bytes())
        return True

    async def _handle(self, handler: Handler, exchange: Exchange) -> None:
        """Handle a request; answer it also if the handler fails unexpectedly."""
        try:
            await handler(exchange)
        except (CornelnotchError, h11.ProtocolError, OSError):
            raise
        except Exception:
            if exchange.response_started:
                self.abort()
            else:
                self._closing = True
                content = {"error": {"kind": "internal", "message": "internal error"}}
                await exchange.respond_json(STATUS_INTERNAL_ERROR, content)
                await self._linger()
            raise

    async def _read_request(self) -> h11.Request | None:
        try:
            event = await self._read_head()
        except (TimeoutError, CallerDisconnectedError):
            return None
        except h11.RemoteProtocolError as error:
            await self._reject(error)
            return None
        if not isinstance(event, h11.Request):
            return None
        if len(event.headers) > self._limits.header_fields:
            await self._reject(self._create_fields_error())
            return None
        size = sum(len(name) + len(value) for name, value in event.headers)
        if size > self._limits.header_bytes:
            # h11 limits the size only of heads that arrive in more than one piece.
            await self._reject(
                h11.RemoteProtocolError(
                    f"headers exceed {self._limits.header_bytes} bytes",
                    error_status_hint=431,
                )
            )
            return None
        self.memory.set_fields(len(event.headers), size)
        return event

    def _create_fields_error(self) -> h11.RemoteProtocolError:
        return h11.RemoteProtocolError(
            f"headers exceed {self._limits.header_fields} fields",
            error_status_hint=STATUS_HEADER_FIELDS,
        )

    def _check_fields(self) -> None:
        """Raise RemoteProtocolError if a head has too many fields to be parsed."""
        if self._unparsed_bytes < self._limits.header_fields:
            return
        head, _, _ = self._protocol.trailing_data[0].partition(b"\r\n\r\n")
        if head.count(b"\n") > self._limits.header_fields:
            raise self._create_fields_error()

    async def _read_head(self) -> object:
        """Return the event of a head; raise TimeoutError if it does not arrive."""
        try:
            await self._wait_for_bytes()
            async with self._limit_reading(self._limits.header_timeout_s):
                return await self.read_event()
        except TimeoutError:
            if not self._closing:
                raise
            return await self._take_last_event()

    async def _wait_for_bytes(self) -> None:
        """Wait for the first bytes of a request; raise TimeoutError if none arrive."""
        if self._protocol.trailing_data[0]:
            return
        async with self._limit_reading(self._limits.idle_timeout_s):
            await self._receive()

    @asynccontextmanager
    async def _limit_reading(self, limit_s: float) -> AsyncIterator[None]:
        """Raise TimeoutError after `limit_s`, or once the connection is to close."""
        async with asyncio.timeout(0.0 if self._closing else limit_s) as limit:
            self._reading = limit
            try:
                yield
            finally:
                self._reading = None

    async def _take_last_event(self) -> object:
        """Return the head of a request that has arrived, or None; refuse a part of one.

        Bytes that arrived together with the end of the wait were not read yet.
        """
        with suppress(TimeoutError, CallerDisconnectedError):
            async with asyncio.timeout(0.0):
                await self._receive()
        event = self._next_event()
        if event is not h11.NEED_DATA:
            return event
        if self._protocol.trailing_data[0]:
            await self._respond_and_close(
                STATUS_UNAVAILABLE, "closing", "the host is stopping; retry elsewhere"
            )
        return None

    def is_closing_after_response(self) -> bool:
        """Return whether to close, so that the caller reconnects to another host."""
        return self._limits.draining or self._closing

    async def _reject(self, error: h11.RemoteProtocolError) -> None:
        self._is_head_refused = True
        await self._respond_and_close(
            error.error_status_hint,
            "bad-http",
            f"{error}; send well-formed HTTP/1.1",
        )

    async def _respond_and_close(self, status: int, kind: str, message: str) -> None:
        """Send an error before a request has been read, and end the connection."""
        if self._protocol.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        body = orjson.dumps({"error": {"kind": kind, "message": message}})
        head = h11.Response(
            status_code=status,
            headers=[
                ("content-type", "application/json"),
                ("cornelnotch-outcome", "not-run"),
                ("connection", "close"),
                ("content-length", str(len(body))),
            ],
        )
        with suppress(CallerDisconnectedError, h11.LocalProtocolError, OSError):
            await self.send(head, h11.Data(data=body), h11.EndOfMessage())
            await self._linger()

    def take_buffered_event(self) -> object:
        """Return the event after the head if it has already arrived, else None."""
        try:
            event = self._take_event()
        except h11.RemoteProtocolError:
            return None
        return None if event is h11.NEED_DATA else event

    def _take_event(self) -> object:
        """Return the next event of the parser, and account for what it still holds."""
        is_head = self._is_reading_head()
        if is_head:
            self._check_fields()
        event = self._protocol.next_event()
        if isinstance(event, h11.Data):
            self._set_unparsed(max(self._unparsed_bytes - len(event.data), 0))
        elif event is h11.NEED_DATA:
            if not is_head:
                # At most the first bytes of a chunk are left.
                self._set_unparsed(0)
        elif self._unparsed_bytes:
            self._set_unparsed(len(self._protocol.trailing_data[0]))
        return event

    async def _wait_for_memory(self) -> None:
        """Read nothing for a while if no memory is left."""
        for _ in range(MAX_FULL_PAUSES):
            if not self._account.is_full() or not self.memory.is_open:
                return
            # A search just before may have closed too few.
            self._account.make_room()
            await asyncio.sleep(FULL_PAUSE_S)

    def _set_unparsed(self, size: int) -> None:
        self._unparsed_bytes = size
        self.memory.set_part("unparsed", size * GROWN_BUFFER)

    def _take_input(self, data: bytes) -> None:
        """Pass bytes to the parser."""
        self.memory.note_moved(len(data))
        self._set_unparsed(self._unparsed_bytes + len(data))
        self._protocol.receive_data(data)

    async def _read_piece(self, size: int) -> bytes:
        """Return the bytes that arrive next, fewer at a time if memory is short."""
        if self._account.is_nearly_full():
            size = SMALL_PIECE_BYTES
            await self._wait_for_memory()
        self._reader.piece_bytes = size
        # Pieces may arrive at all connections before any of their tasks runs, so a
        # large one counts before it is read.
        self.memory.set_part("piece", size if size > SMALL_PIECE_BYTES else 0)
        try:
            return await self._reader.read(size)
        finally:
            self.memory.set_part("piece", 0)

    async def _linger(self) -> None:
        """End the response, and wait until the caller's system has received it.

        Closing with unread input resets the connection, which discards a response that
        is still under way.
        """
        self.lingering = True
        with suppress(OSError, TimeoutError):
            self._writer.write_eof()
            is_sending = self._protocol.their_state in {h11.SEND_BODY, h11.ERROR}
            if is_sending or self._is_head_refused:
                async with asyncio.timeout(LINGER_TIMEOUT_S):
                    await self._discard_input()
            else:
                await self._wait_until_received()

    async def _discard_input(self) -> None:
        """Discard the rest of a request, whose caller may read only after sending."""
        discarded = 0
        while discarded < MAX_DISCARDED_BYTES:
            data = await self._read_piece(READ_BYTES)
            if not data:
                return
            discarded += len(data)

    async def _wait_until_received(self) -> None:
        """Wait while the caller receives, without reading a further request."""
        transport = cast(asyncio.Transport, self._writer.transport)
        transport.pause_reading()
        loop = asyncio.get_running_loop()
        least = count_outstanding_bytes(self._writer)
        received_s = loop.time()
        while least and not transport.is_closing():
            await asyncio.sleep(LINGER_POLL_S)
            outstanding = count_outstanding_bytes(self._writer)
            if outstanding < least:
                least = outstanding
                received_s = loop.time()
            elif loop.time() - received_s >= LINGER_TIMEOUT_S:
                return

    async def read_event(self) -> object:
        """Return the next h11 event; raise RequestError if the body is malformed."""
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                await self._receive()
                continue
            return event

    def _next_event(self) -> object:
        try:
            return self._take_event()
        except h11.RemoteProtocolError as error:
            if self._protocol.our_state is h11.IDLE:
                raise
            if (
                self._protocol.our_state is h11.SEND_RESPONSE
                and self._is_reading_head()
            ):
                raise
            raise RequestError(
                f"malformed body: {error}", "send a well-formed body"
            ) from error

    def _is_reading_head(self) -> bool:
        return self._protocol.their_state is h11.IDLE

    async def _receive(self) -> None:
        if self._protocol.they_are_waiting_for_100_continue:
            informational = h11.InformationalResponse(status_code=100, headers=[])
            await self.send(informational)
        size = READ_BYTES
        if self._is_reading_head():
            size = HEAD_PIECE_BYTES if self._unparsed_bytes else SMALL_PIECE_BYTES
        try:
            data = await self._read_piece(size)
        except OSError as error:
            self.disconnected.set()
            raise CallerDisconnectedError(
                "caller closed the connection", "retry the request"
            ) from error
        if not data:
            self.disconnected.set()
        self._take_input(data)

    def watch_for_close(self) -> None:
        """Detect during the response that the caller closes the connection."""
        if self._close_watcher is None:
            self._close_watcher = asyncio.create_task(self._watch_for_close())

    async def _watch_for_close(self) -> None:
        # Data received here is the beginning of the caller's next request.
        received = 0
        while received < MAX_PIPELINED_BYTES:
            try:
                data = await self._read_piece(MAX_PIPELINED_BYTES)
            except OSError:
                data = b""
            received += len(data)
            with suppress(h11.RemoteProtocolError):
                self._take_input(data)
            if not data:
                self.disconnected.set()
                return

    async def _stop_watching(self) -> None:
        if self._close_watcher is None:
            return
        await cancel_and_wait(self._close_watcher)
        self._close_watcher = None

    async def send(self, *events: h11.Event) -> None:
        """Send events; raise CallerDisconnectedError if the connection is closed."""
        data = b"".join(self._protocol.send(event) or b"" for event in events)
        try:
            self._writer.write(data)
            unsent = self.count_unsent_bytes()
            if unsent:
                self.memory.set_part("response", unsent)
            await self._writer.drain()
        except OSError as error:
            self.disconnected.set()
            raise CallerDisconnectedError(
                "caller closed the connection", "retry the request"
            ) from error
        self.memory.note_moved(len(data))
        if unsent:
            self.memory.set_part("response", self.count_unsent_bytes())

    def is_finished(self) -> bool:
        """Return whether all responses were passed to the system, and none follows."""
        return self.lingering and not self.count_unsent_bytes()

    def count_unsent_bytes(self) -> int:
        """Return the size of the responses that were not yet passed to the system."""
        return self._writer.transport.get_write_buffer_size()

    def has_room(self, size: int) -> bool:
        """Return whether `size` bytes of a body fit into the write buffer."""
        unsent_bytes = self.count_unsent_bytes() + size + MAX_CHUNK_FRAMING_BYTES
        return unsent_bytes <= WRITE_BUFFER_HIGH_BYTES

    def _close_at_once(self) -> None:
        """Close the connection to free what it holds."""
        self.disconnected.set()
        self.abort()

    def abort(self) -> None:
        """Abort the connection immediately."""
        if self._is_ended_by_close():
            reset_on_close(self._writer)
        self._writer.transport.abort()

    def _is_ended_by_close(self) -> bool:
        """Return whether closing the connection would complete a response."""
        version = self._protocol.their_http_version
        is_sending = self._protocol.our_state is h11.SEND_BODY
        return is_sending and version is not None and version < MIN_CHUNKED_VERSION

    def close_when_idle(self) -> None:
        """Close the connection after the current request, or now if there is none."""
        self._closing = True
        if self._reading is not None and not self._reading.expired():
            self._reading.reschedule(asyncio.get_running_loop().time())

    async def close(self) -> None:
        """Close the connection after flushing the write buffer."""
        await self._stop_watching()
        self._writer.close()
        with suppress(OSError):
            await self._writer.wait_closed()


class HttpServer:
    """HTTP server that calls a handler for each request."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        account: MemoryAccount | None = None,
        listener: str = "http",
    ) -> None:
        self.limits = limits or ServerLimits()
        self.listener = listener
        self._account = account or MemoryAccount()
        self._handler = handler
        self._turns = WorkTurns()
        self._pipeline_turns = WorkTurns()
        self._server: asyncio.Server | None = None
        self._connection_tasks: set[asyncio.Task[None]] = set()
        self._open_connections: set[ServerConnection] = set()
        self._draining = False
        self.port = 0

    async def start(self, address: str, port: int) -> None:
        """Open the listening socket; port 0 selects a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: PulledProtocol(self._accept),
            address,
            port,
            backlog=ACCEPTS_PER_STEP,
        )
        lengthen_queues(self._server, LISTEN_BACKLOG)
        self.port = self._server.sockets[0].getsockname()[1]

    def count_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._open_connections)

    def count_unsent_bytes(self) -> int:
        """Return the size of all responses not yet passed to the system."""
        return sum(c.count_unsent_bytes() for c in self._open_connections)

    def start_draining(self) -> None:
        """Close the listener and idle connections; current requests are completed."""
        self._draining = True
        if self._server is not None:
            self._stop_listening(self._server)
        for connection in self._open_connections:
            connection.close_when_idle()

    @staticmethod
    def _stop_listening(server: asyncio.Server) -> None:
        """Close the listener after the connections that are just being accepted.

        asyncio drops such a connection without closing it if its server is closed.
        """
        loop = asyncio.get_running_loop()
        for listener in server.sockets:
            loop.remove_reader(listener.fileno())
        loop.call_soon(server.close)

    async def shut_down(self, timeout_s: float) -> int:
        """Stop gracefully: wait for responses to be read, but at most `timeout_s`.

        Return the number of connections whose responses were not taken by then.
        """
        self.start_draining()
        # asyncio calls `_accept` some steps after it has accepted a connection.
        for _ in range(ACCEPT_STEPS):
            await asyncio.sleep(0)
        tasks = set(self._connection_tasks)
        if tasks:
            await asyncio.wait(tasks, timeout=timeout_s)
        unfinished = sum(not c.is_finished() for c in self._open_connections)
        await self.stop()
        return unfinished

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        tasks = list(self._connection_tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self._find_place():
            self._account.note_closed(self.listener, "connections")
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._connection_tasks.add(task)
        connection = ServerConnection(
            cast(PulledReader, reader),
            writer,
            self.limits,
            self._turns,
            self._pipeline_turns,
            self._account,
            self.listener,
        )
        if self._draining:
            connection.close_when_idle()
        self._open_connections.add(connection)
        try:
            await connection.serve(self._handler)
        except (CallerDisconnectedError, RequestError, h11.ProtocolError, OSError):
            connection.abort()
        except asyncio.CancelledError:
            # asyncio would print a traceback for a cancelled accept callback.
            connection.abort()
        finally:
            try:
                await connection.close()
            except asyncio.CancelledError:
                connection.abort()
            self._connection_tasks.discard(task)
            self._open_connections.discard(connection)
            connection.memory.release()

    def _find_place(self) -> bool:
        """Return whether a further connection is kept; close others for it if needed.

        Those that have sent no request go first, then those that have stood still.
        """
        bound = self.limits.connections
        if not bound or len(self._open_connections) < bound:
            return True
        closable = [
            connection
            for connection in self._open_connections
            if connection.memory.is_closable()
        ]
        closable.sort(key=lambda c: (c.requests > 0, c.memory.moved_ms))
        for connection in closable[: max(int(bound * CLEARED_CONNECTIONS), 1)]:
            self._open_connections.discard(connection)
            connection.memory.close("connections")
        return len(self._open_connections) < bound
