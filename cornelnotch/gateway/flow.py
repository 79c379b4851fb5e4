"""Carry one request from its route to its answer."""

import asyncio
from dataclasses import replace

from cornelnotch.exceptions import CallerGoneError, UpstreamError
from cornelnotch.gateway.asking import Turn
from cornelnotch.gateway.dialect import DispatchTerms
from cornelnotch.gateway.dispatch import Answer, Fate, open_answer
from cornelnotch.gateway.models import (
    CallerRequest,
    Route,
    WorkKind,
    Workspace,
)
from cornelnotch.gateway.parts import GatewayParts
from cornelnotch.gateway.passing import MAX_HELD_BYTES, EventReader, pass_body
from cornelnotch.gateway.patience import (
    find_longest_pause_s,
    find_patience_s,
    find_stall_s,
)
from cornelnotch.gateway.placing import Placement, PlacementNeed
from cornelnotch.gateway.repeating import Progress, may_send_again
from cornelnotch.gateway.returning import choose_return_ms, find_caller_patience
from cornelnotch.gateway.servers import Flight, ServerView
from cornelnotch.gateway.silence import is_silent
from cornelnotch.gateway.streams import EventCutter
from cornelnotch.kernel.events import Event
from cornelnotch.web import Exchange

__all__ = ["RequestFlow"]

STATUS_OK = 200
STATUS_SERVER_ERROR = 500
STATUS_BAD_GATEWAY = 502
STATUS_UNAVAILABLE = 503
STATUS_GATEWAY_TIMEOUT = 504
# Other hosts' loads are known late, so that a hot engine is seldom the only choice;
# each ask costs a round trip, and a refusal is to come within a part of the target.
MAX_CROWDED = 2
# Each move costs a round trip; loads that sway must not keep a request on its way.
MAX_MOVES = 4
# The pause after which callers without a better figure come back.
RETRY_MS = 500.0
# Without a deadline of the caller's the route's limit holds alone.
NO_DEADLINE_MS = 600_000.0


