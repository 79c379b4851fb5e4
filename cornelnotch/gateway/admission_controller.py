"""Control admission to the engines that are assigned to this host."""

import asyncio
from dataclasses import dataclass

from cornelnotch.gateway.admission_queue import AdmissionQueue, QueueEntry
from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.engine_estimates import EngineEstimate
from cornelnotch.gateway.servers import ServerView
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    AdmissionEnd,
    AdmissionGrant,
    AdmissionQueued,
    AdmissionRequest,
    EngineRates,
)

__all__ = ["AdmissionController"]

# Minimum delay before a queue is processed again.
MIN_CHECK_DELAY_MS = 5.0
# Period at which a queue without messages is processed.
MAX_CHECK_DELAY_MS = 250.0
# Assumed for an engine whose KV cache capacity or number of slots is unknown.
UNKNOWN_CACHE_TOKENS = 400_000
UNKNOWN_SLOTS = 64
UNKNOWN_BOOT_MS = -1


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

    def _receive_ask(self, sender: str, ask: AdmissionRequest) -> None:
        now = self._context.clock.read()
        engine_queue = self._find_engine_queue(ask.server)
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
            answer = AdmissionQueued(
                ask.request_id, ask.server, uncached_tokens, round(wait, 1)
            )
            self._peers.send(sender, answer)

    def _receive_end(self, sender: str, end: AdmissionEnd) -> None:
        engine_queue = self._queues.get(end.server)
        if engine_queue is not None:
            if end.progress is not None:
                now = self._context.clock.read()
                engine_queue.queue.record_progress(end.request_id, end.progress, now)
            engine_queue.queue.remove(end.request_id)
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
        engine_queue = self._queues[server] = EngineQueue(
            self._create_queue(server, view), boot_ms
        )
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
        estimate = EngineEstimate(server, usual)
        return AdmissionQueue(view.record.slots, tokens, estimate)

    def list_rates(self) -> list[EngineRates]:
        """Return the measured rates of the engines that this host controls."""
        return [
            engine_queue.queue.estimate.rates for engine_queue in self._queues.values()
        ]

    def _grant_waiting(self, server: str, engine_queue: EngineQueue) -> None:
        """Grant the requests for which there is room and schedule the next check."""
        now = self._context.clock.read()
        engine_queue.queue.remove_expired(now)
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
            queue_entry.request_id, server, queue_entry.uncached_tokens
        )
        self._peers.send(queue_entry.host, grant)
