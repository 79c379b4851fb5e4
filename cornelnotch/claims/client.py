"""Client that claims and releases keys and records outcomes via stream writers."""

import asyncio
from dataclasses import dataclass

from returns.result import Success

from cornelnotch.claims.ledger import (
    ClaimOperation,
    OperationKind,
    decode_operation,
    encode_operation,
)
from cornelnotch.kernel import (
    Clock,
    Event,
    EventLog,
    TaskSupervisor,
    create_identifier,
    hash_text,
)
from cornelnotch.routing.fleet import FleetView
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import ClaimRequest, ClaimResponse

__all__ = ["ClaimClient", "ClaimVerdict"]

WRITER_TIMEOUT_MS = 1000.0
MAX_REFUSALS = 2
PERSIST_PAUSE_MS = 500.0
PERSIST_LIMIT_MS = 1_800_000.0


@dataclass(frozen=True, slots=True)
class ClaimVerdict:
    """State of a key in the log.

    `state` is one of:

    - won: this attempt holds the key
    - lost: another attempt holds the key and has no recorded outcome
    - answered: another attempt holds the key and `outcome` is its outcome
    - mismatch: the key was claimed for a request with another fingerprint
    - free: the key is not claimed
    - kept: a release or outcome was processed and needs no retry
    - unavailable: no writer could reach the log in time
    """

    state: str
    outcome: ClaimOperation | None = None


class ClaimClient:
    """Client that sends claim operations to the preferred writer that responds."""

    def __init__(
        self,
        fleet: FleetView,
        peers: PeerNetwork,
        clock: Clock,
        events: EventLog,
        tasks: TaskSupervisor,
    ) -> None:
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._events = events
        self._tasks = tasks
        self._pending: dict[str, asyncio.Future[ClaimResponse]] = {}
        self.pending_count = 0
        peers.subscribe(ClaimResponse, self._receive)

    async def claim(
        self, key: str, attempt: str, fingerprint: str, timeout_ms: float
    ) -> ClaimVerdict:
        """Append a claim and return the result read back from the log."""
        operation = ClaimOperation(OperationKind.CLAIM, key, attempt, fingerprint)
        return await self._submit(operation, timeout_ms)

    async def look_up(
        self, key: str, fingerprint: str, timeout_ms: float
    ) -> ClaimVerdict:
        """Return the state of a key in the log, without claiming it."""
        operation = ClaimOperation(OperationKind.LOOKUP, key, "", fingerprint)
        return await self._submit(operation, timeout_ms)

    async def release(self, key: str, attempt: str, timeout_ms: float) -> bool:
        """Release a key whose work was not sent.

        Return whether the log has accepted the release. If it has not, a background
        task retries until it has or PERSIST_LIMIT_MS have passed.
        """
        operation = ClaimOperation(OperationKind.RELEASE, key, attempt)
        verdict = await self._submit(operation, timeout_ms)
        if verdict.state == "kept":
            return True
        self._events.record(Event.CLAIM_RELEASE_DELAYED, key=key)
        self._start_recording(operation)
        return False

    def release_in_background(self, key: str, attempt: str) -> None:
        """Release a key in the background."""
        self._start_recording(ClaimOperation(OperationKind.RELEASE, key, attempt))

    def record_outcome(self, operation: ClaimOperation) -> None:
        """Record the response for repeats of its key, in the background."""
        self._start_recording(operation)

    def _start_recording(self, operation: ClaimOperation) -> None:
        self.pending_count += 1
        self._tasks.start(
            f"persist-{operation.attempt}", self._retry_until_recorded(operation)
        )

    async def _retry_until_recorded(self, operation: ClaimOperation) -> None:
        try:
            limit = self._clock.read() + PERSIST_LIMIT_MS
            while self._clock.read() < limit:
                verdict = await self._submit(operation, WRITER_TIMEOUT_MS * 2)
                if verdict.state == "kept":
                    return
                await self._clock.sleep(PERSIST_PAUSE_MS)
        finally:
            self.pending_count -= 1

    async def _submit(
        self, operation: ClaimOperation, timeout_ms: float
    ) -> ClaimVerdict:
        limit = self._clock.read() + timeout_ms
        count = self._fleet.configuration.claims.streams
        stream = hash_text(operation.key) % count
        hops = 0
        refusals = 0
        while (left_ms := limit - self._clock.read()) > 0:
            ranking = self._fleet.rank_writers(stream)
            if not ranking:
                break
            writer = ranking[hops % len(ranking)]
            wait_ms = min(left_ms, WRITER_TIMEOUT_MS)
            answer = await self._ask(writer, stream, operation, wait_ms)
            if answer is not None and answer.state != "unavailable":
                return self._read_answer(answer)
            refusals += answer is not None
            if refusals >= MAX_REFUSALS:
                # Further writers are unlikely to reach the log either.
                break
            hops += 1
        return ClaimVerdict("unavailable")

    async def _ask(
        self, writer: str, stream: int, operation: ClaimOperation, wait_ms: float
    ) -> ClaimResponse | None:
        ask_id = create_identifier()
        future = asyncio.get_running_loop().create_future()
        self._pending[ask_id] = future
        body = encode_operation(operation)
        self._peers.send(
            writer, ClaimRequest(ask_id, self._fleet.name, stream, body, wait_ms)
        )
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                return await future
        except TimeoutError:
            return None
        finally:
            del self._pending[ask_id]

    @staticmethod
    def _read_answer(answer: ClaimResponse) -> ClaimVerdict:
        if not answer.outcome:
            return ClaimVerdict(answer.state)
        decoded = decode_operation(answer.outcome)
        outcome = decoded.unwrap() if isinstance(decoded, Success) else None
        return ClaimVerdict(answer.state, outcome)

    def _receive(self, sender: str, answer: ClaimResponse) -> None:
        future = self._pending.get(answer.ask_id)
        if future is not None and not future.done():
            future.set_result(answer)
