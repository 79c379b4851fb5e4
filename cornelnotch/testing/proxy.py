"""Put faults between processes: a TCP proxy that delays, cuts, freezes and drops."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass

from cornelnotch.web import parse_address

__all__ = ["FaultProxy", "ProxyFaults"]

READ_BYTES = 16384
ADDRESS = "127.0.0.1"
BITS_PER_BYTE = 8


@dataclass(slots=True)
class ProxyFaults:
    """Say what the proxy does to traffic.

    `drop_answers` lets requests through and swallows what comes back; `frozen`
    keeps connections open and moves nothing; `cut` refuses and drops them.
    """

    delay_ms: float = 0.0
    bits_per_second: float | None = None
    cut: bool = False
    frozen: bool = False
    drop_answers: bool = False


class FaultProxy:
    """Forward one port to one address under faults that a test changes."""

    def __init__(self, target: str) -> None:
        self.faults = ProxyFaults()
        self.forwarded_bytes = 0
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._free_at = 0.0

    @property
    def address(self) -> str:
        """Return where the proxy listens."""
        assert self._server is not None
        return f"{ADDRESS}:{self._server.sockets[0].getsockname()[1]}"

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, ADDRESS, 0)

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self.drop_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Drop every connection and refuse new ones."""
        self.faults.cut = True
        self.drop_connections()

    def heal(self) -> None:
        """Forward again without faults."""
        self.faults = ProxyFaults()

    def drop_connections(self) -> None:
        """Abort every connection now open."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.cut:
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *parse_address(self._target)
            )
            self._writers.add(far_writer)
            await asyncio.gather(
                self._forward(reader, far_writer, False),
                self._forward(far_reader, writer, True),
            )
            self._writers.discard(far_writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, back: bool
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self._hold(len(data))
                if back and self.faults.drop_answers:
                    continue
                self.forwarded_bytes += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()

    async def _hold(self, size: int) -> None:
        while self.faults.frozen:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000.0)
        rate = self.faults.bits_per_second
        if rate is not None:
            loop = asyncio.get_running_loop()
            start = max(self._free_at, loop.time())
            self._free_at = start + size * BITS_PER_BYTE / rate
            await asyncio.sleep(self._free_at - loop.time())
