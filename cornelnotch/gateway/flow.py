"""Dispatch one request to a server and forward the response to the caller."""

import asyncio
from dataclasses import replace
from weakref import proxy

from cornelnotch.exceptions import (
    CallerDisconnectedError,
    UpstreamError,
    UpstreamStalledError,
)
from cornelnotch.gateway.admission_client import UNRESPONSIVE_MS, AdmissionResult
from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.continuation import StreamContinuation
from cornelnotch.gateway.crash_guard import CrashGuard
from cornelnotch.gateway.direct_admission import find_spread_ms
from cornelnotch.gateway.dispatch import (
    DispatchOutcome,
    UpstreamResponse,
    has_events,
)
from cornelnotch.gateway.dispatcher import CacheCopy, Dispatcher, DispatchHooks
from cornelnotch.gateway.drain import choose_drain_retry_after_ms
from cornelnotch.gateway.engine_search import MAX_OVERLOADED, searches_on
from cornelnotch.gateway.fingerprints import create_fingerprints
from cornelnotch.gateway.forwarding import MAX_BUFFERED_BYTES, forward_body
from cornelnotch.gateway.models import CallerRequest, Route, WorkKind, Workspace
from cornelnotch.gateway.peer_dispatch import PeerDispatch
from cornelnotch.gateway.placement import Placement, PlacementNeed
from cornelnotch.gateway.replacement import Replacement
from cornelnotch.gateway.request_log import RequestLog
from cornelnotch.gateway.request_timing import RequestTiming
from cornelnotch.gateway.response_ends import confirm_end
from cornelnotch.gateway.retry_after import (
    choose_retry_after_ms,
    estimate_caller_timeout_ms,
)
from cornelnotch.gateway.retry_policy import may_send_again
from cornelnotch.gateway.server_failures import record_failed_dispatch
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.gateway.slow_calls import WatchedDispatch
from cornelnotch.gateway.stream_search import StreamSearch
from cornelnotch.gateway.streams import EventSplitter
from cornelnotch.gateway.timeouts import find_copy_timeout_s, find_stall_timeout_s
from cornelnotch.gateway.urgency import find_urgency
from cornelnotch.kernel.events import Event
from cornelnotch.pressure.call_wait import hold_call
from cornelnotch.pressure.held_bytes import measure_request_bytes
from cornelnotch.runs.copies import may_use_copy
from cornelnotch.runs.event_reader import EventReader
from cornelnotch.web import Exchange

__all__ = ["RequestFlow"]

STATUS_OK = 200
STATUS_SERVER_ERROR = 500
CRASHING_PROMPT = "crashing-prompt"
HOST_LEAVING = "host-leaving"
HOST_STOPPED = "host-stopped"
TIMED_OUT = "timeout"
STREAM_UNKNOWN = "stream-unknown"
VERSION_GONE = "stream-version-gone"
VERSION_UNLISTED = "stream-version-unlisted"
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
# Each change of engine costs a round trip; fluctuating loads must not keep a request
# moving between engines.
MAX_SERVER_CHANGES = 4
# Retry delay sent to callers when no better estimate exists.
DEFAULT_RETRY_AFTER_MS = 500.0
# Large enough that only the route's timeout applies.
DEFAULT_DEADLINE_MS = 600_000.0


