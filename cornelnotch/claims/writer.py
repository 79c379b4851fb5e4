"""Append claim operations in batches and read their results back from the log."""

import asyncio
from dataclasses import dataclass

from returns.result import Failure, Success

from cornelnotch.claims.ledger import (
    ClaimLedger,
    ClaimOperation,
    OperationKind,
    OutcomeLocation,
    decode_operation,
    decode_operations,
    encode_operation,
    encode_operations,
)
from cornelnotch.configuration import ClaimSettings
from cornelnotch.exceptions import LogTrimmedError, LogUnavailableError
from cornelnotch.kernel import Clock, Event, EventLog, TaskSupervisor
from cornelnotch.logservice import LogService
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import ClaimRequest, ClaimResponse

__all__ = ["ClaimWriter"]

DEFAULT_INTERVAL_MS = 20.0
MS_PER_SECOND = 1000.0
MAX_BATCH = 256
SETTLE_PAUSE_MS = 100.0
EVICT_MARGIN_MS = 60_000.0
REFRESH_TIMEOUT_MS = 2000.0


@dataclass(slots=True)
class PendingOperation:
    """Operation that awaits its result."""

    ask: ClaimRequest
    operation: ClaimOperation
    expires_ms: float
    appended: bool = False


class ClaimStreamWriter:
    """Writer of one claim stream, which appends one batch at a time."""

    def __init__(
        self,
        stream: int,
        log: LogService,
        clock: Clock,
        events: EventLog,
        peers: PeerNetwork,
        retention_ms: float,
    ) -> None:
        self.ledger = ClaimLedger()
        self.queue: asyncio.Queue[PendingOperation] = asyncio.Queue()
        self.appends = 0
        self.interval_ms = DEFAULT_INTERVAL_MS
        self._name = f"claims-{stream}"
        self._log = log
        self._clock = clock
        self._events = events
        self._peers = peers
        self._retention_ms = retention_ms
        self._position = 0

    async def run(self) -> None:
        """Process batches until cancelled."""
        while True:
            batch = [await self.queue.get()]
            while len(batch) < MAX_BATCH and not self.queue.empty():
                batch.append(self.queue.get_nowait())
            started = self._clock.read()
            await self._process_batch(batch)
            spent = self._clock.read() - started
            await self._clock.sleep(self.interval_ms - spent)

    async def _process_batch(self, batch: list[PendingOperation]) -> None:
        """Process a batch until each operation has a result or has timed out."""
        waiting = batch
        while waiting:
            try:
                await self._read_to_end()
                await self._append(waiting)
                await self._read_to_end()
                for pending in waiting:
                    await self._answer(pending)
                return
            except LogUnavailableError:
                # The append may have succeeded despite the error. Reading shows
                # whether it did, and appending the same attempts again is harmless.
                waiting = self._expire_pending(waiting)
            except LogTrimmedError as error:
                self._reset(error.earliest)
            if waiting:
                await self._clock.sleep(SETTLE_PAUSE_MS)

    def _expire_pending(
        self, waiting: list[PendingOperation]
    ) -> list[PendingOperation]:
        """Fail operations that were never appended or have timed out."""
        now = self._clock.read()
        retained = [p for p in waiting if p.appended and now < p.expires_ms]
        for pending in waiting:
            if pending in retained:
                continue
            self._events.record(Event.CLAIM_UNSETTLED, stream=self._name)
            self._send(pending, "unavailable")
        return retained

    def _reset(self, earliest: int) -> None:
        self.ledger = ClaimLedger()
        self._position = earliest

    async def _append(self, waiting: list[PendingOperation]) -> None:
        needed = [p for p in waiting if self._changes_ledger(p.operation)]
        if not needed:
            return
        self.appends += 1
        for pending in needed:
            pending.appended = True
        operations = [pending.operation for pending in needed]
        await self._log.append(self._name, encode_operations(operations))

    def _changes_ledger(self, operation: ClaimOperation) -> bool:
        """Return whether an operation must be appended, since it changes the ledger."""
        if operation.kind is OperationKind.LOOKUP:
            return False
        if operation.attempt in self.ledger.released:
            return False
        known = self.ledger.find_claim(operation.key)
        if operation.kind is OperationKind.CLAIM:
            return known is None
        if operation.kind is OperationKind.OUTCOME:
            owned = known is not None and known.attempt == operation.attempt
            return owned and known is not None and known.outcome is None
        return True

    async def _read_to_end(self) -> None:
        while True:
            page = await self._log.read(self._name, self._position)
            for record in page.records:
                decoded = decode_operations(record.body)
                if isinstance(decoded, Success):
                    for index, operation in enumerate(decoded.unwrap()):
                        self.ledger.apply(
                            operation, record.offset, index, record.time_ms
                        )
                self._position = record.offset + 1
            if self._position >= page.end:
                break
        margin = self._retention_ms + EVICT_MARGIN_MS
        self.ledger.evict(self._clock.read_wall() - margin)

    async def _answer(self, pending: PendingOperation) -> None:
        operation = pending.operation
        claim = self.ledger.find_claim(operation.key)
        if operation.kind in {OperationKind.RELEASE, OperationKind.OUTCOME}:
            self._send(pending, "kept")
        elif claim is None:
            # The operation is a lookup, or a claim whose attempt was released.
            self._send(pending, "free")
        elif claim.attempt == operation.attempt:
            self._send(pending, "won")
        elif operation.fingerprint and claim.fingerprint != operation.fingerprint:
            self._send(pending, "mismatch", claim.attempt)
        elif claim.outcome is None:
            self._send(pending, "lost", claim.attempt)
        else:
            outcome = await self._read_outcome(claim.outcome)
            self._send(pending, "answered", claim.attempt, outcome)

    async def _read_outcome(self, location: OutcomeLocation) -> bytes:
        page = await self._log.read(self._name, location.offset)
        operations = decode_operations(page.records[0].body).unwrap()
        return encode_operation(operations[location.index])

    def _send(
        self,
        pending: PendingOperation,
        state: str,
        attempt: str = "",
        outcome: bytes = b"",
    ) -> None:
        answer = ClaimResponse(pending.ask.ask_id, state, attempt, outcome)
        self._peers.send(pending.ask.host, answer)


