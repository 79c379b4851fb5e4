"""Report the load of this host and receive the totals of all hosts."""

from collections.abc import Callable
from dataclasses import replace

from cornelnotch.gateway.loads import LoadBoard
from cornelnotch.gateway.paces import PaceNews
from cornelnotch.gateway.parts import GatewayParts
from cornelnotch.gateway.relay import RelayPlan
from cornelnotch.gateway.spreading import Spreader
from cornelnotch.kernel.events import Event
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import EnginePace, LoadReport, LoadSummary, ServerUse

__all__ = ["LoadSharing"]

# Half of the prefill time of a long prompt.
PERIOD_MS = 250.0


class LoadSharing:
    """Exchange load reports; the first store reader acts as the collector."""

    def __init__(
        self,
        parts: GatewayParts,
        peers: PeerNetwork,
        plan: RelayPlan,
        spreader: Spreader,
        list_hosts: Callable[[], list[str]],
        list_paces: Callable[[], list[EnginePace]],
    ) -> None:
        self._parts = parts
        self._peers = peers
        self._plan = plan
        self._spreader = spreader
        self._list_hosts = list_hosts
        self._board = LoadBoard()
        self._reported: list[ServerUse] = []
        self._list_paces = list_paces
        self._own_paces = PaceNews()
        self._summary_paces = PaceNews()
        peers.subscribe(LoadReport, self._receive_report)
        peers.subscribe(LoadSummary, self._receive_summary)

    async def run(self) -> None:
        """Report loads, and publish totals as collector, until cancelled."""
        reported_idle = False
        while True:
            await self._parts.clock.sleep(PERIOD_MS)
            now = self._parts.clock.read()
            uses = [
                view.measure_use(now)
                for view in self._parts.pool.servers.values()
                if view.flights
            ]
            collectors = self._plan.list_readers(now)[:1]
            if uses or not reported_idle:
                self._reported = uses
                paces = self._own_paces.select(self._list_paces(), now)
                for pace in paces:
                    self._log_pace(pace)
                for name in collectors:
                    self._peers.send(name, LoadReport(self._plan.name, uses, paces))
            reported_idle = not uses
            if self._plan.name in collectors:
                self._publish(now)

    def _log_pace(self, pace: EnginePace) -> None:
        self._parts.events.record(
            Event.ENGINE_PACE_TOLD,
            server=pace.server,
            read_rate=round(pace.read_rate, 2),
            chunk_rate=round(pace.chunk_rate, 2),
            event_ms=round(pace.event_ms, 1),
            ease=round(pace.ease, 2),
        )

    def _publish(self, now: float) -> None:
        paces = self._summary_paces.select(self._board.take_paces(), now)
        summary = LoadSummary(self._plan.name, self._board.sum_up(now), paces, [])
        self._apply(summary)
        self._forward(summary, self._list_hosts())

    def _forward(self, summary: LoadSummary, names: list[str]) -> None:
        self._spreader.spread(names, lambda rest: replace(summary, targets=rest))

    def _receive_report(self, sender: str, report: LoadReport) -> None:
        self._board.take(report, self._parts.clock.read())

    def _receive_summary(self, sender: str, summary: LoadSummary) -> None:
        self._forward(summary, summary.targets)
        self._apply(summary)

    def _apply(self, summary: LoadSummary) -> None:
        now = self._parts.clock.read()
        self._parts.placer.sums.take(summary, self._reported, now)
        servers = self._parts.pool.servers
        services = {name: view.record.service for name, view in servers.items()}
        self._parts.paces.take(summary.paces, services)
