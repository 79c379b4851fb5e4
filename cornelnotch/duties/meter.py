"""Count the usage at one host and send its totals to the hosts that collect them."""

from cornelnotch.duties.fleet import DutyFleet
from cornelnotch.duties.keeper import DutyKeeper
from cornelnotch.duties.models import UsageWindow
from cornelnotch.duties.true_time import TrueTime, is_valid_time
from cornelnotch.duties.windows import TOTALS_INTERVAL_MS, UsageCounter, WindowTiming
from cornelnotch.kernel.clock import Clock
from cornelnotch.wire.messages import UsageReceipt, UsageTotals, WindowTotals

__all__ = ["UsageMeter"]

# A host that stops sends what it still counts sooner.
LEAVING_INTERVAL_MS = 200.0
# After this time a host places requests by its own wall clock.
AGREEMENT_TIMEOUT_MS = 12_000.0


class UsageMeter:
    """Totals of the requests that servers began to run for this host."""

    def __init__(
        self,
        name: str,
        boot_ms: int,
        clock: Clock,
        fleet: DutyFleet,
        keeper: DutyKeeper,
        true_time: TrueTime,
        timing: WindowTiming,
    ) -> None:
        self._name = name
        self._boot_ms = boot_ms
        self._clock = clock
        self._fleet = fleet
        self._keeper = keeper
        self._true_time = true_time
        self._counter = UsageCounter(timing)
        self._started_ms = clock.read()
        self._recipients: list[str] = []
        self._is_confirmed = False

    def count(self, workspace: str) -> None:
        """Count a request of a workspace that a server begins to run now."""
        now = self._clock.read()
        if self._is_placed(now):
            self._counter.count(workspace, self._true_time.read(now))
        else:
            self._counter.hold(workspace, now)

    def _is_placed(self, now: float) -> bool:
        waited_ms = now - self._started_ms
        return self._true_time.is_agreed or waited_ms >= AGREEMENT_TIMEOUT_MS

    def receive_receipt(self, sender: str, receipt: UsageReceipt) -> None:
        """Apply the true time and the name of the holder."""
        now = self._clock.read()
        if not is_valid_time(receipt.wall_ms):
            return
        if not self._keeper.note_receipt(receipt):
            return
        if sender != self._name:
            self._true_time.set_agreed(receipt.wall_ms, now)
        if sender == receipt.holder:
            self._is_confirmed = True

    async def run(self) -> None:
        """Send totals that changed, until cancelled."""
        while True:
            is_leaving = self._fleet.is_leaving()
            await self._clock.sleep(
                LEAVING_INTERVAL_MS if is_leaving else TOTALS_INTERVAL_MS
            )
            self.send_totals()

    def send_totals(self) -> None:
        """Send totals if they changed or may not have arrived."""
        now = self._clock.read()
        wall_ms = self._true_time.read(now)
        if self._counter.has_held() and self._is_placed(now):
            self._counter.place_held(wall_ms - now)
        self._counter.expire(wall_ms)
        recipients = self._keeper.list_recipients()
        must_repeat = recipients != self._recipients or not self._is_confirmed
        changed = self._counter.changed
        if not changed and not must_repeat:
            return
        windows = self._counter.list_windows(None if must_repeat else changed)
        self._recipients = recipients
        self._counter.changed = set()
        # Totals that the holder does not confirm are sent again.
        self._is_confirmed = False
        message = UsageTotals(
            self._name, self._boot_ms, self._clock.read_wall(), _convert(windows)
        )
        for name in recipients:
            self._fleet.send(name, message)


def _convert(windows: list[UsageWindow]) -> list[WindowTotals]:
    return [
        WindowTotals(entry.window, list(entry.counts), list(entry.counts.values()))
        for entry in windows
    ]
