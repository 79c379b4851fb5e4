"""Simulated faulty server that sends arbitrary, possibly endless responses."""

import asyncio
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


class ConnectionEnd(StrEnum):
    """What the server does with a connection after a response."""

    KEEP = "keep"
    CLOSE = "close"
    RESET = "reset"
    CLOSE_AND_EXIT = "close-and-exit"


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

    It has no report of itself.
    """

    def __init__(self, name: str, answer: RawResponse) -> None:
        self.name = name
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
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]

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
