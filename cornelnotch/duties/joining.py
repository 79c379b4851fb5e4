"""Join the duties to one host."""

from collections.abc import Callable
from typing import Any

from cornelnotch.duties.api import UsageApi
from cornelnotch.duties.fleet import MAX_CANDIDATES, DutyFleet
from cornelnotch.duties.keeper import DutyKeeper
from cornelnotch.duties.meter import UsageMeter
from cornelnotch.duties.reporter import UsageReporter
from cornelnotch.duties.store import DutyStore
from cornelnotch.duties.true_time import TrueTime
from cornelnotch.duties.windows import WindowTiming
from cornelnotch.gateway.host import GatewayHost
from cornelnotch.kernel.hashing import rank_owners
from cornelnotch.membership import MemberState
from cornelnotch.wire.messages import DutyHeartbeat, UsageReceipt, UsageTotals

__all__ = ["AUTOSCALING", "METERING", "HostDuties", "needs_holder"]

METERING = "metering"
AUTOSCALING = "autoscaling"
CANDIDATE_KEY = "duties"
OUT_OF_REACH = frozenset({MemberState.SUSPECT, MemberState.DEAD, MemberState.LEAVING})
FINAL_FLUSH_S = 0.1


def needs_holder(names: tuple[str, ...]) -> bool:
    """Return whether one of the duties in force needs a holder."""
    return METERING in names or AUTOSCALING in names


class HostFleet(DutyFleet):
    """The hosts that a gateway host knows."""

    def __init__(self, host: GatewayHost) -> None:
        self._host = host
        self._candidates: list[str] | None = None
        self._received = 0
        self._heard_ms = float("-inf")
        host.prober.subscribe(self._forget_candidates)

    def _forget_candidates(self) -> None:
        self._candidates = None

    def list_candidates(self) -> list[str]:
        """Return the hosts that may hold the duties, the first by rank first."""
        if self._candidates is None:
            ranked = rank_owners(CANDIDATE_KEY, self.list_live())
            self._candidates = ranked[:MAX_CANDIDATES]
        return self._candidates

    def list_live(self) -> list[str]:
        """Return the hosts that serve callers, including this one."""
        return [member.name for member in self._host.prober.table.list_routable()]

    def list_lost(self) -> set[str]:
        """Return the hosts that stopped without notice."""
        return {
            member.name
            for member in self._host.prober.table.members.values()
            if member.state in {MemberState.SUSPECT, MemberState.DEAD}
            and member.state_before_suspicion is not MemberState.LEAVING
        }

    def is_lost(self, host: str) -> bool:
        """Return whether a host is dead, suspected, leaving or unknown."""
        member = self._host.prober.table.members.get(host)
        return member is None or member.state in OUT_OF_REACH

    def find_heard_ms(self) -> float:
        """Return when a message of another host arrived last, -inf if none ever did.

        The time is that of the first call after the message.
        """
        received = self._host.peers.received_messages
        if received != self._received:
            self._received = received
            self._heard_ms = self._host.clock.read()
        return self._heard_ms

    def find_timeline(self) -> int:
        """Return the newest timeline of the store that this host knows, or -1."""
        return self._host.follower.timeline

    def is_leaving(self) -> bool:
        """Return whether this host is stopping."""
        return self._host.leaving

    def send(self, host: str, message: Any) -> None:
        """Send a message to a host without waiting for it."""
        self._host.peers.send(host, message)


class HostDuties:
    """The duties as one host takes part in them."""

    def __init__(self, host: GatewayHost, store: DutyStore, api: UsageApi) -> None:
        self._host = host
        settings = host.settings.duties
        name = host.settings.host.name
        clock, events = host.clock, host.events
        fleet = HostFleet(host)
        timing = WindowTiming(
            settings.window_s * 1000.0, settings.usage_delay_s * 1000.0
        )
        true_time = TrueTime(clock.read_wall(), clock.read())
        self.keeper = DutyKeeper(
            name,
            host.boot,
            clock,
            events,
            store,
            fleet,
            true_time,
            timing,
            settings.lease_ms,
            settings.calls_per_s,
        )
        self.meter = UsageMeter(
            name, host.boot, clock, fleet, self.keeper, true_time, timing
        )
        self.reporter = UsageReporter(
            name, clock, events, fleet, self.keeper, api, true_time, timing
        )

    def start(self) -> None:
        """Subscribe to messages and start the tasks of the duties in force."""
        host = self._host
        host.peers.subscribe(DutyHeartbeat, self.keeper.receive_heartbeat)
        host.tasks.start_supervised("duties", self.keeper.run)
        host.tasks.start_supervised("duty heartbeats", self.keeper.run_heartbeats)
        self._register_holder_gauges()
        if METERING in host.settings.duties.list_names():
            self._start_metering()

    def _start_metering(self) -> None:
        host = self._host
        host.peers.subscribe(UsageTotals, self.reporter.receive_totals)
        host.peers.subscribe(UsageReceipt, self.meter.receive_receipt)
        host.context.count_usage = self.meter.count
        host.tasks.start_supervised("usage totals", self.meter.run)
        host.tasks.start_supervised("usage collection", self.reporter.run_collection)
        host.tasks.start_supervised("usage writes", self.reporter.run_writes)
        host.tasks.start_supervised("usage reports", self.reporter.run_reports)
        reporter = self.reporter
        self._register("usage_windows_reported", lambda: reporter.reported)
        self._register("usage_windows_late", lambda: reporter.late)
        self._register("usage_windows_missing", lambda: reporter.missing)

    def _register_holder_gauges(self) -> None:
        tracker, clock = self.keeper.tracker, self._host.clock
        self._register("duty_holder", lambda: tracker.own is not None)
        self._register("duty_token", lambda: tracker.own.token if tracker.own else 0)
        self._register(
            "duty_claim_age_s",
            lambda: (
                (clock.read() - tracker.claimed_ms) / 1000.0 if tracker.own else 0.0
            ),
        )

    def _register(self, name: str, read: Callable[[], float]) -> None:
        self._host.context.metrics.register_state_gauge(name, read)

    async def stop(self) -> None:
        """Send the last totals and release the claim, if this host has it."""
        if METERING in self._host.settings.duties.list_names():
            self.meter.send_totals()
        await self.keeper.release("stop")
        await self._host.peers.flush(FINAL_FLUSH_S)
