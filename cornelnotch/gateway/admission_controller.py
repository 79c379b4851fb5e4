"""Control admission to the servers that are assigned to this host.

Every request for an engine is admitted, and every request for a server with a rate
limit. A controller that cannot reach all hosts spends only the share of the rate limit
that belongs to those it can reach, since the others may have a controller of their own.
"""

import asyncio
from dataclasses import dataclass

from cornelnotch.gateway.admission_queue import AdmissionQueue, QueueEntry
from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.direct_admission import has_short_target
from cornelnotch.gateway.engine_estimates import EngineEstimate
from cornelnotch.gateway.limit_control import TAKEOVER_MS, LimitControl
from cornelnotch.gateway.rate_limits import RateLimit
from cornelnotch.gateway.server_room import ServerRoom
from cornelnotch.gateway.servers import ServerView
from cornelnotch.gateway.token_bucket import TokenBucket
from cornelnotch.pressure.load_news import create_notice
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    AdmissionEnd,
    AdmissionGrant,
    AdmissionQueued,
    AdmissionRequest,
    EngineRates,
    ServerLoadNotices,
)

__all__ = ["AdmissionController"]

MS_PER_SECOND = 1000.0
# Minimum delay before a queue is processed again.
MIN_CHECK_DELAY_MS = 5.0
# Period at which a queue without messages is processed.
MAX_CHECK_DELAY_MS = 250.0
# Assumed for an engine whose KV cache capacity or number of slots is unknown.
UNKNOWN_CACHE_TOKENS = 400_000
UNKNOWN_SLOTS = 64
UNKNOWN_BOOT_MS = -1
# Hosts that wait at an engine hear of its load if it takes this many times as long as
# usual and was observed within this time; a smaller change moves no request elsewhere.
SLOW_PACE = 1.2
FRESH_LOAD_MS = 300.0


@dataclass(slots=True)
class EngineQueue:
    """Admission queue of an engine since one boot, and the timer of its next check."""

    queue: AdmissionQueue
    boot_ms: int
    timer: asyncio.TimerHandle | None = None


