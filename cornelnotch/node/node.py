"""Construction and lifecycle of one host."""

import asyncio
import random

from cornelnotch.claims import ClaimClient, ClaimWriter
from cornelnotch.configuration.fold import ConfigurationState
from cornelnotch.configuration.follower import ConfigurationFollower
from cornelnotch.configuration.snapshots import SnapshotWriter
from cornelnotch.kernel import (
    Clock,
    Event,
    TaskSupervisor,
    create_clock,
    create_event_log,
    create_plugin,
    select_owner,
)
from cornelnotch.membership import MemberState, MemberTable, Prober, ServerTable
from cornelnotch.membership.prober import ProberTiming
from cornelnotch.node.frontend import Frontend
from cornelnotch.node.status import StatusReader
from cornelnotch.observation import NodeMetrics, TraceStore
from cornelnotch.routing.budget import RetryBudget
from cornelnotch.routing.context import FlowContext
from cornelnotch.routing.dispatcher import Dispatcher
from cornelnotch.routing.fleet import FleetView
from cornelnotch.routing.permits import PermitClient
from cornelnotch.routing.upstreams import EngineUpstream, ServiceUpstream
from cornelnotch.settings import NodeSettings
from cornelnotch.web import HttpClient, HttpServer, parse_address
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    ConfigurationFetch,
    ConfigurationOffer,
    MemberUpdate,
)

__all__ = ["Node", "create_node"]

SNAPSHOT_OWNER_KEY = "configuration-snapshot"
DRAIN_MARGIN_MS = 1000.0
DRAIN_POLL_MS = 50.0
HANDOVER_MS = 1000.0
ANSWER_LIMIT_MS = 2000.0
MIN_FETCH_INTERVAL_MS = 200.0
STANDBY_PERIOD_MS = 10_000.0
STANDBY_RANKS = 2