class RequestFlow:
    """Own the state of one request."""

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
        deadline = request.deadline_ms or NO_DEADLINE_MS
        self.deadline_ms = arrived_ms + deadline
        self.limit_ms = arrived_ms + min(deadline, route.timeout_ms)
        self.progress = Progress()
        self.excluded: set[str] = set()
        self.crowded: set[str] = set()
        self.crowded_wait_ms = 0.0
        self.moves = 0
        self.last_fate: Fate | None = None
        self.backup: ServerView | None = None
        self.goes_on = False
        self.events = EventCutter(request.last_event)
        self.priority = route.priority
        if workspace is not None and workspace.priority is not None:
            self.priority = workspace.priority
        self.service = parts.choose_service(route, request.request_id)

    async def run(self) -> None:
        """Serve the request; the caller's going away ends the work."""
        work = asyncio.create_task(self._serve())
        gone = asyncio.create_task(self.exchange.gone.wait())
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                work.cancel()
                self._note(Event.CALLER_LEFT, ran=self.progress.ran)
            await work
        except asyncio.CancelledError:
            work.cancel()
            raise CallerGoneError("the caller closed", "send it again") from None
        finally:
            gone.cancel()

    async def _serve(self) -> None:
        loop = asyncio.get_running_loop()
        left_s = (self.limit_ms - self.parts.clock.read()) / 1000.0
        try:
            async with asyncio.timeout_at(loop.time() + max(left_s, 0.0)):
                await self._carry()
        except TimeoutError:
            await self._give_up()

    async def _carry(self) -> None:
        done = False
        while not done:
            placement = self._place_at_backup() or self._place()
            if placement is None:
                await self._end_without_server()
                return
            flight = self._open_flight(placement)
            try:
                done = await self._try_server(placement, flight)
            finally:
                placement.server.finish(flight)
                self.parts.turns.end(flight)

    async def _end_without_server(self) -> None:
        now = self.parts.clock.read()
        rest_ms = self.parts.pool.find_rest_ms(self.service, now)
        if self.crowded:
            await self._send_away(self.crowded_wait_ms, "backlog")
        elif rest_ms > 0 and not self.progress.ran and not self.exchange.started:
            await self._send_away(rest_ms, "servers-rest")
        else:
            await self._finish_failed(Answer(Fate.NOT_SENT, "no server is left"))

    async def _try_server(self, placement: Placement, flight: Flight) -> bool:
        """Tell whether the caller has its final answer."""
        if self.goes_on:
            return await self._go_on(placement, flight)
        turn = await self._wait_for_turn(placement.server, flight)
        if turn is Turn.BETTER:
            self.moves += 1
        if turn in {Turn.LOST, Turn.BETTER}:
            return False
        if turn is Turn.HOPELESS:
            return await self._leave_crowded(placement.server, flight)
        answer = await self._dispatch(placement, flight)
        if answer is None:
            return True
        self.last_fate = answer.fate
        self.excluded.add(placement.server.record.name)
        if self.progress.ran:
            # What has begun is not sent away: a long wait is better than its end.
            self.crowded.clear()
        if self._may_go_on(answer):
            self.goes_on = True
        elif not self._may_repeat(answer):
            await self._finish_failed(answer)
            return True
        answer.close()
        # The next server sends the unfinished event again, whole.
        self.events.take_rest()
        return False

    def _may_go_on(self, answer: Answer) -> bool:
        """Tell whether a broken run can go on from the copy of its memory."""
        if self.backup is None or answer.fate is not Fate.BROKEN:
            return False
        if not self.exchange.started or not self.events.last_event:
            return False
        now = self.parts.clock.read()
        if now >= self.limit_ms or not self.parts.accepts(self.backup):
            return False
        return self.parts.find_budget(self.service).withdraw(now)

    def _place_at_backup(self) -> Placement | None:
        if not self.goes_on or self.backup is None:
            return None
        self._note(Event.STREAM_RESUMED, server=self.backup.record.name, copied=True)
        return Placement(self.backup, 0.0, 0, 1)

    async def _go_on(self, placement: Placement, flight: Flight) -> bool:
        """Let the run go on at the engine that has its copy; there is one try."""
        answer = await self._dispatch(placement, flight)
        if answer is not None:
            await self._finish_failed(answer)
        return True

    async def _leave_crowded(self, view: ServerView, flight: Flight) -> bool:
        """Tell whether the caller was sent away; else another server is asked."""
        self.crowded.add(view.record.name)
        self.crowded_wait_ms = flight.wait_ms
        if len(self.crowded) < MAX_CROWDED:
            return False
        await self._send_away(self.crowded_wait_ms, "backlog")
        return True

    def _choose(self, current: str = "") -> Placement | None:
        now = self.parts.clock.read()
        servers = self.parts.pool.list_usable(self.service, now)
        need = PlacementNeed(
            self.priority,
            self.excluded | self.crowded,
            self.parts.is_tight(self.route),
            self.parts.find_reserved(self.service),
            self.parts.find_tight_gap(self.service),
            current,
        )
        choose = self.parts.placer.choose
        placement = choose(servers, self.route, self.request, need, now)
        if placement is None and self._may_use_again():
            # The only server left answered, so that it may well answer once more.
            need = replace(need, excluded=())
            placement = choose(servers, self.route, self.request, need, now)
        return placement

    def _may_use_again(self) -> bool:
        """Tell whether a call may go to a server that answered it with a failure."""
        is_repeatable = self.route.kind is WorkKind.REPEATABLE
        return is_repeatable and self.last_fate is Fate.FAILED

    def _is_better_elsewhere(self, view: ServerView, flight: Flight) -> bool:
        """Tell whether a request that waits would now be placed at another engine."""
        if self.moves >= MAX_MOVES:
            return False
        view.finish(flight)
        try:
            placement = self._choose(view.record.name)
        finally:
            view.start(flight)
        return placement is not None and placement.server is not view

    def _place(self) -> Placement | None:
        placement = self._choose()
        if placement is not None:
            self._note(
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
            tight=self.parts.is_tight(self.route),
        )
        placement.server.start(flight)
        return flight

    async def _wait_for_turn(self, view: ServerView, flight: Flight) -> Turn:
        """Wait until an engine may get the prompt, or must not."""
        if self.route.kind is not WorkKind.STREAM or not self.request.prompt:
            return Turn.GRANTED
        turn = await self.parts.turns.wait(
            self.request,
            view,
            flight,
            self.arrived_ms,
            self._find_patience(),
            self.route.target_gap_ms if flight.tight else 0.0,
            self.route.target_ms,
            lambda: self._is_better_elsewhere(view, flight),
        )
        waited_ms = self.parts.clock.read() - flight.started_ms
        pace = self.parts.paces.find(view.record.name, self.service)
        self.parts.metrics.observe_queued(self.route.name, waited_ms)
        self._note(
            Event.TURN_CAME,
            server=view.record.name,
            turn=turn.value,
            waited_ms=round(waited_ms, 1),
            unread=flight.prefill_tokens,
            wait_ms=flight.wait_ms,
            read_ms=round(flight.prefill_tokens / pace.read_rate, 1),
            event_ms=round(pace.event_ms, 1),
        )
        return turn

    def _find_patience(self) -> float:
        """Return for how long the caller can be sent away, in ms since it came."""
        if self.progress.ran or self.exchange.started:
            return float("inf")
        return find_caller_patience(self.route, self.limit_ms - self.arrived_ms)

    async def _send_away(self, wait_ms: float, reason: str) -> None:
        """Refuse at once what would wait in vain."""
        left_ms = self.deadline_ms - self.parts.clock.read()
        retry_ms = choose_return_ms(wait_ms, left_ms, self.parts.generator)
        await self._refuse(STATUS_UNAVAILABLE, reason, round(retry_ms))

    async def _dispatch(self, placement: Placement, flight: Flight) -> Answer | None:
        """Return None when the caller has its answer, else why there is none."""
        view = placement.server
        now = self.parts.clock.read()
        if now >= self.limit_ms:
            # The host was paused for longer than its timers tell.
            raise TimeoutError
        flight.sent = True
        terms = DispatchTerms(
            view.record.name,
            self.deadline_ms - now,
            self.workspace.name if self.workspace else "",
            self.priority,
            self.events.last_event,
            placement.source.record.address if placement.source else "",
            *self._find_copies(view),
        )
        answer: Answer | None = None
        try:
            answer = await self._open(view, terms)
            self.progress.count(answer.fate)
            self._heed(view, answer)
            if answer.fate is Fate.DONE:
                view.hear(flight, self.parts.clock.read())
                self.parts.turns.begin(flight)
                answer = await self._pass_on(answer, view, flight)
            self._judge(view, answer)
            return answer
        except BaseException:
            # Also when the caller is gone: the server must not work on.
            if answer is not None:
                answer.close()
            else:
                self.progress.ran += 1
            raise

    def _find_copies(self, view: ServerView) -> tuple[str, str]:
        """Return where the run's memory is copied to, and the copy it goes on from."""
        if self.goes_on:
            return "", f"{view.record.address}/{self.request.request_id}"
        self.backup = self.parts.choose_backup(
            self.route, self.request.request_id, view
        )
        return self.backup.record.address if self.backup else "", ""

    async def _open(self, view: ServerView, terms: DispatchTerms) -> Answer:
        """Send the request; silence ends the wait where another server may help."""
        patience_s = find_patience_s(self.route, self.progress.ran)
        try:
            async with asyncio.timeout(patience_s):
                return await open_answer(
                    self.parts.client,
                    self.parts.dialect,
                    view.record.address,
                    self.request,
                    terms,
                    self._needs_new_connection(view),
                )
        except TimeoutError:
            return Answer(Fate.BROKEN, f"silent for {patience_s} s")

    def _needs_new_connection(self, view: ServerView) -> bool:
        """Tell whether the work may be lost on a connection that has died silently."""
        if self.route.kind is WorkKind.ONCE:
            return True
        now = self.parts.clock.read()
        return self.parts.placer.measure_use(view, now).failures > 0

    def _heed(self, view: ServerView, answer: Answer) -> None:
        """Take in what a server says of itself in any answer."""
        head = answer.head
        if head is None or head.other_server:
            return
        name, boot_ms = view.record.name, view.record.boot_ms
        if head.leaving and self.parts.pool.note_leaving(name, boot_ms):
            self._note(Event.SERVER_SAID_LEAVING, server=name, boot_ms=boot_ms)
            self.parts.tell_leaving(name, boot_ms)
        if head.malformed_rest:
            self._note(
                Event.SERVER_REST_MALFORMED, server=name, rest=head.malformed_rest[:80]
            )
        if head.rest_ms > 0:
            rest_ms = view.rest(head.rest_ms, self.parts.clock.read())
            self._note(
                Event.SERVER_RESTS, server=name, asked_ms=head.rest_ms, rest_ms=rest_ms
            )

    def _judge(self, view: ServerView, answer: Answer | None) -> None:
        now = self.parts.clock.read()
        if answer is None:
            view.succeed()
            if self.route.kind is WorkKind.STREAM:
                view.remember(self.request.prompt, now)
            return
        self._note(
            Event.DISPATCH_FAILED,
            server=view.record.name,
            fate=answer.fate.value,
            reason=answer.reason,
        )
        if answer.head is not None and answer.head.other_server:
            view.disown()
        elif answer.fate in {Fate.NOT_SENT, Fate.BROKEN}:
            view.fail(now)

    async def _pass_on(
        self, answer: Answer, view: ServerView, flight: Flight
    ) -> Answer | None:
        if self.route.kind is WorkKind.STREAM:
            return await self._pass_on_stream(answer, view, flight)
        assert answer.head is not None
        try:
            await pass_body(answer, self.exchange)
        except UpstreamError as error:
            answer.close()
            return Answer(Fate.BROKEN, error.problem)
        self._finish(answer.head.status, self.parts.clock.read())
        return None

    async def _pass_on_stream(
        self, answer: Answer, view: ServerView, flight: Flight
    ) -> Answer | None:
        assert answer.head is not None
        if answer.head.status != STATUS_OK and self.exchange.started:
            return Answer(Fate.BROKEN, f"status {answer.head.status} on resumption")
        if not self.exchange.started:
            await self.exchange.start(answer.head.status, answer.pairs)
        reader = EventReader(
            answer,
            flight,
            self.parts.clock,
            self._find_stall_s(),
            lambda: self._may_go_on_elsewhere(view),
        )
        try:
            while data := await reader.read():
                view.hear(flight, self.parts.clock.read())
                known = self.events.count
                whole = self.events.feed(data)
                flight.count_events(self.events.count - known, self.parts.clock.read())
                if whole:
                    await self.exchange.send(whole)
        except UpstreamError as error:
            answer.close()
            return Answer(Fate.BROKEN, error.problem)
        rest = self.events.take_rest()
        if rest:
            await self.exchange.send(rest)
        await self.exchange.finish()
        stream_ms = self.parts.clock.read() - flight.first_ms
        self.parts.exposures.note(
            self.route.name, stream_ms, self.request.prompt_tokens
        )
        self._finish(
            answer.head.status,
            flight.first_ms,
            count=self.events.count,
            longest_gap_ms=round(flight.gap_ms, 1),
        )
        return None

    def _find_stall_s(self) -> float | None:
        if self.backup is not None and not self.goes_on:
            return find_longest_pause_s(self.route)
        return find_stall_s(self.route, self.progress.ran)

    def _may_go_on_elsewhere(self, view: ServerView) -> bool:
        now = self.parts.clock.read()
        if self.backup is not None:
            # Only the end of the server lets a run go on that may not be repeated.
            return is_silent(view, now) and self.parts.accepts(self.backup)
        if not self.parts.find_budget(self.service).allows(now):
            return False
        others = self.parts.pool.list_usable(self.service, now)
        excluded = self.excluded | {view.record.name}
        return any(other.record.name not in excluded for other in others)

    def _finish(self, status: int, first_ms: float, **details: object) -> None:
        """Record a whole answer whose first byte came at `first_ms`."""
        waited_ms = first_ms - self.arrived_ms
        attained = status < STATUS_SERVER_ERROR and waited_ms <= self.route.target_ms
        metrics = self.parts.metrics
        metrics.count_request(self.route.name, "answered", str(status))
        metrics.observe_first_token(self.route.name, waited_ms)
        metrics.windows.record(self.route.name, attained)
        self._note(
            Event.REQUEST_ANSWERED,
            status=status,
            first_ms=round(waited_ms, 1),
            **details,
        )

    def _may_repeat(self, answer: Answer) -> bool:
        now = self.parts.clock.read()
        if now >= self.limit_ms:
            return False
        if not may_send_again(self.route, self.progress, answer.fate):
            return False
        if answer.fate is Fate.NOT_SENT:
            return True
        allowed = self.parts.find_budget(self.service).withdraw(now)
        if allowed:
            self.parts.metrics.count_retry(answer.fate.value)
        return allowed

    async def _finish_failed(self, answer: Answer) -> None:
        if self.exchange.started:
            self._note(Event.REQUEST_BROKEN_OFF, reason=answer.reason)
            self.exchange.abort()
            raise CallerGoneError("the answer broke off", "send it again")
        if answer.fate is Fate.FAILED:
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
        if self.progress.ran:
            await self._refuse(STATUS_BAD_GATEWAY, answer.fate.value)
        else:
            await self._refuse(STATUS_UNAVAILABLE, answer.fate.value)

    async def _give_up(self) -> None:
        if self.exchange.started:
            self._note(Event.REQUEST_BROKEN_OFF, reason="timeout")
            self.exchange.abort()
            raise CallerGoneError("the answer took too long", "send it again")
        ran = self.progress.ran > 0
        status = STATUS_GATEWAY_TIMEOUT if ran else STATUS_UNAVAILABLE
        await self._refuse(status, "timeout")

    async def _refuse(
        self, status: int, reason: str, retry_ms: float | None = None
    ) -> None:
        if status == STATUS_UNAVAILABLE and retry_ms is None:
            retry_ms = RETRY_MS
        outcome = "unknown" if self.progress.ran else "not-run"
        self.parts.metrics.count_request(self.route.name, reason, outcome)
        self.parts.metrics.windows.record(self.route.name, False)
        self._note(
            Event.REQUEST_REFUSED,
            status=status,
            reason=reason,
            ran=self.progress.ran,
            refused=self.progress.refused,
            unsent=self.progress.unsent,
            retry_after_ms=retry_ms,
        )
        await self.parts.refuse(self.exchange, self.request, status, reason, retry_ms)

    def _note(self, event: Event, **fields: object) -> None:
        after_ms = round(self.parts.clock.read() - self.arrived_ms, 1)
        self.parts.events.record(
            event, request_id=self.request.request_id, after_ms=after_ms, **fields
        )
