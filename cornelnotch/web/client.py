"""HTTP/1.1 client based on h11 and asyncio streams."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import suppress
from dataclasses import dataclass, field
from enum import StrEnum

import h11
import orjson

from cornelnotch.exceptions import (
    SettingsError,
    UpstreamError,
    UpstreamUnreachableError,
)
from cornelnotch.kernel import parsing
from cornelnotch.kernel.tasks import cancel_and_wait
from cornelnotch.web.connections import count_outstanding_bytes
from cornelnotch.web.turns import WorkTurns

__all__ = ["HttpClient", "HttpResponse", "Reachability", "parse_address"]

READ_BYTES = 65536
# A longer body is sent in pieces, of which only one is copied at a time.
WRITE_BYTES = 65536
MAX_IDLE_CONNECTIONS_PER_ADDRESS = 64
CONNECT_TIMEOUT_S = 0.6  # ten times the round-trip time between regions
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Servers send a response head in one piece, so one that has begun must be complete
# within this time.
HEAD_TIMEOUT_S = 2.0
MAX_INFORMATIONAL_RESPONSES = 8
BODILESS_STATUSES = frozenset({204, 304})
# The highest status that HTTP defines; h11 itself rejects those below 100.
MAX_STATUS = 599
# Parts of a body that are read in one step; further ones wait for their turn.
PARTS_PER_STEP = 128
# A server is faulty if a full read holds more parts, of less than 8 bytes each: no
# event of a stream is as short, and sound servers do not fill a read like that.
MAX_PARTS_PER_READ = 5000
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})


class Reachability(StrEnum):
    """What became of an attempt to connect to a server."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


def parse_address(text: str) -> tuple[str, int]:
    """Return the IP address and port in `text`; raise SettingsError if malformed."""
    address = parsing.parse_address(text)
    if address is None:
        raise SettingsError(
            f"{text[:80]!r} is not a valid address", "write it as 127.0.0.1:8080"
        )
    return address


def is_framed(method: bytes, response: h11.Response) -> bool:
    """Return whether a response ends independently of its connection."""
    if method == b"HEAD" or response.status_code in BODILESS_STATUSES:
        return True
    return any(name in FRAMING_HEADERS for name, _ in response.headers)


class ClientConnection:
    """One connection to a server, used for one request at a time."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        turns: WorkTurns,
    ) -> None:
        self._turns = turns
        self._must_wait = False
        self._is_full_read = False
        self._parts = 0
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.CLIENT)
        self._response_ended = False
        self._invalidated = False
        self._idle_task: asyncio.Task[None] | None = None
        self._head: h11.Request | None = None
        self._upload: asyncio.Task[None] | None = None
        self.reused = False

    async def send(self, head: h11.Request, body: bytes) -> None:
        """Send a request; a long body is sent while the response is read.

        A server may respond before it has read the body, and close the connection.
        """
        self._head = head
        data = self._protocol.send(head) or b""
        if len(body) > WRITE_BYTES:
            self._writer.write(data)
            self._upload = asyncio.create_task(self._send_in_pieces(body))
            return
        if body:
            data += self._protocol.send(h11.Data(data=body)) or b""
        data += self._protocol.send(h11.EndOfMessage()) or b""
        self._writer.write(data)
        await self._writer.drain()

    async def _send_in_pieces(self, body: bytes) -> None:
        """Send a body; a failure of the connection shows when it is read from."""
        view = memoryview(body)
        with suppress(OSError):
            for start in range(0, len(body), WRITE_BYTES):
                piece = bytes(view[start : start + WRITE_BYTES])
                self._writer.write(self._protocol.send(h11.Data(data=piece)) or b"")
                await self._writer.drain()
            self._writer.write(self._protocol.send(h11.EndOfMessage()) or b"")

    async def read_head(self) -> object:
        """Return the h11 event of the response head.

        Raise OSError if the head is not complete within HEAD_TIMEOUT_S of its first
        byte. The wait for the first byte is not limited.
        """
        informational = 0
        async with asyncio.timeout(None) as limit:
            while True:
                event = self._protocol.next_event()
                if event is h11.NEED_DATA:
                    await self._receive()
                    if limit.when() is None:
                        now = asyncio.get_running_loop().time()
                        limit.reschedule(now + HEAD_TIMEOUT_S)
                elif not isinstance(event, h11.InformationalResponse):
                    return event
                else:
                    informational += 1
                    if informational > MAX_INFORMATIONAL_RESPONSES:
                        raise h11.RemoteProtocolError(
                            "too many informational responses"
                        )

    async def _receive(self) -> None:
        data = await self._reader.read(READ_BYTES)
        self._is_full_read = len(data) == READ_BYTES
        self._parts = 0
        self._protocol.receive_data(data)

    async def read_data(self) -> bytes:
        """Return available body bytes, or b"" at the end of the response.

        Parts that arrived together are joined, so that a busy host forwards them in
        one write. Many small parts are read in several steps. Cancelling a call loses
        no data. Raise ProtocolError if the response ends prematurely, or without need
        comes in parts of a few bytes.
        """
        chunks: list[bytes] = []
        if self._must_wait:
            await self._turns.take()
            self._must_wait = False
        while len(chunks) < PARTS_PER_STEP:
            event = self._protocol.next_event()
            if isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
                self._parts += 1
            elif event is h11.NEED_DATA:
                if chunks:
                    return b"".join(chunks)
                await self._receive()
            elif isinstance(event, h11.EndOfMessage):
                self._response_ended = True
                return b"".join(chunks)
            else:
                raise h11.RemoteProtocolError("connection closed within the body")
        if self._is_full_read and self._parts > MAX_PARTS_PER_READ:
            raise h11.RemoteProtocolError("the body comes in parts of a few bytes")
        self._must_wait = True
        return b"".join(chunks)

    def has_ended(self) -> bool:
        """Return whether the whole response has been read."""
        return self._response_ended

    def is_uploading(self) -> bool:
        """Return whether the server's system has not received the whole request."""
        if self._protocol.our_state is h11.SEND_BODY:
            return True
        transport = self._writer.transport
        if transport.is_closing():
            return transport.get_write_buffer_size() > 0
        try:
            return count_outstanding_bytes(self._writer) > 0
        except OSError:
            # The system does not tell what its own buffers hold.
            return transport.get_write_buffer_size() > 0

    def is_reusable(self) -> bool:
        """Return whether the response ended cleanly and the connection stays open."""
        done = self._protocol.our_state is h11.DONE
        clean = not self._protocol.trailing_data[0]
        return done and clean and self._protocol.their_state is h11.DONE

    def prepare_reuse(self) -> None:
        """Prepare the connection for the next request."""
        self.reused = True
        self._upload = None
        self._protocol.start_next_cycle()
        self._response_ended = False

    def start_idle(self) -> None:
        """Make the connection idle; any data received while idle invalidates it."""
        self._idle_task = asyncio.create_task(self._invalidate_on_data())

    async def _invalidate_on_data(self) -> None:
        # Data received while idle, such as a late response, belongs to no request.
        with suppress(OSError):
            await self._reader.read(READ_BYTES)
        self._invalidated = True
        self.abort()

    async def resume_from_idle(self) -> bool:
        """End the idle state and return whether the connection is usable."""
        if self._idle_task is not None:
            try:
                await cancel_and_wait(self._idle_task)
            except asyncio.CancelledError:
                self.abort()
                raise
            self._idle_task = None
        return not self._invalidated and not self._writer.is_closing()

    def abort(self) -> None:
        """Abort the connection immediately."""
        if self._idle_task is not None and not self._invalidated:
            self._idle_task.cancel()
        if self._upload is not None:
            self._upload.cancel()
        self._writer.transport.abort()


