"""One request of a caller and its response."""

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

import h11
import orjson

from cornelnotch.exceptions import (
    BodyTooLargeError,
    CallerDisconnectedError,
    RequestError,
)
from cornelnotch.web.targets import split_target

if TYPE_CHECKING:
    from cornelnotch.web.server import ServerConnection

__all__ = ["Exchange"]

BODY_TIMEOUT_S = 20.0
# Parts of a body that are read in one step.
PARTS_PER_STEP = 128
# Parts of a body that are shorter are collected, as each object has a cost.
BLOCK_BYTES = 16384
CONTENT_LENGTH = "content-length"

Headers = dict[str, str] | list[tuple[Any, Any]]


def _is_content_length(name: str | bytes) -> bool:
    text = name.decode("latin-1") if isinstance(name, bytes) else name
    return text.lower() == CONTENT_LENGTH


class BodyParts:
    """Parts of a body, which are joined only once all have arrived.

    One growing array would be moved again and again, and leave gaps in the memory.
    """

    def __init__(self) -> None:
        self.size = 0
        self._blocks: list[bytes | bytearray] = []
        self._small = bytearray()

    def add(self, data: bytes | bytearray) -> None:
        """Add a part."""
        self.size += len(data)
        if len(data) < BLOCK_BYTES:
            self._small += data
        if self._small and (
            len(self._small) >= BLOCK_BYTES or len(data) >= BLOCK_BYTES
        ):
            self._blocks.append(bytes(self._small))
            self._small = bytearray()
        if len(data) >= BLOCK_BYTES:
            self._blocks.append(data)

    def join(self) -> bytes:
        """Return the whole body."""
        return b"".join([*self._blocks, self._small])


class Exchange:
    """One request of a caller and its response."""

    def __init__(self, connection: "ServerConnection", request: h11.Request) -> None:
        self._connection = connection
        self.method = request.method.decode()
        self.target = request.target.decode("ascii", "replace")
        target = split_target(self.target)
        self.path = target.path
        self.query = dict(parse_qsl(target.query))
        self.headers = {
            name.decode(): value.decode("latin-1") for name, value in request.headers
        }
        self.raw_headers = list(request.headers)
        self.status = 0
        self.response_started = False
        self.response_finished = False
        self._buffered_event = connection.take_buffered_event()
        self._body_ended = isinstance(self._buffered_event, h11.EndOfMessage)

    @property
    def disconnected(self) -> asyncio.Event:
        """Return the event that is set once the caller has closed the connection."""
        return self._connection.disconnected

    async def read_body(
        self,
        limit_bytes: int,
        note_received: Callable[[int], None] = lambda size: None,
    ) -> bytes:
        """Return the body; raise BodyTooLargeError if it exceeds `limit_bytes`.

        `note_received` is called with the size of each part that arrives.
        """
        if self._find_announced_bytes() > limit_bytes:
            raise BodyTooLargeError(limit_bytes)
        memory = self._connection.memory
        body = BodyParts()
        parts = 0
        while not self._body_ended:
            event = self._buffered_event or await self._read_event_with_timeout()
            self._buffered_event = None
            if isinstance(event, h11.Data):
                if body.size + len(event.data) > limit_bytes:
                    raise BodyTooLargeError(limit_bytes)
                note_received(len(event.data))
                memory.add_part("body", len(event.data))
                body.add(event.data)
                parts += 1
                if parts % PARTS_PER_STEP == 0:
                    await self._connection.turns.take()
            elif isinstance(event, h11.EndOfMessage):
                self._body_ended = True
            else:
                raise CallerDisconnectedError(
                    "caller closed the connection within the body", "retry the request"
                )
        # From here on the request may be at a server, and is not ended for its memory.
        memory.protected = True
        self._connection.watch_for_close()
        return body.join()

    def _find_announced_bytes(self) -> int:
        """Return the size that the head announces, 0 if it does not."""
        if self._body_ended:
            return 0
        return int(self.headers.get(CONTENT_LENGTH, 0))

    async def _read_event_with_timeout(self) -> object:
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return await self._connection.read_event()
        except TimeoutError as error:
            raise RequestError(
                "timed out while reading the body",
                "retry the request",
                408,
                "body-timeout",
            ) from error

    def _build_headers(self, headers: Headers) -> list[tuple[Any, Any]]:
        raw_headers: list[tuple[Any, Any]]
        raw_headers = (
            list(headers.items()) if isinstance(headers, dict) else list(headers)
        )
        if not self._body_ended or self._connection.is_closing_after_response():
            # Unread body bytes would be parsed as the next request, so the connection
            # is closed.
            raw_headers.append(("connection", "close"))
        return raw_headers

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response with a streamed body."""
        self.response_started = True
        self.status = status
        raw_headers = self._build_headers(headers)
        if not any(_is_content_length(name) for name, _ in raw_headers):
            raw_headers.append(("transfer-encoding", "chunked"))
        await self._connection.send(
            h11.Response(status_code=status, headers=raw_headers)
        )

    def has_room(self, size: int) -> bool:
        """Return whether a part of the body can be sent without waiting."""
        return self._connection.has_room(size)

    async def send(self, data: bytes) -> None:
        """Send a part of the body, waiting while the write buffer is full."""
        await self._connection.send(h11.Data(data=data))

    async def finish(self) -> None:
        """End the response."""
        self.response_finished = True
        await self._connection.send(h11.EndOfMessage())

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response in one write."""
        self.response_started = True
        self.response_finished = True
        self.status = status
        raw_headers = self._build_headers(headers)
        raw_headers.append(("content-length", str(len(body))))
        head = h11.Response(status_code=status, headers=raw_headers)
        chunks: list[h11.Event] = [h11.Data(data=body)] if body else []
        await self._connection.send(head, *chunks, h11.EndOfMessage())

    async def respond_json(
        self, status: int, content: object, headers: dict[str, str] | None = None
    ) -> None:
        """Send a complete response with a JSON body."""
        merged = {"content-type": "application/json", **(headers or {})}
        await self.respond(status, merged, orjson.dumps(content))

    def abort(self) -> None:
        """Abort the connection, so that the caller detects an incomplete response."""
        self._connection.abort()
