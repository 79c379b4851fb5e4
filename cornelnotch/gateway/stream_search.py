"""Find another server for a stream whose server has fallen silent.

A stream that may be repeated goes on at the server that sends its next event first; see
the package `runs` for one that may not be repeated.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from cornelnotch.exceptions import StreamKeptError, UpstreamError
from cornelnotch.gateway.dispatch import DispatchOutcome, UpstreamResponse, has_events
from cornelnotch.gateway.dispatcher import DispatchHooks
from cornelnotch.gateway.placement import Placement
from cornelnotch.gateway.replacement import Replacement, ReplacementSearch
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.gateway.silence import is_silent
from cornelnotch.kernel.events import Event
from cornelnotch.runs import MAX_OVERLAP_S, Handover
from cornelnotch.runs.copies import may_use_copy

if TYPE_CHECKING:
    from cornelnotch.gateway.flow import RequestFlow

__all__ = ["StreamSearch"]

NOT_RUN = frozenset({DispatchOutcome.NOT_SENT, DispatchOutcome.REFUSED})


class StreamSearch(ReplacementSearch):
    """Search for a server that goes on with the stream of a silent one.

    `response` is that of the silent server.
    """

    event = Event.STREAM_STALLED

    def __init__(
        self,
        flow: RequestFlow,
        silent: ServerView,
        in_flight: InFlightRequest,
        response: UpstreamResponse,
    ) -> None:
        super().__init__(flow, silent)
        self._in_flight = in_flight
        self._began_in_drain = False
        self.handover = Handover(
            flow.dispatcher.runs,
            silent.record.name,
            in_flight,
            response,
            flow.record_event,
            flow.context.metrics.count_stream_move,
        )

    def may_start(self) -> bool:
        """Return whether another server may go on with the stream."""
        flow = self._flow
        if flow.backup is None:
            return super().may_start()
        # A stream that may not be repeated resumes only after its server failed.
        is_silent_now = is_silent(self._silent, flow.context.clock.read())
        return is_silent_now and may_use_copy(flow) and self._is_in_time()

    def may_leave(self) -> bool:
        """Return whether to close the silent server, as another one has the stream.

        The host may have begun to drain since the search began.
        """
        if self.handover.is_final:
            return True
        leaves = self._began_in_drain or self._is_in_time()
        if not leaves:
            name = self._silent.record.name
            self._flow.record_event(self.event, silent=name, server="")
        return leaves

    def _is_in_time(self) -> bool:
        """Return whether to move now: the silent server is closed at the next event."""
        last_ms = self._in_flight.event_ms or self._in_flight.first_ms
        return self._flow.timing.may_move(self._flow.splitter.count, last_ms)

    async def run(self) -> Replacement | None:
        """Return a response that goes on with the stream, or None if there is none."""
        self._began_in_drain = self._flow.context.drain.has_started
        self.handover.begin()
        try:
            return await super().run()
        except StreamKeptError:
            return None
        finally:
            self.handover.end()

    def _claim(self) -> None:
        in_time = self._flow.context.clock.read() < self._flow.limit_ms
        if not in_time or not self.may_leave():
            raise StreamKeptError("its time ends", "send the stream nowhere else")
        self.handover.claim()

    async def _send(
        self, placement: Placement, in_flight: InFlightRequest
    ) -> Replacement | None:
        hooks = DispatchHooks(claim=self._claim)
        response = await self._flow.open(placement, in_flight, hooks)
        if response.outcome in NOT_RUN:
            self.handover.give_back()
        found = await self._check(placement, in_flight, response)
        if found is None and self._flow.route.may_repeat:
            self.handover.give_back()
        return found

    async def _find(self) -> Replacement | None:
        backup = self._flow.backup
        return await (
            super()._find() if backup is None else self._resume_from_copy(backup)
        )

    async def _resume_from_copy(self, backup: ServerView) -> Replacement | None:
        flow = self._flow
        flow.resuming = True
        found: Replacement | None = None
        try:
            placement = Placement(backup, 0.0, 0, 1)
            found = await self._try_server(placement, flow.is_admitted)
            return found
        finally:
            if found is None:
                flow.resuming = False
                if self.handover.was_claimed:
                    flow.backup = None  # A copy can be used once.

    async def _is_usable(self, view: ServerView, response: UpstreamResponse) -> bool:
        flow = self._flow
        if not has_events(flow.route, response):
            return False
        if flow.continuation.origin is None:
            return True
        try:
            async with asyncio.timeout(MAX_OVERLAP_S):
                await flow.continuation.confirm_server(view)
        except UpstreamError:
            return False
        except TimeoutError:
            pass  # It is asked again once the silent server is given up.
        return True