@dataclass(slots=True)
class HttpResponse:
    """The head of a response, with methods to read its body.

    Only the end of the connection marks the end of a body that is not `framed`. If the
    connection was `reused`, the response may be a late one to an earlier request.
    """

    status: int
    raw_headers: list[tuple[bytes, bytes]]
    address: str
    connection: ClientConnection
    client: "HttpClient"
    framed: bool = True
    reused: bool = False
    complete: bool = field(default=False)

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers as a mapping from lower-case name to value."""
        return {k.decode(): v.decode("latin-1") for k, v in self.raw_headers}

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the body, or b"" at its end.

        Cancelling a call loses no data. Raise UpstreamError if the body ends
        prematurely.
        """
        while not self.connection.has_ended():
            try:
                data = await self.connection.read_data()
            except (OSError, h11.ProtocolError) as error:
                self.close()
                raise UpstreamError(
                    f"response of {self.address} ended prematurely: {error!r}",
                    "retry if the work may be repeated",
                ) from error
            if data:
                return data
        if not self.complete:
            self._check_upload()
            self.complete = True
            self.client.release(self.address, self.connection)
        return b""

    def _check_upload(self) -> None:
        """Raise UpstreamError if the connection ended before the request was received.

        A server that closes a connection with unread input resets it, so the end of the
        connection does not show that the response is complete.
        """
        if self.framed or not self.connection.is_uploading():
            return
        self.close()
        raise UpstreamError(
            f"{self.address} closed its connection before it had received the request",
            "retry if the work may be repeated",
        )

    async def iterate_chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body; raise UpstreamError if it ends prematurely."""
        while data := await self.read_chunk():
            yield data

    async def read(self, limit_bytes: int = MAX_RESPONSE_BYTES) -> bytes:
        """Return the whole body; raise UpstreamError if it exceeds `limit_bytes`."""
        chunks = []
        size = 0
        async for chunk in self.iterate_chunks():
            size += len(chunk)
            if size > limit_bytes:
                self.close()
                raise UpstreamError(
                    f"response of {self.address} exceeds {limit_bytes} bytes",
                    "request a smaller response",
                )
            chunks.append(chunk)
        return b"".join(chunks)

    async def confirm_end(self) -> None:
        """Raise UpstreamError if the body ended because its server crashed.

        A server that has crashed closes its connections like one that has finished,
        but accepts no new ones.
        """
        if self.framed:
            return
        if await self.client.probe(self.address) is not Reachability.ACCEPTED:
            raise UpstreamError(
                f"{self.address} closed its connection and accepts no further ones",
                "retry if the work may be repeated",
            )

    async def read_json(self) -> object:
        """Return the body decoded as JSON; raise UpstreamError if malformed."""
        body = await self.read()
        try:
            return orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise UpstreamError(
                f"{self.address} sent malformed JSON", "check the server"
            ) from error

    def close(self) -> None:
        """Discard the rest of the response by aborting the connection."""
        if not self.complete:
            self.connection.abort()


class HttpClient:
    """HTTP client with a pool of idle connections per address."""

    def __init__(self) -> None:
        self._idle_connections: dict[str, list[ClientConnection]] = {}
        self._turns = WorkTurns()

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        fresh: bool = False,
    ) -> HttpResponse:
        """Send a request and return the head of its response.

        If `fresh` is set, no idle connection is used, so that UpstreamUnreachableError
        proves that no byte was sent; any later failure raises UpstreamError.
        """
        head = self._create_head(address, method, target, headers or {}, body)
        return await self.send(address, head, body, fresh)

    async def send(
        self,
        address: str,
        head: h11.Request,
        body: bytes,
        fresh: bool = False,
        note_sending: Callable[[], None] = lambda: None,
    ) -> HttpResponse:
        """Send a request with a prepared head and return the head of its response.

        `note_sending` is called before the first byte is sent; if it raises, nothing is
        sent.
        """
        connection = await self._acquire(address, fresh)
        try:
            note_sending()
        except BaseException:
            connection.abort()
            raise
        try:
            await connection.send(head, body)
            event = await connection.read_head()
        except (OSError, h11.ProtocolError) as error:
            connection.abort()
            if connection.reused:
                # Other idle connections to the server may be dead too.
                self.close_idle_connections(address)
            raise UpstreamError(
                f"{address} did not respond: {error!r}",
                "retry if the work may be repeated",
            ) from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        if not isinstance(event, h11.Response):
            connection.abort()
            raise UpstreamError(
                f"{address} closed the connection without a response",
                "retry if the work may be repeated",
            )
        if event.status_code > MAX_STATUS:
            connection.abort()
            raise UpstreamError(
                f"{address} sent the undefined status {event.status_code}",
                "check the server",
            )
        return HttpResponse(
            event.status_code,
            list(event.headers),
            address,
            connection,
            self,
            is_framed(head.method, event),
            connection.reused,
        )

    async def request_json(
        self,
        address: str,
        method: str,
        target: str,
        content: object = None,
        timeout_ms: float = 5000.0,
    ) -> tuple[int, object]:
        """Send JSON and return the status and the decoded JSON response."""
        body = b"" if content is None else orjson.dumps(content)
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                response = await self.request(address, method, target, {}, body)
                return response.status, await response.read_json()
        except TimeoutError as error:
            raise UpstreamError(
                f"{address} did not respond within {timeout_ms:.0f} ms",
                "try again later",
            ) from error

    def release(self, address: str, connection: ClientConnection) -> None:
        """Return a connection to the pool, or abort it if it cannot be reused."""
        idle = self._idle_connections.setdefault(address, [])
        if (
            not connection.is_reusable()
            or len(idle) >= MAX_IDLE_CONNECTIONS_PER_ADDRESS
        ):
            connection.abort()
            return
        connection.prepare_reuse()
        connection.start_idle()
        idle.append(connection)

    async def probe(self, address: str) -> Reachability:
        """Try to connect to a server; keep the new connection for reuse."""
        try:
            connection = await self._connect(address)
        except UpstreamUnreachableError as error:
            refused = isinstance(error.__cause__, ConnectionRefusedError)
            return Reachability.REFUSED if refused else Reachability.SILENT
        connection.start_idle()
        self._idle_connections.setdefault(address, []).append(connection)
        return Reachability.ACCEPTED

    def close_idle_connections(self, address: str) -> None:
        """Abort all idle connections to `address`, as its server may be down."""
        for connection in self._idle_connections.pop(address, []):
            connection.abort()

    def close(self) -> None:
        """Abort all idle connections."""
        for address in list(self._idle_connections):
            self.close_idle_connections(address)

    async def _acquire(self, address: str, fresh: bool) -> ClientConnection:
        idle = self._idle_connections.get(address, [])
        while idle and not fresh:
            connection = idle.pop()
            if await connection.resume_from_idle():
                return connection
            connection.abort()
        return await self._connect(address)

    async def _connect(self, address: str) -> ClientConnection:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    *parse_address(address), limit=READ_BYTES
                )
        except (OSError, TimeoutError, SettingsError) as error:
            self.close_idle_connections(address)
            raise UpstreamUnreachableError(
                f"{address} is unreachable: {error!r}",
                "check that the server is running",
            ) from error
        return ClientConnection(reader, writer, self._turns)

    @staticmethod
    def _create_head(
        address: str, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> h11.Request:
        raw_headers = [("host", address), ("content-length", str(len(body)))]
        raw_headers.extend((name, value) for name, value in headers.items())
        return h11.Request(method=method, target=target, headers=raw_headers)