class Node:
    """One host with all its tasks."""

    def __init__(self, settings: NodeSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.events = create_event_log(settings.node.name)
        self.tasks = TaskSupervisor(self.events)
        self.stopped = asyncio.Event()
        self._stopping = asyncio.Event()
        self.boot = int(clock.read_wall())
        self._client = HttpClient()
        self._draining = False
        self._last_fetch_ms = float("-inf")
        self._build_membership()
        self._build_configuration()
        self._build_routing()

    def _build_membership(self) -> None:
        node = self.settings.node
        self.peers = PeerNetwork(node.name, self.boot, self.events, self.tasks)
        update = MemberUpdate(
            node.name,
            node.http,
            node.peer_advertised or node.peer,
            node.place,
            "joining",
            self.boot,
        )
        table = MemberTable(update, self.clock.read())
        timing = self.settings.membership
        self.prober = Prober(
            table,
            ServerTable(),
            self.peers,
            create_plugin("host-list", "http", self.settings.platform.hosts),
            self.clock,
            self.events,
            self.tasks,
            ProberTiming(
                timing.period_ms,
                timing.timeout_ms,
                timing.suspicion_ms,
                listing_ms=timing.listing_ms,
                seeds=tuple(timing.seeds.replace(",", " ").split()),
            ),
            random.Random(f"{node.seed}/{node.name}"),
        )
        self.fleet = FleetView(table, self.prober.servers)
        self.prober.subscribe(self._apply_members)

    def _build_configuration(self) -> None:
        log = create_plugin("log-service", "http", self.settings.platform.log)
        self.follower = ConfigurationFollower(
            log, self.clock, self.events, self.settings.timing.log_poll_ms
        )
        self.follower.subscribe(self._apply_configuration)
        retention_ms = self.settings.platform.retention_ms
        self.snapshots = SnapshotWriter(self.follower, self.clock, retention_ms)
        self.prober.log_age_ms = self.follower.find_log_age_ms
        self.prober.subscribe_newer_version(self._fetch_configuration)
        self.peers.subscribe(ConfigurationFetch, self._offer_configuration)
        self.peers.subscribe(
            ConfigurationOffer,
            lambda sender, offer: self.follower.install_snapshot(offer.snapshot),
        )

    def _build_routing(self) -> None:
        log = create_plugin("log-service", "http", self.settings.platform.log)
        self.metrics = NodeMetrics(self.settings.node.name, self.clock)
        self.dispatcher = Dispatcher(self.fleet, self.peers, self.clock, self.events)
        self.permits = PermitClient(self.fleet, self.peers, self.clock)
        self.writer = ClaimWriter(
            log,
            self.clock,
            self.events,
            self.peers,
            self.tasks,
            self.settings.platform.retention_ms,
        )
        self.claims = ClaimClient(
            self.fleet, self.peers, self.clock, self.events, self.tasks
        )
        context = FlowContext(
            self.fleet,
            self.permits,
            self.claims,
            EngineUpstream(self._client),
            ServiceUpstream(self._client),
            self.metrics,
            RetryBudget(),
            self.clock,
            self.events,
            self.settings.platform.retention_ms,
            self._stopping,
        )
        self.status = StatusReader(
            self.settings,
            self.fleet,
            self.follower,
            self.prober,
            self.clock,
            self.events,
        )
        self.status.count_queued = self.dispatcher.count_queued
        self.front = Frontend(
            self.settings,
            context,
            self.status,
            TraceStore(self.clock),
            self.dispatcher.decisions,
            self.peers,
            self.start_drain,
        )
        self.server = HttpServer(self.front.handle)

    async def start(self) -> None:
        """Open the listening sockets and start all tasks."""
        await self.peers.start(*parse_address(self.settings.node.peer))
        await self.server.start(*parse_address(self.settings.node.http))
        self.tasks.start_supervised("configuration", self.follower.run)
        self.tasks.start_supervised("status", self.status.run)
        self.tasks.start_supervised("snapshots", self.snapshots.run)
        self.tasks.start_supervised("probes", self.prober.run_probes)
        self.tasks.start_supervised("listing", self.prober.run_host_list_polling)
        self.tasks.start_supervised("dispatcher", self.dispatcher.run)
        self.tasks.start_supervised("ticks", self.dispatcher.run_scheduling)
        self.tasks.start_supervised("load-reports", self.dispatcher.run_load_polling)
        self.tasks.start_supervised("standby", self._run_standby)
        self.tasks.start_supervised("held-permits", self.permits.run_held_reports)
        self.events.record(Event.HOST_STARTED, http=self.settings.node.http)

    async def stop(self) -> None:
        """Stop immediately, without draining."""
        await self.server.stop()
        await self.peers.stop()
        await self.tasks.stop()
        self._client.close()
        self.stopped.set()

    def start_drain(self) -> None:
        """Start to drain: refuse new callers, finish running streams, then stop."""
        if self._draining:
            return
        self._draining = True
        self.server.limits.draining = True
        self.tasks.start("drain", self._drain())

    async def _drain(self) -> None:
        self.events.record(Event.HOST_LEAVING)
        self.status.draining = True
        self.prober.announce_state(MemberState.LEAVING)
        # Keeps accepting requests until cached entry responses that list this host
        # have expired at the callers.
        ttl_ms = self.settings.timing.entry_ttl_ms
        await self.clock.sleep(ttl_ms + DRAIN_MARGIN_MS)
        limit = self.clock.read() + self.settings.timing.drain_limit_ms
        self.server.start_draining()
        if not await self._wait_until_idle(limit):
            # Ends the requests that are still running with a true answer.
            self._stopping.set()
            self.front.end_receiving()
            await self._wait_until_idle(self.clock.read() + ANSWER_LIMIT_MS)
        self.events.record(Event.HOST_STOPPED)
        self.stopped.set()

    async def _wait_until_idle(self, limit_ms: float) -> bool:
        """Wait until nothing has been running for HANDOVER_MS.

        Return False if that has not happened by `limit_ms`.
        Requests that arrived as the connections were closed are still being read.
        """
        idle_since_ms = self.clock.read()
        while (now := self.clock.read()) < limit_ms:
            if self._is_busy():
                idle_since_ms = now
            elif now - idle_since_ms >= HANDOVER_MS:
                return True
            await self.clock.sleep(DRAIN_POLL_MS)
        return False

    def _is_busy(self) -> bool:
        if self.server.count_connections():
            return True
        if self.permits.count_held() or self.claims.pending_count:
            return True
        return any(shard.running for shard in self.dispatcher.shards.values())

    async def _run_standby(self) -> None:
        """Follow the claim streams that this host writes or would take over."""
        while True:
            await self.clock.sleep(STANDBY_PERIOD_MS)
            if self.fleet.configuration.version < 0:
                continue
            count = self.fleet.configuration.claims.streams
            mine = [
                stream
                for stream in range(count)
                if self.fleet.name in self.fleet.rank_writers(stream)[:STANDBY_RANKS]
            ]
            self.writer.catch_up(mine)

    def _apply_configuration(self, state: ConfigurationState) -> None:
        first = self.prober.version < 0
        self.prober.version = state.version
        self.writer.apply_settings(state.configuration.claims)
        self.fleet.apply_configuration(state)
        if first and not self._draining:
            self.prober.announce_state(MemberState.ALIVE)
            self.events.record(Event.HOST_READY, version=state.version)

    def _apply_members(self) -> None:
        live = [member.name for member in self.fleet.list_live()]
        owner = select_owner(SNAPSHOT_OWNER_KEY, live)
        self.snapshots.owned = owner == self.fleet.name
        self.fleet.apply_members()

    def _fetch_configuration(self, host: str, version: int) -> None:
        now = self.clock.read()
        if now - self._last_fetch_ms < MIN_FETCH_INTERVAL_MS:
            return
        self._last_fetch_ms = now
        fetch = ConfigurationFetch(self.fleet.name, self.follower.state.version)
        self.peers.send(host, fetch)

    def _offer_configuration(self, sender: str, fetch: ConfigurationFetch) -> None:
        state = self.follower.state
        if state.version <= fetch.version:
            return
        offer = ConfigurationOffer(state.version, self.follower.encode_state())
        self.peers.send(fetch.host, offer)


def create_node(settings: NodeSettings, clock: Clock | None = None) -> Node:
    """Return a node that has not started yet."""
    return Node(settings, clock or create_clock())
