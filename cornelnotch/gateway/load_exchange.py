"""Report the load of this host and receive the totals of all hosts."""

from collections.abc import Callable
from dataclasses import replace

from cornelnotch.gateway.broadcast import Broadcaster
from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.engine_rates import RateUpdateFilter
from cornelnotch.gateway.loads import LoadAggregator
from cornelnotch.gateway.relay import RelayPlan
from cornelnotch.kernel.events import Event
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    CrashEvidenceNotice,
    EngineRates,
    LoadReport,
    LoadSummary,
    RateLimitNotice,
    ServerUsage,
)

__all__ = ["LoadExchange"]

# Half of the prefill time of a long prompt.
REPORT_INTERVAL_MS = 250.0
NO_EVIDENCE = CrashEvidenceNotice()


class LoadExchange:
    """Exchange load reports; the first host that reads the store collects them."""

    def __init__(
        self,
        context: GatewayContext,
        peers: PeerNetwork,
        plan: RelayPlan,
        broadcaster: Broadcaster,
        list_hosts: Callable[[], list[str]],
        list_rates: Callable[[], list[EngineRates]],
    ) -> None:
        self._context = context
        self._peers = peers
        self._plan = plan
        self._broadcaster = broadcaster
        self._list_hosts = list_hosts
        self._aggregator = LoadAggregator()
        self._reported: list[ServerUsage] = []
        self._list_rates = list_rates
        self._own_rate_filter = RateUpdateFilter()
        self._summary_rate_filter = RateUpdateFilter()
        peers.subscribe(LoadReport, self._receive_report)
        peers.subscribe(LoadSummary, self._receive_summary)

    async def run(self) -> None:
        """Report loads, and publish totals as collector, until cancelled."""
        reported_idle = False
        while True:
            await self._context.clock.sleep(REPORT_INTERVAL_MS)
            now = self._context.clock.read()
            usages = [
                view.measure_usage(now)
                for view in self._context.pool.servers.values()
                if view.in_flight
            ]
            collectors = self._plan.list_readers(now)[:1]
            self._context.rate_limits.drop_unlisted(self._context.pool.servers, now)
            limits = self._context.rate_limits.list_corrections(now)
            evidence = self._context.crashes.create_notice(now, own_only=True)
            rejections = self._context.rejections.list_notices(now)
            has_news = limits or evidence != NO_EVIDENCE or rejections
            if usages or has_news or not reported_idle:
                self._reported = usages
                engine_rates = self._own_rate_filter.select(self._list_rates(), now)
                for rates in engine_rates:
                    self._log_rates(rates)
                for name in collectors:
                    self._peers.send(
                        name,
                        LoadReport(
                            self._plan.name,
                            usages,
                            engine_rates,
                            limits,
                            evidence,
                            rejections,
                        ),
                    )
            reported_idle = not usages
            if self._plan.name in collectors:
                self._publish(now)

    def _log_rates(self, rates: EngineRates) -> None:
        self._context.events.record(
            Event.ENGINE_PACE_TOLD,
            server=rates.server,
            read_rate=round(rates.read_rate, 2),
            chunk_rate=round(rates.chunk_rate, 2),
            event_ms=round(rates.event_ms, 1),
            ease=round(rates.ease, 2),
        )

    def _publish(self, now: float) -> None:
        engine_rates = self._summary_rate_filter.select(
            self._aggregator.pop_rates(), now
        )
        summary = LoadSummary(
            self._plan.name,
            self._aggregator.compute_totals(now),
            engine_rates,
            [],
            self._context.rate_limits.list_notices(now),
            self._context.crashes.create_notice(now),
            self._context.rejections.list_notices(now),
        )
        self._apply(summary)
        self._forward(summary, self._list_hosts())

    def _forward(self, summary: LoadSummary, names: list[str]) -> None:
        self._broadcaster.broadcast(
            names, lambda targets: replace(summary, targets=targets)
        )

    def _receive_report(self, sender: str, report: LoadReport) -> None:
        self._aggregator.add_report(report, self._context.clock.read())
        self._merge_limits(sender, report.limits)
        self._context.merge_rejections(report.rejections)
        self._context.merge_crash_evidence(report.evidence, sender)

    def _receive_summary(self, sender: str, summary: LoadSummary) -> None:
        self._forward(summary, summary.targets)
        self._apply(summary)
        self._merge_limits(sender, summary.limits)
        self._context.merge_rejections(summary.rejections)
        self._context.merge_crash_evidence(summary.evidence, sender)

    def _merge_limits(self, sender: str, notices: list[RateLimitNotice]) -> None:
        for notice in notices:
            self._context.merge_rate_limit(notice, sender)

    def _apply(self, summary: LoadSummary) -> None:
        now = self._context.clock.read()
        self._context.placer.aggregates.update(summary, self._reported, now)
        servers = self._context.pool.servers
        services = {name: view.record.service for name, view in servers.items()}
        self._context.engine_rates.update(summary.paces, services)
        self._context.rate_limits.set_summary(summary.limits)
