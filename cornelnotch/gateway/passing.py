"""Pass the body of a server's answer on to the caller."""

import asyncio
from collections.abc import Callable

from cornelnotch.exceptions import UpstreamError, UpstreamStalledError
from cornelnotch.gateway.dispatch import Answer
from cornelnotch.gateway.servers import Flight
from cornelnotch.kernel.clock import Clock
from cornelnotch.web import Exchange

__all__ = ["MAX_HELD_BYTES", "EventReader", "pass_body"]

# A body up to this size is held whole, so that another server may answer if it breaks
# off; a larger one is passed on as it comes, up to the second size.
MAX_HELD_BYTES = 256 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024


async def pass_body(answer: Answer, exchange: Exchange) -> None:
    """Send a whole answer; raise UpstreamError when it breaks off or has no end.

    The caller has got nothing yet if `exchange` has not started.
    """
    assert answer.head is not None
    body = await answer.read_start(MAX_HELD_BYTES)
    if answer.is_whole():
        await exchange.respond(answer.head.status, answer.pairs, body)
        return
    await exchange.start(answer.head.status, answer.pairs)
    size = 0
    while body:
        size += len(body)
        if size > MAX_BODY_BYTES:
            raise UpstreamError(
                f"the body is above {MAX_BODY_BYTES} bytes", "check the server"
            )
        await exchange.send(body)
        body = await answer.read_part()
    await exchange.finish()


class EventReader:
    """Read a stream and notice when it stands still.

    Bytes that end no event are no progress. A stream that nobody can go on with is not
    cut: a slow server may be all that is left.
    """

    def __init__(
        self,
        answer: Answer,
        flight: Flight,
        clock: Clock,
        stall_s: float | None,
        may_go_on_elsewhere: Callable[[], bool],
    ) -> None:
        self._answer = answer
        self._flight = flight
        self._clock = clock
        self._stall_s = stall_s
        self._may_go_on_elsewhere = may_go_on_elsewhere

    async def read(self) -> bytes:
        """Return the next bytes, none at the end; raise UpstreamError otherwise."""
        if self._stall_s is None:
            return await self._answer.read_part()
        while True:
            left_s = self._find_left_s(self._stall_s)
            if left_s <= 0 and self._may_go_on_elsewhere():
                raise UpstreamStalledError(
                    f"no event for {self._stall_s} s", "go on at another server"
                )
            try:
                async with asyncio.timeout(left_s if left_s > 0 else self._stall_s):
                    return await self._answer.read_part()
            except TimeoutError:
                continue

    def _find_left_s(self, stall_s: float) -> float:
        heard_ms = self._flight.event_ms or self._flight.first_ms
        return stall_s - (self._clock.read() - heard_ms) / 1000.0
