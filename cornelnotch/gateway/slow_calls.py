"""Send a request to a server; find another one while that of a call is silent.

The silent server keeps the call meanwhile: the first response head to come decides,
and the connection to the other server is closed.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

from cornelnotch.gateway.admission_client import UNRESPONSIVE_MS, AdmissionResult
from cornelnotch.gateway.dispatch import DispatchOutcome, UpstreamResponse
from cornelnotch.gateway.dispatcher import DispatchHooks
from cornelnotch.gateway.placement import Placement
from cornelnotch.gateway.replacement import (
    ADMITTED,
    Replacement,
    ReplacementSearch,
    discard_found,
)
from cornelnotch.gateway.server_links import PROBE_INTERVAL_MS
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.gateway.timeouts import find_response_timeout_s
from cornelnotch.kernel.events import Event

if TYPE_CHECKING:
    from cornelnotch.gateway.flow import RequestFlow

__all__ = ["WatchedDispatch"]

MS_PER_SECOND = 1000.0


class CallSearch(ReplacementSearch):
    """Search for a server that answers the call of a silent one."""

    event = Event.CALL_STALLED

    def may_start(self) -> bool:
        """Return whether another server may answer the call."""
        return self._may_dispatch_again() and super().may_start()

    def must_leave(self) -> bool:
        """Return whether only another host can have the call answered."""
        return super().must_leave() and self._has_budget()

    def _may_dispatch_again(self) -> bool:
        is_suspected = self._flow.crash_guard.is_suspected
        return not is_suspected and super()._may_dispatch_again()

    def _may_send(self) -> bool:
        allowed = super()._may_send()
        if allowed:
            self._flow.context.metrics.count_retry(DispatchOutcome.BROKEN.value)
        return allowed

    async def _is_admitted(self, view: ServerView, in_flight: InFlightRequest) -> bool:
        result = await self._flow.wait_for_admission(view, in_flight)
        if result is AdmissionResult.RATE_LIMITED:
            self._flow.skip_limited(view, UNRESPONSIVE_MS)
        elif result is AdmissionResult.INFEASIBLE:
            self._flow.skip_limited(view, in_flight.wait_ms)
        return result in ADMITTED

    async def _send(
        self, placement: Placement, in_flight: InFlightRequest
    ) -> Replacement | None:
        """Send the call; another server may in turn replace this one."""
        dispatch = WatchedDispatch(self._flow, placement, in_flight)
        response = await dispatch.open()
        try:
            if dispatch.is_given_up:
                return dispatch.replacement
            found = await self._check(placement, in_flight, response)
            return found or dispatch.replacement
        except BaseException:
            if dispatch.replacement is not None:
                dispatch.replacement.discard()
            raise

    async def _goes_on(
        self, view: ServerView, in_flight: InFlightRequest, response: UpstreamResponse
    ) -> bool:
        if in_flight.rejected and self._flow.context.is_brittle(view):
            self._flow.skip_limited(view, in_flight.wait_ms)
        return await super()._goes_on(view, in_flight, response)

    async def _is_usable(self, view: ServerView, response: UpstreamResponse) -> bool:
        return True


class WatchedDispatch:
    """A dispatch that waits for its server until another one has answered.

    `is_given_up` is set once the server is not waited for any more. `replacement` is
    the response of another server, if there is one and this server gave none.
    """

    def __init__(
        self, flow: RequestFlow, placement: Placement, in_flight: InFlightRequest
    ) -> None:
        self._flow = flow
        self._placement = placement
        self._in_flight = in_flight
        self._search = CallSearch(flow, placement.server)
        self._timeout_s = 0.0
        self._limit = asyncio.timeout(None)
        self._has_ended = asyncio.Event()
        self._watching: asyncio.Task[Replacement | None] | None = None
        self.is_given_up = False
        self.replacement: Replacement | None = None

    async def run(self) -> UpstreamResponse | None:
        """Forward the response; return None on success, else the failed response.

        If the flow has a replacement then, the request goes on with that.
        """
        response = await self.open()
        self._flow.replacement = self.replacement
        if self.is_given_up:
            return response
        return await self._flow.receive(
            self._placement.server, self._in_flight, response
        )

    async def open(self) -> UpstreamResponse:
        """Send the request; return the head of the response, or what failed."""
        flow = self._flow
        timeout_s = find_response_timeout_s(flow.route, flow.dispatches.ran)
        if timeout_s is None:
            return await flow.open(self._placement, self._in_flight)
        self._timeout_s = timeout_s
        try:
            response = await self._wait()
        except BaseException:
            await self._stop_watch()
            raise
        try:
            if response.outcome is not DispatchOutcome.DONE:
                self.replacement = await self._take_found()
            await self._stop_watch()
        except BaseException:
            response.close()
            await self._stop_watch()
            raise
        return response

    async def _wait(self) -> UpstreamResponse:
        """Wait for the head of the response until the server is given up."""
        flow = self._flow
        hooks = DispatchHooks(silence_s=self._timeout_s, note_silence=self._start_watch)
        try:
            async with self._limit:
                return await flow.open(self._placement, self._in_flight, hooks)
        except TimeoutError:
            if not self._limit.expired():
                raise
            self.is_given_up = True
            return self._create_silence()
        finally:
            self._has_ended.set()
            if self._watching is not None:
                # It has been counted by its outcome now.
                flow.dispatches.ran -= 1

    def _create_silence(self) -> UpstreamResponse:
        return UpstreamResponse(
            DispatchOutcome.BROKEN,
            f"no response for {self._timeout_s} s",
            timed_out=True,
        )

    def _start_watch(self) -> None:
        """Note that the server is silent, and start to search for another one."""
        flow = self._flow
        flow.dispatches.ran += 1
        flow.last_outcome = DispatchOutcome.BROKEN
        flow.record_outcome(self._placement.server, self._create_silence())
        self._watching = asyncio.create_task(self._watch())

    async def _watch(self) -> Replacement | None:
        """Search until another server has answered, or only another host can."""
        found: Replacement | None = None
        while not self._has_ended.is_set() and not self._search.must_leave():
            if self._search.may_start():
                found = await self._search.run()
                if found is not None:
                    break
            await self._pause()
        if not self._has_ended.is_set():
            self._limit.reschedule(asyncio.get_running_loop().time())
        return found

    async def _pause(self) -> None:
        """Wait until another search may find more, or there is no need for it."""
        clock = self._flow.context.clock
        end_ms = clock.read() + self._timeout_s * MS_PER_SECOND
        while clock.read() < end_ms and not self._search.must_leave():
            with suppress(TimeoutError):
                async with asyncio.timeout(PROBE_INTERVAL_MS / MS_PER_SECOND):
                    await self._has_ended.wait()
                    return

    async def _take_found(self) -> Replacement | None:
        """Return what the search finds, once it has ended."""
        if self._watching is None:
            return None
        await asyncio.wait({self._watching})
        watching, self._watching = self._watching, None
        return watching.result()

    async def _stop_watch(self) -> None:
        """End the search; discard what it has found."""
        watching, self._watching = self._watching, None
        if watching is None:
            return
        watching.cancel()
        watching.add_done_callback(discard_found)
        await asyncio.wait({watching})
