"""Read on from a server while its caller reads slowly, within a bound of memory.

A server cuts off a response that stays unread for some seconds, and its other streams
must not suffer from one caller. What a caller has not taken is held here, in the memory
that request bodies share. Without room the host waits for a moment, since a caller that
reads steadily makes some; then the response of the slowest caller ends, and its caller
sees that it is incomplete.
"""

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from cornelnotch.exceptions import CallerDisconnectedError, HostMemoryError
from cornelnotch.gateway.body_memory import BodyMemory, HeldBody
from cornelnotch.gateway.models import Headers
from cornelnotch.kernel.clock import Clock
from cornelnotch.web import Exchange

__all__ = ["BufferedExchange", "UnreadMemory"]

# Share of the memory of bodies that unread responses may take.
UNREAD_SHARE = 0.25
# Servers cut off responses that stay unread for some seconds.
MAX_ROOM_WAIT_S = 1.0
MS_PER_SECOND = 1000.0


class UnreadMemory:
    """What this host holds of responses that their callers have not taken."""

    def __init__(
        self,
        bodies: BodyMemory,
        clock: Clock,
        note_ended: Callable[[int, float], None] = lambda held, spent_ms: None,
    ) -> None:
        self.held_bytes = 0
        self.clock = clock
        self._bodies = bodies
        self._note_ended = note_ended
        self._freed = asyncio.Event()
        self._buffers: set[BufferedExchange] = set()

    def wrap(self, exchange: Exchange) -> "BufferedExchange":
        """Return an exchange that does not wait while its caller reads slowly."""
        return BufferedExchange(exchange, self)

    async def hold(self, buffer: "BufferedExchange", size: int) -> HeldBody:
        """Take memory for a caller; end the slowest ones if there is none in time."""
        while not buffer.has_ended:
            try:
                async with asyncio.timeout(MAX_ROOM_WAIT_S):
                    return await self._wait_for_room(size)
            except TimeoutError:
                self._end_slowest()
        raise create_disconnection()

    async def _wait_for_room(self, size: int) -> HeldBody:
        while True:
            held = self.try_hold(size)
            if held is not None:
                return held
            self._freed.clear()
            await self._freed.wait()

    def try_hold(self, size: int) -> HeldBody | None:
        """Take memory for a part, or return None if there is none."""
        limit_bytes = self._bodies.limit_bytes * UNREAD_SHARE
        if self.held_bytes and self.held_bytes + size > limit_bytes:
            return None
        held = self._bodies.hold()
        try:
            held.add(size)
        except HostMemoryError:
            return None
        self.held_bytes += size
        return held

    def release(self, held: HeldBody, size: int) -> None:
        """Return the memory of a part that was taken, or is dropped."""
        held.release()
        self.held_bytes -= size
        self._freed.set()

    def remember(self, buffer: "BufferedExchange") -> None:
        """Remember a caller of which something is held."""
        self._buffers.add(buffer)

    def forget(self, buffer: "BufferedExchange") -> None:
        """Forget a caller of which nothing is held."""
        self._buffers.discard(buffer)

    def _end_slowest(self) -> None:
        """End the response whose caller would take longest for what is held."""
        now = self.clock.read()
        slowest = max(
            self._buffers, key=lambda b: b.estimate_drain_ms(now), default=None
        )
        if slowest is None:
            return
        self._note_ended(slowest.held_bytes, now - slowest.since_ms)
        slowest.end()
        self._freed.set()


def create_disconnection() -> CallerDisconnectedError:
    """Return the error of a response that this host has ended."""
    return CallerDisconnectedError(
        "the caller read its response too slowly", "read responses as they arrive"
    )


@dataclass(frozen=True, slots=True)
class UnreadPart:
    """A part of a response and the memory that it takes."""

    data: bytes
    held: HeldBody


class BufferedExchange:
    """An exchange whose response is read on while its caller reads slowly.

    Call `close` at its end. `since_ms` is when its caller fell behind.
    """

    def __init__(self, exchange: Exchange, memory: UnreadMemory) -> None:
        self._exchange = exchange
        self._memory = memory
        self._parts: deque[UnreadPart] = deque()
        self._writing: asyncio.Task[None] | None = None
        self._taken_bytes = 0
        self.has_ended = False
        self.held_bytes = 0
        self.since_ms = 0.0

    @property
    def disconnected(self) -> asyncio.Event:
        """Return the event that is set once the caller has closed the connection."""
        return self._exchange.disconnected

    @property
    def response_started(self) -> bool:
        """Return whether the head of the response was sent."""
        return self._exchange.response_started

    @property
    def response_finished(self) -> bool:
        """Return whether the whole response was passed to the connection."""
        return self._exchange.response_finished

    @property
    def status(self) -> int:
        """Return the status of the response, 0 before it has started."""
        return self._exchange.status

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of a response with a streamed body."""
        await self._exchange.start(status, headers)

    async def send(self, data: bytes) -> None:
        """Send a part of the body, later if the caller has not taken earlier ones."""
        if self.has_ended:
            raise create_disconnection()
        if self._writing is None and self._exchange.has_room(len(data)):
            await self._exchange.send(data)
            return
        held = self._memory.try_hold(len(data))
        if held is None and self._writing is None:
            # Nothing is held for this caller, so it is not the one to end.
            await self._exchange.send(data)
            return
        if not self.since_ms:
            self.since_ms = self._memory.clock.read()
        held = held or await self._memory.hold(self, len(data))
        self._memory.remember(self)
        self._parts.append(UnreadPart(data, held))
        self.held_bytes += len(data)
        if self.has_ended:
            self._drop()
            raise create_disconnection()
        if self._writing is None:
            self._writing = asyncio.create_task(self._write())

    async def _write(self) -> None:
        """Send the parts that are held, as the caller takes them."""
        try:
            while self._parts:
                await self._exchange.send(self._parts[0].data)
                self._taken_bytes += len(self._parts[0].data)
                self._release(self._parts.popleft())
            self.since_ms, self._taken_bytes = 0.0, 0
            self._memory.forget(self)
        except CallerDisconnectedError:
            self.has_ended = True
            self._drop()
        finally:
            self._writing = None

    def estimate_drain_ms(self, now: float) -> float:
        """Return the time that the caller would take for what is held, in ms."""
        spent_ms = max(now - self.since_ms, 1.0)
        return self.held_bytes * spent_ms / max(self._taken_bytes, 1)

    async def finish(self) -> None:
        """End the response once the caller has taken all parts."""
        while self._writing is not None:
            await asyncio.wait({self._writing})
        if self.has_ended:
            raise create_disconnection()
        await self._exchange.finish()

    async def respond(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response in one write."""
        await self._exchange.respond(status, headers, body)

    def abort(self) -> None:
        """Abort the connection, so that the caller detects an incomplete response."""
        self.close()
        self._exchange.abort()

    def end(self) -> None:
        """End the response for want of memory."""
        self.has_ended = True
        self.abort()

    def close(self) -> None:
        """Drop what the caller has not taken."""
        if self._writing is not None:
            self._writing.cancel()
        self._drop()

    def _drop(self) -> None:
        while self._parts:
            self._release(self._parts.popleft())
        self._memory.forget(self)

    def _release(self, part: UnreadPart) -> None:
        size = len(part.data)
        self.held_bytes -= size
        self._memory.release(part.held, size)
