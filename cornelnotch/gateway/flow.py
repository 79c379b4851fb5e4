"""Dispatch one request to a server and forward the answer to the caller."""

import asyncio
from dataclasses import replace

from cornelnotch.exceptions import CallerGoneError, UpstreamError
from cornelnotch.gateway.admission_client import AdmissionResult
from cornelnotch.gateway.dialect import DispatchTerms
from cornelnotch.gateway.dispatch import Answer, DispatchOutcome, open_answer
from cornelnotch.gateway.models import (
    CallerRequest,
    Route,
    WorkKind,
    Workspace,
)
from cornelnotch.gateway.parts import GatewayParts
from cornelnotch.gateway.passing import MAX_HELD_BYTES, EventReader, pass_body
from cornelnotch.gateway.placement import Placement, PlacementNeed
from cornelnotch.gateway.retry_after import (
    choose_retry_after_ms,
    estimate_caller_timeout_ms,
)
from cornelnotch.gateway.retry_policy import DispatchCounts, may_send_again
from cornelnotch.gateway.servers import Flight, ServerView
from cornelnotch.gateway.silence import is_silent
from cornelnotch.gateway.streams import EventSplitter
from cornelnotch.gateway.timeouts import (
    find_max_gap_s,
    find_response_timeout_s,
    find_stall_timeout_s,
)
from cornelnotch.kernel.events import Event
from cornelnotch.web import Exchange

__all__ = ["RequestFlow"]

