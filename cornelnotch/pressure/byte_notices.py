"""Share the bytes that hosts have at servers, while that matters.

Each host reports its counts to the collector of load reports, which publishes totals.
Nothing is sent, and no timer runs, while all counts are small and none was fatal.
"""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from cornelnotch.gateway.broadcast import Broadcaster
from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.relay import RelayPlan
from cornelnotch.pressure.held_bytes import SHARED_BYTES, measure_own_bytes
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    ServerBytes,
    ServerBytesReport,
    ServerBytesSummary,
)

__all__ = ["ByteNotices"]

REPORT_INTERVAL_MS = 250.0
# Older reports come from hosts that have stopped or have nothing at any server.
REPORT_TTL_MS = 1000.0
MS_PER_SECOND = 1000.0
MAX_BYTES = 10**15
# Stands for all hosts in the size of a crash that the collector told.
TOTAL = ""


class ByteNotices:
    """Exchange of the bytes that hosts have at servers."""

    def __init__(
        self,
        context: GatewayContext,
        peers: PeerNetwork,
        plan: RelayPlan,
        broadcaster: Broadcaster,
        list_hosts: Callable[[], list[str]],
    ) -> None:
        self._context = context
        self._peers = peers
        self._plan = plan
        self._broadcaster = broadcaster
        self._list_hosts = list_hosts
        self._reports: dict[str, tuple[float, ServerBytesReport]] = {}
        self._reported: dict[str, int] = {}
        self._timer: asyncio.TimerHandle | None = None
        peers.subscribe(ServerBytesReport, self._receive_report)
        peers.subscribe(ServerBytesSummary, self._receive_summary)

    def wake(self) -> None:
        """Share counts from now on, if there is a reason to."""
        now = self._context.clock.read()
        if self._timer is None and self._context.held_bytes.is_active(now):
            loop = asyncio.get_running_loop()
            delay_s = REPORT_INTERVAL_MS / MS_PER_SECOND
            self._timer = loop.call_later(delay_s, self._share)

    def _share(self) -> None:
        """Report own counts, and publish totals as the collector."""
        self._timer = None
        now = self._context.clock.read()
        counts = [
            ServerBytes(view.record.name, view.record.boot_ms, measure_own_bytes(view))
            for view in self._context.pool.servers.values()
            if view.in_flight
        ]
        counts = [count for count in counts if count.size]
        self._reported = {count.server: count.size for count in counts}
        crashes = self._context.held_bytes.list_own_crashes(now)
        report = ServerBytesReport(self._plan.name, counts, crashes)
        collector = (self._plan.list_readers(now) or [self._plan.name])[0]
        if collector == self._plan.name:
            self._reports[self._plan.name] = now, report
            self._publish(now)
        else:
            self._peers.send(collector, report)
        self.wake()

    def _publish(self, now: float) -> None:
        totals: dict[str, ServerBytes] = {}
        for host, (at_ms, report) in list(self._reports.items()):
            if now - at_ms > REPORT_TTL_MS:
                del self._reports[host]
                continue
            for count in report.counts:
                known = totals.get(count.server)
                size = count.size + (known.size if known else 0)
                totals[count.server] = replace(count, size=size)
        held_bytes = self._context.held_bytes
        summary = ServerBytesSummary(
            list(totals.values()),
            held_bytes.learn_bounds(now),
            held_bytes.list_explained(now),
            [],
        )
        self._apply(summary)
        self._forward(summary, self._list_hosts())

    def _forward(self, summary: ServerBytesSummary, names: list[str]) -> None:
        self._broadcaster.broadcast(
            names, lambda targets: replace(summary, targets=targets)
        )

    def _receive_report(self, sender: str, report: ServerBytesReport) -> None:
        now = self._context.clock.read()
        counts = [c for c in report.counts if 0 <= c.size <= MAX_BYTES]
        self._reports[sender] = now, replace(report, counts=counts)
        for crash in report.crashes:
            self._note_crash(crash, sender)
        if any(count.size >= SHARED_BYTES for count in counts):
            self._context.held_bytes.activate(now)
        self.wake()

    def _note_crash(self, crash: ServerBytes, host: str) -> None:
        view = self._context.pool.servers.get(crash.server)
        if view is not None and 0 < crash.size <= MAX_BYTES:
            service = view.record.service
            self._context.note_memory_crash(
                crash.server, crash.boot_ms, service, host, crash.size
            )

    def _receive_summary(self, sender: str, summary: ServerBytesSummary) -> None:
        self._forward(summary, summary.targets)
        for crash in summary.crashes:
            self._note_crash(crash, TOTAL)
        self._apply(summary)
        self.wake()

    def _apply(self, summary: ServerBytesSummary) -> None:
        held_bytes = self._context.held_bytes
        now = self._context.clock.read()
        totals = [t for t in summary.totals if 0 <= t.size <= MAX_BYTES]
        if any(total.size >= SHARED_BYTES for total in totals):
            held_bytes.activate(now)
        held_bytes.set_others(totals, self._reported, now)
        held_bytes.set_bounds(summary.bounds, now)
