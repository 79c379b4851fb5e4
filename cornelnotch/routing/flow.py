"""Carry one request from its classification to its answer."""

import asyncio
from dataclasses import dataclass

from returns.result import Failure

from cornelnotch.claims import (
    ClaimClient,
    ClaimOperation,
    ClaimVerdict,
    KeyAge,
    OperationKind,
    judge_key_age,
)
from cornelnotch.configuration import Selection
from cornelnotch.exceptions import (
    CallerGoneError,
    UpstreamError,
    UpstreamUnreachableError,
)
from cornelnotch.kernel import Clock, Event, EventLog, create_identifier
from cornelnotch.observation import NodeMetrics, Trace
from cornelnotch.routing.budget import RetryBudget
from cornelnotch.routing.fleet import FleetView
from cornelnotch.routing.intake import CallerRequest
from cornelnotch.routing.permits import PermitClient, PermitNeed, PermitReport
from cornelnotch.routing.replies import (
    Outcome,
    Problem,
    create_headers,
    encode_problem,
)
from cornelnotch.routing.upstreams import EngineUpstream, ServiceUpstream
from cornelnotch.web import Exchange
from cornelnotch.wire.messages import PermitGrant, PermitRefusal

__all__ = ["FlowError", "FlowParts", "RequestFlow"]

CLAIM_TIMEOUT_MS = 3000.0
RELEASE_TIMEOUT_MS = 500.0
LOG_RETRY_MS = 2000.0
LOOKUP_PAUSE_MS = 200.0
RUNNING_RETRY_MS = 1000.0
FAILED_RETRY_MS = 500.0
MAX_KEPT_ANSWER_BYTES = 16 * 1024
LIMIT_REASONS = frozenset({"workspace-limit"})


@dataclass(frozen=True, slots=True)
class FlowParts:
    """Hold what every request of a host shares."""

    fleet: FleetView
    permits: PermitClient
    claims: ClaimClient
    engines: EngineUpstream
    services: ServiceUpstream
    metrics: NodeMetrics
    budget: RetryBudget
    clock: Clock
    events: EventLog
    retention_ms: float


