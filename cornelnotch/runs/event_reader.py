"""Read a stream while another server is sought for it, if it stalls."""

import asyncio

from cornelnotch.exceptions import UpstreamStalledError
from cornelnotch.gateway.dispatch import UpstreamResponse
from cornelnotch.gateway.replacement import Replacement, discard_found
from cornelnotch.gateway.servers import InFlightRequest
from cornelnotch.gateway.stream_search import StreamSearch
from cornelnotch.kernel.clock import Clock

__all__ = ["EventReader"]

# Time to take what a server has sent before it counts as silent.
MIN_READ_S = 0.05
# Period at which a stalled stream that could not be moved is checked again.
RECHECK_S = 0.1


class EventReader:
    """Read a stream and detect stalls; call `stop_search` afterwards.

    Only complete events count as progress. While another server is sought for a stalled
    stream, its own server may go on with it, since that may be the only one left.
    """

    def __init__(
        self,
        response: UpstreamResponse,
        request: InFlightRequest,
        clock: Clock,
        stall_s: float | None,
        search: StreamSearch,
    ) -> None:
        self._response = response
        self._request = request
        self._clock = clock
        self._stall_s = stall_s
        self._search = search
        self._handover = search.handover
        self._searching: asyncio.Task[Replacement | None] | None = None
        self._searched_ms = 0.0
        self._searched_events = 0
        self._replacement: Replacement | None = None

    async def read(self) -> bytes:
        """Return the next bytes, empty at the end; raise UpstreamError on failure.

        A replacement that was found goes on with the stream then.
        """
        self._handover.is_sending = False
        try:
            return await self._read()
        finally:
            self._handover.is_sending = True

    async def _read(self) -> bytes:
        if self._stall_s is None:
            return await self._response.read_chunk()
        await self.note_progress()
        # Bytes may have arrived while the caller or this host let them wait.
        wait_s = max(self._compute_remaining_s(self._stall_s), MIN_READ_S)
        while True:
            if self._searching is None:
                try:
                    async with asyncio.timeout(wait_s):
                        return await self._response.read_chunk()
                except TimeoutError:
                    pass
                wait_s = self._compute_remaining_s(self._stall_s)
                if wait_s > 0:
                    continue
                wait_s = self._stall_s
                if self._search.must_leave():
                    raise self._create_stall()
                if not self._search.may_start():
                    wait_s = min(self._stall_s, RECHECK_S)
                    continue
                self._start_search()
            data = await self._read_or_replace()
            if data is not None:
                return data

    async def note_progress(self) -> None:
        """End the search if the silent server has sent a whole event since it began."""
        if self._request.events != self._searched_events:
            await self.stop_search()

    def take_replacement(self) -> Replacement | None:
        """Return the response that goes on with the stream; it is the caller's now."""
        replacement, self._replacement = self._replacement, None
        return replacement

    async def stop_search(self) -> None:
        """End the search for another server; discard what it has found."""
        unused = self.take_replacement()
        if unused is not None:
            unused.discard()
        searching, self._searching = self._searching, None
        if searching is None:
            return
        searching.cancel()
        searching.add_done_callback(discard_found)
        await asyncio.wait({searching})

    def _start_search(self) -> None:
        self._handover.is_sending = False
        self._searched_events = self._request.events
        self._searching = asyncio.create_task(self._search.run())

    async def _read_or_replace(self) -> bytes | None:
        """Return the next bytes, or None if no other server can go on."""
        assert self._searching is not None
        reading = asyncio.create_task(self._response.read_chunk())
        try:
            await asyncio.wait(
                {reading, self._searching}, return_when=asyncio.FIRST_COMPLETED
            )
            if reading.done() and not await self._is_decided(reading):
                return reading.result()
            searching, self._searching = self._searching, None
            self._searched_ms = self._clock.read()
            self._replacement = searching.result()
            has_broken = reading.done() and reading.exception() is not None
            if has_broken and not self._handover.is_closed:
                return reading.result()
            if self._replacement is not None and not self._search.may_leave():
                self._replacement.discard()
                self._replacement = None
            if self._replacement is None:
                self._handover.require_owner()
                return reading.result() if reading.done() else None
        finally:
            # The search runs on while the read ends.
            self._handover.is_sending = True
            reading.cancel()
            await asyncio.wait({reading})
        self._handover.note_moved()
        raise self._create_stall()

    async def _is_decided(self, reading: asyncio.Task[bytes]) -> bool:
        """Return whether the search has ended, which then decides who goes on.

        Another server may have the stream already, so what was read is held back.
        """
        assert self._searching is not None
        hold_s = self._handover.find_hold_s() if reading.exception() is None else None
        if hold_s != 0.0:
            await asyncio.wait({self._searching}, timeout=hold_s)
        return self._searching.done() and hold_s != 0.0

    def _create_stall(self) -> UpstreamStalledError:
        return UpstreamStalledError(
            f"no event for {self._stall_s} s", "resume at another server"
        )

    def _compute_remaining_s(self, stall_s: float) -> float:
        last_event_ms = self._request.event_ms or self._request.first_ms
        since_ms = max(last_event_ms, self._searched_ms)
        return stall_s - (self._clock.read() - since_ms) / 1000.0