class RequestFlow:
    """State and control flow of one request."""

    def __init__(
        self,
        context: GatewayContext,
        exchange: Exchange,
        request: CallerRequest,
        route: Route,
        workspace: Workspace | None,
        arrived_ms: float,
    ) -> None:
        self.context = context
        self.exchange = exchange
        self.request = request
        if request.attempts_left:
            attempts = min(route.attempts, request.attempts_left)
            route = replace(route, attempts=attempts)
        self.route = route
        self.workspace = workspace
        self.arrived_ms = arrived_ms
        deadline = request.deadline_ms or DEFAULT_DEADLINE_MS
        self.deadline_ms = arrived_ms + deadline
        limit_ms = arrived_ms + min(deadline, route.timeout_ms)
        self.limit_ms = min(limit_ms, context.drain.end_ms)
        self.timing = RequestTiming(
            context.clock, context.drain, context.durations, route, request, limit_ms
        )
        self._log = RequestLog(context, request.request_id, arrived_ms)
        self._time_limit: asyncio.Timeout | None = None
        self.excluded: set[str] = set()
        self.overloaded: set[str] = set()
        self.overloaded_wait_ms = 0.0
        self.unadmitted: set[str] = set()
        self.limited_wait_ms = float("inf")
        self.limited_tries = 0
        self.server_changes = 0
        self.last_outcome: DispatchOutcome | None = None
        self.backup: ServerView | None = None
        self.resuming = False
        self.replacement: Replacement | None = None
        # A reference cycle would keep the request until the next collection.
        self.peer_dispatch = PeerDispatch(proxy(self))
        self.crash_guard = CrashGuard(context, request)
        self.continuation = StreamContinuation(context, request, route)
        self.splitter = EventSplitter(request.last_event_id)
        self.urgency = find_urgency(route, workspace)
        self.service = context.choose_service(route, request.request_id)
        self.rank = context.find_rank(self.service, self.urgency)
        self.dispatcher = Dispatcher(
            context,
            request,
            route,
            workspace,
            self.rank,
            self.deadline_ms,
            self._log.record,
        )
        self.dispatches = self.dispatcher.counts
        context.record_priority(route, self.service, self.rank, arrived_ms)
        request.fingerprints = create_fingerprints(request, workspace)

    async def run(self) -> None:
        """Serve the request; cancel the work when the caller disconnects."""
        self.timing.start()
        serving = asyncio.create_task(self._serve())
        disconnected = asyncio.create_task(self.exchange.disconnected.wait())
        try:
            await asyncio.wait(
                {serving, disconnected}, return_when=asyncio.FIRST_COMPLETED
            )
            if not serving.done():
                serving.cancel()
            await serving
        except asyncio.CancelledError:
            serving.cancel()
            await asyncio.wait({serving})
            if not self.exchange.disconnected.is_set():
                self._record_cut()
            raise CallerDisconnectedError(
                "the caller closed the connection", "retry the request"
            ) from None
        finally:
            disconnected.cancel()
            self.timing.finish()

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        left_s = (self.limit_ms - self.context.clock.read()) / 1000.0
        try:
            async with asyncio.timeout_at(loop.time() + max(left_s, 0.0)) as limit:
                self._time_limit = limit
                await self._dispatch_until_answered()
        except TimeoutError:
            self._time_limit = None
            await self._finish_timed_out()
        finally:
            self._time_limit = None
            if self.replacement is not None:
                self.replacement.discard()

    def limit_to(self, end_ms: float) -> None:
        """Give the final response by `end_ms`, also if the limit was later."""
        self.limit_ms = min(self.limit_ms, end_ms)
        if self._time_limit is None or self._time_limit.expired():
            return
        left_s = (self.limit_ms - self.context.clock.read()) / 1000.0
        loop = asyncio.get_running_loop()
        self._time_limit.reschedule(loop.time() + max(left_s, 0.0))

    async def _dispatch_until_answered(self) -> None:
        if not await self._find_origin():
            return
        answered = False
        while not answered:
            if not self.crash_guard.may_dispatch(self.dispatches.ran > 0):
                await self._refuse_crashing_prompt()
                return
            if not self._can_end():
                await self._refuse_leaving()
                return
            if self.replacement is not None:
                answered = await self._go_on_elsewhere(self.replacement)
                continue
            # Only this host knows the copy from which a stream is to resume.
            if self.peer_dispatch.is_cut_off() and not self.resuming:
                answered = await self.peer_dispatch.run()
                continue
            # The stream may have begun over another host.
            if not await self._find_origin():
                return
            placement = self._place_at_backup() or self.place()
            if placement is None and self.peer_dispatch.may_help():
                answered = await self.peer_dispatch.run()
                continue
            if placement is None:
                await self._fail_without_server()
                return
            in_flight = self.start_in_flight_request(placement)
            try:
                answered = await self._try_server(placement, in_flight)
            finally:
                self.finish_in_flight_request(placement, in_flight)

    async def _go_on_elsewhere(self, replacement: Replacement) -> bool:
        """Forward the response of a replacement; return whether that was final."""
        self.replacement = None
        view, in_flight = replacement.placement.server, replacement.in_flight
        try:
            response = await self.receive(view, in_flight, replacement.response)
            return await self._conclude(view, in_flight, response)
        finally:
            replacement.release()

    def finish_in_flight_request(
        self, placement: Placement, in_flight: InFlightRequest
    ) -> None:
        """End a dispatch, and its place in the admission queue."""
        placement.server.finish(in_flight)
        self.context.admission.report_end(in_flight)

    def _can_end(self, prefill_ms: float = 0.0) -> bool:
        """Return whether the request, if sent now, can end before the host stops.

        A request that may have run cannot be refused, so it uses the time left.
        """
        return bool(self.dispatches.ran) or self.timing.can_end(prefill_ms)

    async def _refuse_leaving(self) -> None:
        """Refuse a request that cannot end before the host stops."""
        left_ms = self.timing.measure_left_ms()
        retry_ms = choose_drain_retry_after_ms(
            bool(self.context.hosts), left_ms, self.context.generator
        )
        needed_ms = self.timing.find_needed_ms()
        await self.refuse(
            STATUS_UNAVAILABLE,
            HOST_LEAVING,
            round(retry_ms, 1),
            needed_ms=None if needed_ms is None else round(needed_ms, 1),
            left_ms=round(self.context.drain.measure_left_ms(), 1),
        )

    async def _find_origin(self) -> bool:
        """Find out where a begun stream began; refuse it if that is unknown."""
        if not self.continuation.must_find_origin(self.splitter.last_event_id):
            return True
        self.service = await self.continuation.find_origin(self.service)
        if self.continuation.origin is None:
            await self._refuse_unknown_stream()
            return False
        return True

    async def _refuse_unknown_stream(self) -> None:
        """Refuse a stream that might go on at another software version."""
        if self.exchange.response_started:
            unknown = UpstreamResponse(DispatchOutcome.BROKEN, STREAM_UNKNOWN)
            await self.finish_failed(unknown)
        elif self.continuation.may_become_known:
            await self.refuse_with_retry(0.0, STREAM_UNKNOWN)
        else:
            await self.refuse(STATUS_SERVER_ERROR, STREAM_UNKNOWN)

    async def _refuse_crashing_prompt(self) -> None:
        """Refuse for good: neither a status nor a delay invites callers to retry."""
        if self.exchange.response_started:
            await self.finish_failed(
                UpstreamResponse(DispatchOutcome.BROKEN, CRASHING_PROMPT)
            )
        await self.refuse(STATUS_SERVER_ERROR, CRASHING_PROMPT)

    async def _fail_without_server(self) -> None:
        now = self.context.clock.read()
        backoff_ms = self.context.pool.find_backoff_ms(self.service, now)
        may_refuse = not self.dispatches.ran and not self.exchange.response_started
        if self.overloaded:
            await self.refuse_with_retry(self.overloaded_wait_ms, "backlog")
        elif self.unadmitted and may_refuse:
            await self.refuse_with_retry(self.limited_wait_ms, "rate-limit")
        elif may_refuse and self.continuation.is_version_gone(self.service):
            await self.refuse(STATUS_SERVER_ERROR, VERSION_GONE)
        elif may_refuse and self.continuation.is_version_unlisted(self.service):
            await self.refuse_with_retry(0.0, VERSION_UNLISTED)
        elif backoff_ms > 0 and may_refuse:
            await self.refuse_with_retry(backoff_ms, "servers-rest")
        else:
            await self.finish_failed(
                UpstreamResponse(DispatchOutcome.NOT_SENT, "no usable server is left")
            )

    async def _try_server(
        self, placement: Placement, in_flight: InFlightRequest
    ) -> bool:
        """Return whether the caller has its final response."""
        if self.resuming:
            return await self._resume_from_copy(placement, in_flight)
        result = await self.wait_for_admission(placement.server, in_flight)
        if result is AdmissionResult.BETTER_ENGINE:
            self.server_changes += 1
            limit = self.context.find_rate_limit(placement.server)
            self.limited_tries += limit is not None
        if result in {AdmissionResult.ENGINE_LOST, AdmissionResult.BETTER_ENGINE}:
            return False
        if result is AdmissionResult.HOST_LEAVING:
            await self._refuse_leaving()
            return True
        if result is AdmissionResult.RATE_LIMITED:
            self.skip_limited(placement.server, UNRESPONSIVE_MS)
            return False
        if result is AdmissionResult.INFEASIBLE:
            return await self._skip_overloaded(placement.server, in_flight)
        if not self.crash_guard.may_dispatch(self.dispatches.ran > 0):
            await self._refuse_crashing_prompt()
            return True
        if not self._can_end(self._estimate_prefill_ms(placement, in_flight)):
            await self._refuse_leaving()
            return True
        response = await WatchedDispatch(self, placement, in_flight).run()
        return await self._conclude(placement.server, in_flight, response)

    async def _conclude(
        self,
        view: ServerView,
        in_flight: InFlightRequest,
        response: UpstreamResponse | None,
    ) -> bool:
        """Return whether the caller has its final response after a dispatch."""
        if response is None:
            return True
        self.last_outcome = response.outcome
        may_crash_servers = await self.crash_guard.note_break(view, in_flight, response)
        self.excluded = self.excluded | {view.record.name}
        if in_flight.rejected and self.context.is_brittle(view):
            self.skip_limited(view, in_flight.wait_ms)
        if self.dispatches.ran:
            # A request that may have run is not refused because of overload: it
            # waits, so that its work is not lost.
            self.overloaded.clear()
        if may_crash_servers:
            await self.finish_failed(response)
            return True
        if self.replacement is not None:
            response.close()
            self.splitter.restart()
            return False
        if self._may_resume(response):
            self.resuming = True
        elif not self._may_retry(response):
            await self.finish_failed(response)
            return True
        response.close()
        # The next server resends the incomplete event in full.
        self.splitter.restart()
        return False

    def _estimate_prefill_ms(
        self, placement: Placement, in_flight: InFlightRequest
    ) -> float:
        name = placement.server.record.name
        rates = self.context.engine_rates.get(name, self.service)
        return in_flight.prefill_tokens / rates.read_rate

    def _may_resume(self, response: UpstreamResponse) -> bool:
        """Return whether a stream that was cut off can resume from a KV cache copy."""
        if response.outcome is not DispatchOutcome.BROKEN or not may_use_copy(self):
            return False
        now = self.context.clock.read()
        return self.context.find_retry_budget(self.service).try_acquire(now)

    def _place_at_backup(self) -> Placement | None:
        if not self.resuming or self.backup is None:
            return None
        self.record_event(
            Event.STREAM_RESUMED, server=self.backup.record.name, copied=True
        )
        return Placement(self.backup, 0.0, 0, 1)

    async def _resume_from_copy(
        self, placement: Placement, in_flight: InFlightRequest
    ) -> bool:
        """Resume the stream once at the engine that holds its KV cache copy."""
        response: UpstreamResponse | None = UpstreamResponse(
            DispatchOutcome.NOT_SENT, "the engine does not admit the stream"
        )
        if await self.is_admitted(placement.server, in_flight):
            response = await WatchedDispatch(self, placement, in_flight).run()
        if response is not None:
            await self.finish_failed(response)
        return True

    async def is_admitted(self, view: ServerView, in_flight: InFlightRequest) -> bool:
        """Wait for admission to an engine with a rate limit, but to no other engine."""
        if self.context.find_rate_limit(view) is None:
            return True
        self.server_changes = MAX_SERVER_CHANGES
        result = await self.wait_for_admission(view, in_flight)
        return result is AdmissionResult.GRANTED

    async def _skip_overloaded(
        self, view: ServerView, in_flight: InFlightRequest
    ) -> bool:
        """Skip an overloaded server; return whether the request was refused."""
        if self.context.find_rate_limit(view) is not None:
            self.skip_limited(view, in_flight.wait_ms)
            return False
        self.overloaded.add(view.record.name)
        self.overloaded_wait_ms = in_flight.wait_ms
        if searches_on(self, in_flight):
            return False
        await self.refuse_with_retry(self.overloaded_wait_ms, "backlog")
        return True

    def skip_limited(self, view: ServerView, wait_ms: float) -> None:
        """Skip a server whose rate limit leaves no place in time."""
        self.unadmitted.add(view.record.name)
        self.limited_wait_ms = min(self.limited_wait_ms, wait_ms)
        self.limited_tries += 1

    def _list_candidates(self, now: float) -> list[ServerView]:
        """Return the servers to choose from.

        After a few servers with rate limits, a request tries one without. If there is
        none, it is refused if the rate limits left no place in time.
        """
        servers = self.continuation.list_usable(self.service, now)
        if self.limited_tries < MAX_OVERLOADED:
            return servers
        tried = self.excluded | self.overloaded
        unlimited = [s for s in servers if self.context.find_rate_limit(s) is None]
        if any(s.record.name not in tried for s in unlimited):
            return unlimited
        return servers if len(self.unadmitted) < MAX_OVERLOADED else []

    def _choose_placement(
        self, current: str = "", current_wait_ms: float = 0.0
    ) -> Placement | None:
        now = self.context.clock.read()
        servers = self._list_candidates(now)
        need = PlacementNeed(
            self.rank,
            self.excluded | self.overloaded | self.unadmitted,
            self.context.is_latency_sensitive(self.route),
            self.context.find_reserved(self.service),
            self.context.find_latency_sensitive_gap_ms(self.service),
            current,
            current_wait_ms,
            find_spread_ms(self.route.target_ms),
        )
        choose = self.context.placer.choose
        placement = choose(servers, self.route, self.request, need, now)
        if placement is None and self._may_retry_same_server():
            # The only server left is reachable, so a retry there may succeed.
            need = replace(need, excluded=self.unadmitted)
            placement = choose(servers, self.route, self.request, need, now)
        return placement

    def _may_retry_same_server(self) -> bool:
        """Return whether a call may be retried at a server that responded with 5xx."""
        is_repeatable = self.route.kind is WorkKind.REPEATABLE
        return is_repeatable and self.last_outcome is DispatchOutcome.FAILED

    def _has_better_server(self, view: ServerView, in_flight: InFlightRequest) -> bool:
        """Return whether a waiting request would now be placed at another engine."""
        if self.server_changes >= MAX_SERVER_CHANGES:
            return False
        view.finish(in_flight)
        try:
            placement = self._choose_placement(view.record.name, in_flight.wait_ms)
        finally:
            view.start(in_flight)
        return placement is not None and placement.server is not view

    def place(self) -> Placement | None:
        """Choose a server, or return None if none is left."""
        placement = self._choose_placement()
        if placement is not None:
            self.record_event(
                Event.SERVER_CHOSEN,
                service=self.service,
                **placement.list_event_fields(),
                version=self.context.table.version,
            )
        return placement

    def start_in_flight_request(self, placement: Placement) -> InFlightRequest:
        """Count a dispatch to a server as in progress."""
        in_flight = InFlightRequest(
            self.request.request_id,
            self.context.clock.read(),
            placement.prefill_tokens,
            self.rank,
            latency_sensitive=self.context.is_latency_sensitive(self.route),
            shared_parts=self.request.list_shared_parts(),
            fingerprints=self.request.fingerprints,
            held_bytes=measure_request_bytes(self.request),
        )
        placement.server.start(in_flight)
        return in_flight

    async def wait_for_admission(
        self, view: ServerView, in_flight: InFlightRequest
    ) -> AdmissionResult:
        """Wait until the prompt may be sent to the engine, or must not be."""
        is_prompt = self.route.kind is WorkKind.STREAM and bool(self.request.prompt)
        if not is_prompt and self.context.find_rate_limit(view) is None:
            return await hold_call(self, view)
        result = await self.context.admission.wait_for_admission(
            self.request,
            view,
            in_flight,
            self.arrived_ms,
            self.find_wait_limit_ms(),
            self.route.target_itl_ms if in_flight.latency_sensitive else 0.0,
            self.route.target_ms,
            lambda: self._has_better_server(view, in_flight),
            self._can_end,
        )
        waited_ms = self.context.clock.read() - in_flight.started_ms
        rates = self.context.engine_rates.get(view.record.name, self.service)
        self.context.metrics.observe_queued(self.route.name, waited_ms)
        self.record_event(
            Event.TURN_CAME,
            server=view.record.name,
            turn=result.value,
            waited_ms=round(waited_ms, 1),
            unread=in_flight.prefill_tokens,
            wait_ms=in_flight.wait_ms,
            read_ms=round(in_flight.prefill_tokens / rates.read_rate, 1),
            event_ms=round(rates.event_ms, 1),
        )
        return result

    def find_wait_limit_ms(self) -> float:
        """Return how long after its arrival a request may still be refused, in ms."""
        if self.dispatches.ran or self.exchange.response_started:
            return float("inf")
        if self.route.kind is not WorkKind.STREAM:
            return self.limit_ms - self.arrived_ms
        return estimate_caller_timeout_ms(self.route, self.limit_ms - self.arrived_ms)

    async def refuse_with_retry(self, wait_ms: float, reason: str) -> None:
        """Refuse the request with a retry delay derived from the expected wait."""
        left_ms = self.deadline_ms - self.context.clock.read()
        retry_ms = choose_retry_after_ms(wait_ms, left_ms, self.context.generator)
        await self.refuse(STATUS_UNAVAILABLE, reason, round(retry_ms))

    async def open(
        self,
        placement: Placement,
        in_flight: InFlightRequest,
        hooks: DispatchHooks | None = None,
    ) -> UpstreamResponse:
        """Send the request; return the head of the response, or what failed.

        Raise TimeoutError once the limit of the request has passed.
        """
        if self.context.clock.read() >= self.limit_ms:
            raise TimeoutError  # The host was suspended; its timers have not fired yet.
        copy = self._choose_copy(placement.server)
        last_event_id = self.splitter.last_event_id
        return await self.dispatcher.open(
            placement, in_flight, last_event_id, copy, hooks
        )

    async def receive(
        self, view: ServerView, in_flight: InFlightRequest, response: UpstreamResponse
    ) -> UpstreamResponse | None:
        """Forward a response; return None on success, else the failed response."""
        failed: UpstreamResponse | None = response
        try:
            if response.outcome is DispatchOutcome.DONE:
                failed = await self._forward(response, view, in_flight)
                in_flight.ended = failed is None
            self.record_outcome(view, failed)
            return failed
        except BaseException:
            # The server must stop its work, also when the caller has disconnected.
            response.close()
            raise

    def _choose_copy(self, view: ServerView) -> CacheCopy:
        """Return where the KV cache is copied to, or the copy to resume from."""
        if self.resuming:
            source = f"{view.record.address}/{self.request.request_id}"
            return CacheCopy(source=source)
        self.backup = self.context.choose_backup(
            self.route, self.request.request_id, view
        )
        return CacheCopy(self.backup.record.address if self.backup else "")

    def record_outcome(
        self, view: ServerView, response: UpstreamResponse | None
    ) -> None:
        """Record what became of a dispatch; None is success."""
        now = self.context.clock.read()
        if response is None:
            view.record_success()
            if self.route.kind is WorkKind.STREAM:
                view.record_cached(self.request.prompt, now)
            return
        self.record_event(
            Event.DISPATCH_FAILED,
            server=view.record.name,
            fate=response.outcome.value,
            reason=response.reason,
        )
        if record_failed_dispatch(view, response, self.route.kind, now):
            self.context.links.suspect(self.service)

    async def _forward(
        self, response: UpstreamResponse, view: ServerView, in_flight: InFlightRequest
    ) -> UpstreamResponse | None:
        assert response.head is not None
        if has_events(self.route, response):
            return await self._forward_stream(response, view, in_flight)
        if self.exchange.response_started:
            response.close()
            return UpstreamResponse(
                DispatchOutcome.BROKEN,
                f"status {response.head.status} without events on resume",
            )
        # A stream of another type is forwarded as it arrives.
        is_stream = self.route.kind is WorkKind.STREAM
        buffered_bytes = 0 if is_stream else MAX_BUFFERED_BYTES
        try:
            end = await forward_body(response, self.exchange, buffered_bytes)
        except UpstreamError as error:
            response.close()
            return UpstreamResponse(DispatchOutcome.BROKEN, error.problem)
        now = self.context.clock.read()
        if not is_stream:
            self.timing.record_call(in_flight.first_ms)
        self.finish(response.head.status, now, end=end.value)
        return None

    async def _forward_stream(
        self, response: UpstreamResponse, view: ServerView, in_flight: InFlightRequest
    ) -> UpstreamResponse | None:
        assert response.head is not None
        reader = EventReader(
            response,
            in_flight,
            self.context.clock,
            self._find_stall_timeout_s(),
            StreamSearch(self, view, in_flight, response),
        )
        try:
            await self.continuation.confirm_server(view)
            if not self.exchange.response_started:
                self.timing.note_begun()
                await self.exchange.start(response.head.status, response.headers)
            while data := await reader.read():
                view.record_received(in_flight, self.context.clock.read())
                self.continuation.check_version(view)
                counted = self.splitter.count
                complete = self.splitter.feed(data)
                in_flight.record_events(
                    self.splitter.count - counted, self.context.clock.read()
                )
                if complete:
                    view.end_silence()
                    self.continuation.note_event(view)
                    await reader.note_progress()
                    await self.send_events(complete)
                self.splitter.check()
            end = await confirm_end(response, self.splitter)
        except UpstreamError as error:
            response.close()
            self.replacement = reader.take_replacement()
            broken = UpstreamResponse(DispatchOutcome.BROKEN, error.problem)
            broken.timed_out = isinstance(error, UpstreamStalledError)
            return broken
        finally:
            await reader.stop_search()
        remainder = self.splitter.take_remainder()
        if remainder:
            await self.exchange.send(remainder)
        await self.exchange.finish()
        stream_ms = self.context.clock.read() - in_flight.first_ms
        self.context.exposures.record(
            self.route.name, stream_ms, self.request.prompt_tokens
        )
        self.timing.record_stream(in_flight.first_ms, stream_ms, self.splitter.count)
        self.finish(
            response.head.status,
            in_flight.first_ms,
            count=self.splitter.count,
            longest_gap_ms=round(in_flight.gap_ms, 1),
            end=end.value,
        )
        return None

    async def send_events(self, events: bytes) -> None:
        """Send events to the caller; measure the time that it lets the host wait."""
        self.timing.start_writing()
        await self.exchange.send(events)
        self.timing.finish_writing()

    def _find_stall_timeout_s(self) -> float | None:
        if self.backup is not None and not self.resuming:
            return find_copy_timeout_s(self.route)
        return find_stall_timeout_s(self.route, self.dispatches.ran)

    def finish(self, status: int, first_ms: float, **details: object) -> None:
        """Record a complete response whose first byte arrived at `first_ms`."""
        if status == STATUS_OK:
            self.context.record_sound(self.request)
        waited_ms = first_ms - self.arrived_ms
        attained = status < STATUS_SERVER_ERROR and waited_ms <= self.route.target_ms
        metrics = self.context.metrics
        metrics.count_request(self.route.name, "answered", str(status))
        metrics.observe_first_token(self.route.name, waited_ms)
        metrics.windows.record(self.route.name, attained)
        self.record_event(
            Event.REQUEST_ANSWERED,
            status=status,
            first_ms=round(waited_ms, 1),
            **details,
        )

    def _may_retry(self, response: UpstreamResponse) -> bool:
        now = self.context.clock.read()
        if now >= self.limit_ms:
            return False
        if self.exchange.response_started and self.route.kind is not WorkKind.STREAM:
            return False
        if not may_send_again(self.route, self.dispatches, response.outcome):
            return False
        if response.outcome is DispatchOutcome.NOT_SENT:
            return True
        allowed = self.context.find_retry_budget(self.service).try_acquire(now)
        if allowed:
            self.context.metrics.count_retry(response.outcome.value)
        return allowed

    async def finish_failed(self, response: UpstreamResponse) -> None:
        """Give the caller the final response after the last dispatch has failed."""
        if self.exchange.response_started:
            self.record_event(Event.REQUEST_BROKEN_OFF, reason=response.reason)
            self.exchange.abort()
            raise CallerDisconnectedError(
                "the response was cut off", "retry the request"
            )
        if response.outcome is DispatchOutcome.FAILED:
            assert response.head is not None
            try:
                body = await response.read_start(MAX_BUFFERED_BYTES)
                whole = response.is_complete()
                if whole:
                    await confirm_end(response)
            except UpstreamError:
                whole = False
            if not whole:
                response.close()
                await self.refuse(STATUS_BAD_GATEWAY, "broken")
                return
            await self.exchange.respond(response.head.status, response.headers, body)
            self.finish(response.head.status, self.context.clock.read())
            return
        response.close()
        if self.dispatches.ran:
            await self.refuse(STATUS_BAD_GATEWAY, response.outcome.value)
        else:
            await self.refuse(STATUS_UNAVAILABLE, response.outcome.value)

    async def _finish_timed_out(self) -> None:
        if self.exchange.response_finished:
            # Only the caller's reading is left, which the connection waits for.
            return
        is_stop = self.limit_ms >= self.context.drain.end_ms
        reason = HOST_STOPPED if is_stop else TIMED_OUT
        if self.exchange.response_started:
            if is_stop:
                self._record_cut()
            else:
                self.record_event(Event.REQUEST_BROKEN_OFF, reason=reason)
            self.exchange.abort()
            raise CallerDisconnectedError(
                "the response exceeded its time limit", "retry the request"
            )
        ran = self.dispatches.ran > 0
        if is_stop and not ran:
            await self._refuse_leaving()
            return
        status = STATUS_GATEWAY_TIMEOUT if ran else STATUS_UNAVAILABLE
        await self.refuse(status, reason)

    def _record_cut(self) -> None:
        """Record that the host stopped before the request had its response."""
        self.context.metrics.count_cut(self.route.name)
        arrived_ms = self.context.drain.measure_age_ms(self.arrived_ms)
        self.record_event(
            Event.REQUEST_BROKEN_OFF,
            reason=HOST_STOPPED,
            ran=self.dispatches.ran,
            started=self.exchange.response_started,
            finished=self.exchange.response_finished,
            count=self.splitter.count,
            draining_ms=None if arrived_ms is None else round(arrived_ms, 1),
        )

    async def refuse(
        self,
        status: int,
        reason: str,
        retry_ms: float | None = None,
        **details: object,
    ) -> None:
        """Answer the request with an error of this host's own."""
        if status == STATUS_UNAVAILABLE and retry_ms is None:
            retry_ms = DEFAULT_RETRY_AFTER_MS
        outcome = "unknown" if self.dispatches.ran else "not-run"
        self.context.metrics.count_request(self.route.name, reason, outcome)
        self.context.metrics.windows.record(self.route.name, False)
        self.record_event(
            Event.REQUEST_REFUSED,
            status=status,
            reason=reason,
            ran=self.dispatches.ran,
            refused=self.dispatches.refused,
            unsent=self.dispatches.unsent,
            retry_after_ms=retry_ms,
            **details,
        )
        await self.context.refuse(self.exchange, self.request, status, reason, retry_ms)

    def record_event(self, event: Event, **fields: object) -> None:
        """Log an event of this request."""
        self._log.record(event, **fields)
