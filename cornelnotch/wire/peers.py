"""Send messages to other hosts and dispatch incoming ones to subscribers."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from cornelnotch.exceptions import SettingsError, WireError
from cornelnotch.kernel import Event, EventLog, TaskSupervisor
from cornelnotch.web import MemoryAccount, parse_address
from cornelnotch.web.connections import lengthen_queues
from cornelnotch.web.memory import ConnectionMemory
from cornelnotch.wire.codec import FrameReader, decode_message, encode_message
from cornelnotch.wire.messages import Hello

__all__ = ["PeerNetwork"]

READ_BYTES = 65536
MAX_QUEUED_MESSAGES = 4096
CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 120.0
LISTEN_BACKLOG = 512
# Connections accepted in one step of the event loop, each of which may be one too many.
ACCEPTS_PER_STEP = 16
# Strangers could otherwise have a line logged for each connection.
REFUSED_LOG_INTERVAL_S = 1.0
# Before it has sent Hello, a peer has no reason to send more than that.
HELLO_BYTES = 4096
HELLO_TIMEOUT_S = 5.0
# Limit of the reader of a connection, whose system buffers the rest.
STREAM_BYTES = 16384

Receiver = Callable[[str, Any], None]


class PeerConnection:
    """The outgoing connection to one host and its send queue."""

    def __init__(self, network: "PeerNetwork", host: str) -> None:
        self._network = network
        self._host = host
        self.queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self._is_losing = False

    async def run(self) -> None:
        """Send queued messages until idle; drop messages that cannot be delivered."""
        writer: asyncio.StreamWriter | None = None
        try:
            while True:
                async with asyncio.timeout(IDLE_TIMEOUT_S):
                    data = await self.queue.get()
                taken = 1
                while not self.queue.empty():
                    data += self.queue.get_nowait()
                    taken += 1
                writer = await self._write(writer, data, taken)
                for _ in range(taken):
                    self.queue.task_done()
        except TimeoutError:
            return
        finally:
            self._network.remove_connection(self._host)
            if writer is not None:
                writer.close()

    async def _write(
        self, writer: asyncio.StreamWriter | None, data: bytes, messages: int
    ) -> asyncio.StreamWriter | None:
        try:
            if writer is None or writer.is_closing():
                writer = await self._connect()
            writer.write(data)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await writer.drain()
            self._network.count_sent(len(data))
            self._is_losing = False
            return writer
        except (OSError, TimeoutError, SettingsError) as error:
            # The messages are lost; the protocols built on this retry or time out.
            if writer is not None:
                writer.transport.abort()
            self._network.note_lost(self._host, messages, error, self._is_losing)
            self._is_losing = True
            return None

    async def _connect(self) -> asyncio.StreamWriter:
        address = self._network.resolve(self._host)
        if address is None:
            raise ConnectionError(f"no known address for host {self._host}")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*parse_address(address))
        self._network.tasks.start(
            f"watch-{self._host}", self._wait_until_closed(reader, writer)
        )
        writer.write(encode_message(self._network.hello))
        return writer

    @staticmethod
    async def _wait_until_closed(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        # Peers never reply on this connection; read() returns b"" once the peer closes.
        with suppress(OSError):
            while await reader.read(READ_BYTES):
                pass
        writer.close()


class PeerNetwork:
    """Connections to all other hosts; dispatches incoming messages by type."""

    def __init__(
        self, host: str, boot: int, events: EventLog, tasks: TaskSupervisor
    ) -> None:
        self.hello = Hello(host, boot)
        self.tasks = tasks
        self.port = 0
        self.sent_bytes = 0
        self.sent_messages = 0
        self.lost_messages = 0
        self.received_messages = 0
        self._events = events
        self._connections: dict[str, PeerConnection] = {}
        self._addresses: dict[str, str] = {}
        self._receivers: dict[type, Receiver] = {}
        self._server: asyncio.Server | None = None
        self._incoming_tasks: set[asyncio.Task[None]] = set()
        self._failures: set[tuple[type, type]] = set()
        self._account = MemoryAccount()
        self._max_incoming = 0
        # Incoming connections whose sender is not a host with a known address.
        self._strangers: dict[asyncio.Task[None], ConnectionMemory] = {}
        self._refused_logged_s = float("-inf")

    @property
    def name(self) -> str:
        """Return the name of this host."""
        return self.hello.host

    def bound(self, account: MemoryAccount, connections: int) -> None:
        """Set what incoming connections may take; 0 connections means any number."""
        self._account = account
        self._max_incoming = connections

    async def start(self, address: str, port: int) -> None:
        """Listen for other hosts; port 0 selects a free port."""
        self._server = await asyncio.start_server(
            self._accept, address, port, backlog=ACCEPTS_PER_STEP, limit=STREAM_BYTES
        )
        lengthen_queues(self._server, LISTEN_BACKLOG)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Stop listening and close all incoming connections."""
        if self._server is not None:
            self._server.close()
        incoming = list(self._incoming_tasks)
        for task in incoming:
            task.cancel()
        await asyncio.gather(*incoming, return_exceptions=True)

    async def flush(self, timeout_s: float) -> None:
        """Wait until queued messages have been sent, but at most `timeout_s`."""
        queues = [connection.queue for connection in self._connections.values()]
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                for queue in queues:
                    await queue.join()

    def subscribe(self, kind: type, receiver: Receiver) -> None:
        """Call `receiver` with the sender's name and each message of type `kind`."""
        self._receivers[kind] = receiver

    def set_address(self, host: str, address: str) -> None:
        """Set the address at which `host` listens."""
        if self._addresses.get(host) != address:
            self._addresses[host] = address

    def resolve(self, host: str) -> str | None:
        """Return the address at which `host` listens, or None if unknown."""
        return self._addresses.get(host)

    def send(self, host: str, message: Any) -> None:
        """Queue `message` for `host`; messages to this host are dispatched locally."""
        if host == self.hello.host:
            asyncio.get_running_loop().call_soon(self._receive, host, message)
            return
        try:
            data = encode_message(message)
        except WireError as error:
            self._record_failure(self.name, message, error)
            return
        connection = self._connections.get(host)
        if connection is None:
            connection = PeerConnection(self, host)
            self._connections[host] = connection
            self.tasks.start(f"link-{host}", connection.run())
        with suppress(asyncio.QueueFull):
            connection.queue.put_nowait(data)

    def remove_connection(self, host: str) -> None:
        """Remove the connection to `host` after its task has ended."""
        self._connections.pop(host, None)

    def count_sent(self, size: int) -> None:
        """Add one write of `size` bytes to the traffic counters."""
        self.sent_bytes += size
        self.sent_messages += 1

    def note_lost(
        self, host: str, messages: int, error: Exception, was_losing: bool
    ) -> None:
        """Count messages that were lost; log the first ones on a connection."""
        self.lost_messages += messages
        if not was_losing:
            self._events.record(
                Event.PEER_MESSAGES_LOST,
                host=host,
                messages=messages,
                error=repr(error),
            )

    def _receive(self, sender: str, message: Any) -> None:
        receiver = self._receivers.get(type(message))
        if receiver is None:
            return
        try:
            receiver(sender, message)
        except Exception as error:
            # Ending the stream would lose the messages behind this one, and the sender
            # may repeat it.
            self._record_failure(sender, message, error)

    def _record_failure(self, sender: str, message: Any, error: Exception) -> None:
        """Log the first error of each type for each type of message."""
        kind = (type(message), type(error))
        if kind in self._failures:
            return
        self._failures.add(kind)
        self._events.record(
            Event.PEER_MESSAGE_FAILED,
            sender=sender,
            message=kind[0].__name__,
            error=repr(error),
        )

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self._find_place():
            self._account.note_closed("peers", "connections")
            writer.transport.abort()
            return
        task = asyncio.current_task()
        assert task is not None
        self._incoming_tasks.add(task)
        memory = self._account.open("peers", writer.transport.abort)
        self._strangers[task] = memory
        try:
            await self._read_messages(reader, memory)
        except (WireError, OSError) as error:
            self._record_refusal(error)
        except asyncio.CancelledError:
            pass
        finally:
            self._incoming_tasks.discard(task)
            self._strangers.pop(task, None)
            memory.release()
            writer.transport.abort()

    def _find_place(self) -> bool:
        """Return whether a further connection is kept; close a stranger's for it."""
        if not self._max_incoming or len(self._incoming_tasks) < self._max_incoming:
            return True
        if not self._strangers:
            return False
        oldest = next(iter(self._strangers))
        self._incoming_tasks.discard(oldest)
        self._strangers.pop(oldest).close("connections")
        return True

    def _note_sender(self, sender: str) -> None:
        """Keep the connection of a host whose address is known."""
        task = asyncio.current_task()
        if task is not None and sender in self._addresses:
            self._strangers.pop(task, None)

    def _record_refusal(self, error: Exception) -> None:
        now_s = asyncio.get_running_loop().time()
        if now_s - self._refused_logged_s >= REFUSED_LOG_INTERVAL_S:
            self._refused_logged_s = now_s
            self._events.record(Event.PEER_MESSAGE_REFUSED, error=error)

    @staticmethod
    async def _read_piece(reader: asyncio.StreamReader, sender: str | None) -> bytes:
        """Return what arrives next; raise TimeoutError if no Hello does."""
        if sender is not None:
            return await reader.read(READ_BYTES)
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            return await reader.read(READ_BYTES)

    async def _read_messages(
        self, reader: asyncio.StreamReader, memory: ConnectionMemory
    ) -> None:
        frames = FrameReader()
        sender: str | None = None
        has_refused = False
        while data := await self._read_piece(reader, sender):
            memory.note_moved(len(data))
            if sender is not None and self._strangers:
                self._note_sender(sender)
            complete = frames.feed(data)
            memory.set_part("frames", frames.count_held_bytes())
            for frame in complete:
                try:
                    message = decode_message(frame)
                except WireError as error:
                    # The frames behind it are intact.
                    if not has_refused:
                        has_refused = True
                        self._record_refusal(error)
                    continue
                self.received_messages += 1
                if isinstance(message, Hello):
                    sender = message.host
                    self._note_sender(sender)
                elif sender is None:
                    raise WireError(
                        "peer sent a message before Hello", "check the port"
                    )
                else:
                    self._receive(sender, message)
            if sender is None and frames.count_held_bytes() > HELLO_BYTES:
                raise WireError("peer sent a long frame before Hello", "check the port")
