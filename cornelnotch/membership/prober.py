"""Probe other hosts and disseminate membership updates with the probes."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from cornelnotch.exceptions import LogUnavailableError
from cornelnotch.kernel import Clock, Event, EventLog, TaskSupervisor, rank_owners
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

INDIRECT_PROBE_HOSTS = 3
PING_DEAD_PROBABILITY = 0.2
UNKNOWN_AGE_MS = 1e12
NO_VERSION = -1
SMALL_FLEET_HOSTS = 12
LISTING_DUTY = "host-list"
LISTING_READERS = 3
FALLBACK_LISTING_ROUNDS = 300
ROUTER_ROLE = "router"


@dataclass(frozen=True, slots=True)
class ProberTiming:
    """Periods and timeouts of the prober in ms, and the addresses of seed hosts."""

    period_ms: float = 500.0
    timeout_ms: float = 200.0
    suspicion_ms: float = 1500.0
    forget_ms: float = 60_000.0
    listing_ms: float = 1000.0
    seeds: tuple[str, ...] = ()


class Prober:
    """Failure detector of one host, which maintains its member table."""

    def __init__(
        self,
        table: MemberTable,
        servers: ServerTable,
        peers: PeerNetwork,
        hosts: HostList,
        clock: Clock,
        events: EventLog,
        tasks: TaskSupervisor,
        timing: ProberTiming,
        generator: random.Random,
    ) -> None:
        self.table = table
        self.servers = servers
        self.last_peer_message_ms = clock.read()
        self.version = NO_VERSION
        self.log_age_ms: Callable[[], float] = lambda: UNKNOWN_AGE_MS
        self.shared_log_age_ms = UNKNOWN_AGE_MS
        self._shared_log_age_set_ms = clock.read()
        self._peers = peers
        self._hosts = hosts
        self._clock = clock
        self._events = events
        self._tasks = tasks
        self._timing = timing
        self._seeds = timing.seeds
        self._listed_seeds: tuple[str, ...] = ()
        self._started_ms = clock.read()
        self._unmet = 0
        self._generator = generator
        self._sequence = 0
        self._acked_sequences: set[int] = set()
        self._relayed_pings: dict[int, tuple[str, int]] = {}
        self._listeners: list[Callable[[], None]] = []
        self._newer_version_listener: Callable[[str, int], None] = (
            lambda host, version: None
        )
        peers.subscribe(Ping, self._receive_ping)
        peers.subscribe(Ack, self._receive_ack)
        peers.subscribe(PingRequest, self._receive_ping_request)

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the addresses of the seed hosts."""
        self._seeds = seeds
        self._ping_seeds()

    def set_listed_seeds(self, seeds: tuple[str, ...]) -> bool:
        """Replace the further seeds that a list names; return whether they changed."""
        changed = seeds != self._listed_seeds
        self._listed_seeds = seeds
        self._ping_seeds()
        return changed

    def is_alone(self) -> bool:
        """Return whether this host knows no other members."""
        return len(self.table.members) <= 1

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change of hosts or servers."""
        self._listeners.append(listener)

    def subscribe_newer_version(self, listener: Callable[[str, int], None]) -> None:
        """Call `listener` when a host with a newer configuration sends a message."""
        self._newer_version_listener = listener

    def count_unmet(self) -> int:
        """Return the number of seed hosts that may run while this one knows no other.

        They count as long as dead hosts do.
        """
        waited_ms = self._clock.read() - self._started_ms
        if not self.is_alone() or waited_ms >= self._timing.forget_ms:
            return 0
        return len(self._seeds)

    async def run_probes(self) -> None:
        """Probe one host per period until cancelled."""
        while True:
            self._ping_seeds()
            target = self.table.choose_probe(self._generator)
            if target is not None:
                self._tasks.start(f"probe-{target}", self._probe(target))
            self._ping_dead()
            now = self._clock.read()
            known, unmet = len(self.table.members), self.count_unmet()
            dead = self.table.expire(
                now, self._timing.suspicion_ms, self._timing.forget_ms
            )
            for name in dead:
                self._events.record(Event.MEMBER_CHANGED, host=name, state="dead")
            is_smaller = len(self.table.members) < known
            if dead or is_smaller or unmet != self._unmet:
                self._unmet = unmet
                self._notify()
            await self._clock.sleep(self._timing.period_ms)

    def _ping_seeds(self) -> None:
        """Ping the seed hosts while this host knows no other members."""
        if not self.is_alone():
            return
        for address in dict.fromkeys((*self._seeds, *self._listed_seeds)):
            name = f"seed {address}"
            self._peers.set_address(name, address)
            self._peers.send(name, self._create_ping())

    def _ping_dead(self) -> None:
        """Occasionally ping a dead host.

        After a network partition, each side considers the other dead; these pings
        let them find each other again.
        """
        if self._generator.random() >= PING_DEAD_PROBABILITY:
            return
        name = self.table.choose_dead_host(self._generator)
        if name is not None:
            self._send_ping(name)

    async def run_host_list_polling(self) -> None:
        """Read the platform's host list until cancelled."""
        round_number = 0
        while True:
            if round_number % FALLBACK_LISTING_ROUNDS == 0 or self._should_read_list():
                await self._read_list()
            round_number += 1
            await self._clock.sleep(self._timing.listing_ms)

    async def _read_list(self) -> None:
        try:
            listed = await self._hosts.read()
        except LogUnavailableError:
            return
        for entry in listed.entries:
            self._process_list_entry(entry)

    def _should_read_list(self) -> bool:
        """Return whether this host reads the list on behalf of all hosts."""
        if len(self.table.members) <= SMALL_FLEET_HOSTS:
            return True
        live = [member.name for member in self.table.list_live()]
        return self.table.name in rank_owners(LISTING_DUTY, live)[:LISTING_READERS]

    def _process_list_entry(self, entry: HostEntry) -> None:
        if entry.role != ROUTER_ROLE:
            size = len(self.table.members)
            wall_ms = self._clock.read_wall()
            if self.servers.update_from_listing(entry.name, entry.state, wall_ms, size):
                self._report_server_change(entry.name, entry.state)
            return
        if entry.name in self.table.members or entry.state != "live":
            return
        # The list lags, so it is used only to discover hosts; probes determine
        # their state.
        update = MemberUpdate(
            entry.name, entry.http, entry.peer, entry.place, "suspect", 0
        )
        self._merge([update])

    def announce_state(self, state: MemberState) -> None:
        """Set this host's own state and send it to all live hosts immediately."""
        self.table.announce(state)
        for member in self.table.list_live():
            if member.name != self.table.name:
                self._peers.send(member.name, self._create_ping())
        self._notify()

    async def _probe(self, target: str) -> None:
        sequence = self._send_ping(target)
        await self._clock.sleep(self._timing.timeout_ms)
        if sequence in self._acked_sequences:
            self._acked_sequences.discard(sequence)
            return
        probers = self.table.choose_indirect_probers(
            target, INDIRECT_PROBE_HOSTS, self._generator
        )
        for prober in probers:
            self._peers.send(prober, PingRequest(sequence, self.table.name, target))
        await self._clock.sleep(self._timing.timeout_ms * 2)
        if sequence in self._acked_sequences:
            self._acked_sequences.discard(sequence)
            return
        member = self.table.members.get(target)
        if member is not None and member.state is not MemberState.DEAD:
            self.table.mark_suspect(target, self._clock.read())
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
            self._compute_shared_log_age(),
            self._select_member_updates(target),
            self.servers.pop_updates(),
        )

    def _select_member_updates(self, receiver: str) -> list[MemberUpdate]:
        """Return this host's state, a suspicion of the receiver, and recent updates."""
        own = self.table.local_member.create_update()
        refutable = self.table.find_refutable_update(receiver)
        excluded = {own.host, receiver} if refutable else {own.host}
        others = [u for u in self.table.pop_updates() if u.host not in excluded]
        return [own, refutable, *others] if refutable else [own, *others]

    def _compute_shared_log_age(self) -> float:
        elapsed = self._clock.read() - self._shared_log_age_set_ms
        return min(self.log_age_ms(), self.shared_log_age_ms + elapsed, UNKNOWN_AGE_MS)

    def find_shared_log_age_ms(self) -> float:
        """Return the time since any known host last read the log, in ms."""
        return self._compute_shared_log_age()

    def _update_shared_log_age(self, age_ms: float) -> None:
        if age_ms < self._compute_shared_log_age():
            self.shared_log_age_ms = age_ms
            self._shared_log_age_set_ms = self._clock.read()

    def _receive_ping(self, sender: str, ping: Ping) -> None:
        self._apply_updates(ping.host, ping.version, ping.members, ping.servers)
        self._update_shared_log_age(ping.log_age_ms)
        ack = Ack(
            ping.sequence,
            self.table.name,
            self.version,
            self._compute_shared_log_age(),
            self._select_member_updates(ping.host),
            self.servers.pop_updates(),
        )
        self._peers.send(ping.host, ack)

    def _receive_ack(self, sender: str, ack: Ack) -> None:
        self._apply_updates(ack.host, ack.version, ack.members, ack.servers)
        self._update_shared_log_age(ack.log_age_ms)
        relayed = self._relayed_pings.pop(ack.sequence, None)
        if relayed is not None:
            origin, sequence = relayed
            answer = Ack(sequence, ack.host, ack.version, ack.log_age_ms, [], [])
            self._peers.send(origin, answer)
            return
        self._acked_sequences.add(ack.sequence)
        if len(self._acked_sequences) > 1024:
            self._acked_sequences.clear()

    def _receive_ping_request(self, sender: str, request: PingRequest) -> None:
        sequence = self._send_ping(request.target)
        self._relayed_pings[sequence] = (request.host, request.sequence)
        if len(self._relayed_pings) > 256:
            self._relayed_pings.pop(next(iter(self._relayed_pings)))

    def _apply_updates(
        self,
        host: str,
        version: int,
        members: list[MemberUpdate],
        servers: list[ServerUpdate],
    ) -> None:
        self.last_peer_message_ms = self._clock.read()
        self._merge(members)
        self.table.mark_reachable(host, version, self._clock.read())
        for update in servers:
            if self.servers.merge(update, len(self.table.members)):
                self._report_server_change(update.server, update.state)
        if version > self.version:
            self._newer_version_listener(host, version)

    def _report_server_change(self, server: str, state: str) -> None:
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
