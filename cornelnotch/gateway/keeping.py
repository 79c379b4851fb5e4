"""Keep the turns at the engines that this host is chosen for."""

import asyncio
from dataclasses import dataclass

from cornelnotch.gateway.engines import EngineEstimate
from cornelnotch.gateway.parts import GatewayParts
from cornelnotch.gateway.servers import ServerView
from cornelnotch.gateway.turns import Ticket, TurnQueue
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import EnginePace, TurnAsk, TurnEnd, TurnGrant, TurnWait

__all__ = ["TurnKeeper"]

# The shortest pause before a queue is looked at again.
MIN_WAKE_MS = 5.0
# A queue whose hosts say nothing is looked at this often.
IDLE_WAKE_MS = 250.0
# What an engine of unknown memory is taken to cache.
UNKNOWN_CACHE_TOKENS = 400_000
UNKNOWN_SLOTS = 64
UNKNOWN_BOOT_MS = -1


@dataclass(slots=True)
class Desk:
    """Hold the queue of one life of an engine and when it is looked at next."""

    queue: TurnQueue
    boot_ms: int
    timer: asyncio.TimerHandle | None = None


class TurnKeeper:
    """Own the queues of engines; hosts ask, and hear when their turn is."""

    def __init__(self, parts: GatewayParts, peers: PeerNetwork) -> None:
        self._parts = parts
        self._peers = peers
        self._desks: dict[str, Desk] = {}
        peers.subscribe(TurnAsk, self._receive_ask)
        peers.subscribe(TurnEnd, self._receive_end)

    def count_waiting(self) -> int:
        """Return the requests that wait for a turn."""
        desks = self._desks.values()
        return sum(not t.granted for d in desks for t in d.queue.tickets.values())

    def _receive_ask(self, sender: str, ask: TurnAsk) -> None:
        now = self._parts.clock.read()
        desk = self._find_desk(ask.server)
        asked = Ticket(
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
        ticket = desk.queue.ask(asked)
        granted_before = ticket.granted
        if ask.progress is not None:
            desk.queue.note_progress(ask.request_id, ask.progress, now)
        self._serve(ask.server, desk)
        if ask.stage != "waiting":
            return
        if granted_before:
            # The grant may have been lost.
            self._send_grant(ask.server, ticket)
        elif not ticket.granted:
            wait = desk.queue.estimate_wait(ticket, now)
            unread = desk.queue.count_unread(ticket)
            answer = TurnWait(ask.request_id, ask.server, unread, round(wait, 1))
            self._peers.send(sender, answer)

    def _receive_end(self, sender: str, end: TurnEnd) -> None:
        desk = self._desks.get(end.server)
        if desk is not None:
            if end.progress is not None:
                now = self._parts.clock.read()
                desk.queue.note_progress(end.request_id, end.progress, now)
            desk.queue.end(end.request_id)
            self._serve(end.server, desk)

    def _find_desk(self, server: str) -> Desk:
        desk = self._desks.get(server)
        view = self._parts.pool.servers.get(server)
        boot_ms = view.record.boot_ms if view else UNKNOWN_BOOT_MS
        # A list that lapsed says nothing new of an engine.
        if desk is not None and boot_ms in {desk.boot_ms, UNKNOWN_BOOT_MS}:
            return desk
        self._drop_idle()
        if desk is not None and desk.timer is not None:
            desk.timer.cancel()
        desk = self._desks[server] = Desk(self._create_queue(server, view), boot_ms)
        return desk

    def _drop_idle(self) -> None:
        """Forget engines that are gone and for which nothing waits or runs."""
        listed = self._parts.pool.servers
        for name, desk in list(self._desks.items()):
            if name not in listed and not desk.queue.tickets:
                del self._desks[name]

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
        """Return what is known of the engines whose turns this host keeps."""
        return [desk.queue.estimate.pace for desk in self._desks.values()]

    def _serve(self, server: str, desk: Desk) -> None:
        """Grant what there is room for and set the time of the next look."""
        now = self._parts.clock.read()
        desk.queue.expire(now)
        for ticket in desk.queue.grant(now):
            self._send_grant(server, ticket)
        if desk.timer is not None:
            desk.timer.cancel()
            desk.timer = None
        if not desk.queue.tickets:
            return
        wake_ms = IDLE_WAKE_MS
        if desk.queue.has_waiting():
            next_ms = desk.queue.find_next_ms(now)
            wake_ms = min(max(next_ms, MIN_WAKE_MS), IDLE_WAKE_MS)
        loop = asyncio.get_running_loop()
        desk.timer = loop.call_later(wake_ms / 1000.0, self._serve, server, desk)

    def _send_grant(self, server: str, ticket: Ticket) -> None:
        grant = TurnGrant(ticket.request_id, server, ticket.unread)
        self._peers.send(ticket.host, grant)
