"""Execute work with an idempotency key at most once.

The guard claims the key, replays the recorded response to repeats, releases the claim
of work that was not dispatched and records the outcome.
"""

from collections.abc import Callable
from dataclasses import replace

from cornelnotch.claims import (
    ClaimOperation,
    ClaimVerdict,
    KeyAge,
    OperationKind,
    check_key_age,
)
from cornelnotch.kernel import create_identifier
from cornelnotch.observation import Trace
from cornelnotch.routing.context import FlowContext, RequestFailedError
from cornelnotch.routing.requests import CallerRequest
from cornelnotch.routing.responses import Outcome, Problem

__all__ = ["IdempotencyGuard"]

CLAIM_TIMEOUT_MS = 3000.0
RELEASE_TIMEOUT_MS = 500.0
LOOKUP_TIMEOUT_MS = 1000.0
LOOKUP_PAUSE_MS = 200.0
LOG_RETRY_MS = 2000.0
CLAIMED_RETRY_MS = 1000.0
MAX_STORED_BODY_BYTES = 16 * 1024


class IdempotencyGuard:
    """Guard that executes one request at most once by claiming its key."""

    def __init__(
        self,
        context: FlowContext,
        request: CallerRequest,
        trace: Trace,
        get_remaining_ms: Callable[[], float],
    ) -> None:
        self._context = context
        self._request = request
        self._trace = trace
        self._get_remaining_ms = get_remaining_ms
        self._attempt = create_identifier()
        self._fingerprint = request.compute_fingerprint()
        self._claimed = False

    async def claim(self) -> ClaimOperation | None:
        """Return None if the work may run, or the outcome of an earlier attempt.

        Raise RequestFailedError if neither is known.
        """
        self._check_key_age()
        self._claimed = True
        verdict = await self._context.claims.claim(
            self._request.claim_key,
            self._attempt,
            self._fingerprint,
            min(CLAIM_TIMEOUT_MS, max(self._get_remaining_ms(), 0.0)),
        )
        self._trace.note("claim", state=verdict.state, attempt=self._attempt)
        if verdict.state == "won":
            # Checks again after the claim was read back: an earlier claim is certain
            # to have been seen in the log only if the key is still usable.
            self._check_key_age()
            return None
        if verdict.state == "unavailable":
            raise RequestFailedError(self._create_log_problem())
        self._claimed = False
        return await self._wait_for_winner(verdict)

    def get_unclaimed_outcome(self) -> Outcome:
        """Return the outcome to report when the claims could not be read."""
        first = self._request.is_first_attempt
        return Outcome.NOT_RUN if first else Outcome.UNKNOWN

    async def finalize_problem(self, problem: Problem, dispatched: bool) -> Problem:
        """Return the problem with the outcome to report to the caller.

        If the work was not dispatched, release the key. Unless this is the caller's
        first attempt, the outcome is unknown until the log has the release.
        """
        if not self._claimed:
            return problem
        if dispatched:
            self.store_outcome(0, "", None)
            return problem
        key = self._request.claim_key
        if problem.outcome is Outcome.NOT_RUN and self._request.is_first_attempt:
            # The outcome is certain: nothing else was ever sent under this key.
            self._context.claims.release_in_background(key, self._attempt)
            return problem
        released = await self._context.claims.release(
            key, self._attempt, RELEASE_TIMEOUT_MS
        )
        outcome = problem.outcome if released else Outcome.UNKNOWN
        return replace(problem, outcome=outcome)

    def release_undispatched(self, dispatched: bool) -> None:
        """Release the key in the background if the work was not dispatched."""
        if self._claimed and not dispatched:
            key = self._request.claim_key
            self._context.claims.release_in_background(key, self._attempt)

    def store_outcome(self, status: int, content_type: str, body: bytes | None) -> None:
        """Record the outcome of the work; status 0 means that it is unknown."""
        if not self._claimed:
            return
        stored_body = (
            body if body is not None and len(body) <= MAX_STORED_BODY_BYTES else None
        )
        operation = ClaimOperation(
            OperationKind.OUTCOME,
            self._request.claim_key,
            self._attempt,
            "",
            status,
            content_type,
            stored_body,
        )
        self._context.claims.record_outcome(operation)

    def _check_key_age(self) -> None:
        claims = self._context.fleet.configuration.claims
        wall_ms = self._context.clock.read_wall()
        # The horizon is capped, whatever the configuration says, so that the log
        # retains a claim for longer than its key is usable.
        retained_ms = self._context.retention_ms - 2 * claims.skew_ms
        horizon_ms = min(claims.horizon_ms, retained_ms)
        key_ms = self._request.key_ms
        age = check_key_age(key_ms, wall_ms, horizon_ms, claims.skew_ms)
        if age is KeyAge.USABLE:
            return
        message = f"the key is {age.value}; generate a new UUIDv7 for new work"
        raise RequestFailedError(
            Problem(400, f"key-{age.value}", message, self.get_unclaimed_outcome())
        )

    async def _wait_for_winner(self, verdict: ClaimVerdict) -> ClaimOperation:
        """Return the outcome of the attempt that holds the key.

        Raise RequestFailedError if it is unknown.
        """
        while verdict.state == "lost" and self._get_remaining_ms() > LOOKUP_PAUSE_MS:
            await self._context.clock.sleep(LOOKUP_PAUSE_MS)
            timeout_ms = min(LOOKUP_TIMEOUT_MS, self._get_remaining_ms())
            verdict = await self._context.claims.look_up(
                self._request.claim_key, self._fingerprint, timeout_ms
            )
        self._trace.note("repeat", state=verdict.state)
        if verdict.state == "mismatch":
            raise RequestFailedError(self._create_mismatch_problem())
        outcome = verdict.outcome
        if verdict.state != "answered" or outcome is None or outcome.status == 0:
            raise RequestFailedError(self._create_claimed_problem())
        if outcome.body is None:
            raise RequestFailedError(self._create_too_large_problem())
        return outcome

    def _create_log_problem(self) -> Problem:
        return Problem(
            503,
            "log-unavailable",
            "the claim could not be read back; retry later with the same key",
            self.get_unclaimed_outcome(),
            LOG_RETRY_MS,
        )

    @staticmethod
    def _create_mismatch_problem() -> Problem:
        return Problem(
            422,
            "key-reused",
            "the key was used for other work; generate a new UUIDv7 for new work",
            Outcome.UNKNOWN,
        )

    @staticmethod
    def _create_claimed_problem() -> Problem:
        return Problem(
            409,
            "claimed-elsewhere",
            "another attempt holds the key; retry later with the same key",
            Outcome.UNKNOWN,
            CLAIMED_RETRY_MS,
        )

    @staticmethod
    def _create_too_large_problem() -> Problem:
        return Problem(
            409,
            "answer-not-kept",
            "the work ran, but its response was too large to store; ask the service",
            Outcome.RAN,
        )
