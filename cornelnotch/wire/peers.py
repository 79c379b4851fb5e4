"""Send messages to other hosts and hand out what arrives."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from cornelnotch.exceptions import WireError
from cornelnotch.kernel import Event, EventLog, TaskGroup
from cornelnotch.web import parse_address
from cornelnotch.wire.codec import FrameReader, decode_message, encode_message
from cornelnotch.wire.messages import Hello

__all__ = ["PeerNetwork"]

READ_BYTES = 65536
MAX_QUEUED_MESSAGES = 4096
CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 120.0
LISTEN_BACKLOG = 512

Receiver = Callable[[str, Any], None]


class PeerLink:
    """Own the outgoing connection to one host."""

    def __init__(self, network: "PeerNetwork", host: str) -> None:
        self._network = network
        self._host = host
        self.queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_MESSAGES)

    async def run(self) -> None:
        """Send queued messages until idle; drop what cannot be delivered."""
        writer: asyncio.StreamWriter | None = None
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    data = await self.queue.get()
                while not self.queue.empty():
                    data += self.queue.get_nowait()
                writer = await self._deliver(writer, data)
        except TimeoutError:
            return
        finally:
            self._network.forget_link(self._host)
            if writer is not None:
                writer.close()

    async def _deliver(
        self, writer: asyncio.StreamWriter | None, data: bytes
    ) -> asyncio.StreamWriter | None:
        try:
            if writer is None or writer.is_closing():
                writer = await self._connect()
            writer.write(data)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await writer.drain()
            self._network.count_sent(len(data))
            return writer
        except (OSError, TimeoutError):
            # The message is lost; every protocol above repeats or gives up.
            if writer is not None:
                writer.transport.abort()
            return None

    async def _connect(self) -> asyncio.StreamWriter:
        address = self._network.resolve(self._host)
        if address is None:
            raise ConnectionError(f"no address for {self._host}")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*parse_address(address))
        self._network.tasks.start(
            f"watch-{self._host}", self._watch_close(reader, writer)
        )
        writer.write(encode_message(self._network.hello))
        return writer

    @staticmethod
    async def _watch_close(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Nothing is ever sent back here, so a read ends when the peer closes.
        with suppress(OSError):
            while await reader.read(READ_BYTES):
                pass
        writer.close()


class PeerNetwork:
    """Listen for hosts, keep one link to each and route messages by type."""

    def __init__(
        self, host: str, boot: int, events: EventLog, tasks: TaskGroup
    ) -> None:
        self.hello = Hello(host, boot)
        self.tasks = tasks
        self.port = 0
        self.sent_bytes = 0
        self.sent_messages = 0
        self.received_messages = 0
        self._events = events
        self._links: dict[str, PeerLink] = {}
        self._addresses: dict[str, str] = {}
        self._receivers: dict[type, Receiver] = {}
        self._server: asyncio.Server | None = None
        self._incoming: set[asyncio.Task[None]] = set()

    @property
    def name(self) -> str:
        """Return this host's name."""
        return self.hello.host

    async def start(self, address: str, port: int) -> None:
        """Listen for other hosts; port 0 picks a free one."""
        self._server = await asyncio.start_server(
            self._accept, address, port, backlog=LISTEN_BACKLOG
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and drop every connection."""
        if self._server is not None:
            self._server.close()
        incoming = list(self._incoming)
        for task in incoming:
            task.cancel()
        await asyncio.gather(*incoming, return_exceptions=True)

    def subscribe(self, kind: type, receiver: Receiver) -> None:
        """Hand each message of `kind` to `receiver` with its sender's name."""
        self._receivers[kind] = receiver

    def set_address(self, host: str, address: str) -> None:
        """Remember where `host` listens."""
        if self._addresses.get(host) != address:
            self._addresses[host] = address

    def resolve(self, host: str) -> str | None:
        """Return where `host` listens."""
        return self._addresses.get(host)

    def send(self, host: str, message: Any) -> None:
        """Queue `message` for `host`; a host's own messages come straight back."""
        if host == self.hello.host:
            asyncio.get_running_loop().call_soon(self._receive, host, message)
            return
        link = self._links.get(host)
        if link is None:
            link = PeerLink(self, host)
            self._links[host] = link
            self.tasks.start(f"link-{host}", link.run())
        with suppress(asyncio.QueueFull):
            link.queue.put_nowait(encode_message(message))

    def forget_link(self, host: str) -> None:
        """Drop the link to `host` once its task has ended."""
        self._links.pop(host, None)

    def count_sent(self, size: int) -> None:
        """Count one write to a peer."""
        self.sent_bytes += size
        self.sent_messages += 1

    def _receive(self, sender: str, message: Any) -> None:
        receiver = self._receivers.get(type(message))
        if receiver is not None:
            receiver(sender, message)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._incoming.add(task)
        try:
            await self._serve(reader)
        except (WireError, OSError) as error:
            self._events.record(Event.PEER_MESSAGE_REFUSED, error=error)
        except asyncio.CancelledError:
            pass
        finally:
            self._incoming.discard(task)
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader) -> None:
        frames = FrameReader()
        sender: str | None = None
        while data := await reader.read(READ_BYTES):
            for frame in frames.feed(data):
                message = decode_message(frame)
                self.received_messages += 1
                if isinstance(message, Hello):
                    sender = message.host
                elif sender is None:
                    raise WireError("a peer did not name itself", "check the port")
                else:
                    self._receive(sender, message)