class FlowError(Exception):
    """End a request with the problem that the caller is told."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.message)
        self.problem = problem


class RequestFlow:
    """Own the state of one request; subclasses carry it to a server."""

    def __init__(
        self,
        parts: FlowParts,
        exchange: Exchange,
        request: CallerRequest,
        selection: Selection,
        trace: Trace,
    ) -> None:
        self.parts = parts
        self.exchange = exchange
        self.request = request
        self.selection = selection
        self.trace = trace
        self.excluded: set[str] = set()
        self.attempt = create_identifier()
        self.claimed = False
        self.dispatched = False
        deadline = request.deadline_ms or selection.service_class.deadline_ms
        self.deadline_ms = trace.arrived_ms + deadline
        self._work: asyncio.Task[None] | None = None

    @property
    def once(self) -> bool:
        """Tell whether the work must not run twice."""
        return self.selection.service_class.repeat == "once"

    @property
    def needs_claim(self) -> bool:
        """Tell whether the work must be claimed before it is dispatched."""
        return self.once and self.request.key is not None

    @property
    def cancellable(self) -> bool:
        """Tell whether the work may stop when the caller goes away."""
        return not (self.once and self.dispatched)

    def read_left(self) -> float:
        """Return the ms until the deadline."""
        return self.deadline_ms - self.parts.clock.read()

    async def run(self) -> None:
        """Serve the request; the caller's going away ends what may be ended."""
        self._work = asyncio.create_task(self._serve())
        gone = asyncio.create_task(self.exchange.gone.wait())
        try:
            await asyncio.wait({self._work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not self._work.done() and self.cancellable:
                self.trace.note("caller-gone")
                self._work.cancel()
            await self._work
        except asyncio.CancelledError:
            self._work.cancel()
            self._count("cancelled", Outcome.UNKNOWN)
            raise CallerGoneError("the caller closed", "send it again") from None
        finally:
            gone.cancel()

    async def _serve(self) -> None:
        try:
            if not self.needs_claim or await self._claim():
                await self.carry()
        except FlowError as error:
            problem = await self._settle_claim(error.problem)
            await self._refuse(problem)
        except asyncio.CancelledError:
            if self.claimed and not self.dispatched:
                self.parts.claims.release_later(self.request.claim_key, self.attempt)
            raise

    async def carry(self) -> None:
        """Take the request to a server and its answer to the caller."""
        raise NotImplementedError

    async def _claim(self) -> bool:
        """Claim the key; return False when a repeat has been answered."""
        self._check_age()
        request = self.request
        fingerprint = request.compute_fingerprint()
        self.claimed = True
        verdict = await self.parts.claims.claim(
            request.claim_key,
            self.attempt,
            fingerprint,
            min(CLAIM_TIMEOUT_MS, max(self.read_left(), 0.0)),
        )
        self.trace.note("claim", state=verdict.state, attempt=self.attempt)
        if verdict.state == "won":
            # Only now is it sure that an earlier claim would have been seen.
            self._check_age()
            return True
        if verdict.state == "unavailable":
            raise FlowError(self._report_log())
        self.claimed = False
        await self._answer_repeat(verdict, fingerprint)
        return False

    def _check_age(self) -> None:
        claims = self.parts.fleet.configuration.claims
        wall_ms = self.parts.clock.read_wall()
        # A claim must outlast its key in the log, whatever the configuration says.
        kept_ms = self.parts.retention_ms - 2 * claims.skew_ms
        horizon_ms = min(claims.horizon_ms, kept_ms)
        age = judge_key_age(self.request.key_ms, wall_ms, horizon_ms, claims.skew_ms)
        if age is KeyAge.USABLE:
            return
        outcome = self._judge_unclaimed()
        message = f"the key is {age.value}; make a new UUIDv7 for new work"
        raise FlowError(Problem(400, f"key-{age.value}", message, outcome))

    def _judge_unclaimed(self) -> Outcome:
        """Return what is true of the key when the claims were not read."""
        if self.needs_claim and not self.request.is_first_attempt:
            return Outcome.UNKNOWN
        return Outcome.NOT_RUN

    def _report_log(self) -> Problem:
        return Problem(
            503,
            "log-unavailable",
            "the claim could not be read back; come back later with the same key",
            self._judge_unclaimed(),
            LOG_RETRY_MS,
        )

    async def _answer_repeat(self, verdict: ClaimVerdict, fingerprint: str) -> None:
        """Give a repeated key the winner's answer, or say that it is unknown."""
        while verdict.state == "lost" and self.read_left() > LOOKUP_PAUSE_MS:
            await self.parts.clock.sleep(LOOKUP_PAUSE_MS)
            verdict = await self.parts.claims.look_up(
                self.request.claim_key, fingerprint, min(1000.0, self.read_left())
            )
            if verdict.state == "unavailable":
                break
        self.trace.note("repeat", state=verdict.state)
        if verdict.state == "mismatch":
            raise FlowError(self._report_mismatch())
        outcome = verdict.outcome
        if verdict.state != "answered" or outcome is None or outcome.status == 0:
            raise FlowError(self._report_repeat())
        await self._repeat_answer(outcome)

    def _report_mismatch(self) -> Problem:
        return Problem(
            422,
            "key-reused",
            "the key was used for other work; make a new UUIDv7 for new work",
            Outcome.UNKNOWN,
        )

    def _report_repeat(self) -> Problem:
        return Problem(
            409,
            "claimed-elsewhere",
            "another attempt holds the key; come back later with the same key",
            Outcome.UNKNOWN,
            RUNNING_RETRY_MS,
        )

    async def _repeat_answer(self, outcome: ClaimOperation) -> None:
        if outcome.body is None:
            problem = Problem(
                409,
                "answer-not-kept",
                "the work ran; its answer was too large to keep, ask the service",
                Outcome.RAN,
            )
            raise FlowError(problem)
        headers = create_headers(self.request.request_id, Outcome.RAN)
        headers["content-type"] = outcome.content_type
        headers["cornelnotch-repeated"] = "true"
        await self.exchange.respond(outcome.status, headers, outcome.body)
        self._count("repeated", Outcome.RAN)

    async def _settle_claim(self, problem: Problem) -> Problem:
        """Free a claim whose work was not dispatched, before saying `not-run`."""
        if not self.claimed:
            return problem
        key = self.request.claim_key
        if self.dispatched:
            self.keep_outcome(0, "", None)
            return problem
        if problem.outcome is Outcome.NOT_RUN and self.request.is_first_attempt:
            # True at once: nothing else was ever sent under this key.
            self.parts.claims.release_later(key, self.attempt)
            return problem
        released = await self.parts.claims.release(
            key, self.attempt, RELEASE_TIMEOUT_MS
        )
        outcome = problem.outcome if released else Outcome.UNKNOWN
        return Problem(
            problem.status,
            problem.kind,
            problem.message,
            outcome,
            problem.retry_after_ms,
            problem.occupancy,
        )

    def keep_outcome(self, status: int, content_type: str, body: bytes | None) -> None:
        """Record what became of claimed work; status 0 means that nobody knows."""
        if not self.claimed:
            return
        kept = body if body is not None and len(body) <= MAX_KEPT_ANSWER_BYTES else None
        operation = ClaimOperation(
            OperationKind.OUTCOME,
            self.request.claim_key,
            self.attempt,
            "",
            status,
            content_type,
            kept,
        )
        self.parts.claims.record_outcome(operation)

    async def acquire(self) -> PermitGrant:
        """Return a permit; raise FlowError when the request is refused."""
        need = PermitNeed(
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
        result = await self.parts.permits.acquire(need)
        if isinstance(result, Failure):
            raise FlowError(self._report_refusal(result.failure()))
        grant = result.unwrap()
        self.trace.note(
            "permit",
            server=grant.server,
            dispatcher=grant.dispatcher,
            queued_ms=round(grant.queued_ms, 3),
            reason=grant.reason,
        )
        queued_ms = self.parts.clock.read() - self.trace.arrived_ms
        self.parts.metrics.observe_queued(self.selection.class_name, queued_ms)
        return grant

    def _report_refusal(self, refusal: PermitRefusal) -> Problem:
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
            f"refused by {refusal.shard}; come back after the time given",
            Outcome.UNKNOWN if self.dispatched else Outcome.NOT_RUN,
            refusal.retry_after_ms,
            tuple(refusal.occupancy),
        )

    def may_try_again(self, error: UpstreamError, grant: PermitGrant) -> bool:
        """Tell whether the work may be dispatched once more after `error`."""
        self.trace.note(
            "failed", server=grant.server, kind=error.kind, error=str(error)
        )
        self.excluded.add(grant.server)
        unsent = isinstance(error, UpstreamUnreachableError)
        if self.once and not unsent:
            return False
        if self.read_left() <= 0 or not self.parts.budget.spend():
            self.trace.note("no-retry", left_ms=round(self.read_left(), 1))
            return False
        self.parts.metrics.count_retry(error.kind)
        return True

    def report_failure(self, error: UpstreamError) -> Problem:
        """Return the problem that ends the request after `error`."""
        unsent = isinstance(error, UpstreamUnreachableError) and not self.dispatched
        return Problem(
            503 if unsent else 502,
            error.kind,
            f"{error.problem}; {error.remedy}",
            Outcome.NOT_RUN if unsent else Outcome.UNKNOWN,
            FAILED_RETRY_MS,
        )

    def give_back(self, grant: PermitGrant, report: PermitReport) -> None:
        """Return the permit of a dispatch that ended."""
        self.parts.permits.give_back(grant, report)

    async def _refuse(self, problem: Problem) -> None:
        self.trace.note(
            "answered",
            status=problem.status,
            kind=problem.kind,
            outcome=problem.outcome.value,
        )
        self.parts.events.record(
            Event.REQUEST_REFUSED,
            request_id=self.request.request_id,
            kind=problem.kind,
            outcome=problem.outcome.value,
        )
        self._count(problem.kind, problem.outcome)
        excluded = problem.status in {400, 409, 422, 429}
        if not excluded:
            self.parts.metrics.windows.record(self.selection.class_name, False)
        await self.send_problem(problem)

    async def send_problem(self, problem: Problem) -> None:
        """Tell the caller how the request ended."""
        request_id = self.request.request_id
        headers = create_headers(request_id, problem.outcome, problem.retry_after_ms)
        headers["content-type"] = "application/json"
        await self.exchange.respond(
            problem.status, headers, encode_problem(problem, request_id)
        )

    def finish_well(self, attained: bool, **details: object) -> None:
        """Record a whole answer."""
        self.trace.note("answered", attained=attained, **details)
        self._count("attained" if attained else "late", Outcome.RAN)
        self.parts.metrics.windows.record(self.selection.class_name, attained)

    def _count(self, result: str, outcome: Outcome) -> None:
        self.parts.metrics.count_request(
            self.selection.class_name, result, outcome.value
        )
