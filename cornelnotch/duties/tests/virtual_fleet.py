"""Hosts with duties, a store and an API in virtual time, without sockets."""

import asyncio
import itertools
import random
from collections import Counter

from cornelnotch.duties.api import UsageApi
from cornelnotch.duties.claims import ObservedLog
from cornelnotch.duties.fleet import MAX_CANDIDATES, DutyFleet
from cornelnotch.duties.keeper import DutyKeeper
from cornelnotch.duties.meter import UsageMeter
from cornelnotch.duties.models import CallOutcome
from cornelnotch.duties.reporter import UsageReporter
from cornelnotch.duties.store import AppendResult, DutyStore, StoredDuties
from cornelnotch.duties.true_time import TrueTime
from cornelnotch.duties.windows import WindowTiming
from cornelnotch.kernel import create_event_log, rank_owners
from cornelnotch.kernel.clock import Clock
from cornelnotch.wire.messages import DutyHeartbeat, UsageReceipt, UsageTotals

__all__ = ["VirtualFleet"]

TIMING = WindowTiming(5000.0, 10_000.0)
START_MS = 1_000_000_000_000.0
STORE_LATENCY_S = 0.004
LINK_LATENCY_S = 0.015
DETECTION_MS = 2000.0
LEASE_MS = 3000.0


def read_true_ms():
    return START_MS + asyncio.get_running_loop().time() * 1000.0


class SkewedClock(Clock):
    """Clock of one host, whose wall clock may be wrong."""

    def __init__(self, generator):
        self._offset_ms = generator.uniform(0.0, 1e9)
        self.skew_ms = generator.uniform(-20.0, 20.0)

    def read(self):
        return asyncio.get_running_loop().time() * 1000.0 + self._offset_ms

    def read_wall(self):
        return read_true_ms() + self.skew_ms


class VirtualStore(DutyStore):
    def __init__(self):
        self.records = []
        self.timeline = 1
        self.calls = 0

    async def _append(self, record, at):
        self.calls += 1
        await asyncio.sleep(STORE_LATENCY_S)
        is_written = at == len(self.records)
        if is_written:
            self.records.append(record)
        return AppendResult(is_written, len(self.records), self.timeline)

    async def append_claim(self, claim, at):
        return await self._append(claim, at)

    async def append_window(self, window, at):
        return await self._append(window, at)

    async def read(self):
        # Nine keys come in three pages.
        self.calls += 3
        await asyncio.sleep(STORE_LATENCY_S)
        claim, windows = None, {}
        for record in self.records:
            if hasattr(record, "token"):
                claim = record
            else:
                windows[record.usage.window % 8] = record
        log = ObservedLog(claim, self.timeline, len(self.records))
        return StoredDuties(log, list(windows.values()), 0)


class VirtualApi(UsageApi):
    def __init__(self):
        self.windows = {}
        self.late = 0
        self.calls = []

    async def report_usage(self, claim, usage, is_current):
        await asyncio.sleep(LINK_LATENCY_S)
        if not is_current():
            return CallOutcome.UNANSWERED
        self.calls.append((read_true_ms(), claim))
        if usage.window not in self.windows:
            self.late += TIMING.is_late(usage.window, read_true_ms())
        assert self.windows.setdefault(usage.window, usage.counts) == usage.counts
        return CallOutcome.ACCEPTED


