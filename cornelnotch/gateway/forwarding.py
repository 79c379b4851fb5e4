"""Forward the body of a server's response to the caller."""

import asyncio
from collections.abc import Callable

from cornelnotch.exceptions import UpstreamError, UpstreamStalledError
from cornelnotch.gateway.dispatch import UpstreamResponse
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

    Only complete events count as progress. A stream that no other server can resume is
    not cut off, since the slow server may be the only one left.
    """

    def __init__(
        self,
        response: UpstreamResponse,
        request: InFlightRequest,
        clock: Clock,
        stall_s: float | None,
        can_resume_elsewhere: Callable[[], bool],
    ) -> None:
        self._response = response
        self._request = request
        self._clock = clock
        self._stall_s = stall_s
        self._can_resume_elsewhere = can_resume_elsewhere

    async def read(self) -> bytes:
        """Return the next bytes, empty at the end; raise UpstreamError on failure."""
        if self._stall_s is None:
            return await self._response.read_chunk()
        while True:
            remaining_s = self._compute_remaining_s(self._stall_s)
            if remaining_s <= 0 and self._can_resume_elsewhere():
                raise UpstreamStalledError(
                    f"no event for {self._stall_s} s", "resume at another server"
                )
            try:
                async with asyncio.timeout(
                    remaining_s if remaining_s > 0 else self._stall_s
                ):
                    return await self._response.read_chunk()
            except TimeoutError:
                continue

    def _compute_remaining_s(self, stall_s: float) -> float:
        last_event_ms = self._request.event_ms or self._request.first_ms
        return stall_s - (self._clock.read() - last_event_ms) / 1000.0
