"""Tell other hosts what this one has under way, and hear the sums."""

from collections.abc import Callable

from cornelnotch.gateway.loads import LoadBoard
from cornelnotch.gateway.parts import GatewayParts
from cornelnotch.gateway.relay import RelayPlan, split_targets
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import LoadReport, LoadSummary, ServerUse

__all__ = ["LoadSharing"]

PERIOD_MS = 200.0


class LoadSharing:
    """Own the exchange of load reports; the first reader of records collects."""

    def __init__(
        self,
        parts: GatewayParts,
        peers: PeerNetwork,
        plan: RelayPlan,
        list_hosts: Callable[[], list[str]],
    ) -> None:
        self._parts = parts
        self._peers = peers
        self._plan = plan
        self._list_hosts = list_hosts
        self._board = LoadBoard()
        self._reported: list[ServerUse] = []
        peers.subscribe(LoadReport, self._receive_report)
        peers.subscribe(LoadSummary, self._receive_summary)

    async def run(self) -> None:
        """Report and sum up until cancelled."""
        quiet = False
        while True:
            await self._parts.clock.sleep(PERIOD_MS)
            now = self._parts.clock.read()
            uses = [
                view.measure_use(now)
                for view in self._parts.pool.servers.values()
                if view.flights
            ]
            collectors = self._plan.list_readers(now)[:1]
            if uses or not quiet:
                self._reported = uses
                for name in collectors:
                    self._peers.send(name, LoadReport(self._plan.name, uses))
            quiet = not uses
            if self._plan.name in collectors:
                self._publish(now)

    def _publish(self, now: float) -> None:
        summary = LoadSummary(self._plan.name, self._board.sum_up(now), [])
        self._apply(summary)
        self._pass_on(summary, [n for n in self._list_hosts() if n != self._plan.name])

    def _pass_on(self, summary: LoadSummary, names: list[str]) -> None:
        for branch in split_targets(names):
            told = LoadSummary(summary.origin, summary.uses, branch.rest)
            self._peers.send(branch.head, told)

    def _receive_report(self, sender: str, report: LoadReport) -> None:
        self._board.take(report, self._parts.clock.read())

    def _receive_summary(self, sender: str, summary: LoadSummary) -> None:
        self._pass_on(summary, summary.targets)
        self._apply(summary)

    def _apply(self, summary: LoadSummary) -> None:
        now = self._parts.clock.read()
        self._parts.placer.sums.take(summary, self._reported, now)
