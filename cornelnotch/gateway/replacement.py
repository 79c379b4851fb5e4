"""Find another server for a stream whose server has fallen silent.

The silent server keeps the stream meanwhile. It goes on at the server that sends its
next event first; the connection to the other one is closed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.admission_client import AdmissionResult
from cornelnotch.gateway.dispatch import DispatchOutcome, UpstreamResponse, has_events
from cornelnotch.gateway.placement import Placement
from cornelnotch.gateway.retry_policy import may_send_again
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.gateway.silence import is_silent
from cornelnotch.kernel.events import Event

if TYPE_CHECKING:
    from cornelnotch.gateway.flow import RequestFlow

__all__ = ["Replacement", "ReplacementSearch"]

ADMITTED = frozenset({AdmissionResult.GRANTED, AdmissionResult.UNANSWERED})
FAILURES = (
    DispatchOutcome.BROKEN,
    DispatchOutcome.REFUSED,
    DispatchOutcome.NOT_SENT,
)
# Servers that one search asks for admission.
MAX_TRIES = 4
# Time for which both servers may run the stream.
MAX_OVERLAP_S = 0.2


@dataclass(slots=True)
class Replacement:
    """A response of another server that goes on with a stream."""

    placement: Placement
    in_flight: InFlightRequest
    response: UpstreamResponse
    release: Callable[[], None]

    def discard(self) -> None:
        """Close the response, as the stream does not go on there."""
        self.response.close()
        self.release()


class ReplacementSearch:
    """Search for a server that goes on with the stream of a silent one."""

    def __init__(self, flow: RequestFlow, silent: ServerView) -> None:
        self._flow = flow
        self._silent = silent

    def may_start(self) -> bool:
        """Return whether another server may go on with the stream."""
        flow = self._flow
        now = flow.context.clock.read()
        if flow.backup is not None:
            # A stream that may not be repeated resumes only after its server failed.
            return is_silent(self._silent, now) and flow.context.accepts(flow.backup)
        if not flow.context.find_retry_budget(flow.service).can_retry(now):
            return False
        if not flow.timing.can_end_elsewhere(flow.splitter.count):
            return False
        tried = flow.excluded | {self._silent.record.name}
        return flow.continuation.has_other_server(flow.service, tried)

    def must_leave(self) -> bool:
        """Return whether only another host can go on, as this one is cut off."""
        flow = self._flow
        peers = flow.peer_dispatch
        if not peers.is_cut_off() or not peers.is_possible():
            return False
        budget = flow.context.find_retry_budget(flow.service)
        can_retry = budget.can_retry(flow.context.clock.read())
        return can_retry and self._may_dispatch_again()

    async def run(self) -> Replacement | None:
        """Return a response that goes on with the stream, or None if there is none."""
        flow = self._flow
        excluded = flow.excluded
        flow.excluded = excluded | {self._silent.record.name}
        found: Replacement | None = None
        try:
            if flow.backup is not None:
                found = await self._resume_from_copy(flow.backup)
            else:
                found = await self._try_servers()
        except TimeoutError:
            pass  # The limit of the request has passed, which its own task handles.
        finally:
            if found is None:
                flow.excluded = excluded
        server = found.placement.server.record.name if found else ""
        flow.record_event(
            Event.STREAM_STALLED, silent=self._silent.record.name, server=server
        )
        return found

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
                # A copy can be used once.
                flow.resuming = False
                flow.backup = None

    async def _try_servers(self) -> Replacement | None:
        flow = self._flow
        for _ in range(MAX_TRIES):
            if not self._may_dispatch_again():
                return None
            placement = flow.place()
            if placement is None:
                return None
            found = await self._try_server(placement, self._is_admitted)
            if found is not None:
                return found
            flow.excluded = flow.excluded | {placement.server.record.name}
        return None

    def _may_dispatch_again(self) -> bool:
        flow = self._flow
        in_time = flow.context.clock.read() < flow.limit_ms
        return in_time and all(
            may_send_again(flow.route, flow.dispatches, outcome) for outcome in FAILURES
        )

    def _may_send(self) -> bool:
        """Return whether to send the stream to another server; use the retry budget."""
        flow = self._flow
        if not flow.crash_guard.may_dispatch(has_run=True):
            return False
        now = flow.context.clock.read()
        return flow.context.find_retry_budget(flow.service).try_acquire(now)

    async def _is_admitted(self, view: ServerView, in_flight: InFlightRequest) -> bool:
        return await self._flow.wait_for_admission(view, in_flight) in ADMITTED

    async def _try_server(
        self,
        placement: Placement,
        is_admitted: Callable[[ServerView, InFlightRequest], Awaitable[bool]],
    ) -> Replacement | None:
        flow = self._flow
        in_flight = flow.start_in_flight_request(placement)

        def release() -> None:
            flow.finish_in_flight_request(placement, in_flight)

        found: Replacement | None = None
        try:
            admitted = await is_admitted(placement.server, in_flight)
            if admitted and self._may_send():
                response = await flow.open(placement, in_flight)
                try:
                    if await self._goes_on(placement.server, in_flight, response):
                        found = Replacement(placement, in_flight, response, release)
                finally:
                    if found is None:
                        response.close()
            return found
        finally:
            if found is None:
                release()

    async def _goes_on(
        self, view: ServerView, in_flight: InFlightRequest, response: UpstreamResponse
    ) -> bool:
        """Return whether a response goes on with the stream; record a failed one."""
        flow = self._flow
        if response.outcome is not DispatchOutcome.DONE:
            flow.record_outcome(view, response)
            await flow.crash_guard.note_break(view, in_flight, response)
            return False
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
