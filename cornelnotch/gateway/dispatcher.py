"""Send one request to servers, and count what became of each dispatch."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from cornelnotch.exceptions import UpstreamUnreachableError
from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.dispatch import (
    DispatchOutcome,
    UpstreamResponse,
    open_response,
)
from cornelnotch.gateway.header_codec import DispatchOptions
from cornelnotch.gateway.models import CallerRequest, Route, WorkKind, Workspace
from cornelnotch.gateway.placement import Placement
from cornelnotch.gateway.retry_policy import DispatchCounts
from cornelnotch.gateway.server_signals import apply_server_signals
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.kernel.events import Event
from cornelnotch.runs import RequestRuns

__all__ = ["CacheCopy", "DispatchHooks", "Dispatcher"]

# Longer than several round trips between regions.
SLOW_CONNECT_S = 0.25
# Outcomes after which the server does not hold the request.
ENDED = frozenset(
    {DispatchOutcome.NOT_SENT, DispatchOutcome.REFUSED, DispatchOutcome.FAILED}
)


@dataclass(frozen=True, slots=True)
class CacheCopy:
    """Addresses for a copy of the KV cache: to write it, or to resume from it."""

    backup_address: str = ""
    source: str = ""


def do_nothing() -> None:
    """Do nothing, as a dispatch has no hook."""


@dataclass(frozen=True, slots=True)
class DispatchHooks:
    """What to call during a dispatch.

    `claim` is called before the first byte is sent; if it raises, nothing is sent.
    `note_silence` is called once the server has sent no response head for `silence_s`.
    """

    claim: Callable[[], None] = do_nothing
    silence_s: float | None = None
    note_silence: Callable[[], None] = do_nothing


NO_HOOKS = DispatchHooks()


class Dispatcher:
    """Dispatches of one request, which ends at `deadline_ms`."""

    def __init__(
        self,
        context: GatewayContext,
        request: CallerRequest,
        route: Route,
        workspace: Workspace | None,
        priority: int,
        deadline_ms: float,
        record_event: Callable[..., None],
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._workspace = workspace
        self._priority = priority
        self._deadline_ms = deadline_ms
        self._record_event = record_event
        self.counts = DispatchCounts()
        self.runs = RequestRuns(may_repeat=route.may_repeat)
        self._is_counted = False

    async def open(
        self,
        placement: Placement,
        in_flight: InFlightRequest,
        last_event_id: str,
        copy: CacheCopy,
        hooks: DispatchHooks | None = None,
    ) -> UpstreamResponse:
        """Send the request and return the head of the response, or what failed."""
        view = placement.server
        in_flight.sent = True
        self._record_limited_dispatch(view)
        options = DispatchOptions(
            view.record.name,
            self._deadline_ms - self._context.clock.read(),
            self._workspace.name if self._workspace else "",
            self._priority,
            last_event_id,
            placement.source.record.address if placement.source else "",
            copy.backup_address,
            copy.source,
        )
        sent_ms = self._context.clock.read()
        response = await self._send(view, in_flight, options, hooks or NO_HOOKS)
        self.counts.count(response.outcome)
        if response.outcome is DispatchOutcome.REFUSED:
            self.runs.release(view.record.name)
        in_flight.rejected = response.outcome is DispatchOutcome.REFUSED
        in_flight.ended = response.outcome in ENDED
        apply_server_signals(self._context, view, response, sent_ms, self._record_event)
        if response.outcome is DispatchOutcome.DONE:
            self._context.demand.record_prefill(
                view.record.service,
                self._request.prompt_tokens,
                in_flight.prefill_tokens,
            )
            view.record_received(in_flight, self._context.clock.read())
            self._context.admission.report_prefilled(in_flight)
        self._count_usage(response)
        return response

    def _count_usage(self, response: UpstreamResponse) -> None:
        """Count the request for its workspace once a server began to run it."""
        began = response.outcome is DispatchOutcome.DONE or (
            response.outcome is DispatchOutcome.FAILED
            and self._route.kind is not WorkKind.STREAM
        )
        if began and not self._is_counted and self._workspace is not None:
            self._is_counted = True
            self._context.count_usage(self._workspace.name)

    async def _send(
        self,
        view: ServerView,
        in_flight: InFlightRequest,
        options: DispatchOptions,
        hooks: DispatchHooks,
    ) -> UpstreamResponse:
        """Send the request; count it as one that may have run if it is cancelled."""
        sending = asyncio.Event()
        claim = hooks.claim

        def note_sending() -> None:
            self._check_listed(view, options)
            claim()
            self.runs.claim(view.record.name, copied=bool(options.kv_copy))
            sending.set()
            in_flight.transmitted = True
            self._record_again(view, options)

        loop = asyncio.get_running_loop()
        timers = [
            loop.call_later(SLOW_CONNECT_S, self._check_connecting, view, sending)
        ]
        if hooks.silence_s is not None:
            timers.append(loop.call_later(hooks.silence_s, hooks.note_silence))
        try:
            return await open_response(
                self._context.client,
                self._context.header_codec,
                view.record.address,
                self._request,
                options,
                self._needs_new_connection(view, options),
                note_sending,
            )
        except BaseException:
            if sending.is_set():
                self._note_left(view)
            raise
        finally:
            # The error of a broken connection keeps the closure, and would the request.
            claim = do_nothing
            for timer in timers:
                timer.cancel()

    def _record_again(self, view: ServerView, options: DispatchOptions) -> None:
        """Log a dispatch that is not the first one of its request."""
        counts = self.counts
        if not counts.ran + counts.refused + counts.unsent:
            return
        self._record_event(
            Event.REQUEST_SENT_AGAIN,
            server=view.record.name,
            ran=counts.ran,
            refused=counts.refused,
            unsent=counts.unsent,
            copied=bool(options.kv_copy),
            after_event=options.last_event_id,
        )

    def _check_listed(self, view: ServerView, options: DispatchOptions) -> None:
        """Raise UpstreamUnreachableError if the server has left since it was chosen."""
        is_listed = self._context.pool.has(view)
        if is_listed and not view.leaving:
            return
        self._record_event(
            Event.LEAVING_SERVER_SKIPPED,
            server=view.record.name,
            listed=is_listed,
            ran=self.counts.ran,
            unsent=self.counts.unsent,
            copied=bool(options.kv_copy),
        )
        raise UpstreamUnreachableError(
            "the server left while a connection to it was made",
            "send the request to another server",
        )

    def _note_left(self, view: ServerView) -> None:
        """Note that the connection was closed before the server answered."""
        counts = self.counts
        if counts.ran:
            self._record_event(
                Event.DISPATCH_CLOSED, server=view.record.name, answered=False
            )
        counts.ran += 1

    def _check_connecting(self, view: ServerView, sending: asyncio.Event) -> None:
        """Have the links to the servers probed while a connect hangs."""
        if not sending.is_set():
            self._context.links.suspect(view.record.service)

    def _needs_new_connection(self, view: ServerView, options: DispatchOptions) -> bool:
        """Return whether a pooled connection, which may be dead, must not be used."""
        if self._route.kind is WorkKind.ONCE or options.kv_copy:
            return True
        now = self._context.clock.read()
        return self._context.placer.measure_usage(view, now).failures > 0

    def _record_limited_dispatch(self, view: ServerView) -> None:
        limit = self._context.rate_limits.find(view.record)
        if limit is None:
            return
        self._context.metrics.count_limited_dispatch(view.record.name)
        self._record_event(
            Event.LIMITED_DISPATCH,
            server=view.record.name,
            per_second=limit.per_second,
            known_ms=round(self._context.clock.read() - limit.observed_ms, 1),
        )
