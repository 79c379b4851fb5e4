"""Simulated faulty server that sends arbitrary, possibly endless responses."""

import asyncio
import socket
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum

from cornelnotch.web.connections import reset_on_close

__all__ = ["ConnectionEnd", "RawResponse", "RawUpstream"]

HEAD_END = b"\r\n\r\n"
ID_FIELD = b"x-attempt-id:"
REPORT_START = b"GET /report "
NO_REPORT = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n"


# Lets the peer read what was sent before the connection is reset.
RESET_DELAY_S = 0.03
# Time from the end of the response to the reset of a connection that is half closed.
HALF_CLOSED_S = 0.3
READ_LIMIT_BYTES = 65536


class ConnectionEnd(StrEnum):
    """What the server does with a connection after a response."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"
    CLOSE_AND_EXIT = "close-and-exit"
    HALF_CLOSE_AND_RESET = "half-close-and-reset"


@dataclass(frozen=True, slots=True)
class RawResponse:
    """Bytes of a response; `ID` in `start` is replaced by the id of the request.

    After `start`, `repeated` is written every `pause_ms` until the caller closes the
    connection. Without `repeated`, the connection ends as `end` says; a server that
    exits accepts no further connections.
    """

    start: bytes
    repeated: bytes = b""
    pause_ms: float = 0.0
    end: ConnectionEnd = ConnectionEnd.KEEP


class RawUpstream:
    """Simulated server that sends the same bytes in response to each request.

    It responds to the head and does not read the body, of which its system takes about
    `receive_buffer_bytes`, unless that is 0. It has no report of itself.
    """

    def __init__(
        self, name: str, answer: RawResponse, receive_buffer_bytes: int = 0
    ) -> None:
        self.name = name
        self.receive_buffer_bytes = receive_buffer_bytes
        self.answer = answer
        self.requests = 0
        self.closed = 0
        self._server: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return the address that the server listens on."""
        return f"127.0.0.1:{self._port}"

    async def start(self) -> None:
        """Listen on a free port, and on the same one after a stop."""
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        limit = READ_LIMIT_BYTES
        if self.receive_buffer_bytes:
            limit = min(self.receive_buffer_bytes, limit)
            listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes
            )
        listener.bind(("127.0.0.1", self._port))
        self._server = await asyncio.start_server(
            self._serve, sock=listener, limit=limit
        )
        self._port = listener.getsockname()[1]

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        self._stop_listening()
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    def _stop_listening(self) -> None:
        assert self._server is not None
        self._server.close()

    def create_response(self, request_id: bytes) -> bytes:
        """Return the bytes that are sent in response to a request."""
        return self.answer.start.replace(b"ID", request_id)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(HEAD_END)
                if head.startswith(REPORT_START):
                    writer.write(NO_REPORT)
                    continue
                self.requests += 1
                writer.write(self.create_response(_find_id(head)))
                await writer.drain()
                if self.answer.repeated:
                    await self._write_repeatedly(writer)
                if self.answer.end is not ConnectionEnd.KEEP:
                    await self._end_connection(writer)
                    break
        self.closed += 1
        self._writers.discard(writer)
        writer.transport.abort()

    async def _end_connection(self, writer: asyncio.StreamWriter) -> None:
        if self.answer.end is ConnectionEnd.CLOSE_AND_EXIT:
            self._stop_listening()
        if self.answer.end is ConnectionEnd.HALF_CLOSE_AND_RESET:
            writer.write_eof()
            await asyncio.sleep(HALF_CLOSED_S)
            reset_on_close(writer)
        if self.answer.end is ConnectionEnd.RESET:
            await asyncio.sleep(RESET_DELAY_S)
            reset_on_close(writer)

    async def _write_repeatedly(self, writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            writer.write(self.answer.repeated)
            await writer.drain()
            await asyncio.sleep(self.answer.pause_ms / 1000.0)
        raise ConnectionResetError("the caller closed the connection")


def _find_id(head: bytes) -> bytes:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return b""
