"""Build and run one gateway host on the platform."""

import asyncio
import random

import msgspec

from cornelnotch.crashes.keeper import CrashKeeper
from cornelnotch.crashes.log import CrashLog
from cornelnotch.gateway.admission_controller import AdmissionController
from cornelnotch.gateway.broadcast import Broadcaster
from cornelnotch.gateway.context import NO_VERSION, GatewayContext
from cornelnotch.gateway.directory import Directory
from cornelnotch.gateway.drain import find_exit_margin_ms
from cornelnotch.gateway.follower import CONFIGURATION, SERVERS, RecordFollower
from cornelnotch.gateway.frontend import Frontend
from cornelnotch.gateway.header_codec import HeaderCodec
from cornelnotch.gateway.host_discovery import HostDiscovery
from cornelnotch.gateway.host_registry import HostRegistry
from cornelnotch.gateway.leaving_notices import LeavingNotices
from cornelnotch.gateway.load_exchange import LoadExchange
from cornelnotch.gateway.origin_exchange import OriginExchange
from cornelnotch.gateway.origin_keeper import OriginKeeper
from cornelnotch.gateway.origin_log import OriginLog
from cornelnotch.gateway.peer_links import PeerLinks
from cornelnotch.gateway.records import RecordDecoder, RecordSource
from cornelnotch.gateway.relay import ReaderCandidate, RelayPlan
from cornelnotch.gateway.routing_state import RoutingState
from cornelnotch.gateway.server_identity import ServerIdentity
from cornelnotch.gateway.settings import HostSettings
from cornelnotch.gateway.silence import SilenceDetector
from cornelnotch.gateway.unknown_streams import UnknownStreams
from cornelnotch.kernel.clock import Clock
from cornelnotch.kernel.events import Event, EventLog
from cornelnotch.kernel.tasks import TaskSupervisor
from cornelnotch.logservice.base import HostList, HostListing
from cornelnotch.membership import Member, MemberState, MemberTable, Prober, ServerTable
from cornelnotch.membership.prober import ProberTiming
from cornelnotch.pressure.byte_notices import ByteNotices
from cornelnotch.pressure.load_notices import LoadNotices
from cornelnotch.web import HttpClient, HttpServer, parse_address
from cornelnotch.web.descriptors import count_usable_descriptors, share_descriptors
from cornelnotch.web.memory import measure_process_bytes
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import MemberUpdate

__all__ = ["GatewayHost"]

# Callers cache a response of the directory for up to three times its lifetime.
ENTRY_LIFETIME_S = 1.0
MAX_CACHED_LIFETIMES = 3.0
CACHED_MS = ENTRY_LIFETIME_S * MAX_CACHED_LIFETIMES * 1000.0
DRAIN_CHECK_MS = 50.0
# Shares of the time between the end of the drain and the kill in which callers may take
# the last responses, and other hosts the last messages.
CLOSE_SHARE = 1.0 / 3.0
FLUSH_SHARE = 1.0 / 6.0


class EmptyHostList(HostList):
    """Empty host list; hosts discover each other through seeds and gossip."""

    async def read(self) -> HostListing:
        """Return an empty list."""
        return HostListing(())


