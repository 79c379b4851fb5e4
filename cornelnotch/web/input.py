"""Read from connections no more than what is asked for."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable
from typing import SupportsIndex, cast

__all__ = ["PulledReader", "PulledProtocol"]

PIECE_BYTES = 65536
SMALL_PIECE_BYTES = 4096

# What arrives is copied out of it before the event loop reads from another connection.
_shared_buffer = memoryview(bytearray(PIECE_BYTES))


class PulledReader(asyncio.StreamReader):
    """Stream that reads from its connection only while `read` waits.

    One piece may arrive before the first call, of at most `PIECE_BYTES`.
    """

    def __init__(self) -> None:
        super().__init__(limit=PIECE_BYTES, loop=asyncio.get_running_loop())
        self.piece_bytes = SMALL_PIECE_BYTES
        self._unread = 0
        self._source: asyncio.Transport | None = None

    def set_transport(self, transport: asyncio.BaseTransport) -> None:
        """Set the connection to read from."""
        super().set_transport(transport)
        self._source = cast(asyncio.Transport, transport)

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Take a piece that has arrived, and read no further for now."""
        piece = bytes(data)
        self._unread += len(piece)
        super().feed_data(piece)
        if self._source is not None:
            self._source.pause_reading()

    async def read(self, n: int = -1) -> bytes:
        """Return up to `n` bytes, or none at the end."""
        if not self._unread and self._source is not None:
            self._source.resume_reading()
        data = await super().read(n)
        self._unread -= len(data)
        return data


class PulledProtocol(asyncio.StreamReaderProtocol, asyncio.BufferedProtocol):
    """Protocol of a server's connection that receives into a buffer shared by all."""

    def __init__(
        self,
        accept: Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]],
    ) -> None:
        self._pulled = PulledReader()
        super().__init__(self._pulled, accept, loop=asyncio.get_running_loop())

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer for the next piece."""
        return _shared_buffer[: self._pulled.piece_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Take the piece in the buffer."""
        self._pulled.feed_data(bytes(_shared_buffer[:nbytes]))
