"""Forward the body of a server's response to the caller."""

import asyncio

from cornelnotch.exceptions import UpstreamError, UpstreamStalledError
from cornelnotch.gateway.dispatch import UpstreamResponse
from cornelnotch.gateway.replacement import Replacement, ReplacementSearch
from cornelnotch.gateway.response_ends import ResponseEnd, confirm_end
from cornelnotch.gateway.servers import InFlightRequest
from cornelnotch.kernel.clock import Clock
from cornelnotch.web import Exchange

__all__ = ["MAX_BUFFERED_BYTES", "EventReader", "forward_body"]

# A body up to this size is buffered, so that another server can be tried if it is cut
# off. A larger one is streamed, up to the second size.
MAX_BUFFERED_BYTES = 256 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024


async def forward_body(
    response: UpstreamResponse,
    exchange: Exchange,
    buffered_bytes: int = MAX_BUFFERED_BYTES,
) -> ResponseEnd:
    """Forward a complete response and return how it ended.

    Raise UpstreamError if it is cut off or too large. Nothing was sent to the caller
    as long as `exchange` has not started, which it does once the body exceeds
    `buffered_bytes`.
    """
    assert response.head is not None
    body = await response.read_start(buffered_bytes)
    if response.is_complete():
        end = await confirm_end(response)
        await exchange.respond(response.head.status, response.headers, body)
        return end
    await exchange.start(response.head.status, response.headers)
    size = 0
    while body:
        size += len(body)
        if size > MAX_BODY_BYTES:
            raise UpstreamError(
                f"response body exceeds {MAX_BODY_BYTES} bytes", "check the server"
            )
        await exchange.send(body)
        body = await response.read_chunk()
    end = await confirm_end(response)
    await exchange.finish()
    return end


class EventReader:
    """Read a stream and detect stalls.

    Only complete events count as progress. While another server is sought for a stalled
    stream, its own server may go on with it, since that may be the only one left.
    """

    def __init__(
        self,
        response: UpstreamResponse,
        request: InFlightRequest,
        clock: Clock,
        stall_s: float | None,
        search: ReplacementSearch,
    ) -> None:
        self._response = response
        self._request = request
        self._clock = clock
        self._stall_s = stall_s
        self._search = search
        self.replacement: Replacement | None = None

    async def read(self) -> bytes:
        """Return the next bytes, empty at the end; raise UpstreamError on failure.

        Raise UpstreamStalledError once `replacement` goes on with the stream.
        """
        if self._stall_s is None:
            return await self._response.read_chunk()
        while True:
            wait_s = self._compute_remaining_s(self._stall_s)
            if wait_s <= 0:
                if self._search.must_leave():
                    raise self._create_stall()
                if self._search.may_start():
                    data = await self._read_or_replace()
                    if data is not None:
                        return data
                wait_s = self._stall_s
            try:
                async with asyncio.timeout(wait_s):
                    return await self._response.read_chunk()
            except TimeoutError:
                continue

    async def _read_or_replace(self) -> bytes | None:
        """Return the next bytes, or None if no other server can go on."""
        reading = asyncio.create_task(self._response.read_chunk())
        search = asyncio.create_task(self._search.run())
        try:
            await asyncio.wait({reading, search}, return_when=asyncio.FIRST_COMPLETED)
            if reading.done():
                return reading.result()
            self.replacement = search.result()
            if self.replacement is None:
                return None
        finally:
            await self._stop(reading, search)
        raise self._create_stall()

    def _create_stall(self) -> UpstreamStalledError:
        return UpstreamStalledError(
            f"no event for {self._stall_s} s", "resume at another server"
        )

    async def _stop(
        self, reading: asyncio.Task[bytes], search: asyncio.Task[Replacement | None]
    ) -> None:
        """End both tasks; discard a replacement that is not needed."""
        for task in (reading, search):
            task.cancel()
        await asyncio.wait({reading, search})
        if search.cancelled() or search.exception() is not None:
            return
        found = search.result()
        if found is not None and found is not self.replacement:
            found.discard()

    def _compute_remaining_s(self, stall_s: float) -> float:
        last_event_ms = self._request.event_ms or self._request.first_ms
        return stall_s - (self._clock.read() - last_event_ms) / 1000.0
