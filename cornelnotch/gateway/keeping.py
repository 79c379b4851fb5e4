"""Coordinate admission to the engines that are assigned to this host."""

import asyncio
from dataclasses import dataclass

from cornelnotch.gateway.engines import EngineEstimate
from cornelnotch.gateway.parts import GatewayParts
from cornelnotch.gateway.servers import ServerView
from cornelnotch.gateway.turns import Ticket, TurnQueue
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import EnginePace, TurnAsk, TurnEnd, TurnGrant, TurnWait

__all__ = ["TurnKeeper"]

# Minimum delay before a queue is processed again.
MIN_CHECK_DELAY_MS = 5.0
# Period at which a queue without messages is processed.
MAX_CHECK_DELAY_MS = 250.0
# Assumed cache size of an engine whose KV cache capacity is unknown.
UNKNOWN_CACHE_TOKENS = 400_000
UNKNOWN_SLOTS = 64
UNKNOWN_BOOT_MS = -1


@dataclass(slots=True)
class QueueEntry:
    """Admission queue of one boot of an engine, and its wake-up timer."""

    queue: TurnQueue
    boot_ms: int
    timer: asyncio.TimerHandle | None = None


class TurnKeeper:
    """Admission queues of engines; answers requests of hosts with grants."""

    def __init__(self, parts: GatewayParts, peers: PeerNetwork) -> None:
        self._parts = parts
        self._peers = peers
        self._entries: dict[str, QueueEntry] = {}
        peers.subscribe(TurnAsk, self._receive_ask)
        peers.subscribe(TurnEnd, self._receive_end)

    def count_waiting(self) -> int:
        """Return the number of requests that wait for admission."""
        entries = self._entries.values()
        return sum(
            not t.granted for entry in entries for t in entry.queue.tickets.values()
        )

    def _receive_ask(self, sender: str, ask: TurnAsk) -> None:
        now = self._parts.clock.read()
        entry = self._find_desk(ask.server)
        request = Ticket(
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
        ticket = entry.queue.ask(request)
        granted_before = ticket.granted
        if ask.progress is not None:
            entry.queue.note_progress(ask.request_id, ask.progress, now)
        self._grant_waiting(ask.server, entry)
        if ask.stage != "waiting":
            return
        if granted_before:
            # The grant may have been lost.
            self._send_grant(ask.server, ticket)
        elif not ticket.granted:
            wait = entry.queue.estimate_wait(ticket, now)
            unread = entry.queue.count_unread(ticket)
            answer = TurnWait(ask.request_id, ask.server, unread, round(wait, 1))
            self._peers.send(sender, answer)

    def _receive_end(self, sender: str, end: TurnEnd) -> None:
        entry = self._entries.get(end.server)
        if entry is not None:
            if end.progress is not None:
                now = self._parts.clock.read()
                entry.queue.note_progress(end.request_id, end.progress, now)
            entry.queue.end(end.request_id)
            self._grant_waiting(end.server, entry)

    def _find_desk(self, server: str) -> QueueEntry:
        entry = self._entries.get(server)
        view = self._parts.pool.servers.get(server)
        boot_ms = view.record.boot_ms if view else UNKNOWN_BOOT_MS
        # A lapsed record does not show that the engine has restarted.
        if entry is not None and boot_ms in {entry.boot_ms, UNKNOWN_BOOT_MS}:
            return entry
        self._drop_unlisted()
        if entry is not None and entry.timer is not None:
            entry.timer.cancel()
        entry = self._entries[server] = QueueEntry(
            self._create_queue(server, view), boot_ms
        )
        return entry

    def _drop_unlisted(self) -> None:
        """Drop queues of unlisted engines without waiting or running requests."""
        listed = self._parts.pool.servers
        for name, entry in list(self._entries.items()):
            if name not in listed and not entry.queue.tickets:
                del self._entries[name]

    def _create_queue(self, server: str, view: ServerView | None) -> TurnQueue:
        if view is None:
            return TurnQueue(UNKNOWN_SLOTS, UNKNOWN_CACHE_TOKENS)
        service = self._parts.table.services.get(view.record.service)
        engine = service.engine if service else None
        tokens = engine.tokens if engine else UNKNOWN_CACHE_TOKENS
        usual = self._parts.paces.find_usual(view.record.service)
        estimate = EngineEstimate(server, usual)
        return TurnQueue(view.record.slots, tokens, estimate)

    def list_paces(self) -> list[EnginePace]:
        """Return the measured paces of the engines that this host coordinates."""
        return [entry.queue.estimate.pace for entry in self._entries.values()]

    def _grant_waiting(self, server: str, entry: QueueEntry) -> None:
        """Grant the requests for which there is room and schedule the next check."""
        now = self._parts.clock.read()
        entry.queue.expire(now)
        for ticket in entry.queue.grant(now):
            self._send_grant(server, ticket)
        if entry.timer is not None:
            entry.timer.cancel()
            entry.timer = None
        if not entry.queue.tickets:
            return
        delay_ms = MAX_CHECK_DELAY_MS
        if entry.queue.has_waiting():
            next_ms = entry.queue.find_next_ms(now)
            delay_ms = min(max(next_ms, MIN_CHECK_DELAY_MS), MAX_CHECK_DELAY_MS)
        loop = asyncio.get_running_loop()
        entry.timer = loop.call_later(
            delay_ms / 1000.0, self._grant_waiting, server, entry
        )

    def _send_grant(self, server: str, ticket: Ticket) -> None:
        grant = TurnGrant(ticket.request_id, server, ticket.unread)
        self._peers.send(ticket.host, grant)
