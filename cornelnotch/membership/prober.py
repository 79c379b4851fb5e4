"""Probe other hosts and spread news with the probes."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from cornelnotch.exceptions import LogUnavailableError
from cornelnotch.kernel import Clock, Event, EventLog, TaskGroup, rank_owners
from cornelnotch.logservice.base import HostEntry, HostList
from cornelnotch.membership.table import MemberState, MemberTable, ServerTable
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    Ack,
    MemberUpdate,
    Ping,
    PingRequest,
    ServerUpdate,
)

__all__ = ["Prober", "ProberTiming"]

INDIRECT_HELPERS = 3
PING_DEAD_SHARE = 0.2
UNKNOWN_AGE_MS = 1e12
NO_VERSION = -1
SMALL_FLEET = 12
LISTING_DUTY = "host-list"
LISTING_WATCHERS = 3
IDLE_LISTING_TURNS = 300
ROUTER_ROLE = "router"


@dataclass(frozen=True, slots=True)
class ProberTiming:
    """Set the prober's periods in ms."""

    period_ms: float = 500.0
    timeout_ms: float = 200.0
    suspicion_ms: float = 1500.0
    forget_ms: float = 60_000.0
    listing_ms: float = 1000.0
    seeds: tuple[str, ...] = ()


class Prober:
    """Own the member table of one host."""

    def __init__(
        self,
        table: MemberTable,
        servers: ServerTable,
        peers: PeerNetwork,
        hosts: HostList,
        clock: Clock,
        events: EventLog,
        tasks: TaskGroup,
        timing: ProberTiming,
        generator: random.Random,
    ) -> None:
        self.table = table
        self.servers = servers
        self.peer_heard_ms = clock.read()
        self.version = NO_VERSION
        self.log_age_ms: Callable[[], float] = lambda: UNKNOWN_AGE_MS
        self.shared_log_age_ms = UNKNOWN_AGE_MS
        self._shared_at_ms = clock.read()
        self._peers = peers
        self._hosts = hosts
        self._clock = clock
        self._events = events
        self._tasks = tasks
        self._timing = timing
        self._generator = generator
        self._sequence = 0
        self._answered: set[int] = set()
        self._relayed: dict[int, tuple[str, int]] = {}
        self._listeners: list[Callable[[], None]] = []
        self._ahead: Callable[[str, int], None] = lambda host, version: None
        peers.subscribe(Ping, self._receive_ping)
        peers.subscribe(Ack, self._receive_ack)
        peers.subscribe(PingRequest, self._receive_request)

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of hosts or servers."""
        self._listeners.append(listener)

    def subscribe_ahead(self, listener: Callable[[str, int], None]) -> None:
        """Call `listener` when a host with a newer configuration answers."""
        self._ahead = listener

    async def run_probes(self) -> None:
        """Probe one host per period until cancelled."""
        while True:
            self._ping_seeds()
            target = self.table.choose_probe(self._generator)
            if target is not None:
                self._tasks.start(f"probe-{target}", self._probe(target))
            self._ping_dead()
            now = self._clock.read()
            dead = self.table.expire(
                now, self._timing.suspicion_ms, self._timing.forget_ms
            )
            for name in dead:
                self._events.record(Event.MEMBER_CHANGED, host=name, state="dead")
            if dead:
                self._notify()
            await self._clock.sleep(self._timing.period_ms)

    def _ping_seeds(self) -> None:
        """Introduce this host to its seeds while it knows nobody."""
        if len(self.table.members) > 1:
            return
        for address in self._timing.seeds:
            name = f"seed {address}"
            self._peers.set_address(name, address)
            self._peers.send(name, self._create_ping())

    def _ping_dead(self) -> None:
        """Ping a dead host now and then; after a cut both sides think so."""
        if self._generator.random() >= PING_DEAD_SHARE:
            return
        name = self.table.choose_dead(self._generator)
        if name is not None:
            self._send_ping(name)

    async def run_listing(self) -> None:
        """Read the platform's host list until cancelled."""
        turn = 0
        while True:
            if turn % IDLE_LISTING_TURNS == 0 or self._reads_list():
                await self._read_list()
            turn += 1
            await self._clock.sleep(self._timing.listing_ms)

    async def _read_list(self) -> None:
        try:
            listed = await self._hosts.read()
        except LogUnavailableError:
            return
        for entry in listed.entries:
            self._take_entry(entry)

    def _reads_list(self) -> bool:
        """Tell whether this host watches the list for the whole fleet."""
        if len(self.table.members) <= SMALL_FLEET:
            return True
        live = [member.name for member in self.table.list_live()]
        return self.table.name in rank_owners(LISTING_DUTY, live)[:LISTING_WATCHERS]

    def _take_entry(self, entry: HostEntry) -> None:
        if entry.role != ROUTER_ROLE:
            size = len(self.table.members)
            wall_ms = self._clock.read_wall()
            if self.servers.note_listing(entry.name, entry.state, wall_ms, size):
                self._note_server(entry.name, entry.state)
            return
        if entry.name in self.table.members or entry.state != "live":
            return
        # The list lags, so it only introduces hosts; probes decide the rest.
        update = MemberUpdate(
            entry.name, entry.http, entry.peer, entry.place, "suspect", 0
        )
        self._merge([update])

    def share_state(self, state: MemberState) -> None:
        """Announce this host's own state to every host at once."""
        self.table.announce(state)
        for member in self.table.list_live():
            if member.name != self.table.name:
                self._peers.send(member.name, self._create_ping())
        self._notify()

    async def _probe(self, target: str) -> None:
        sequence = self._send_ping(target)
        await self._clock.sleep(self._timing.timeout_ms)
        if sequence in self._answered:
            self._answered.discard(sequence)
            return
        helpers = self.table.choose_helpers(target, INDIRECT_HELPERS, self._generator)
        for helper in helpers:
            self._peers.send(helper, PingRequest(sequence, self.table.name, target))
        await self._clock.sleep(self._timing.timeout_ms * 2)
        if sequence in self._answered:
            self._answered.discard(sequence)
            return
        member = self.table.members.get(target)
        if member is not None and member.state is not MemberState.DEAD:
            self.table.suspect(target, self._clock.read())
            self._events.record(Event.MEMBER_CHANGED, host=target, state="suspect")
            self._notify()

    def _send_ping(self, target: str) -> int:
        ping = self._create_ping(target)
        self._peers.send(target, ping)
        return ping.sequence

    def _create_ping(self, target: str = "") -> Ping:
        self._sequence += 1
        return Ping(
            self._sequence,
            self.table.name,
            self.version,
            self._read_shared_age(),
            self._take_members(target),
            self.servers.take_updates(),
        )

    def _take_members(self, receiver: str) -> list[MemberUpdate]:
        """Return this host's state, what the receiver may refute, and news."""
        own = self.table.own.create_update()
        doubt = self.table.find_suspicion(receiver)
        told = {own.host, receiver} if doubt else {own.host}
        others = [u for u in self.table.take_updates() if u.host not in told]
        return [own, doubt, *others] if doubt else [own, *others]

    def _read_shared_age(self) -> float:
        passed = self._clock.read() - self._shared_at_ms
        return min(self.log_age_ms(), self.shared_log_age_ms + passed, UNKNOWN_AGE_MS)

    def read_log_age(self) -> float:
        """Return ms since this host or one it heard of last read the log."""
        return self._read_shared_age()

    def _note_log_age(self, age_ms: float) -> None:
        if age_ms < self._read_shared_age():
            self.shared_log_age_ms = age_ms
            self._shared_at_ms = self._clock.read()

    def _receive_ping(self, sender: str, ping: Ping) -> None:
        self._take_updates(ping.host, ping.version, ping.members, ping.servers)
        self._note_log_age(ping.log_age_ms)
        ack = Ack(
            ping.sequence,
            self.table.name,
            self.version,
            self._read_shared_age(),
            self._take_members(ping.host),
            self.servers.take_updates(),
        )
        self._peers.send(ping.host, ack)

    def _receive_ack(self, sender: str, ack: Ack) -> None:
        self._take_updates(ack.host, ack.version, ack.members, ack.servers)
        self._note_log_age(ack.log_age_ms)
        relayed = self._relayed.pop(ack.sequence, None)
        if relayed is not None:
            origin, sequence = relayed
            answer = Ack(sequence, ack.host, ack.version, ack.log_age_ms, [], [])
            self._peers.send(origin, answer)
            return
        self._answered.add(ack.sequence)
        if len(self._answered) > 1024:
            self._answered.clear()

    def _receive_request(self, sender: str, request: PingRequest) -> None:
        sequence = self._send_ping(request.target)
        self._relayed[sequence] = (request.host, request.sequence)
        if len(self._relayed) > 256:
            self._relayed.pop(next(iter(self._relayed)))

    def _take_updates(
        self,
        host: str,
        version: int,
        members: list[MemberUpdate],
        servers: list[ServerUpdate],
    ) -> None:
        self.peer_heard_ms = self._clock.read()
        self._merge(members)
        self.table.confirm(host, version, self._clock.read())
        for update in servers:
            if self.servers.merge(update, len(self.table.members)):
                self._note_server(update.server, update.state)
        if version > self.version:
            self._ahead(host, version)

    def _note_server(self, server: str, state: str) -> None:
        if state != "live":
            self._events.record(Event.SERVER_LEAVING, server=server)
        self._notify()

    def _merge(self, updates: list[MemberUpdate]) -> None:
        changed = False
        for update in updates:
            if not self.table.merge(update, self._clock.read()):
                continue
            changed = True
            if update.host == self.table.name:
                continue
            self._peers.set_address(update.host, update.peer)
            self._events.record(
                Event.MEMBER_CHANGED, host=update.host, state=update.state
            )
        if changed:
            self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