class VirtualHost(DutyFleet):
    def __init__(self, fleet, number):
        self.name = f"host-{number}"
        self.fleet = fleet
        self.clock = SkewedClock(random.Random(self.name))
        boot_ms = int(self.clock.read_wall())
        events = create_event_log(self.name)
        true_time = TrueTime(self.clock.read_wall(), self.clock.read())
        self.keeper = DutyKeeper(
            self.name,
            boot_ms,
            self.clock,
            events,
            fleet.store,
            self,
            true_time,
            TIMING,
            LEASE_MS,
            2.0,
        )
        self.meter = UsageMeter(
            self.name, boot_ms, self.clock, self, self.keeper, true_time, TIMING
        )
        self.reporter = UsageReporter(
            self.name,
            self.clock,
            events,
            self,
            self.keeper,
            fleet.api,
            true_time,
            TIMING,
        )
        self.killed_ms = None
        self.tasks = [
            asyncio.create_task(work)
            for work in (
                self.keeper.run(),
                self.keeper.run_heartbeats(),
                self.meter.run(),
                self.reporter.run_collection(),
                self.reporter.run_writes(),
                self.reporter.run_reports(),
            )
        ]

    def list_candidates(self):
        return self.fleet.list_candidates()

    def list_live(self):
        return [host.name for host in self.fleet.list_known()]

    def list_lost(self):
        return {host.name for host in self.fleet.hosts.values()} - set(self.list_live())

    def is_lost(self, host):
        return host not in self.list_live()

    def find_heard_ms(self):
        # Other hosts probe each host all the time; these messages are not simulated.
        return self.clock.read()

    def find_timeline(self):
        return self.fleet.store.timeline

    def is_leaving(self):
        return False

    def send(self, host, message):
        self.fleet.send(self.name, host, message)

    def receive(self, sender, message):
        if self.killed_ms is not None:
            return
        if isinstance(message, DutyHeartbeat):
            self.keeper.receive_heartbeat(sender, message)
        elif isinstance(message, UsageTotals):
            self.reporter.receive_totals(sender, message)
        elif isinstance(message, UsageReceipt):
            self.meter.receive_receipt(sender, message)


class VirtualFleet:
    """Hosts that count requests of some workspaces in virtual time."""

    def __init__(self, count):
        self.store = VirtualStore()
        self.api = VirtualApi()
        self.sent: dict[int, Counter[str]] = {}
        self.messages = 0
        self._numbers = itertools.count()
        self.hosts = {}
        self._known: tuple[float, list[VirtualHost]] = (-1.0, [])
        for _ in range(count):
            self.add_host()

    def add_host(self):
        host = VirtualHost(self, next(self._numbers))
        self.hosts[host.name] = host

    def list_alive(self):
        return [host for host in self.hosts.values() if host.killed_ms is None]

    def list_known(self):
        """Return the hosts that the others believe to be alive."""
        now = read_true_ms()
        if now - self._known[0] > 100.0:
            known = [
                host
                for host in self.hosts.values()
                if host.killed_ms is None or now - host.killed_ms < DETECTION_MS
            ]
            self._known = (now, known)
            ranked = rank_owners("duties", [host.name for host in known])
            self._candidates = ranked[:MAX_CANDIDATES]
        return self._known[1]

    def list_candidates(self):
        self.list_known()
        return self._candidates

    def find_holder(self):
        for host in self.list_alive():
            if host.keeper.tracker.own is not None:
                return host
        return None

    def send(self, sender, receiver, message):
        self.messages += 1
        target = self.hosts[receiver]
        delay_s = 0.0 if sender == receiver else LINK_LATENCY_S
        asyncio.get_running_loop().call_later(delay_s, target.receive, sender, message)

    def kill(self, host):
        host.killed_ms = read_true_ms()
        for task in host.tasks:
            task.cancel()

    async def run_load(self, seconds, generator):
        """Count a request at each host each 200 ms, of one of eight workspaces."""
        for _ in range(round(seconds / 0.2)):
            for host in self.list_alive():
                workspace = f"workspace-{generator.randrange(8)}"
                host.meter.count(workspace)
                window = TIMING.find_window(read_true_ms())
                self.sent.setdefault(window, Counter())[workspace] += 1
            await asyncio.sleep(0.2)

    def find_window(self):
        return TIMING.find_window(read_true_ms())

    def assert_windows_are_right(self, first, last):
        for window in range(first, last + 1):
            counted = self.api.windows.get(window)
            assert counted is not None, f"window {window} of {first} to {last}"
            for workspace, sent in self.sent[window].items():
                share = abs(counted.get(workspace, 0) - sent) / sent
                assert share <= 0.05, (window, workspace, sent, counted)