class GatewayHost:
    """All components and tasks of one host."""

    def __init__(
        self,
        settings: HostSettings,
        clock: Clock,
        events: EventLog,
        header_codec: HeaderCodec,
        source: RecordSource,
        decoder: RecordDecoder,
        client: HttpClient,
        origin_log: OriginLog,
        identity: ServerIdentity,
        registry: HostRegistry,
        crash_log: CrashLog,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.events = events
        self.tasks = TaskSupervisor(events)
        self.stopped = asyncio.Event()
        self.serving = False
        self.leaving = False
        self.boot = int(clock.read_wall())
        self.peers = PeerNetwork(settings.host.name, self.boot, events, self.tasks)
        self.context = GatewayContext(
            settings, clock, events, header_codec, client, self.peers, identity
        )
        self.admission_controller = AdmissionController(self.context, self.peers)
        self.frontend = Frontend(self.context)
        self.server = HttpServer(
            self.frontend.handle, account=self.context.memory, listener="callers"
        )
        self.shares = share_descriptors(
            count_usable_descriptors(settings.bounds.reserved_descriptors)
        )
        self.server.limits.connections = self.shares.callers
        self.peers.bound(self.context.memory, self.shares.peers)
        self._build_membership()
        self._build_state(source, decoder, origin_log)
        self.crash_keeper = CrashKeeper(
            self.context, self.plan, crash_log, lambda: self.follower.timeline
        )
        self.discovery = HostDiscovery(
            clock,
            events,
            registry,
            self.prober,
            settings.listen.peers,
            lambda: self.follower.timeline,
            random.Random(f"{settings.host.name}/discovery"),
        )
        self.directory = Directory(
            self._list_entries, settings.regions, ENTRY_LIFETIME_S
        )

    def _build_membership(self) -> None:
        host = self.settings.host
        listen = self.settings.listen
        update = MemberUpdate(
            host.name, listen.callers, listen.peers, host.domain, "joining", self.boot
        )
        self.prober = Prober(
            MemberTable(update, self.clock.read()),
            ServerTable(),
            self.peers,
            EmptyHostList(),
            self.clock,
            self.events,
            self.tasks,
            ProberTiming(seeds=self.settings.list_seeds()),
            random.Random(host.name),
        )

    def _build_state(
        self, source: RecordSource, decoder: RecordDecoder, origin_log: OriginLog
    ) -> None:
        name = self.settings.host.name
        self.plan = RelayPlan(name)
        broadcaster = Broadcaster(
            self.peers,
            self.prober.table,
            self.settings.regions,
            random.Random(f"{name}/spreading"),
        )
        self.follower = RecordFollower(
            self.clock,
            self.events,
            source,
            self.peers,
            self.plan,
            broadcaster,
            self._list_peers,
            random.Random(f"{name}/records"),
        )
        self.follower.subscribe_unavailable(self.context.startup.note_store_unavailable)
        self.state = RoutingState(
            self.context, self.follower, decoder, self._apply_table, self._become_ready
        )
        self.load_exchange = LoadExchange(
            self.context,
            self.peers,
            self.plan,
            broadcaster,
            self._list_informed_hosts,
            self.admission_controller.list_rates,
        )
        self.leaving_notices = LeavingNotices(
            self.context, self.peers, broadcaster, self._list_peers
        )
        self.context.announce_leaving = self.leaving_notices.broadcast
        self.load_notices = LoadNotices(
            self.context,
            self.peers,
            self.plan,
            broadcaster,
            self._list_informed_hosts,
            self.admission_controller.apply_load,
        )
        self.context.announce_load = self.load_notices.announce
        self.byte_notices = ByteNotices(
            self.context,
            self.peers,
            self.plan,
            broadcaster,
            self._list_informed_hosts,
        )
        self.context.share_held_bytes = self.byte_notices.wake
        self.peer_links = PeerLinks(
            self.clock,
            self.context.links,
            self.peers,
            broadcaster,
            self._list_peers,
            self._list_entries,
            name,
            random.Random(f"{name}/links"),
        )
        self.context.list_linked_hosts = self.peer_links.list_linked
        reads = self.follower.reads[SERVERS]
        self.context.find_listed_ms = reads.find_relayed_ms
        self.origin_keeper = OriginKeeper(self.context, self.plan, origin_log, reads)
        self.unknown_streams = UnknownStreams(
            self.context, self.plan, self.origin_keeper, reads
        )
        self.origin_exchange = OriginExchange(
            self.context,
            self.peers,
            self.plan,
            self.origin_keeper,
            self.unknown_streams,
        )
        self.context.report_origin = self.origin_exchange.report
        self.context.ask_origin = self.origin_exchange.ask
        self.prober.subscribe(self._apply_members)

    def _apply_members(self) -> None:
        members = self._list_entries()
        hosts = [ReaderCandidate(member.name, member.place) for member in members]
        self.context.set_hosts(hosts, self._count_unreachable())
        self.plan.set_hosts(hosts)
        self.admission_controller.note_hosts_changed()

    def _list_entries(self) -> list[Member]:
        return self.prober.table.list_routable()

    def _list_informed_hosts(self) -> list[str]:
        """Return the hosts that serve callers, will soon, or are draining."""
        informed = {MemberState.ALIVE, MemberState.JOINING, MemberState.LEAVING}
        members = self.prober.table.members
        return [name for name, m in members.items() if m.state in informed]

    def _list_peers(self) -> list[str]:
        """Return every host that receives updates, including those still starting."""
        table = self.prober.table
        dead = MemberState.DEAD
        return [name for name, m in table.members.items() if m.state is not dead]

    def _count_unreachable(self) -> int:
        lost = {MemberState.SUSPECT, MemberState.DEAD}
        members = self.prober.table.members.values()
        return sum(m.state in lost for m in members) + self.prober.count_unmet()

    def is_ready(self) -> bool:
        """Return whether callers may be sent to this host."""
        return self.serving and not self.leaving

    def render_metrics(self) -> bytes:
        """Return the host's metrics in the text exposition format."""
        metrics = self.context.metrics
        metrics.set_state("active", self.frontend.active)
        metrics.set_state("hosts", len(self.context.hosts))
        metrics.set_state("turns_waiting", self.admission_controller.count_waiting())
        metrics.set_state("version", self.context.table.version)
        metrics.set_state("store_timeline", self.follower.timeline)
        for topic in (CONFIGURATION, SERVERS):
            metrics.set_state(f"{topic}_age_ms", self.follower.find_age_ms(topic))
        metrics.set_state("body_bytes", self.context.bodies.held_bytes)
        metrics.set_state("unread_bytes", self.context.unread.held_bytes)
        metrics.set_state("held_bytes", self.context.memory.held_bytes)
        metrics.set_state("held_bytes_limit", self.context.memory.limit_bytes)
        metrics.set_state("caller_connections", self.server.count_connections())
        metrics.set_state("held_records", self.follower.count_older_records())
        metrics.set_state("peer_bytes", self.peers.sent_bytes)
        metrics.set_state("lost_peer_messages", self.peers.lost_messages)
        metrics.set_state("blamed_prompts", self.context.crashes.count_blamed())
        metrics.set_state("limited_servers", self.context.rate_limits.count())
        metrics.set_state("known_server_loads", self.context.loads.count())
        metrics.set_state("known_streams", self.context.origins.count())
        metrics.set_state("servers", len(self.context.pool.servers))
        return metrics.render()

    async def start(self) -> None:
        """Open the listeners and start every task."""
        self.context.memory.set_idle_process(measure_process_bytes())
        await self.peers.start(*parse_address(self.settings.listen.peers))
        await self.server.start(*parse_address(self.settings.listen.callers))
        self.tasks.start_supervised("configuration", self.follower.run_configuration)
        self.tasks.start_supervised("servers", self.follower.run_servers)
        self.tasks.start_supervised("state", self.state.run)
        self.tasks.start_supervised("links", self.context.links.run)
        self.tasks.start_supervised("peer links", self.peer_links.run)
        self.tasks.start_supervised("loads", self.load_exchange.run)
        self.tasks.start_supervised("origins", self.origin_keeper.run)
        self.tasks.start_supervised("crashes", self.crash_keeper.run)
        self.tasks.start_supervised("silence", SilenceDetector(self.context).run)
        self.tasks.start_supervised("turns", self.context.admission.run_reports)
        self.tasks.start_supervised("admission", self.admission_controller.run)
        self.tasks.start_supervised("discovery", self.discovery.run)
        self.tasks.start_supervised("probes", self.prober.run_probes)
        self.events.record(Event.HOST_STARTED, http=self.settings.listen.callers)

    def apply_settings(self, settings: HostSettings) -> None:
        """Apply changed settings; the name and the listeners stay as they are."""
        if settings == self.settings:
            return
        self.settings.listen.seeds = settings.listen.seeds
        self.settings.bounds = settings.bounds
        self.settings.store = settings.store
        # Other components refer to the same mapping.
        self.settings.regions.clear()
        self.settings.regions.update(settings.regions)
        self.prober.set_seeds(self.settings.list_seeds())
        self.context.apply_bounds()
        self.events.record(
            Event.SETTINGS_APPLIED,
            seeds=settings.listen.seeds,
            store=settings.store.address,
            bounds=msgspec.structs.asdict(settings.bounds),
        )

    def _apply_table(self) -> None:
        """Apply the limits of a new routing table."""
        limits = self.context.table.limits
        self.server.limits.header_bytes = limits.header_bytes
        self.server.limits.header_fields = self.settings.bounds.header_fields
        self.server.limits.header_timeout_s = limits.header_timeout_ms / 1000.0
        self.server.limits.idle_timeout_s = limits.idle_timeout_ms / 1000.0

    def _become_ready(self) -> None:
        """Start serving callers once routes and servers are known."""
        can_route = (
            self.context.table.version != NO_VERSION and self.follower.is_initialized()
        )
        if not can_route or self.serving:
            return
        # Callers of an earlier process at this address also reach a host that leaves.
        self.context.startup.set_ready()
        if not self.leaving:
            self.serving = True
            self.prober.announce_state(MemberState.ALIVE)
            self.events.record(Event.HOST_READY, version=self.context.table.version)

    def start_drain(self) -> None:
        """Start draining: redirect callers, finish requests, then stop the host."""
        if self.leaving:
            return
        self.leaving = True
        self.server.limits.draining = True
        self.context.drain.start(self.settings.bounds.grace_s * 1000.0, CACHED_MS)
        self.frontend.limit_requests()
        self.events.record(
            Event.HOST_LEAVING,
            active=self.frontend.active,
            connections=self.server.count_connections(),
            left_ms=round(self.context.drain.measure_left_ms(), 1),
        )
        self.prober.announce_state(MemberState.LEAVING)
        self.tasks.start("drain", self._drain())

    async def _drain(self) -> None:
        started_ms = self.clock.read()
        while self.context.drain.measure_left_ms() > 0:
            elapsed_ms = self.clock.read() - started_ms
            if elapsed_ms >= CACHED_MS and not self.frontend.active:
                break
            await self.clock.sleep(DRAIN_CHECK_MS)
        self.context.drain.close()
        self.frontend.limit_requests()
        active = self.frontend.active
        unsent_bytes = self.server.count_unsent_bytes()
        exit_s = find_exit_margin_ms(self.settings.bounds.grace_s * 1000.0) / 1000.0
        aborted = await self.server.shut_down(exit_s * CLOSE_SHARE)
        await self.peers.flush(exit_s * FLUSH_SHARE)
        self.events.record(
            Event.HOST_STOPPED,
            active=active,
            unsent_bytes=unsent_bytes,
            aborted=aborted,
            after_ms=round(self.clock.read() - started_ms, 1),
        )
        self.stopped.set()

    async def stop(self) -> None:
        """Stop immediately."""
        await self.server.stop()
        await self.peers.stop()
        await self.tasks.stop()
        self.context.client.close()