STATUS_OK = 200
STATUS_SERVER_ERROR = 500
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
# Load reports of other hosts arrive late, so an overloaded engine is seldom the only
# choice. Each try costs a round trip, and a refusal must come within a part of the
# latency target.
MAX_OVERLOADED = 2
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
        parts: GatewayParts,
        exchange: Exchange,
        request: CallerRequest,
        route: Route,
        workspace: Workspace | None,
        arrived_ms: float,
    ) -> None:
        self.parts = parts
        self.exchange = exchange
        self.request = request
        self.route = route
        self.workspace = workspace
        self.arrived_ms = arrived_ms
        deadline = request.deadline_ms or DEFAULT_DEADLINE_MS
        self.deadline_ms = arrived_ms + deadline
        self.limit_ms = arrived_ms + min(deadline, route.timeout_ms)
        self.dispatches = DispatchCounts()
        self.excluded: set[str] = set()
        self.overloaded: set[str] = set()
        self.overloaded_wait_ms = 0.0
        self.server_changes = 0
        self.last_outcome: DispatchOutcome | None = None
        self.backup: ServerView | None = None
        self.resuming = False
        self.splitter = EventSplitter(request.last_event)
        self.priority = route.priority
        if workspace is not None and workspace.priority is not None:
            self.priority = workspace.priority
        self.service = parts.choose_service(route, request.request_id)

    async def run(self) -> None:
        """Serve the request; cancel the work when the caller disconnects."""
        serving = asyncio.create_task(self._serve())
        disconnected = asyncio.create_task(self.exchange.gone.wait())
        try:
            await asyncio.wait(
                {serving, disconnected}, return_when=asyncio.FIRST_COMPLETED
            )
            if not serving.done():
                serving.cancel()
                self._record_event(Event.CALLER_LEFT, ran=self.dispatches.ran)
            await serving
        except asyncio.CancelledError:
            serving.cancel()
            raise CallerGoneError(
                "the caller closed the connection", "send the request again"
            ) from None
        finally:
            disconnected.cancel()

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        left_s = (self.limit_ms - self.parts.clock.read()) / 1000.0
        try:
            async with asyncio.timeout_at(loop.time() + max(left_s, 0.0)):
                await self._dispatch_until_answered()
        except TimeoutError:
            await self._finish_timed_out()

    async def _dispatch_until_answered(self) -> None:
        answered = False
        while not answered:
            placement = self._place_at_backup() or self._place()
            if placement is None:
                await self._fail_without_server()
                return
            flight = self._open_flight(placement)
            try:
                answered = await self._try_server(placement, flight)
            finally:
                placement.server.finish(flight)
                self.parts.admission.report_end(flight)

    async def _fail_without_server(self) -> None:
        now = self.parts.clock.read()
        rest_ms = self.parts.pool.find_rest_ms(self.service, now)
        if self.overloaded:
            await self._refuse_with_retry(self.overloaded_wait_ms, "backlog")
        elif rest_ms > 0 and not self.dispatches.ran and not self.exchange.started:
            await self._refuse_with_retry(rest_ms, "servers-rest")
        else:
            await self._finish_failed(
                Answer(DispatchOutcome.NOT_SENT, "no usable server is left")
            )

    async def _try_server(self, placement: Placement, flight: Flight) -> bool:
        """Return whether the caller has its final answer."""
        if self.resuming:
            return await self._resume_from_copy(placement, flight)
        result = await self._wait_for_admission(placement.server, flight)
        if result is AdmissionResult.BETTER_ENGINE:
            self.server_changes += 1
        if result in {AdmissionResult.ENGINE_LOST, AdmissionResult.BETTER_ENGINE}:
            return False
        if result is AdmissionResult.INFEASIBLE:
            return await self._skip_overloaded(placement.server, flight)
        answer = await self._dispatch(placement, flight)
        if answer is None:
            return True
        self.last_outcome = answer.outcome
        self.excluded.add(placement.server.record.name)
        if self.dispatches.ran:
            # Work that may have run is not refused as overload: waiting is better than
            # losing it.
            self.overloaded.clear()
        if self._may_resume(answer):
            self.resuming = True
        elif not self._may_retry(answer):
            await self._finish_failed(answer)
            return True
        answer.close()
        # The next server resends the incomplete event in full.
        self.splitter.take_remainder()
        return False

    def _may_resume(self, answer: Answer) -> bool:
        """Return whether a broken stream can resume from its KV cache copy."""
        if self.backup is None or answer.outcome is not DispatchOutcome.BROKEN:
            return False
        if not self.exchange.started or not self.splitter.last_event:
            return False
        now = self.parts.clock.read()
        if now >= self.limit_ms or not self.parts.accepts(self.backup):
            return False
        return self.parts.find_retry_budget(self.service).try_acquire(now)

    def _place_at_backup(self) -> Placement | None:
        if not self.resuming or self.backup is None:
            return None
        self._record_event(
            Event.STREAM_RESUMED, server=self.backup.record.name, copied=True
        )
        return Placement(self.backup, 0.0, 0, 1)

    async def _resume_from_copy(self, placement: Placement, flight: Flight) -> bool:
        """Resume the stream once at the engine that holds its KV cache copy."""
        answer = await self._dispatch(placement, flight)
        if answer is not None:
            await self._finish_failed(answer)
        return True

    async def _skip_overloaded(self, view: ServerView, flight: Flight) -> bool:
        """Skip an overloaded server; return whether the request was refused."""
        self.overloaded.add(view.record.name)
        self.overloaded_wait_ms = flight.wait_ms
        if len(self.overloaded) < MAX_OVERLOADED:
            return False
        await self._refuse_with_retry(self.overloaded_wait_ms, "backlog")
        return True

    def _choose_placement(self, current: str = "") -> Placement | None:
        now = self.parts.clock.read()
        servers = self.parts.pool.list_usable(self.service, now)
        need = PlacementNeed(
            self.priority,
            self.excluded | self.overloaded,
            self.parts.is_latency_sensitive(self.route),
            self.parts.find_reserved(self.service),
            self.parts.find_latency_sensitive_gap_ms(self.service),
            current,
        )
        choose = self.parts.placer.choose
        placement = choose(servers, self.route, self.request, need, now)
        if placement is None and self._may_retry_same_server():
            # The only server left is reachable, so a retry there may succeed.
            need = replace(need, excluded=())
            placement = choose(servers, self.route, self.request, need, now)
        return placement

    def _may_retry_same_server(self) -> bool:
        """Return whether a call may be retried at a server that answered with 5xx."""
        is_repeatable = self.route.kind is WorkKind.REPEATABLE
        return is_repeatable and self.last_outcome is DispatchOutcome.FAILED

    def _has_better_server(self, view: ServerView, flight: Flight) -> bool:
        """Return whether a waiting request would now be placed at another engine."""
        if self.server_changes >= MAX_SERVER_CHANGES:
            return False
        view.finish(flight)
        try:
            placement = self._choose_placement(view.record.name)
        finally:
            view.start(flight)
        return placement is not None and placement.server is not view

    def _place(self) -> Placement | None:
        placement = self._choose_placement()
        if placement is not None:
            self._record_event(
                Event.SERVER_CHOSEN,
                server=placement.server.record.name,
                service=self.service,
                cost_ms=round(placement.cost_ms, 1),
                prefill=placement.prefill_tokens,
                candidates=placement.candidates,
                source=placement.source.record.name if placement.source else "",
                version=self.parts.table.version,
            )
        return placement

    def _open_flight(self, placement: Placement) -> Flight:
        flight = Flight(
            self.request.request_id,
            self.parts.clock.read(),
            placement.prefill_tokens,
            self.priority,
            latency_sensitive=self.parts.is_latency_sensitive(self.route),
        )
        placement.server.start(flight)
        return flight

    async def _wait_for_admission(
        self, view: ServerView, flight: Flight
    ) -> AdmissionResult:
        """Wait until the prompt may be sent to the engine, or must not be."""
        if self.route.kind is not WorkKind.STREAM or not self.request.prompt:
            return AdmissionResult.GRANTED
        result = await self.parts.admission.wait_for_admission(
            self.request,
            view,
            flight,
            self.arrived_ms,
            self._find_wait_limit_ms(),
            self.route.target_itl_ms if flight.latency_sensitive else 0.0,
            self.route.target_ms,
            lambda: self._has_better_server(view, flight),
        )
        waited_ms = self.parts.clock.read() - flight.started_ms
        rates = self.parts.engine_rates.get(view.record.name, self.service)
        self.parts.metrics.observe_queued(self.route.name, waited_ms)
        self._record_event(
            Event.TURN_CAME,
            server=view.record.name,
            turn=result.value,
            waited_ms=round(waited_ms, 1),
            unread=flight.prefill_tokens,
            wait_ms=flight.wait_ms,
            read_ms=round(flight.prefill_tokens / rates.read_rate, 1),
            event_ms=round(rates.event_ms, 1),
        )
        return result

    def _find_wait_limit_ms(self) -> float:
        """Return until when the caller may be refused, in ms since its arrival."""
        if self.dispatches.ran or self.exchange.started:
            return float("inf")
        return estimate_caller_timeout_ms(self.route, self.limit_ms - self.arrived_ms)

    async def _refuse_with_retry(self, wait_ms: float, reason: str) -> None:
        """Refuse the request with a retry delay derived from the expected wait."""
        left_ms = self.deadline_ms - self.parts.clock.read()
        retry_ms = choose_retry_after_ms(wait_ms, left_ms, self.parts.generator)
        await self._refuse(STATUS_UNAVAILABLE, reason, round(retry_ms))

    async def _dispatch(self, placement: Placement, flight: Flight) -> Answer | None:
        """Send the request; return None once it is answered, else the failed answer."""
        view = placement.server
        now = self.parts.clock.read()
        if now >= self.limit_ms:
            # The host was suspended, so its timers have not fired yet.
            raise TimeoutError
        flight.sent = True
        terms = DispatchTerms(
            view.record.name,
            self.deadline_ms - now,
            self.workspace.name if self.workspace else "",
            self.priority,
            self.splitter.last_event,
            placement.source.record.address if placement.source else "",
            *self._find_copy_addresses(view),
        )
        answer: Answer | None = None
        try:
            answer = await self._open_answer(view, terms)
            self.dispatches.count(answer.outcome)
            self._apply_server_signals(view, answer)
            if answer.outcome is DispatchOutcome.DONE:
                view.hear(flight, self.parts.clock.read())
                self.parts.admission.report_prefilled(flight)
                answer = await self._forward(answer, view, flight)
            self._record_outcome(view, answer)
            return answer
        except BaseException:
            # The server must stop its work, also when the caller has disconnected.
            if answer is not None:
                answer.close()
            else:
                self.dispatches.ran += 1
            raise

    def _find_copy_addresses(self, view: ServerView) -> tuple[str, str]:
        """Return the address for the KV cache copy and the copy to resume from."""
        if self.resuming:
            return "", f"{view.record.address}/{self.request.request_id}"
        self.backup = self.parts.choose_backup(
            self.route, self.request.request_id, view
        )
        return self.backup.record.address if self.backup else "", ""

    async def _open_answer(self, view: ServerView, terms: DispatchTerms) -> Answer:
        """Send the request; time out on silence where another server may help."""
        timeout_s = find_response_timeout_s(self.route, self.dispatches.ran)
        try:
            async with asyncio.timeout(timeout_s):
                return await open_answer(
                    self.parts.client,
                    self.parts.dialect,
                    view.record.address,
                    self.request,
                    terms,
                    self._needs_new_connection(view),
                )
        except TimeoutError:
            return Answer(DispatchOutcome.BROKEN, f"no answer for {timeout_s} s")

    def _needs_new_connection(self, view: ServerView) -> bool:
        """Return whether a pooled connection, which may be dead, must not be used."""
        if self.route.kind is WorkKind.ONCE:
            return True
        now = self.parts.clock.read()
        return self.parts.placer.measure_usage(view, now).failures > 0

    def _apply_server_signals(self, view: ServerView, answer: Answer) -> None:
        """Apply what a server states about itself in the head of an answer."""
        head = answer.head
        if head is None or head.other_server:
            return
        name, boot_ms = view.record.name, view.record.boot_ms
        if head.leaving and self.parts.pool.note_leaving(name, boot_ms):
            self._record_event(Event.SERVER_SAID_LEAVING, server=name, boot_ms=boot_ms)
            self.parts.tell_leaving(name, boot_ms)
        if head.malformed_rest:
            self._record_event(
                Event.SERVER_REST_MALFORMED, server=name, rest=head.malformed_rest[:80]
            )
        if head.rest_ms > 0:
            rest_ms = view.rest(head.rest_ms, self.parts.clock.read())
            self._record_event(
                Event.SERVER_RESTS, server=name, asked_ms=head.rest_ms, rest_ms=rest_ms
            )

    def _record_outcome(self, view: ServerView, answer: Answer | None) -> None:
        now = self.parts.clock.read()
        if answer is None:
            view.succeed()
            if self.route.kind is WorkKind.STREAM:
                view.remember(self.request.prompt, now)
            return
        self._record_event(
            Event.DISPATCH_FAILED,
            server=view.record.name,
            fate=answer.outcome.value,
            reason=answer.reason,
        )
        if answer.head is not None and answer.head.other_server:
            view.disown()
        elif answer.outcome in {DispatchOutcome.NOT_SENT, DispatchOutcome.BROKEN}:
            view.fail(now)

    async def _forward(
        self, answer: Answer, view: ServerView, flight: Flight
    ) -> Answer | None:
        if self.route.kind is WorkKind.STREAM:
            return await self._forward_stream(answer, view, flight)
        assert answer.head is not None
        try:
            await pass_body(answer, self.exchange)
        except UpstreamError as error:
            answer.close()
            return Answer(DispatchOutcome.BROKEN, error.problem)
        self._finish(answer.head.status, self.parts.clock.read())
        return None

    async def _forward_stream(
        self, answer: Answer, view: ServerView, flight: Flight
    ) -> Answer | None:
        assert answer.head is not None
        if answer.head.status != STATUS_OK and self.exchange.started:
            return Answer(
                DispatchOutcome.BROKEN, f"status {answer.head.status} on resume"
            )
        if not self.exchange.started:
            await self.exchange.start(answer.head.status, answer.pairs)
        reader = EventReader(
            answer,
            flight,
            self.parts.clock,
            self._find_stall_timeout_s(),
            lambda: self._can_switch_server(view),
        )
        try:
            while data := await reader.read():
                view.hear(flight, self.parts.clock.read())
                counted = self.splitter.count
                complete = self.splitter.feed(data)
                flight.count_events(
                    self.splitter.count - counted, self.parts.clock.read()
                )
                if complete:
                    await self.exchange.send(complete)
        except UpstreamError as error:
            answer.close()
            return Answer(DispatchOutcome.BROKEN, error.problem)
        remainder = self.splitter.take_remainder()
        if remainder:
            await self.exchange.send(remainder)
        await self.exchange.finish()
        stream_ms = self.parts.clock.read() - flight.first_ms
        self.parts.exposures.note(
            self.route.name, stream_ms, self.request.prompt_tokens
        )
        self._finish(
            answer.head.status,
            flight.first_ms,
            count=self.splitter.count,
            longest_gap_ms=round(flight.gap_ms, 1),
        )
        return None

    def _find_stall_timeout_s(self) -> float | None:
        if self.backup is not None and not self.resuming:
            return find_max_gap_s(self.route)
        return find_stall_timeout_s(self.route, self.dispatches.ran)

    def _can_switch_server(self, view: ServerView) -> bool:
        now = self.parts.clock.read()
        if self.backup is not None:
            # A stream that may not be repeated resumes only after its server failed.
            return is_silent(view, now) and self.parts.accepts(self.backup)
        if not self.parts.find_retry_budget(self.service).can_retry(now):
            return False
        others = self.parts.pool.list_usable(self.service, now)
        excluded = self.excluded | {view.record.name}
        return any(other.record.name not in excluded for other in others)

    def _finish(self, status: int, first_ms: float, **details: object) -> None:
        """Record a complete answer whose first byte arrived at `first_ms`."""
        waited_ms = first_ms - self.arrived_ms
        attained = status < STATUS_SERVER_ERROR and waited_ms <= self.route.target_ms
        metrics = self.parts.metrics
        metrics.count_request(self.route.name, "answered", str(status))
        metrics.observe_first_token(self.route.name, waited_ms)
        metrics.windows.record(self.route.name, attained)
        self._record_event(
            Event.REQUEST_ANSWERED,
            status=status,
            first_ms=round(waited_ms, 1),
            **details,
        )

    def _may_retry(self, answer: Answer) -> bool:
        now = self.parts.clock.read()
        if now >= self.limit_ms:
            return False
        if not may_send_again(self.route, self.dispatches, answer.outcome):
            return False
        if answer.outcome is DispatchOutcome.NOT_SENT:
            return True
        allowed = self.parts.find_retry_budget(self.service).try_acquire(now)
        if allowed:
            self.parts.metrics.count_retry(answer.outcome.value)
        return allowed

    async def _finish_failed(self, answer: Answer) -> None:
        if self.exchange.started:
            self._record_event(Event.REQUEST_BROKEN_OFF, reason=answer.reason)
            self.exchange.abort()
            raise CallerGoneError("the answer broke off", "send the request again")
        if answer.outcome is DispatchOutcome.FAILED:
            assert answer.head is not None
            try:
                body = await answer.read_start(MAX_HELD_BYTES)
            except UpstreamError:
                body = b""
            if not answer.is_whole():
                answer.close()
                await self._refuse(STATUS_BAD_GATEWAY, "broken")
                return
            await self.exchange.respond(answer.head.status, answer.pairs, body)
            self._finish(answer.head.status, self.parts.clock.read())
            return
        answer.close()
        if self.dispatches.ran:
            await self._refuse(STATUS_BAD_GATEWAY, answer.outcome.value)
        else:
            await self._refuse(STATUS_UNAVAILABLE, answer.outcome.value)

    async def _finish_timed_out(self) -> None:
        if self.exchange.started:
            self._record_event(Event.REQUEST_BROKEN_OFF, reason="timeout")
            self.exchange.abort()
            raise CallerGoneError("the answer took too long", "send the request again")
        ran = self.dispatches.ran > 0
        status = STATUS_GATEWAY_TIMEOUT if ran else STATUS_UNAVAILABLE
        await self._refuse(status, "timeout")

    async def _refuse(
        self, status: int, reason: str, retry_ms: float | None = None
    ) -> None:
        if status == STATUS_UNAVAILABLE and retry_ms is None:
            retry_ms = DEFAULT_RETRY_AFTER_MS
        outcome = "unknown" if self.dispatches.ran else "not-run"
        self.parts.metrics.count_request(self.route.name, reason, outcome)
        self.parts.metrics.windows.record(self.route.name, False)
        self._record_event(
            Event.REQUEST_REFUSED,
            status=status,
            reason=reason,
            ran=self.dispatches.ran,
            refused=self.dispatches.refused,
            unsent=self.dispatches.unsent,
            retry_after_ms=retry_ms,
        )
        await self.parts.refuse(self.exchange, self.request, status, reason, retry_ms)

    def _record_event(self, event: Event, **fields: object) -> None:
        after_ms = round(self.parts.clock.read() - self.arrived_ms, 1)
        self.parts.events.record(
            event, request_id=self.request.request_id, after_ms=after_ms, **fields
        )
