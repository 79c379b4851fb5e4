"""Find another server for a request whose server has fallen silent.

The silent server keeps the request meanwhile. It goes on at the server that sends
first; the connection to the other one is closed.
"""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, ClassVar

from cornelnotch.gateway.admission_client import SENT_RESULTS as ADMITTED
from cornelnotch.gateway.dispatch import DispatchOutcome, UpstreamResponse
from cornelnotch.gateway.placement import Placement
from cornelnotch.gateway.retry_policy import may_send_again
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.kernel.events import Event

if TYPE_CHECKING:
    from cornelnotch.gateway.flow import RequestFlow

__all__ = ["Replacement", "ReplacementSearch", "discard_found"]

FAILURES = (
    DispatchOutcome.BROKEN,
    DispatchOutcome.REFUSED,
    DispatchOutcome.NOT_SENT,
)
# Servers that one search asks for admission.
MAX_TRIES = 4


@dataclass(slots=True)
class Replacement:
    """A response of another server that goes on with a request."""

    placement: Placement
    in_flight: InFlightRequest
    response: UpstreamResponse
    release: Callable[[], None]
    record_event: Callable[..., None]

    def discard(self) -> None:
        """Close the response, as the request does not go on there."""
        server = self.placement.server.record.name
        self.record_event(Event.DISPATCH_CLOSED, server=server, answered=True)
        self.response.close()
        self.release()


def discard_found(searching: asyncio.Task[Replacement | None]) -> None:
    """Discard what a search that has ended has found."""
    if searching.cancelled() or searching.exception() is not None:
        return
    found = searching.result()
    if found is not None:
        found.discard()


class ReplacementSearch(ABC):
    """Search for a server that goes on with the request of a silent one."""

    event: ClassVar[Event]

    def __init__(self, flow: RequestFlow, silent: ServerView) -> None:
        self._flow = flow
        self._silent = silent

    def may_start(self) -> bool:
        """Return whether another server may go on with the request."""
        flow = self._flow
        if not self._has_budget() or not self._is_in_time():
            return False
        tried = flow.excluded | {self._silent.record.name}
        return flow.continuation.has_other_server(flow.service, tried)

    def _is_in_time(self) -> bool:
        """Return whether the request may go on elsewhere in the time left."""
        flow = self._flow
        return flow.timing.can_end_elsewhere(flow.splitter.count)

    def must_leave(self) -> bool:
        """Return whether only another host can go on, as this one is cut off."""
        flow = self._flow
        peers = flow.peer_dispatch
        if not peers.is_cut_off() or not peers.is_possible():
            return False
        budget = flow.context.find_retry_budget(flow.service)
        can_retry = budget.can_retry(flow.context.clock.read())
        return can_retry and self._may_dispatch_again()

    def may_leave(self) -> bool:
        """Return whether to close the silent server, as another one has the request."""
        return True

    async def run(self) -> Replacement | None:
        """Return a response that goes on with the request, or None if there is none."""
        flow = self._flow
        excluded = flow.excluded
        flow.excluded = excluded | {self._silent.record.name}
        found: Replacement | None = None
        try:
            found = await self._find()
        except TimeoutError:
            pass  # The limit of the request has passed, which its own task handles.
        finally:
            if found is None:
                flow.excluded = excluded
        server = found.placement.server.record.name if found else ""
        flow.record_event(self.event, silent=self._silent.record.name, server=server)
        return found

    async def _find(self) -> Replacement | None:
        """Try the servers one after another."""
        flow = self._flow
        for _ in range(MAX_TRIES):
            if self.must_leave() or not self._may_dispatch_again():
                return None
            placement = flow.place()
            if placement is None:
                return None
            found = await self._try_server(placement, self._is_admitted)
            if found is not None:
                return found
            flow.excluded = flow.excluded | {placement.server.record.name}
        return None

    def _has_budget(self) -> bool:
        flow = self._flow
        now = flow.context.clock.read()
        return flow.context.find_retry_budget(flow.service).can_retry(now)

    def _may_dispatch_again(self) -> bool:
        flow = self._flow
        in_time = flow.context.clock.read() < flow.limit_ms
        return in_time and all(
            may_send_again(flow.route, flow.dispatches, outcome) for outcome in FAILURES
        )

    def _may_send(self) -> bool:
        """Return whether to send the request to a server; use the retry budget."""
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
        found: Replacement | None = None
        try:
            admitted = await is_admitted(placement.server, in_flight)
            if admitted and self._may_send():
                found = await self._send(placement, in_flight)
            return found
        finally:
            if found is None or found.in_flight is not in_flight:
                flow.finish_in_flight_request(placement, in_flight)

    async def _send(
        self, placement: Placement, in_flight: InFlightRequest
    ) -> Replacement | None:
        """Send the request; return a response with which it goes on."""
        response = await self._flow.open(placement, in_flight)
        return await self._check(placement, in_flight, response)

    async def _check(
        self,
        placement: Placement,
        in_flight: InFlightRequest,
        response: UpstreamResponse,
    ) -> Replacement | None:
        """Return a response if the request goes on with it, else close it."""
        found: Replacement | None = None

        def release() -> None:
            self._flow.finish_in_flight_request(placement, in_flight)

        try:
            if await self._goes_on(placement.server, in_flight, response):
                found = Replacement(
                    placement,
                    in_flight,
                    response,
                    release,
                    self._flow.record_event,
                )
            return found
        finally:
            if found is None:
                response.close()

    async def _goes_on(
        self, view: ServerView, in_flight: InFlightRequest, response: UpstreamResponse
    ) -> bool:
        """Return whether a response goes on with the request; record a failed one."""
        if response.outcome is not DispatchOutcome.DONE:
            self._flow.record_outcome(view, response)
            await self._flow.crash_guard.note_break(view, in_flight, response)
            return False
        return await self._is_usable(view, response)

    @abstractmethod
    async def _is_usable(self, view: ServerView, response: UpstreamResponse) -> bool:
        """Return whether a whole head of a response goes on with the request."""
