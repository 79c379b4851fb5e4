"""Hold the claim to the duties as one of the candidates."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from contextlib import suppress

from cornelnotch.duties.api import DutyHolder
from cornelnotch.duties.claims import (
    MAX_TOKEN,
    ClaimTracker,
    ObservedLog,
    StoredClaim,
    is_valid_token,
)
from cornelnotch.duties.fleet import DutyFleet
from cornelnotch.duties.models import CallOutcome, Claim
from cornelnotch.duties.store import AppendResult, DutyStore, StoredDuties
from cornelnotch.duties.true_time import TrueTime
from cornelnotch.duties.windows import WindowTiming, WrittenWindow
from cornelnotch.exceptions import LogUnavailableError
from cornelnotch.kernel.clock import Clock
from cornelnotch.kernel.events import Event, EventLog
from cornelnotch.wire.messages import DutyHeartbeat, UsageReceipt

__all__ = ["DutyKeeper"]

HOLDER_TICK_MS = 200.0
CANDIDATE_TICK_MS = 250.0
IDLE_TICK_MS = 1000.0
HEARTBEAT_MS = 1000.0
# By then a host that starts knows most others, so that few hosts read the store.
FIRST_READ_MS = 500.0
STORE_RETRY_MS = 700.0
# Other hosts probe each host about once a second, and a collector gets their totals.
ISOLATION_MS = 1800.0
# Candidates that all fail to reach the API hand the claim on less often this way.
MAX_HOLD_OFF_LEASES = 2.0
# The API measures the rate of calls by its own clock.
CALL_SPACING = 1.05
LEAST_CALLS_PER_S = 1e-3
RECIPIENT_CANDIDATES = 2


class DutyKeeper(DutyHolder):
    """The claim of this host and what it knows of the claims of others."""

    def __init__(
        self,
        name: str,
        boot_ms: int,
        clock: Clock,
        events: EventLog,
        store: DutyStore,
        fleet: DutyFleet,
        true_time: TrueTime,
        timing: WindowTiming,
        lease_ms: float,
        calls_per_s: float,
    ) -> None:
        self._name = name
        self._boot_ms = boot_ms
        self._clock = clock
        self._events = events
        self._store = store
        self._fleet = fleet
        self._true_time = true_time
        self._timing = timing
        self._lease_ms = lease_ms
        self._call_interval_ms = (
            1000.0 / max(calls_per_s, LEAST_CALLS_PER_S) * CALL_SPACING
        )
        self._started_ms = clock.read()
        self.tracker = ClaimTracker(name, boot_ms, lease_ms, self._started_ms)
        self._generator = random.Random(f"{name}/{boot_ms}/claims")
        self._store_lock = asyncio.Lock()
        self._wake = asyncio.Event()
        self._must_read = True
        self._must_renew = False
        self._next_try_ms = float("-inf")
        self._hold_off_until_ms = float("-inf")
        self._store_failed_ms: float | None = None
        self._api_failed_ms: float | None = None
        self._next_call_ms = float("-inf")
        self._resumed_ms = float("-inf")
        self._told_holder = ""
        self._told_token = -1
        self._timeline_seen: dict[int, float] = {}

    def find_claim(self) -> Claim | None:
        """Return this host's claim if it may be used now, else None.

        A claim whose lease has ended is renewed soon afterwards.
        """
        if self._fleet.is_leaving():
            return None
        claim = self.tracker.find_current(self._clock.read())
        if claim is None and self.tracker.own is not None:
            self._must_renew = True
        return claim

    def note_conflict(self, claim: Claim) -> None:
        """Stop the use of a claim whose fencing token the API has refused."""
        self.tracker.note_conflict(claim.token)
        self._events.record(Event.DUTY_TOKEN_REFUSED, token=claim.token)

    def note_call(self, outcome: CallOutcome, sent_ms: float) -> None:
        """Apply whether the API answered a call."""
        if outcome is not CallOutcome.UNANSWERED:
            self._api_failed_ms = None
            if outcome is CallOutcome.ACCEPTED:
                self.tracker.note_accepted()
        elif self._api_failed_ms is None:
            self._api_failed_ms = sent_ms

    def list_recipients(self) -> list[str]:
        """Return the hosts that collect totals: the holder and its next successors."""
        names = self._fleet.list_candidates()[:RECIPIENT_CANDIDATES]
        holder = self.find_holder_name()
        if holder and holder not in names and not self._fleet.is_lost(holder):
            names = [holder, *names]
        return names

    def may_call(self) -> bool:
        """Return whether another call to the API fits its rate limit, and count it."""
        now = self._clock.read()
        if now < self._next_call_ms:
            return False
        self._next_call_ms = now + self._call_interval_ms
        return True

    def find_holder_name(self) -> str:
        """Return the name of the holder as far as this host knows, or ""."""
        known = self.tracker.find_holder()
        if known is not None and known.token >= self._told_token:
            return known.host
        return self._told_holder

    def find_holder_token(self) -> int:
        """Return the highest token that this host knows a holder of."""
        known = self.tracker.find_holder()
        return max(known.token if known else -1, self._told_token)

    def note_receipt(self, receipt: UsageReceipt) -> bool:
        """Apply who holds the duties; return whether the news is not outdated."""
        is_valid = 0 <= receipt.token <= MAX_TOKEN
        if not is_valid or receipt.token < self.find_holder_token():
            return False
        self._told_token, self._told_holder = receipt.token, receipt.holder
        return True

    def receive_heartbeat(self, sender: str, message: DutyHeartbeat) -> None:
        """Apply a heartbeat of the holder."""
        if sender == self._name or message.holder != sender:
            return
        if not is_valid_token(message.token, message.timeline):
            return
        claim = StoredClaim(
            message.holder,
            message.boot_ms,
            message.token,
            message.timeline,
            message.skip_through,
        )
        log = ObservedLog(claim, message.timeline, message.end_offset)
        held = self.tracker.own
        self.tracker.hear(log, message.gives_up, self._clock.read())
        self._note_timeline(message.timeline)
        if held is not None and self.tracker.own is None:
            self._record_loss(held, "another host claimed")
        if message.gives_up:
            self._wake.set()

    def _note_timeline(self, timeline: int) -> None:
        """Remember when this host first saw a timeline."""
        if timeline >= 0 and timeline not in self._timeline_seen:
            now = self._clock.read()
            self._timeline_seen[timeline] = self._true_time.read(now)

    async def run(self) -> None:
        """Claim the duties, keep the claim and release it, until cancelled."""
        last_tick_ms = self._clock.read()
        while True:
            now = self._clock.read()
            if now - last_tick_ms > self._lease_ms:
                # The host was suspended, and another one may have claimed.
                self._must_renew = self._must_read = True
            if now - last_tick_ms > ISOLATION_MS / 2.0:
                # What others sent in the meantime is yet to be read.
                self._resumed_ms = now
            last_tick_ms = now
            self._check_timeline()
            await self._step(now)
            self._wake.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(self._choose_tick_ms() / 1000.0):
                    await self._wake.wait()

    async def run_heartbeats(self) -> None:
        """Send heartbeats while this host holds the duties, until cancelled."""
        while True:
            await self._clock.sleep(HEARTBEAT_MS)
            if self.tracker.own is not None:
                self._send_heartbeat(self.tracker.own, gives_up=False)

    def _choose_tick_ms(self) -> float:
        if self.tracker.own is not None:
            return HOLDER_TICK_MS
        if self._name in self._fleet.list_candidates():
            return CANDIDATE_TICK_MS
        return IDLE_TICK_MS

    async def _step(self, now: float) -> None:
        if self.tracker.own is None:
            await self._try_claim(now)
        elif self._fleet.is_leaving():
            await self.release("stop")
        elif self._has_failed(self._store_failed_ms, now):
            await self.release("store")
        elif self._has_become_isolated(now):
            await self.release("isolated")
        elif self._has_failed(self._api_failed_ms, now):
            self._events.record(Event.DUTY_API_FAILING)
            self._hold_off_until_ms = now + MAX_HOLD_OFF_LEASES * self._lease_ms
            await self.release("api")
        elif now >= self._next_try_ms:
            await self._maintain(now)

    def _has_failed(self, since_ms: float | None, now: float) -> bool:
        return since_ms is not None and now - since_ms >= self._lease_ms

    async def _maintain(self, now: float) -> None:
        if self.tracker.is_refused():
            await self._claim()
            return
        if self._must_read:
            await self.read()
        if self._must_renew and self.tracker.own is not None:
            await self._renew(self.tracker.own)

    async def _renew(self, own: StoredClaim) -> None:
        if await self._write(
            own, lambda at: self._store.append_claim(own, at), own.timeline
        ):
            self._must_renew = False

    async def _try_claim(self, now: float) -> None:
        if self._fleet.is_leaving() or now < self._next_try_ms:
            return
        candidates = self._fleet.list_candidates()
        if self._name not in candidates or now < self._started_ms + FIRST_READ_MS:
            return
        if self._must_read:
            await self.read()
            return
        if now < self._hold_off_until_ms:
            return
        holder = self.tracker.find_holder()
        is_lost = holder is not None and self._fleet.is_lost(holder.host)
        # A live holder writes a window in this time.
        isolated_ms = 2.0 * self._timing.window_ms if self._is_isolated(now) else 0.0
        rank = self._find_rank(candidates)
        if self.tracker.may_claim(rank, is_lost, now, isolated_ms):
            await self._claim()

    def _is_isolated(self, now: float) -> bool:
        """Return whether this host has heard others, but does not any more."""
        heard_ms = self._fleet.find_heard_ms()
        if heard_ms == float("-inf"):
            return False
        return now - max(heard_ms, self._resumed_ms) > ISOLATION_MS

    def _has_become_isolated(self, now: float) -> bool:
        """Return whether this holder lacks the totals of other hosts.

        If it claims again before any other host, there is none that could.
        """
        heard_ms = self._fleet.find_heard_ms()
        return self._is_isolated(now) and heard_ms >= self.tracker.claimed_ms

    def _find_rank(self, candidates: list[str]) -> int:
        """Return the rank of this host among those that may succeed the holder."""
        log = self.tracker.observed
        last = log.claim.host if log is not None and log.claim is not None else ""
        others = [name for name in candidates if name == self._name or name != last]
        return others.index(self._name)

    def _check_timeline(self) -> None:
        """Give up a claim of a timeline that the host knows has ended."""
        timeline = self._fleet.find_timeline()
        self._note_timeline(timeline)
        log = self.tracker.observed
        if log is not None and timeline > log.timeline:
            self._lose("the store was restored")
            self._must_read = True

    async def _claim(self) -> None:
        log = self.tracker.observed
        if log is None:
            return
        claim = self.tracker.create_claim(
            self._find_skip_through(log), self._generator.random()
        )

        async def append(at: int) -> AppendResult:
            return await self._store.append_claim(claim, at)

        if await self._write(claim, append, log.timeline):
            self._must_renew = False
            self._next_call_ms = self._clock.read() + self._call_interval_ms
            self._api_failed_ms = None
            self._events.record(
                Event.DUTY_CLAIMED, token=claim.token, timeline=claim.timeline
            )
            self._send_heartbeat(claim, gives_up=False)

    def _find_skip_through(self, log: ObservedLog) -> int:
        """Return the last window that may have been reported in an earlier timeline."""
        if log.end_offset == 0 and len(self._timeline_seen) == 1:
            return self._timing.find_last_ended(self._true_time.read(self._started_ms))
        return self._timing.find_last_ended(self._timeline_seen[log.timeline])

    async def append_window(self, window: WrittenWindow) -> bool:
        """Write the content of a report; return whether the store has it for sure."""
        own = self.tracker.own
        if own is None or self._fleet.is_leaving():
            return False
        if self._must_read or self._clock.read() < self._next_try_ms:
            return False
        is_written = await self._write(
            own, lambda at: self._store.append_window(window, at), own.timeline
        )
        if is_written:
            # A successor can claim without a read if it knows the end of the log.
            self._send_heartbeat(own, gives_up=False)
        return is_written

    async def _write(
        self,
        claim: StoredClaim,
        append: Callable[[int], Awaitable[AppendResult]],
        timeline: int,
    ) -> bool:
        """Append at the known end of the log; return whether that succeeded."""
        async with self._store_lock:
            log = self.tracker.observed
            own = self.tracker.own
            if log is None or (own is not None and own.token > claim.token):
                return False
            sent_ms = self._clock.read()
            try:
                result = await append(log.end_offset)
            except LogUnavailableError as error:
                self._note_store_failure(error, sent_ms)
                return False
            now = self._clock.read()
            self._store_failed_ms = None
            self._note_timeline(result.timeline)
            if result.timeline != timeline:
                self._lose("the store was restored")
                self._must_read = True
                return False
            if not result.is_written or self.tracker.observed is not log:
                self._must_read = True
                return False
            if self.tracker.own is not own:
                # The claim was given up while the write was on its way.
                written = ObservedLog(claim, timeline, result.end_offset)
                self.tracker.observe(written, now)
                return False
            if own is claim:
                self.tracker.note_written(result.end_offset, sent_ms, now)
            else:
                self.tracker.note_claimed(claim, result.end_offset, sent_ms, now)
            return True

    async def read(self) -> StoredDuties | None:
        """Read the store; return None if it does not respond."""
        async with self._store_lock:
            sent_ms = self._clock.read()
            try:
                found = await self._store.read()
            except LogUnavailableError as error:
                self._note_store_failure(error, sent_ms)
                return None
            self._store_failed_ms = None
            self._must_read = False
            self._note_timeline(found.log.timeline)
            held = self.tracker.own
            self.tracker.observe(found.log, self._clock.read())
            if held is not None and self.tracker.own is None:
                self._record_loss(held, "another host claimed")
            if found.malformed:
                self._events.record(
                    Event.DUTY_RECORD_MALFORMED, records=found.malformed
                )
            return found

    def _note_store_failure(self, error: LogUnavailableError, sent_ms: float) -> None:
        self._must_read = True
        self._next_try_ms = self._clock.read() + STORE_RETRY_MS
        if self._store_failed_ms is None:
            self._store_failed_ms = sent_ms
            self._events.record(Event.DUTY_STORE_FAILING, problem=error.problem)

    def _lose(self, reason: str) -> None:
        held = self.tracker.own
        if held is not None:
            self.tracker.drop(self._clock.read())
            self._record_loss(held, reason)

    def _record_loss(self, held: StoredClaim, reason: str) -> None:
        self._events.record(Event.DUTY_LOST, token=held.token, reason=reason)

    def _give_up(self, reason: str) -> StoredClaim | None:
        """Stop the use of the claim and return it."""
        own = self.tracker.own
        if own is not None:
            self.tracker.give_up(self._clock.read())
            self._events.record(Event.DUTY_RELEASED, token=own.token, reason=reason)
        return own

    async def release(self, reason: str) -> None:
        """Give up the claim, write so to the store, and tell the other candidates."""
        own = self._give_up(reason)
        if own is None:
            return
        if self._store_failed_ms is None:
            await self._append_release(own)
        self._send_heartbeat(own, gives_up=True)

    async def _append_release(self, own: StoredClaim) -> None:
        record = StoredClaim("", own.boot_ms, own.token, own.timeline, own.skip_through)
        async with self._store_lock:
            log = self.tracker.observed
            if log is None:
                return
            with suppress(LogUnavailableError):
                result = await self._store.append_claim(record, log.end_offset)
                if result.is_written and result.timeline == own.timeline:
                    end = ObservedLog(record, own.timeline, result.end_offset)
                    self.tracker.observe(end, self._clock.read())

    def _send_heartbeat(self, claim: StoredClaim, gives_up: bool) -> None:
        log = self.tracker.observed
        if log is None:
            return
        message = DutyHeartbeat(
            claim.host,
            claim.boot_ms,
            claim.token,
            claim.timeline,
            claim.skip_through,
            log.end_offset,
            gives_up,
        )
        for name in self._fleet.list_candidates():
            if name != self._name:
                self._fleet.send(name, message)