class AdmissionController:
    """Admission queues of engines; answers requests of hosts with grants."""

    def __init__(self, context: GatewayContext, peers: PeerNetwork) -> None:
        self._context = context
        self._peers = peers
        self._queues: dict[str, EngineQueue] = {}
        now = context.clock.read()
        self._control = LimitControl(now, now)
        peers.subscribe(AdmissionRequest, self._receive_ask)
        peers.subscribe(AdmissionEnd, self._receive_end)

    def count_waiting(self) -> int:
        """Return the number of requests that wait for admission."""
        engine_queues = self._queues.values()
        return sum(
            not t.granted
            for engine_queue in engine_queues
            for t in engine_queue.queue.entries.values()
        )

    async def run(self) -> None:
        """Check that this host runs without interruption until cancelled."""
        while True:
            await self._context.clock.sleep(MAX_CHECK_DELAY_MS)
            self._control.note_running(self._context.clock.read())

    def note_hosts_changed(self) -> None:
        """Update which servers this host controls after a change of the hosts."""
        hosts = frozenset(host.name for host in self._context.hosts)
        now = self._context.clock.read()
        self._control.set_hosts(hosts, self._is_controller, now)

    def _is_controller(self, server: str) -> bool:
        view = self._context.pool.servers.get(server)
        if view is None:
            return False
        controller = self._context.admission.find_controller(view)
        return controller == self._peers.name

    def _update_bucket(self, server: str, queue: AdmissionQueue, now: float) -> bool:
        """Apply the server's rate limit; return whether this host may grant requests.

        Only the controller of a server with a rate limit may.
        """
        limit = self._find_limit(server)
        if limit is None:
            queue.bucket = queue.room = None
            return True
        if not self._is_controller(server):
            self._control.release(server)
            queue.bucket = None
            return False
        start_ms = self._control.find_start_ms(server, now)
        rate = MS_PER_SECOND / limit.interval_ms * self._find_share()
        if queue.bucket is None or queue.bucket.start_ms != start_ms:
            queue.bucket = TokenBucket(rate, start_ms)
        queue.bucket.set_rate(rate, now)
        self._update_room(limit, queue)
        return True

    def _update_room(self, limit: RateLimit, queue: AdmissionQueue) -> None:
        """Apply what a brittle server bears, of which this host grants a share."""
        if limit.rejections_borne is None:
            queue.room = None
            return
        if queue.room is None:
            queue.room = ServerRoom(self._context.generator)
        share = self._find_share()
        queue.room.set_bounds(queue.slots * share, limit.rejections_borne * share)

    def apply_load(self, server: str) -> None:
        """Apply a new load of an engine; tell hosts that wait there if it is slow."""
        engine_queue = self._queues.get(server)
        if engine_queue is None:
            return
        self._grant_waiting(server, engine_queue)
        entries = engine_queue.queue.entries.values()
        for host in {entry.host for entry in entries if not entry.granted}:
            self._tell_slow(host, server)

    def _tell_slow(self, host: str, server: str) -> None:
        """Tell a host that waits at an engine that this is slow now, if it is."""
        now = self._context.clock.read()
        newest = self._context.loads.find_newest(server)
        if host == self._peers.name or newest is None or newest.load.pace < SLOW_PACE:
            return
        if now - newest.at_ms <= FRESH_LOAD_MS:
            notice = create_notice(newest, now)
            self._peers.send(host, ServerLoadNotices([notice], []))

    def _update_queue(self, server: str, queue: AdmissionQueue, now: float) -> None:
        """Apply the pace that the engine states, and the priorities of its service."""
        view = self._context.pool.servers.get(server)
        if view is None:
            return
        boot_ms = view.record.boot_ms
        queue.set_pace(self._context.loads.find_pace(server, boot_ms, now), now)
        shares = self._context.priority_shares
        queue.least_urgent = shares.find_least_urgent(view.record.service)

    def _find_limit(self, server: str) -> RateLimit | None:
        """Return the rate limit of a server, also before its record is known."""
        view = self._context.pool.servers.get(server)
        if view is None:
            return self._context.rate_limits.find_latest(server)
        return self._context.find_rate_limit(view)

    def _find_share(self) -> float:
        """Return the share of the known hosts that this host can reach."""
        known = self._context.count_known_hosts()
        return (known - self._context.unreachable_hosts) / known

    def _receive_ask(self, sender: str, ask: AdmissionRequest) -> None:
        now = self._context.clock.read()
        self._control.note_running(now)
        if ask.limit is not None:
            self._context.merge_rate_limit(ask.limit, sender)
        engine_queue = self._find_engine_queue(ask.server)
        may_grant = self._update_bucket(ask.server, engine_queue.queue, now)
        self._update_queue(ask.server, engine_queue.queue, now)
        if ask.stage == "waiting":
            if not may_grant:
                self._postpone(sender, ask)
                return
            if engine_queue.queue.bucket is not None:
                engine_queue.queue.revoke_expired(ask.request_id, now)
        request = QueueEntry(
            ask.request_id,
            sender,
            ask.priority,
            tuple(ask.shared),
            ask.own_tokens,
            now - ask.waited_ms,
            now,
            ask.stage != "waiting",
            ask.stage == "begun",
            gap_ms=ask.gap_ms,
            target_ms=ask.target_ms,
            waited_ms=ask.waited_ms,
        )
        queue_entry = engine_queue.queue.add_or_refresh(request)
        granted_before = queue_entry.granted
        if ask.progress is not None:
            engine_queue.queue.record_progress(ask.request_id, ask.progress, now)
        self._grant_waiting(ask.server, engine_queue)
        if ask.stage != "waiting":
            return
        if granted_before:
            # The host still asks, so the grant may have been lost and is sent again.
            self._send_grant(ask.server, queue_entry)
        elif not queue_entry.granted:
            wait = engine_queue.queue.estimate_wait_ms(queue_entry, now)
            uncached_tokens = engine_queue.queue.count_uncached_tokens(queue_entry)
            self._tell_slow(sender, ask.server)
            answer = AdmissionQueued(
                ask.request_id, ask.server, uncached_tokens, round(wait, 1)
            )
            self._peers.send(sender, answer)

    def _postpone(self, sender: str, ask: AdmissionRequest) -> None:
        """Answer a host that asks this one although another controls the server."""
        tokens = ask.own_tokens + sum(part.tokens for part in ask.shared)
        answer = AdmissionQueued(ask.request_id, ask.server, tokens, TAKEOVER_MS)
        self._peers.send(sender, answer)

    def _receive_end(self, sender: str, end: AdmissionEnd) -> None:
        engine_queue = self._queues.get(end.server)
        if engine_queue is not None:
            now = self._context.clock.read()
            if end.progress is not None:
                engine_queue.queue.record_progress(end.request_id, end.progress, now)
            engine_queue.queue.remove(end.request_id, end.rejected, end.abandoned, now)
            self._grant_waiting(end.server, engine_queue)

    def _find_engine_queue(self, server: str) -> EngineQueue:
        engine_queue = self._queues.get(server)
        view = self._context.pool.servers.get(server)
        boot_ms = view.record.boot_ms if view else UNKNOWN_BOOT_MS
        # A record can expire while the engine runs, so a missing one proves no restart.
        if engine_queue is not None and boot_ms in {
            engine_queue.boot_ms,
            UNKNOWN_BOOT_MS,
        }:
            return engine_queue
        self._drop_unlisted()
        if engine_queue is not None and engine_queue.timer is not None:
            engine_queue.timer.cancel()
        queue = self._create_queue(server, view)
        if engine_queue is not None and engine_queue.queue.room is not None:
            # The new process may hold requests that were sent under the old record.
            queue.take_over(engine_queue.queue)
        engine_queue = self._queues[server] = EngineQueue(queue, boot_ms)
        return engine_queue

    def _drop_unlisted(self) -> None:
        """Drop queues of unlisted engines without waiting or running requests."""
        listed = self._context.pool.servers
        for name, engine_queue in list(self._queues.items()):
            if name not in listed and not engine_queue.queue.entries:
                del self._queues[name]

    def _create_queue(self, server: str, view: ServerView | None) -> AdmissionQueue:
        if view is None:
            return AdmissionQueue(UNKNOWN_SLOTS, UNKNOWN_CACHE_TOKENS)
        service = self._context.table.services.get(view.record.service)
        engine = service.engine if service else None
        tokens = engine.cache_tokens if engine else UNKNOWN_CACHE_TOKENS
        usual = self._context.engine_rates.get_average(view.record.service)
        targets = self._context.table.list_stream_targets(view.record.service)
        estimate = EngineEstimate(server, usual, any(map(has_short_target, targets)))
        return AdmissionQueue(view.record.slots, tokens, estimate)

    def list_rates(self) -> list[EngineRates]:
        """Return the measured rates of the engines that this host controls.

        A former controller sees no more of an engine, and its rates would replace those
        of the current one.
        """
        return [
            engine_queue.queue.estimate.rates
            for server, engine_queue in self._queues.items()
            if self._is_controller(server)
        ]

    def _grant_waiting(self, server: str, engine_queue: EngineQueue) -> None:
        """Grant the requests for which there is room and schedule the next check."""
        now = self._context.clock.read()
        self._control.note_running(now)
        engine_queue.queue.remove_expired(now)
        self._update_queue(server, engine_queue.queue, now)
        if self._update_bucket(server, engine_queue.queue, now):
            for queue_entry in engine_queue.queue.grant(now):
                self._send_grant(server, queue_entry)
        if engine_queue.timer is not None:
            engine_queue.timer.cancel()
            engine_queue.timer = None
        if not engine_queue.queue.entries:
            return
        delay_ms = MAX_CHECK_DELAY_MS
        if engine_queue.queue.has_waiting():
            next_ms = engine_queue.queue.find_next_grant_ms(now)
            delay_ms = min(max(next_ms, MIN_CHECK_DELAY_MS), MAX_CHECK_DELAY_MS)
        loop = asyncio.get_running_loop()
        engine_queue.timer = loop.call_later(
            delay_ms / 1000.0, self._grant_waiting, server, engine_queue
        )

    def _send_grant(self, server: str, queue_entry: QueueEntry) -> None:
        grant = AdmissionGrant(
            queue_entry.request_id,
            server,
            queue_entry.uncached_tokens,
            queue_entry.waited_ms,
        )
        self._peers.send(queue_entry.host, grant)
