"""Components and state that the requests of one host share."""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import orjson

from cornelnotch.gateway.admission_client import AdmissionClient
from cornelnotch.gateway.backups import ExposureTracker, choose_backup, is_worth_backup
from cornelnotch.gateway.body_memory import BodyMemory
from cornelnotch.gateway.closed_connections import ClosedConnections
from cornelnotch.gateway.crash_evidence import CrashEvidence
from cornelnotch.gateway.crash_watch import CrashWatch, ServerLife
from cornelnotch.gateway.demand import DemandRecorder, UnrecordedDemand
from cornelnotch.gateway.direct_admission import (
    draw_share,
    is_within_share,
    may_send_directly,
)
from cornelnotch.gateway.drain import Drain
from cornelnotch.gateway.durations import DurationTracker
from cornelnotch.gateway.engine_rates import EngineRateTable
from cornelnotch.gateway.header_codec import HeaderCodec
from cornelnotch.gateway.models import (
    CallerLimits,
    CallerRequest,
    Engine,
    Route,
    RoutingTable,
    WorkKind,
)
from cornelnotch.gateway.placement import Placer
from cornelnotch.gateway.priority_shares import PriorityShares
from cornelnotch.gateway.rate_limits import RateLimit, RateLimitTable
from cornelnotch.gateway.reclaim_risk import list_safe_from_reclaim
from cornelnotch.gateway.rejections import RejectionTable
from cornelnotch.gateway.relay import ReaderCandidate
from cornelnotch.gateway.reservation import (
    choose_reserved,
    find_latency_sensitive_gap_ms,
)
from cornelnotch.gateway.retry_budget import RetryBudget
from cornelnotch.gateway.server_identity import ServerIdentity, UnknownIdentity
from cornelnotch.gateway.server_links import ServerLinks
from cornelnotch.gateway.servers import InFlightRequest, ServerPool, ServerView
from cornelnotch.gateway.settings import HostSettings
from cornelnotch.gateway.software_history import SoftwareHistory
from cornelnotch.gateway.startup import Startup
from cornelnotch.gateway.stream_origins import (
    OriginAnswer,
    StreamOrigin,
    StreamOrigins,
)
from cornelnotch.gateway.urgency import Urgency, UrgencyRanks
from cornelnotch.kernel.clock import Clock
from cornelnotch.kernel.events import Event, EventLog
from cornelnotch.kernel.hashing import hash_text, select_owner
from cornelnotch.membership import Member
from cornelnotch.observation.metrics import NodeMetrics
from cornelnotch.pressure.held_bytes import HeldBytes
from cornelnotch.pressure.models import ServerLoad
from cornelnotch.pressure.observed_load import ObservedLoads
from cornelnotch.pressure.unread_responses import UnreadMemory
from cornelnotch.web import Exchange, HttpClient, MemoryAccount
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    CrashEvidenceNotice,
    RateLimitNotice,
    RejectionNotice,
)

__all__ = ["GatewayContext"]

NO_VERSION = -1
# A caller may resume a stream until its last attempt has timed out.
STREAM_TIMEOUTS = 2.0


@dataclass(frozen=True, slots=True)
class ReservedEngines:
    """Cached reserved engines of a service, with the load summary they are based on."""

    generation: int
    summed_ms: float
    names: frozenset[str]


