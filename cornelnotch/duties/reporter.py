"""Collect the totals of all hosts and report the usage of each window."""

import asyncio

from cornelnotch.duties.api import UsageApi
from cornelnotch.duties.fleet import DutyFleet
from cornelnotch.duties.keeper import DutyKeeper
from cornelnotch.duties.models import CallOutcome, Claim, UsageWindow
from cornelnotch.duties.true_time import ClockSamples, TrueTime
from cornelnotch.duties.windows import (
    ReportLedger,
    UsageCollector,
    WindowTiming,
    WrittenWindow,
)
from cornelnotch.kernel.clock import Clock
from cornelnotch.kernel.events import Event, EventLog
from cornelnotch.wire.messages import UsageReceipt, UsageTotals

__all__ = ["UsageReporter"]

COLLECT_TICK_MS = 1000.0
WRITE_TICK_MS = 100.0
IDLE_TICK_MS = 500.0
RETRY_MS = 300.0
BUSY_MS = 1000.0
# Hosts send their totals to a new collector within this time.
SETTLE_MS = 1200.0


class UsageReporter:
    """Reports of usage, written and sent while this host holds the duties."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        events: EventLog,
        fleet: DutyFleet,
        keeper: DutyKeeper,
        api: UsageApi,
        true_time: TrueTime,
        timing: WindowTiming,
    ) -> None:
        self._name = name
        self._clock = clock
        self._events = events
        self._fleet = fleet
        self._keeper = keeper
        self._api = api
        self._true_time = true_time
        self._timing = timing
        self._collector = UsageCollector(timing)
        self._samples = ClockSamples()
        self.ledger = ReportLedger(timing)
        self._loaded_token = -1
        self._told: dict[str, int] = {}
        self._has_refused: set[str] = set()
        self._written = asyncio.Event()
        self.reported = 0
        self.late = 0
        self.missing = 0

    def receive_totals(self, sender: str, totals: UsageTotals) -> None:
        """Add the totals of a host; as the holder, answer with the true time."""
        now = self._clock.read()
        self._samples.add(sender, totals.wall_ms, now)
        windows = [
            UsageWindow(
                entry.window, dict(zip(entry.workspaces, entry.counts, strict=False))
            )
            for entry in totals.windows
            if len(entry.workspaces) == len(entry.counts)
        ]
        malformed = len(totals.windows) - len(windows)
        malformed += self._collector.add(
            sender, totals.boot_ms, windows, self._true_time.read(now)
        )
        if malformed and sender not in self._has_refused:
            self._has_refused.add(sender)
            self._events.record(Event.USAGE_TOTALS_MALFORMED, host=sender)
        self._answer(sender, now)

    def _answer(self, sender: str, now: float) -> None:
        token = self._keeper.find_holder_token()
        holder = self._keeper.find_holder_name()
        if not holder or not self._true_time.is_agreed:
            return
        if holder != self._name:
            if self._told.get(sender) == token:
                return
            self._told[sender] = token
        receipt = UsageReceipt(holder, token, self._true_time.read(now))
        self._fleet.send(sender, receipt)

    async def run_collection(self) -> None:
        """Agree on the true time and forget old totals, until cancelled."""
        while True:
            await self._clock.sleep(COLLECT_TICK_MS)
            now = self._clock.read()
            self._agree(now)
            wall_ms = self._true_time.read(now)
            self._collector.expire(wall_ms)
            for window in self.ledger.expire(wall_ms):
                if self._keeper.find_claim() is not None:
                    self._record_missing(window, "the API accepted no report")

    def _agree(self, now: float) -> None:
        """Set the true time, as the holder, by the clocks of most hosts."""
        if self._keeper.tracker.own is None:
            return
        live = self._fleet.list_live()
        self._samples.keep({*live, self._name})
        self._samples.add(self._name, self._clock.read_wall(), now)
        has_most = 2 * self._samples.count() > len(live)
        wall_ms = self._samples.find_wall_ms(now)
        if wall_ms is not None and (has_most or not self._true_time.is_agreed):
            self._true_time.set_agreed(wall_ms, now)

    async def run_writes(self) -> None:
        """Write the windows that have ended, until cancelled."""
        while True:
            own = self._keeper.tracker.own
            if own is None:
                await self._clock.sleep(IDLE_TICK_MS)
                continue
            if own.token != self._loaded_token:
                await self._load()
            else:
                await self._write_next(own.timeline)
            await self._clock.sleep(WRITE_TICK_MS)

    async def _load(self) -> None:
        """Read what earlier holders have written."""
        found = await self._keeper.read()
        own = self._keeper.tracker.own
        if found is None:
            await self._clock.sleep(BUSY_MS)
            return
        if own is None or found.log.claim != own:
            return
        self._agree(self._clock.read())
        self.ledger.load(found.windows, own.skip_through, own.timeline)
        self._loaded_token = own.token
        self._written.set()

    async def _write_next(self, timeline: int) -> None:
        now = self._clock.read()
        if now < self._keeper.tracker.claimed_ms + SETTLE_MS:
            return
        window = self.ledger.find_next(self._true_time.read(now))
        if window is None:
            return
        known = self.ledger.get_content(window)
        usage = known or UsageWindow(window, self._collector.sum_window(window))
        if not await self._keeper.append_window(WrittenWindow(usage, timeline)):
            return
        for left_out in self.ledger.list_left_out(window):
            self._record_missing(left_out, "its content is not known for sure")
        if known is None:
            self._check_complete(window)
        self.ledger.note_written(usage, timeline)
        self._written.set()

    def _check_complete(self, window: int) -> None:
        hosts = self._collector.list_unheard(window, self._fleet.list_lost())
        has_begun = self._collector.is_older_than(window)
        if hosts or not has_begun:
            self._events.record(
                Event.USAGE_INCOMPLETE,
                window=window,
                hosts=hosts,
                all_hosts_started_later=not has_begun,
            )

    def _record_missing(self, window: int, reason: str) -> None:
        self.missing += 1
        self._events.record(Event.USAGE_MISSING, window=window, reason=reason)

    async def run_reports(self) -> None:
        """Send the reports of written windows, until cancelled."""
        while True:
            usage = self._find_unreported()
            if usage is None:
                self._written.clear()
                await self._written.wait()
                continue
            claim = self._keeper.find_claim()
            if claim is None or not self._keeper.may_call():
                await self._clock.sleep(WRITE_TICK_MS / 2.0)
                continue
            await self._report(claim, usage)

    def _find_unreported(self) -> UsageWindow | None:
        own = self._keeper.tracker.own
        if own is None or own.token != self._loaded_token:
            return None
        return self.ledger.find_unreported(self._true_time.read(self._clock.read()))

    async def _report(self, claim: Claim, usage: UsageWindow) -> None:
        sent_ms = self._clock.read()

        def is_current() -> bool:
            return self._keeper.find_claim() == claim

        outcome = await self._api.report_usage(claim, usage, is_current)
        if outcome is not CallOutcome.UNANSWERED or is_current():
            self._keeper.note_call(outcome, sent_ms)
        if outcome is CallOutcome.ACCEPTED:
            self._record_accepted(claim, usage)
            return
        if outcome is CallOutcome.CONFLICT:
            self._keeper.note_conflict(claim)
        elif outcome is CallOutcome.REJECTED:
            self._events.record(Event.USAGE_REJECTED, window=usage.window)
        is_slow = outcome in {CallOutcome.BUSY, CallOutcome.REJECTED}
        await self._clock.sleep(BUSY_MS if is_slow else RETRY_MS)

    def _record_accepted(self, claim: Claim, usage: UsageWindow) -> None:
        self.ledger.note_accepted(usage.window)
        wall_ms = self._true_time.read(self._clock.read())
        is_late = self._timing.is_late(usage.window, wall_ms)
        self.reported += 1
        self.late += is_late
        self._events.record(
            Event.USAGE_REPORTED,
            window=usage.window,
            workspaces=len(usage.counts),
            requests=sum(usage.counts.values()),
            token=claim.token,
            after_ms=round(wall_ms - self._timing.find_end_ms(usage.window)),
        )
