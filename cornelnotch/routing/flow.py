"""Process one request from its classification to its response."""

import asyncio

from returns.result import Failure

from cornelnotch.claims import ClaimOperation
from cornelnotch.configuration import Selection
from cornelnotch.exceptions import (
    CallerDisconnectedError,
    UpstreamError,
    UpstreamUnreachableError,
)
from cornelnotch.kernel import Event
from cornelnotch.observation import Trace
from cornelnotch.routing.context import FlowContext, RequestFailedError
from cornelnotch.routing.idempotency import IdempotencyGuard
from cornelnotch.routing.permits import PermitReport, PermitRequest
from cornelnotch.routing.requests import CallerRequest
from cornelnotch.routing.responses import (
    Outcome,
    Problem,
    create_response_headers,
    encode_problem,
)
from cornelnotch.web import Exchange
from cornelnotch.wire.messages import PermitGrant, PermitRefusal

__all__ = ["RequestFlow"]

FAILED_RETRY_MS = 500.0
LIMIT_REASONS = frozenset({"workspace-limit"})
CALLER_ERROR_STATUSES = frozenset({400, 409, 422, 429})


class RequestFlow:
    """State of one request; subclasses forward it to a server."""

    def __init__(
        self,
        context: FlowContext,
        exchange: Exchange,
        request: CallerRequest,
        selection: Selection,
        trace: Trace,
    ) -> None:
        self.context = context
        self.exchange = exchange
        self.request = request
        self.selection = selection
        self.trace = trace
        self.excluded: set[str] = set()
        self.dispatched = False
        deadline = request.deadline_ms or selection.service_class.deadline_ms
        self.deadline_ms = trace.arrived_ms + deadline
        self.once = selection.service_class.repeat == "once"
        self._failing = False
        self.idempotency_guard: IdempotencyGuard | None = None
        if self.once and request.key is not None:
            self.idempotency_guard = IdempotencyGuard(
                context, request, trace, self.get_remaining_ms
            )

    @property
    def cancellable(self) -> bool:
        """Return whether the work may be cancelled when the caller disconnects."""
        return not (self.once and self.dispatched)

    def get_remaining_ms(self) -> float:
        """Return the ms left until the deadline."""
        return self.deadline_ms - self.context.clock.read()

    async def run(self) -> None:
        """Serve the request and cancel cancellable work when the caller disconnects."""
        work = asyncio.create_task(self._serve())
        gone = asyncio.create_task(self.exchange.disconnected.wait())
        stopping = asyncio.create_task(self.context.stopping.wait())
        try:
            await asyncio.wait(
                {work, gone, stopping}, return_when=asyncio.FIRST_COMPLETED
            )
            if not work.done() and gone.done():
                if self.cancellable:
                    self.trace.note("caller-gone")
                    work.cancel()
                await asyncio.wait(
                    {work, stopping}, return_when=asyncio.FIRST_COMPLETED
                )
            if not work.done() and not self._failing:
                work.cancel()
            await work
        except asyncio.CancelledError:
            work.cancel()
            self._count("cancelled", Outcome.UNKNOWN)
            raise CallerDisconnectedError(
                "the caller closed the connection", "retry the request"
            ) from None
        finally:
            gone.cancel()
            stopping.cancel()

    async def _serve(self) -> None:
        try:
            earlier = (
                await self.idempotency_guard.claim()
                if self.idempotency_guard is not None
                else None
            )
            if earlier is None:
                await self.forward()
            else:
                await self._repeat_answer(earlier)
        except RequestFailedError as error:
            await self._fail(error.problem)
        except asyncio.CancelledError:
            if self.context.stopping.is_set():
                await self._end_early()
                return
            if self.idempotency_guard is not None:
                self.idempotency_guard.release_undispatched(self.dispatched)
            raise

    async def _fail(self, problem: Problem) -> None:
        self._failing = True
        if self.idempotency_guard is not None:
            problem = await self.idempotency_guard.finalize_problem(
                problem, self.dispatched
            )
        await self._refuse(problem)

    async def _end_early(self) -> None:
        """Answer the caller before the process ends."""
        if self.exchange.response_finished:
            return
        problem = Problem(
            504 if self.dispatched else 503,
            "stopping",
            "the host stopped before the request had ended; ask another host",
            Outcome.UNKNOWN if self.dispatched else Outcome.NOT_RUN,
            FAILED_RETRY_MS,
        )
        if self.exchange.response_started:
            await self.abort_stream(problem)
        else:
            await self._fail(problem)

    async def abort_stream(self, problem: Problem) -> None:
        """End a response that has started and cannot be completed."""
        raise NotImplementedError

    async def forward(self) -> None:
        """Forward the request to a server and the response to the caller."""
        raise NotImplementedError

    async def _repeat_answer(self, outcome: ClaimOperation) -> None:
        headers = create_response_headers(self.request.request_id, Outcome.RAN)
        headers["content-type"] = outcome.content_type
        headers["cornelnotch-repeated"] = "true"
        self._count("repeated", Outcome.RAN)
        await self.exchange.respond(outcome.status, headers, outcome.body or b"")

    def store_outcome(self, status: int, content_type: str, body: bytes | None) -> None:
        """Record the response to a claimed request for repeats of its key."""
        if self.idempotency_guard is not None:
            self.idempotency_guard.store_outcome(status, content_type, body)

    async def acquire(self) -> PermitGrant:
        """Return a permit.

        Raise RequestFailedError if the request is refused.
        """
        permit_request = PermitRequest(
            self.request.request_id,
            self.selection.class_name,
            self.selection.tier,
            self.selection.pool,
            self.request.workspace,
            self.request.affinity,
            self.trace.arrived_ms,
            self.deadline_ms,
            frozenset(self.excluded),
        )
        result = await self.context.permits.acquire(permit_request)
        if isinstance(result, Failure):
            raise RequestFailedError(self._create_refusal_problem(result.failure()))
        grant = result.unwrap()
        self.trace.note(
            "permit",
            server=grant.server,
            dispatcher=grant.dispatcher,
            queued_ms=round(grant.queued_ms, 3),
            reason=grant.reason,
        )
        queued_ms = self.context.clock.read() - self.trace.arrived_ms
        self.context.metrics.observe_queued(self.selection.class_name, queued_ms)
        return grant

    def _create_refusal_problem(self, refusal: PermitRefusal) -> Problem:
        self.trace.note(
            "refused",
            reason=refusal.reason,
            shard=refusal.shard,
            retry_after_ms=round(refusal.retry_after_ms, 1),
            occupancy=[
                f"{o.class_name}/{o.tier}: {o.waiting} waiting, {o.running} running"
                for o in refusal.occupancy
            ],
        )
        return Problem(
            429 if refusal.reason in LIMIT_REASONS else 503,
            refusal.reason,
            f"refused by {refusal.shard}; retry after the given time",
            Outcome.UNKNOWN if self.dispatched else Outcome.NOT_RUN,
            refusal.retry_after_ms,
            tuple(refusal.occupancy),
        )

    def should_retry(self, error: UpstreamError, grant: PermitGrant) -> bool:
        """Return whether the request may be dispatched again after `error`."""
        self.trace.note(
            "failed", server=grant.server, kind=error.kind, error=str(error)
        )
        self.excluded.add(grant.server)
        unsent = isinstance(error, UpstreamUnreachableError)
        if self.once and not unsent:
            return False
        if self.get_remaining_ms() <= 0 or not self.context.budget.try_acquire():
            self.trace.note("no-retry", left_ms=round(self.get_remaining_ms(), 1))
            return False
        self.context.metrics.count_retry(error.kind)
        return True

    def create_failure_problem(self, error: UpstreamError) -> Problem:
        """Return the problem to report to the caller after `error`."""
        unsent = isinstance(error, UpstreamUnreachableError) and not self.dispatched
        return Problem(
            503 if unsent else 502,
            error.kind,
            f"{error.problem}; {error.remedy}",
            Outcome.NOT_RUN if unsent else Outcome.UNKNOWN,
            FAILED_RETRY_MS,
        )

    def release(self, grant: PermitGrant, report: PermitReport) -> None:
        """Release the permit of a completed dispatch."""
        self.context.permits.release(grant, report)

    async def _refuse(self, problem: Problem) -> None:
        self.trace.note(
            "answered",
            status=problem.status,
            kind=problem.kind,
            outcome=problem.outcome.value,
        )
        self.context.events.record(
            Event.REQUEST_REFUSED,
            request_id=self.request.request_id,
            kind=problem.kind,
            outcome=problem.outcome.value,
        )
        self._count(problem.kind, problem.outcome)
        if problem.status not in CALLER_ERROR_STATUSES:
            self.context.metrics.windows.record(self.selection.class_name, False)
        await self._send_problem(problem)

    async def _send_problem(self, problem: Problem) -> None:
        request_id = self.request.request_id
        headers = create_response_headers(
            request_id, problem.outcome, problem.retry_after_ms
        )
        headers["content-type"] = "application/json"
        body = encode_problem(problem, request_id)
        await self.exchange.respond(problem.status, headers, body)

    def finish_well(self, attained: bool, **details: object) -> None:
        """Record a complete response."""
        self.trace.note("answered", attained=attained, **details)
        self._count("attained" if attained else "late", Outcome.RAN)
        self.context.metrics.windows.record(self.selection.class_name, attained)

    def _count(self, result: str, outcome: Outcome) -> None:
        self.context.metrics.count_request(
            self.selection.class_name, result, outcome.value
        )