class ClaimWriter:
    """Route claim operations to the writers of their streams."""

    def __init__(
        self,
        log: LogService,
        clock: Clock,
        events: EventLog,
        peers: PeerNetwork,
        tasks: TaskSupervisor,
        retention_ms: float,
    ) -> None:
        self.streams: dict[int, ClaimStreamWriter] = {}
        self.interval_ms = DEFAULT_INTERVAL_MS
        self._log = log
        self._clock = clock
        self._events = events
        self._peers = peers
        self._tasks = tasks
        self._retention_ms = retention_ms
        peers.subscribe(ClaimRequest, self._receive)

    def catch_up(self, streams: list[int]) -> None:
        """Read streams to their end, so that this host can take over without delay."""
        expires_ms = self._clock.read() + REFRESH_TIMEOUT_MS
        operation = ClaimOperation(OperationKind.LOOKUP, "", "")
        for stream in streams:
            ask = ClaimRequest("", self._peers.name, stream, b"", REFRESH_TIMEOUT_MS)
            pending = PendingOperation(ask, operation, expires_ms)
            self._get_stream_writer(stream).queue.put_nowait(pending)

    def apply_settings(self, claims: ClaimSettings) -> None:
        """Divide the log's append rate evenly among the streams."""
        self.interval_ms = claims.streams * MS_PER_SECOND / claims.appends_per_second

    def count_appends(self) -> int:
        """Return the number of appends since startup."""
        return sum(stream.appends for stream in self.streams.values())

    def _receive(self, sender: str, ask: ClaimRequest) -> None:
        decoded = decode_operation(ask.operation)
        if isinstance(decoded, Failure):
            self._events.record(Event.PEER_MESSAGE_REFUSED, error=decoded.failure())
            return
        expires_ms = self._clock.read() + ask.timeout_ms
        writer = self._get_stream_writer(ask.stream)
        writer.interval_ms = self.interval_ms
        writer.queue.put_nowait(PendingOperation(ask, decoded.unwrap(), expires_ms))

    def _get_stream_writer(self, stream: int) -> ClaimStreamWriter:
        writer = self.streams.get(stream)
        if writer is None:
            writer = ClaimStreamWriter(
                stream,
                self._log,
                self._clock,
                self._events,
                self._peers,
                self._retention_ms,
            )
            self.streams[stream] = writer
            self._tasks.start_supervised(f"claims-{stream}", writer.run)
        return writer
