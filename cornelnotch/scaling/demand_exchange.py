"""Send what callers of this host request to the hosts that collect it."""

from collections.abc import Callable

from cornelnotch.gateway.context import GatewayContext
from cornelnotch.kernel.events import Event
from cornelnotch.scaling.counter import DemandCounter
from cornelnotch.scaling.history import DemandHistory
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import DemandTotals

__all__ = ["DemandExchange"]

REPORT_INTERVAL_MS = 1000.0


class DemandExchange:
    """Exchange totals of requests; `history` collects those that arrive here."""

    def __init__(
        self,
        context: GatewayContext,
        peers: PeerNetwork,
        boot_ms: int,
        counter: DemandCounter,
        history: DemandHistory,
        list_recipients: Callable[[], list[str]],
    ) -> None:
        self._context = context
        self._peers = peers
        self._boot_ms = boot_ms
        self._counter = counter
        self._history = history
        self._list_recipients = list_recipients
        self._malformed: set[str] = set()
        peers.subscribe(DemandTotals, self._receive)

    async def run(self) -> None:
        """Report totals until cancelled, unchanged ones too, so that none lacks."""
        while True:
            await self._context.clock.sleep(REPORT_INTERVAL_MS)
            self.report()

    def report(self) -> None:
        """Send the totals of this host once."""
        host = self._context.settings.host
        recipients = self._list_recipients()
        if not recipients:
            return
        totals = self._counter.take_totals(host.name, self._boot_ms, host.domain)
        for name in recipients:
            if name == host.name:
                self._receive(name, totals)
            else:
                self._peers.send(name, totals)

    def _receive(self, sender: str, totals: DemandTotals) -> None:
        is_own = sender == totals.host
        if is_own and self._history.add(totals, self._context.clock.read()):
            self._malformed.discard(sender)
        elif sender not in self._malformed:
            self._malformed.add(sender)
            self._context.events.record(
                Event.DEMAND_MALFORMED,
                host=sender,
                remedy="run the same release on all hosts",
            )
