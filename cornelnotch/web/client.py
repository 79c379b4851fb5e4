"""Send HTTP/1.1 requests with h11 on asyncio streams."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import dataclass, field

import h11
import orjson

from cornelnotch.exceptions import (
    SettingsError,
    UpstreamError,
    UpstreamUnreachableError,
)
from cornelnotch.kernel.tasks import end_task

__all__ = ["HttpAnswer", "HttpClient", "parse_address"]

READ_BYTES = 65536
MAX_IDLE_PER_ADDRESS = 64
CONNECT_TIMEOUT_S = 0.6  # ten round trips between regions
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# The head of an answer comes in one piece; one that has begun ends within this time.
HEAD_TIMEOUT_S = 2.0
MAX_INFORMATIONAL = 8


def parse_address(text: str) -> tuple[str, int]:
    """Return IP number and port of `text`; raise SettingsError if malformed."""
    name, separator, port = text.rpartition(":")
    if not separator or not port.isdigit() or not 0 <= int(port) <= 65535:
        raise SettingsError(f"{text!r} is no address", "write it as 127.0.0.1:8080")
    return name.strip("[]"), int(port)


class ClientConnection:
    """Own one socket to a server."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._protocol = h11.Connection(h11.CLIENT)
        self._ended = False
        self._spoiled = False
        self._idle: asyncio.Task[None] | None = None
        self._head: h11.Request | None = None
        self.reused = False

    async def send(self, head: h11.Request, body: bytes) -> None:
        """Write a whole request."""
        self._head = head
        data = self._protocol.send(head) or b""
        if body:
            data += self._protocol.send(h11.Data(data=body)) or b""
        data += self._protocol.send(h11.EndOfMessage()) or b""
        self._writer.write(data)
        await self._writer.drain()

    async def read_head(self) -> object:
        """Return the event that begins the answer; raise OSError when it takes long.

        The wait for its first byte has no limit, that for its last has one.
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
                    if informational > MAX_INFORMATIONAL:
                        raise h11.RemoteProtocolError("no answer but promises of one")

    async def _receive(self) -> None:
        self._protocol.receive_data(await self._reader.read(READ_BYTES))

    async def read_data(self) -> bytes:
        """Return all body bytes at hand, or nothing at the end of the answer.

        Parts that arrived together are joined, so that a busy host passes them on
        in one write. A call that is cancelled loses nothing. Raise ProtocolError when
        the answer breaks off.
        """
        parts: list[bytes] = []
        while True:
            event = self._protocol.next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
            elif event is h11.NEED_DATA:
                if parts:
                    return b"".join(parts)
                await self._receive()
            elif isinstance(event, h11.EndOfMessage):
                self._ended = True
                return b"".join(parts)
            else:
                raise h11.RemoteProtocolError("closed within the body")

    def has_ended(self) -> bool:
        """Tell whether the whole answer has been read."""
        return self._ended

    def is_reusable(self) -> bool:
        """Tell whether the answer ended cleanly and the server keeps open."""
        done = self._protocol.our_state is h11.DONE
        clean = not self._protocol.trailing_data[0]
        return done and clean and self._protocol.their_state is h11.DONE

    def idle(self) -> None:
        """Wait for the next request; whatever arrives meanwhile spoils this."""
        self.reused = True
        self._protocol.start_next_cycle()
        self._ended = False
        self._idle = asyncio.create_task(self._watch_idle())

    async def _watch_idle(self) -> None:
        # An answer that comes late belongs to nobody any more.
        with suppress(OSError):
            await self._reader.read(READ_BYTES)
        self._spoiled = True
        self.abort()

    async def wake(self) -> bool:
        """End the wait; tell whether the connection may carry a request."""
        if self._idle is not None:
            try:
                await end_task(self._idle)
            except asyncio.CancelledError:
                self.abort()
                raise
            self._idle = None
        return not self._spoiled and not self._writer.is_closing()

    def abort(self) -> None:
        """Drop the connection at once."""
        if self._idle is not None and not self._spoiled:
            self._idle.cancel()
        self._writer.transport.abort()


@dataclass(slots=True)
class HttpAnswer:
    """Hold the head of an answer and read its body."""

    status: int
    pairs: list[tuple[bytes, bytes]]
    address: str
    connection: ClientConnection
    client: "HttpClient"
    complete: bool = field(default=False)

    @property
    def headers(self) -> dict[str, str]:
        """Return the headers by lower-case name."""
        return {k.decode(): v.decode("latin-1") for k, v in self.pairs}

    async def read_part(self) -> bytes:
        """Return the next part of the body, nothing at its end.

        A call that is cancelled loses nothing. Raise UpstreamError when the body breaks
        off.
        """
        while not self.connection.has_ended():
            try:
                data = await self.connection.read_data()
            except (OSError, h11.ProtocolError) as error:
                self.close()
                raise UpstreamError(
                    f"the answer of {self.address} broke off: {error!r}",
                    "send it again if the work may repeat",
                ) from error
            if data:
                return data
        if not self.complete:
            self.complete = True
            self.client.release(self.address, self.connection)
        return b""

    async def iterate(self) -> AsyncIterator[bytes]:
        """Yield the body in parts; raise UpstreamError when it breaks off."""
        while data := await self.read_part():
            yield data

    async def read(self, limit_bytes: int = MAX_ANSWER_BYTES) -> bytes:
        """Return the whole body."""
        parts = []
        size = 0
        async for part in self.iterate():
            size += len(part)
            if size > limit_bytes:
                self.close()
                raise UpstreamError(
                    f"the answer of {self.address} is above {limit_bytes} bytes",
                    "ask for a smaller answer",
                )
            parts.append(part)
        return b"".join(parts)

    async def read_json(self) -> object:
        """Return the whole body as JSON; raise UpstreamError if malformed."""
        body = await self.read()
        try:
            return orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise UpstreamError(
                f"{self.address} sent malformed JSON", "check the server"
            ) from error

    def close(self) -> None:
        """Give up the rest of the answer; the server sees the cut."""
        if not self.complete:
            self.connection.abort()


class HttpClient:
    """Keep idle connections per address and send requests on them."""

    def __init__(self) -> None:
        self._idle: dict[str, list[ClientConnection]] = {}

    async def request(
        self,
        address: str,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        fresh: bool = False,
    ) -> HttpAnswer:
        """Send a request and return the head of its answer.

        `fresh` forbids an idle connection, so that UpstreamUnreachableError
        proves that no byte was sent; any later failure is an UpstreamError.
        """
        head = self._create_head(address, method, target, headers or {}, body)
        return await self.send(address, head, body, fresh)

    async def send(
        self, address: str, head: h11.Request, body: bytes, fresh: bool = False
    ) -> HttpAnswer:
        """Send a request whose head is made and return the head of its answer."""
        connection = await self._take(address, fresh)
        try:
            await connection.send(head, body)
            event = await connection.read_head()
        except (OSError, h11.ProtocolError) as error:
            connection.abort()
            if connection.reused:
                # Others that were opened before may be as dead.
                self.drop_idle(address)
            raise UpstreamError(
                f"{address} did not answer: {error!r}",
                "send it again if the work may repeat",
            ) from error
        except asyncio.CancelledError:
            connection.abort()
            raise
        if not isinstance(event, h11.Response):
            connection.abort()
            raise UpstreamError(
                f"{address} closed without an answer",
                "send it again if the work may repeat",
            )
        return HttpAnswer(
            event.status_code, list(event.headers), address, connection, self
        )

    async def request_json(
        self,
        address: str,
        method: str,
        target: str,
        content: object = None,
        timeout_ms: float = 5000.0,
    ) -> tuple[int, object]:
        """Send JSON and return status and decoded answer within `timeout_ms`."""
        body = b"" if content is None else orjson.dumps(content)
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                answer = await self.request(address, method, target, {}, body)
                return answer.status, await answer.read_json()
        except TimeoutError as error:
            raise UpstreamError(
                f"{address} did not answer within {timeout_ms:.0f} ms",
                "try again later",
            ) from error

    def release(self, address: str, connection: ClientConnection) -> None:
        """Keep a clean connection for the next request to `address`."""
        idle = self._idle.setdefault(address, [])
        if not connection.is_reusable() or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.abort()
            return
        connection.idle()
        idle.append(connection)

    def drop_idle(self, address: str) -> None:
        """Drop the idle connections to `address`, as its server may have gone."""
        for connection in self._idle.pop(address, []):
            connection.abort()

    def close(self) -> None:
        """Drop all idle connections."""
        for address in list(self._idle):
            self.drop_idle(address)

    async def _take(self, address: str, fresh: bool) -> ClientConnection:
        idle = self._idle.get(address, [])
        while idle and not fresh:
            connection = idle.pop()
            if await connection.wake():
                return connection
            connection.abort()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    *parse_address(address), limit=READ_BYTES
                )
        except (OSError, TimeoutError) as error:
            self.drop_idle(address)
            raise UpstreamUnreachableError(
                f"{address} cannot be reached: {error!r}", "check that it runs"
            ) from error
        return ClientConnection(reader, writer)

    @staticmethod
    def _create_head(
        address: str, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> h11.Request:
        pairs = [("host", address), ("content-length", str(len(body)))]
        pairs.extend((name, value) for name, value in headers.items())
        return h11.Request(method=method, target=target, headers=pairs)
