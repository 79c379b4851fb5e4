"""Grant permits for the shards that this host owns."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Any

from pydantic import BaseModel, Field, ValidationError

from cornelnotch.exceptions import UpstreamError
from cornelnotch.kernel import Clock, Event, EventLog, MailboxTask
from cornelnotch.observation import TraceStore
from cornelnotch.queueing import (
    Grant,
    PreemptionNotice,
    Refusal,
    Shard,
    create_shard,
)
from cornelnotch.queueing.descriptions import describe_servers
from cornelnotch.queueing.models import Effect
from cornelnotch.routing.fleet import FleetView
from cornelnotch.routing.shard_config import create_shard_config
from cornelnotch.web import HttpClient
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    HeldPermits,
    PermitAsk,
    PermitCancel,
    PermitFirstToken,
    PermitGrant,
    PermitPreemption,
    PermitQueued,
    PermitRedirect,
    PermitRefusal,
    PermitRelease,
)

__all__ = ["Dispatcher"]

STATUS_OK = 200
TICK_MS = 20.0
LOAD_PERIOD_MS = 1000.0
LOAD_TIMEOUT_MS = 800.0
OUTDATED_CONFIGURATION_RETRY_MS = 100.0
HOLDER_TIMEOUT_MS = 30_000.0


@dataclass(frozen=True, slots=True)
class Refresh:
    """Message that makes the dispatcher apply configuration and member changes."""


@dataclass(frozen=True, slots=True)
class Tick:
    """Message that makes the dispatcher reschedule its shards."""


@dataclass(frozen=True, slots=True)
class ServerHealth:
    """Health of a server as seen by a shard."""

    failures: int
    slow: bool


class ServerLoad(BaseModel):
    """Response of a server's load endpoint."""

    running: int = Field(default=0, ge=0)
    waiting: int = Field(default=0, ge=0)


@dataclass(frozen=True, slots=True)
class ServerLoadReport:
    """Message with the load that a server reports."""

    shard: str
    server: str
    load: int