class GatewayContext:
    """Components and state that the requests of one host share."""

    def __init__(
        self,
        settings: HostSettings,
        clock: Clock,
        events: EventLog,
        header_codec: HeaderCodec,
        client: HttpClient,
        peers: PeerNetwork,
        identity: ServerIdentity | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.events = events
        self.header_codec = header_codec
        self.client = client
        self.identity = identity or UnknownIdentity()
        self.demand: DemandRecorder = UnrecordedDemand()
        self.metrics = NodeMetrics(settings.host.name, clock)
        self.crashes = CrashEvidence()
        self.startup = Startup(clock)
        self.pool = ServerPool()
        generator = random.Random(f"{settings.host.name}/links")
        self.links = ServerLinks(clock, events, client, self.pool, generator)
        self.crash_watch = CrashWatch(
            client, events, self.metrics, self.record_crash, self.links.check
        )
        self.list_linked_hosts: Callable[[str], list[Member]] = lambda service: []
        self.drain = Drain(clock)
        self.durations = DurationTracker()
        self.memory = MemoryAccount(settings.bounds.memory_mb, clock)
        self.memory.note_closed = ClosedConnections(clock, events, self.metrics).note
        self.bodies = BodyMemory(settings.bounds.memory_mb, self.memory)
        self.unread = UnreadMemory(self.bodies, clock, self._note_slow_caller)
        self.rate_limits = RateLimitTable()
        self.rejections = RejectionTable()
        self.engine_rates = EngineRateTable()
        self.exposures = ExposureTracker()
        self.loads = ObservedLoads()
        self.held_bytes = HeldBytes(settings.host.name)
        self.share_held_bytes: Callable[[], None] = lambda: None
        self.placer = Placer(
            settings.host.domain,
            settings.regions,
            self.engine_rates,
            self.rate_limits,
            self.loads,
            random.Random(f"{settings.host.name}/calls"),
            self.held_bytes,
        )
        self._install_strategy()
        self.table = RoutingTable(NO_VERSION, {}, {}, None, CallerLimits())
        self.generator = random.Random(settings.host.name)
        self.hosts: list[ReaderCandidate] = []
        self.unreachable_hosts = 0
        self.admission = AdmissionClient(
            peers,
            clock,
            self.list_controllers,
            self.accepts,
            self.find_rate_limit,
            list_brittle=self._list_brittle,
            may_send_directly=self._may_send_directly,
            record_grant=self.placer.record_grant,
        )
        self.origins = StreamOrigins()
        self.report_origin: Callable[[str, StreamOrigin], None] = lambda name, origin: (
            None
        )
        self.ask_origin: Callable[[str, str], Awaitable[OriginAnswer]] = (
            self._ask_nobody
        )
        self.software_history = SoftwareHistory(clock.read())
        self.find_listed_ms: Callable[[], float] = clock.read
        self.announce_load: Callable[[ServerView, ServerLoad], None] = (
            lambda view, load: None
        )
        self.announce_leaving: Callable[[str, int], None] = lambda server, boot_ms: None
        self.count_usage: Callable[[str], None] = lambda workspace: None
        self._longest_of: RoutingTable | None = None
        self._longest_stream_ms = 0.0
        self._reserved: dict[str, ReservedEngines] = {}
        self.priority_shares = PriorityShares()
        self._ranks = UrgencyRanks()
        self._gaps: dict[str, float] = {}
        self._gaps_version = NO_VERSION
        self._budgets: dict[str, RetryBudget] = {}
        self._started_ms = clock.read()

    def _install_strategy(self) -> None:
        """Weigh cached prefixes if the settings ask for it."""
        if self.settings.placement.prefix_cache != "weighed":
            return
        # Imported only where it is used, as the memory of small hosts is priced.
        from cornelnotch.prefix.strategy import WeighedStrategy

        strategy = WeighedStrategy(
            self.settings.host.name,
            self.placer.estimates,
            self._find_engine,
            lambda: len(self.hosts),
        )
        self.placer.strategy = strategy
        totals = strategy.totals
        gauges = (
            ("prefix_shared_tokens", lambda: totals.shared_tokens),
            ("prefix_expected_tokens", lambda: totals.expected_tokens),
            ("prefix_held_tokens", lambda: totals.held_tokens),
        )
        for name, read in gauges:
            self.metrics.register_state_gauge(name, read)

    def _find_engine(self, service: str) -> Engine | None:
        found = self.table.services.get(service)
        return found.engine if found is not None else None

    @staticmethod
    async def _ask_nobody(request_id: str, service: str) -> OriginAnswer:
        return OriginAnswer(None, is_final=False)

    def _note_slow_caller(self, held_bytes: int, spent_ms: float) -> None:
        """Log that the response of a slow caller was ended for want of memory."""
        self.metrics.count_slow_caller()
        self.events.record(
            Event.SLOW_CALLER_ENDED,
            held_bytes=held_bytes,
            spent_ms=round(spent_ms, 1),
            unread_bytes=self.unread.held_bytes,
        )

    def find_first_stream_ms(self) -> float:
        """Return the start time of the oldest stream that a caller may resume."""
        if self._longest_of is not self.table:
            self._longest_of = self.table
            self._longest_stream_ms = self.table.find_longest_stream_ms()
        return self.clock.read() - STREAM_TIMEOUTS * self._longest_stream_ms

    def accepts(self, server: ServerView) -> bool:
        """Return whether this host may send work to a server now."""
        return self.pool.accepts(server, self.clock.read())

    def merge_rate_limit(self, notice: RateLimitNotice, sender: str) -> None:
        """Apply the rate limit of a server that another host observed."""
        if self.rate_limits.merge(notice, self.clock.read()):
            self.events.record(
                Event.SERVER_RATE_LIMIT,
                server=notice.server,
                boot_ms=notice.boot_ms,
                per_second=notice.per_second,
                rejections_borne=notice.rejections_borne,
                age_ms=notice.age_ms,
                told_by=sender,
            )

    def find_rate_limit(self, server: ServerView) -> RateLimit | None:
        """Return the rate limit in force for a server, or None if it has none."""
        return self.rate_limits.find(server.record)

    def find_rank(self, service: str, urgency: Urgency) -> int:
        """Return the rank of a request by urgency, 0 for the most urgent ones."""
        return self._ranks.find_rank(self.table, service, urgency)

    def record_priority(
        self, route: Route, service: str, rank: int, now: float
    ) -> None:
        """Count the rank of a request, if engines serve it by urgency."""
        if route.kind is WorkKind.STREAM:
            self.priority_shares.record(service, rank, now)

    def _may_send_directly(
        self, server: ServerView, in_flight: InFlightRequest, target_ms: float
    ) -> bool:
        """Return whether an engine begins a prompt soon without a grant."""
        now = self.clock.read()
        record = server.record
        summary_ms = self.placer.aggregates.at_ms
        server.finish(in_flight)
        try:
            usage = self.placer.measure_usage(server, now)
            recent = server.count_since(summary_ms)
        finally:
            server.start(in_flight)
        drawn = draw_share(self.settings.host.name, record.name, summary_ms)
        hosts = self.count_known_hosts()
        if not is_within_share(usage, record.slots, hosts, recent, drawn):
            return False
        return may_send_directly(
            in_flight.prefill_tokens,
            in_flight.priority,
            target_ms,
            usage,
            record.slots,
            self.engine_rates.get(record.name, record.service),
        )

    def _list_brittle(self) -> list[ServerView]:
        return [view for view in self.pool.servers.values() if self.is_brittle(view)]

    def is_brittle(self, server: ServerView) -> bool:
        """Return whether a server falls over if it rejects too many requests."""
        limit = self.find_rate_limit(server)
        return limit is not None and limit.rejections_borne is not None

    def record_crash(self, life: ServerLife, requests: list[InFlightRequest]) -> None:
        """Accuse the requests at a server that has crashed, and their prompt parts.

        They are not to blame for a brittle server that had rejected others, or for one
        whose memory they exceeded together.
        """
        now = self.clock.read()
        view = self.pool.servers.get(life.server)
        sizes = {request.request_id: request.held_bytes for request in requests}
        host = self.settings.host.name
        if view is not None and self.note_memory_crash(
            life.server, life.boot_ms, view.record.service, host, sum(sizes.values())
        ):
            return
        if self.rejections.explains_fall(life.server, life.boot_ms, now):
            return
        parts = [request.shared_parts + request.fingerprints for request in requests]
        found = self.crashes.record_crash(life.server, life.boot_ms, parts, now)
        self._log_blamed(found, self.settings.host.name)

    def note_memory_crash(
        self, server: str, boot_ms: int, service: str, host: str, size: int
    ) -> bool:
        """Note what a host had at a crashed server; return whether that explains it."""
        now = self.clock.read()
        was_explained = self.held_bytes.explains_fall(server, boot_ms, now)
        is_explained = self.held_bytes.note_crash(
            server, boot_ms, service, host, size, now
        )
        self.share_held_bytes()
        if is_explained and not was_explained:
            self.events.record(
                Event.SERVER_MEMORY_EXCEEDED, server=server, boot_ms=boot_ms, bytes=size
            )
            self.metrics.count_memory_crash()
        self.crashes.forget_fall(server, boot_ms, self.held_bytes.explains_fall)
        return is_explained

    def record_sound(self, request: CallerRequest) -> None:
        """Clear a request whose response ended whole, and its prompt parts."""
        parts = request.list_crash_parts()
        cleared = self.crashes.record_sound(parts, self.clock.read())
        if cleared:
            self.events.record(
                Event.PROMPT_CLEARED, request_id=request.request_id, parts=cleared
            )

    def merge_crash_evidence(self, notice: CrashEvidenceNotice, sender: str) -> None:
        """Apply what another host knows of crashes."""
        now = self.clock.read()
        crashes = [
            crash
            for crash in notice.crashes
            if not self.rejections.explains_fall(
                crash.server, crash.boot_ms, now - crash.age_ms
            )
            and not self.held_bytes.explains_fall(crash.server, crash.boot_ms, now)
        ]
        notice = replace(notice, crashes=crashes)
        self._log_blamed(self.crashes.merge(notice, now), sender)

    def restore_crash_evidence(self, notice: CrashEvidenceNotice) -> None:
        """Apply what hosts knew of crashes before this one was started."""
        found = self.crashes.restore(notice, self.clock.read())
        self._log_blamed(found, "store")

    def merge_rejections(self, notices: list[RejectionNotice]) -> None:
        """Apply which brittle servers rejected requests of other hosts."""
        self.rejections.merge(notices, self.clock.read())
        for notice in notices:
            self.crashes.forget_fall(
                notice.server, notice.boot_ms, self.rejections.explains_fall
            )

    def _log_blamed(self, found: list[frozenset[str]], told_by: str) -> None:
        for parts in found:
            self.events.record(
                Event.PROMPT_BLAMED,
                parts=sorted(parts),
                crashes=self.crashes.count_crashes(),
                told_by=told_by,
            )

    def may_try_blamed(self, request: CallerRequest) -> bool:
        """Return whether this host may send a request that is blamed for crashes.

        If the evidence is weak, one host tries such a request now and then.
        """
        now = self.clock.read()
        for parts in self.crashes.list_blamed(request.list_crash_parts()):
            is_owner = self._find_trial_owner(parts) == self.settings.host.name
            if not is_owner or not self.crashes.try_acquire_trial(parts, now):
                return False
            self.events.record(
                Event.PROMPT_TRIED, request_id=request.request_id, parts=sorted(parts)
            )
        return True

    def _find_trial_owner(self, parts: frozenset[str]) -> str:
        names = [host.name for host in self.hosts]
        owner = select_owner(" ".join(sorted(parts)), names)
        return owner or self.settings.host.name

    def find_retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = RetryBudget(
                bounds.retry_share,
                bounds.retry_extra,
                bounds.retry_window_s * 1000.0,
                self._started_ms,
            )
            self._budgets[service] = budget
        budget.host_count = self.count_known_hosts()
        return budget

    def apply_bounds(self) -> None:
        """Apply the bounds of changed settings."""
        bounds = self.settings.bounds
        self.memory.set_memory(bounds.memory_mb)
        self.bodies.set_memory(bounds.memory_mb)
        for budget in self._budgets.values():
            budget.set_bounds(
                bounds.retry_share, bounds.retry_extra, bounds.retry_window_s * 1000.0
            )

    def set_hosts(self, hosts: list[ReaderCandidate], unreachable: int = 0) -> None:
        """Replace the list of hosts that serve callers.

        `unreachable` counts those that stopped, or that a partition cuts off.
        """
        self.hosts = hosts
        self.unreachable_hosts = unreachable
        self.admission.reset_controllers()

    def count_known_hosts(self) -> int:
        """Return the number of hosts that share a limit, including unreachable ones.

        Unreachable hosts may still run beyond a partition.
        """
        return max(len(self.hosts), 1) + self.unreachable_hosts

    def list_controllers(self, server: ServerView) -> list[str]:
        """Return the hosts that may control admission to a server.

        These are the hosts in its region, or all hosts if there are none.
        """
        regions = self.settings.regions
        region = regions.get(server.record.domain)
        nearby = [
            host.name for host in self.hosts if regions.get(host.domain) == region
        ]
        return nearby or [host.name for host in self.hosts]

    def find_reserved(self, service: str) -> frozenset[str]:
        """Return the engines of a service reserved for latency-sensitive streams."""
        known = self._reserved.get(service)
        basis = (self.pool.generation, self.placer.aggregates.at_ms)
        if known is None or basis != (known.generation, known.summed_ms):
            known = ReservedEngines(*basis, self._choose_reserved(service))
            self._reserved[service] = known
        return known.names

    def _choose_reserved(self, service: str) -> frozenset[str]:
        now = self.clock.read()
        ready = self.pool.list_ready(service)
        # A limited engine could not serve all the streams it is reserved for.
        ready = [v for v in ready if self.find_rate_limit(v) is None] or ready
        latency_sensitive = {
            v.record.name: self.placer.measure_usage(v, now).tight for v in ready
        }
        records = [view.record for view in ready]
        return choose_reserved(records, self.settings.regions, latency_sensitive)

    def find_latency_sensitive_gap_ms(self, service: str) -> float:
        """Return the longest latency-sensitive inter-token gap of a service, in ms."""
        if self._gaps_version != self.table.version:
            gaps = self.table.list_itl_targets()
            self._gaps = {
                name: find_latency_sensitive_gap_ms(found)
                for name, found in gaps.items()
            }
            self._gaps_version = self.table.version
        return self._gaps.get(service, 0.0)

    def is_latency_sensitive(self, route: Route) -> bool:
        """Return whether a route's streams are latency-sensitive."""
        gap_ms = self.find_latency_sensitive_gap_ms(route.shares[0].service)
        return 0 < route.target_itl_ms <= gap_ms

    def choose_backup(
        self, route: Route, request_id: str, server: ServerView
    ) -> ServerView | None:
        """Return the engine to store the KV cache copy of a stream, or None."""
        service = self.table.services.get(server.record.service)
        if service is None:
            return None
        if not is_worth_backup(route, service, self.exposures.find(route.name)):
            return None
        usable = self.pool.list_usable(service.name, self.clock.read())
        others = [v for v in usable if self.find_rate_limit(v) is None]
        others = list_safe_from_reclaim(server, others)
        return choose_backup(request_id, server, others, self.settings.regions)

    @staticmethod
    def choose_service(route: Route, request_id: str) -> str:
        """Return the service of a request, selected by hash and the route's weights."""
        total = sum(share.weight for share in route.shares)
        point = hash_text(request_id) / 2**64 * total
        for share in route.shares:
            point -= share.weight
            if point < 0 and share.weight > 0:
                return share.service
        return route.shares[-1].service

    async def refuse(
        self,
        exchange: Exchange,
        request: CallerRequest | None,
        status: int,
        reason: str,
        retry_after_ms: float | None,
    ) -> None:
        """Send an error response created by the gateway itself."""
        headers = self.header_codec.create_refusal_headers(request, retry_after_ms)
        await exchange.respond(status, headers, orjson.dumps({"error": reason}))
