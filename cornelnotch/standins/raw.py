"""Simulated faulty server that sends arbitrary, possibly endless responses."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass

__all__ = ["RawResponse", "RawUpstream"]

HEAD_END = b"\r\n\r\n"
ID_FIELD = b"x-attempt-id:"


@dataclass(frozen=True, slots=True)
class RawResponse:
    """Bytes of a response; `ID` in `start` is replaced by the id of the request.

    After `start`, `repeated` is written every `pause_ms` until the caller closes the
    connection.
    """

    start: bytes
    repeated: bytes = b""
    pause_ms: float = 0.0


class RawUpstream:
    """Simulated server that sends the same bytes in response to each request."""

    def __init__(self, name: str, answer: RawResponse) -> None:
        self.name = name
        self.answer = answer
        self.requests = 0
        self.closed = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return the address that the server listens on."""
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Close the listening socket."""
        assert self._server is not None
        self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readuntil(HEAD_END)
                self.requests += 1
                writer.write(self.answer.start.replace(b"ID", _find_id(head)))
                await writer.drain()
                if self.answer.repeated:
                    await self._write_repeatedly(writer)
        self.closed += 1
        writer.transport.abort()

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