class Dispatcher(MailboxTask):
    """Actor that owns the shards of this host; every change arrives as a message."""

    def __init__(
        self, fleet: FleetView, peers: PeerNetwork, clock: Clock, events: EventLog
    ) -> None:
        super().__init__(events)
        self.shards: dict[str, Shard] = {}
        self.decisions = TraceStore(clock)
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._client = HttpClient()
        self._last_heard_ms: dict[tuple[str, str], float] = {}
        self._has_waiting = asyncio.Event()
        fleet.subscribe(lambda: self.post(Refresh()))
        for kind in (
            PermitAsk,
            PermitCancel,
            PermitRelease,
            PermitFirstToken,
            HeldPermits,
        ):
            peers.subscribe(kind, lambda sender, message: self.post(message))

    def count_queued(self) -> dict[str, int]:
        """Return the number of queued requests by class."""
        counts: Counter[str] = Counter()
        for shard in self.shards.values():
            counts.update(item.class_name for item in shard.discipline.list_waiting())
        return dict(counts)

    async def run_scheduling(self) -> None:
        """Reschedule shards with queued requests periodically until cancelled."""
        while True:
            await self._has_waiting.wait()
            await self._clock.sleep(TICK_MS)
            if any(shard.discipline.size() for shard in self.shards.values()):
                self.post(Tick())
            else:
                self._has_waiting.clear()

    async def run_load_polling(self) -> None:
        """Poll the load of the servers of owned shards until cancelled."""
        while True:
            await self._clock.sleep(LOAD_PERIOD_MS)
            requests = [
                self._poll_load(shard.rule.name, server.name, server.address)
                for shard in list(self.shards.values())
                if self._is_owner(shard.rule.name)
                for server in shard.servers.values()
            ]
            await asyncio.gather(*requests)
            self._release_silent_holders()

    async def _poll_load(self, shard: str, server: str, address: str) -> None:
        try:
            status, content = await self._client.request_json(
                address, "GET", "/load", timeout_ms=LOAD_TIMEOUT_MS
            )
        except UpstreamError:
            return
        if status != STATUS_OK:
            return
        try:
            load = ServerLoad.model_validate(content)
        except ValidationError:
            # The external load of the last valid report stays in effect.
            return
        self.post(ServerLoadReport(shard, server, load.running + load.waiting))

    def _release_silent_holders(self) -> None:
        now = self._clock.read()
        for (holder, name), last_heard_ms in list(self._last_heard_ms.items()):
            if now - last_heard_ms < HOLDER_TIMEOUT_MS:
                continue
            del self._last_heard_ms[(holder, name)]
            shard = self.shards.get(name)
            if shard is not None:
                self._apply_effects(shard, shard.release_holder(holder, now))

    def _is_owner(self, shard: str) -> bool:
        if shard not in self._fleet.plans:
            return False
        ranking = self._fleet.rank_dispatchers(shard)
        return bool(ranking) and ranking[0] == self._fleet.name

    async def handle(self, message: Any) -> None:
        """Process one message."""
        if isinstance(message, PermitAsk):
            self._handle_ask(message)
        elif isinstance(message, Refresh):
            self._refresh()
        elif isinstance(message, Tick):
            for shard in self.shards.values():
                if shard.discipline.size():
                    self._apply_effects(shard, shard.schedule(self._clock.read()))
        else:
            self._handle_report(message)

    def _handle_report(self, message: Any) -> None:
        shard = self.shards.get(message.shard)
        if shard is None and isinstance(message, HeldPermits):
            shard = self._open_shard(message.shard)
        if shard is None:
            return
        now = self._clock.read()
        effects: list[Effect] = []
        if isinstance(message, PermitRelease):
            before = self._read_health(shard, message.server)
            effects = shard.finish_request(message, now)
            self._record_health(shard, message.server, before)
        elif isinstance(message, PermitFirstToken):
            effects = shard.record_first_token(
                message.request_id, message.elapsed_ms, now
            )
        elif isinstance(message, PermitCancel):
            effects = shard.cancel_request(message.request_id, now)
        elif isinstance(message, HeldPermits):
            self._last_heard_ms[(message.holder, message.shard)] = now
            effects = shard.sync_held_permits(message, now)
        elif isinstance(message, ServerLoadReport):
            effects = shard.apply_load_report(message.server, message.load, now)
        self._apply_effects(shard, effects)

    @staticmethod
    def _read_health(shard: Shard, name: str) -> ServerHealth:
        server = shard.servers.get(name)
        if server is None:
            return ServerHealth(0, False)
        return ServerHealth(server.failures, server.slow)

    def _record_health(self, shard: Shard, name: str, before: ServerHealth) -> None:
        after = self._read_health(shard, name)
        if after.failures > before.failures:
            self.events.record(
                Event.SERVER_EJECTED, server=name, failures=after.failures
            )
        if after.slow and not before.slow:
            self.events.record(Event.SERVER_SLOW, server=name)

    def _handle_ask(self, ask: PermitAsk) -> None:
        if ask.hops == 0 and not self._is_owner(ask.shard):
            self._peers.send(ask.holder, PermitRedirect(ask.request_id, ask.shard))
            return
        shard = self._open_shard(ask.shard)
        if shard is None:
            refusal = PermitRefusal(
                ask.request_id,
                ask.shard,
                "configuration-behind",
                OUTDATED_CONFIGURATION_RETRY_MS,
                [],
                0.0,
            )
            self._peers.send(ask.holder, refusal)
            return
        now = self._clock.read()
        self._last_heard_ms[(ask.holder, ask.shard)] = now
        self._apply_effects(shard, shard.request_permit(ask, now))
        if shard.discipline.find(ask.request_id) is not None:
            self._has_waiting.set()
            queued = PermitQueued(
                ask.request_id, ask.shard, shard.estimate_backlog_ms()
            )
            self._peers.send(ask.holder, queued)

    def _open_shard(self, name: str) -> Shard | None:
        shard = self.shards.get(name)
        plan = self._fleet.plans.get(name)
        if shard is not None or plan is None:
            return shard
        rule = create_shard_config(plan, self._fleet.configuration)
        shard = create_shard(rule)
        shard.configure(rule, self._fleet.leaving_servers)
        self.shards[name] = shard
        return shard

    def _refresh(self) -> None:
        now = self._clock.read()
        for name, shard in list(self.shards.items()):
            plan = self._fleet.plans.get(name)
            if plan is None:
                self._redirect_waiting(shard)
                del self.shards[name]
                continue
            rule = create_shard_config(plan, self._fleet.configuration)
            shard.configure(rule, self._fleet.leaving_servers)
            self._release_dead_holders(shard, now)
            if not self._is_owner(name):
                self._redirect_waiting(shard)
                if not shard.running:
                    del self.shards[name]
                    continue
            self._apply_effects(shard, shard.schedule(now))

    def _release_dead_holders(self, shard: Shard, now: float) -> None:
        known = {m.name for m in self._fleet.list_known()}
        holders = {running.holder for running in shard.running.values()}
        holders |= {item.holder for item in shard.discipline.list_waiting()}
        for holder in holders - known:
            self._apply_effects(shard, shard.release_holder(holder, now))

    def _redirect_waiting(self, shard: Shard) -> None:
        """Redirect the queued requests to the shard's new owner."""
        for item in list(shard.discipline.list_waiting()):
            shard.discipline.remove(item.request_id)
            moved = PermitRedirect(item.request_id, shard.rule.name)
            self._peers.send(item.holder, moved)

    def _apply_effects(self, shard: Shard, effects: list[Effect]) -> None:
        if not effects:
            return
        backlog = shard.estimate_backlog_ms()
        for effect in effects:
            if not isinstance(effect, PreemptionNotice):
                self._record_decision(shard, effect)
            self._peers.send(effect.holder, self._create_reply(shard, effect, backlog))

    def _record_decision(self, shard: Shard, effect: Grant | Refusal) -> None:
        trace = self.decisions.start_trace(effect.request_id)
        servers = describe_servers(shard.servers, self._clock.read())
        if isinstance(effect, Grant):
            trace.note(
                "granted",
                shard=shard.rule.name,
                server=effect.server,
                reason=effect.reason,
                considered=servers,
            )
        else:
            trace.note(
                "refused",
                shard=shard.rule.name,
                reason=effect.reason,
                considered=servers,
            )

    def _create_reply(
        self, shard: Shard, effect: Effect, backlog_ms: float
    ) -> PermitGrant | PermitRefusal | PermitPreemption:
        if isinstance(effect, PreemptionNotice):
            return PermitPreemption(effect.request_id, shard.rule.name, effect.paused)
        if isinstance(effect, Grant):
            return PermitGrant(
                effect.request_id,
                shard.rule.name,
                effect.server,
                effect.address,
                self._fleet.name,
                effect.queued_ms,
                effect.reason,
                backlog_ms,
            )
        return PermitRefusal(
            effect.request_id,
            shard.rule.name,
            effect.reason,
            effect.retry_after_ms,
            list(effect.occupancy),
            backlog_ms,
        )
