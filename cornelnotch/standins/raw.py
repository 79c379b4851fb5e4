"""Stand in for a server in trouble: answer with any bytes, with or without end."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass

__all__ = ["RawAnswer", "RawUpstream"]

HEAD_END = b"\r\n\r\n"
ID_FIELD = b"x-attempt-id:"


@dataclass(frozen=True, slots=True)
class RawAnswer:
    """Hold the bytes of an answer; `ID` in `start` becomes the id of the request.

    After `start`, `repeated` is written until the caller closes, each `pause_ms`.
    """

    start: bytes
    repeated: bytes = b""
    pause_ms: float = 0.0


class RawUpstream:
    """Answer each request on a connection with the same bytes."""

    def __init__(self, name: str, answer: RawAnswer) -> None:
        self.name = name
        self.answer = answer
        self.requests = 0
        self.closed = 0
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """Return where the server listens."""
        assert self._server is not None
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def stop(self) -> None:
        """Close the listener."""
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
                    await self._repeat(writer)
        self.closed += 1
        writer.transport.abort()

    async def _repeat(self, writer: asyncio.StreamWriter) -> None:
        while not writer.is_closing():
            writer.write(self.answer.repeated)
            await writer.drain()
            await asyncio.sleep(self.answer.pause_ms / 1000.0)
        raise ConnectionResetError("the caller closed")


def _find_id(head: bytes) -> bytes:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip()
    return b""
