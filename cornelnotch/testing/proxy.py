"""TCP proxy that injects network faults between processes."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass

from cornelnotch.web import parse_address

__all__ = ["FaultProxy", "ProxyFaults"]

READ_BYTES = 16384
LOOPBACK_ADDRESS = "127.0.0.1"
BITS_PER_BYTE = 8


@dataclass(slots=True)
class ProxyFaults:
    """Faults that the proxy injects.

    `drop_answers` forwards requests and discards responses; `frozen` keeps connections
    open without forwarding data; `cut` aborts new connections.
    """

    delay_ms: float = 0.0
    bits_per_second: float | None = None
    cut: bool = False
    frozen: bool = False
    drop_answers: bool = False


class FaultProxy:
    """Proxy that forwards a port to an address with configurable faults."""

    def __init__(self, target: str) -> None:
        self.faults = ProxyFaults()
        self.forwarded_bytes = 0
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._link_free_s = 0.0

    @property
    def address(self) -> str:
        """Return the address that the proxy listens on."""
        assert self._server is not None
        return f"{LOOPBACK_ADDRESS}:{self._server.sockets[0].getsockname()[1]}"

    async def start(self) -> None:
        """Start listening on a free port."""
        self._server = await asyncio.start_server(self._accept, LOOPBACK_ADDRESS, 0)

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        self.drop_connections()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def cut(self) -> None:
        """Abort all connections and refuse new ones."""
        self.faults.cut = True
        self.drop_connections()

    def heal(self) -> None:
        """Remove all faults."""
        self.faults = ProxyFaults()

    def drop_connections(self) -> None:
        """Abort all open connections."""
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
            target_reader, target_writer = await asyncio.open_connection(
                *parse_address(self._target)
            )
            self._writers.add(target_writer)
            await asyncio.gather(
                self._forward(reader, target_writer, False),
                self._forward(target_reader, writer, True),
            )
            self._writers.discard(target_writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            writer.transport.abort()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_response: bool,
    ) -> None:
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                await self._apply_delay(len(data))
                if is_response and self.faults.drop_answers:
                    continue
                self.forwarded_bytes += len(data)
                writer.write(data)
                await writer.drain()
        writer.close()

    async def _apply_delay(self, size: int) -> None:
        while self.faults.frozen:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000.0)
        rate = self.faults.bits_per_second
        if rate is not None:
            loop = asyncio.get_running_loop()
            start = max(self._link_free_s, loop.time())
            self._link_free_s = start + size * BITS_PER_BYTE / rate
            await asyncio.sleep(self._link_free_s - loop.time())
