"""State tables of hosts and servers, without I/O or clocks.

The rules are those of SWIM: the update with the higher incarnation takes precedence,
at equal incarnations the worse state does, and a host that learns that it is suspected
increments its own incarnation.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from cornelnotch.wire.messages import MemberUpdate, ServerUpdate

__all__ = ["Member", "MemberState", "MemberTable", "ServerTable"]

MAX_UPDATES_PER_MESSAGE = 6
RETRANSMIT_FACTOR = 4


class MemberState(StrEnum):
    """State of a host as seen by the local host."""

    JOINING = "joining"
    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


_precedence = {
    MemberState.JOINING: 0,
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
}


@dataclass(slots=True)
class Member:
    """Local view of one host; `since_ms` is in local monotonic time."""

    name: str
    http: str
    peer: str
    place: str
    state: MemberState
    incarnation: int
    since_ms: float
    version: int = -1
    retransmissions_left: int = 0
    state_before_suspicion: MemberState = MemberState.ALIVE

    def get_announced_state(self) -> MemberState:
        """Return the state that the host itself has announced last, if known."""
        suspected = self.state is MemberState.SUSPECT
        return self.state_before_suspicion if suspected else self.state

    def create_update(self) -> MemberUpdate:
        """Return the update that announces this state to other hosts."""
        return MemberUpdate(
            self.name,
            self.http,
            self.peer,
            self.place,
            self.state.value,
            self.incarnation,
        )


class MemberTable:
    """Merge updates about hosts and select the updates to disseminate."""

    def __init__(self, self_update: MemberUpdate, now: float) -> None:
        self.name = self_update.host
        self.members: dict[str, Member] = {}
        self._probe_order: list[str] = []
        self.merge(self_update, now)

    @property
    def local_member(self) -> Member:
        """Return this host's own entry."""
        return self.members[self.name]

    def merge(self, update: MemberUpdate, now: float) -> bool:
        """Apply an update and return whether it changed the table."""
        state = MemberState(update.state)
        known = self.members.get(update.host)
        if update.host == self.name and known is not None:
            return self._refute(known, state, update.incarnation)
        if known is not None and not self._supersedes(known, state, update):
            return False
        member = Member(
            update.host,
            update.http,
            update.peer,
            update.place,
            state,
            update.incarnation,
            now,
            known.version if known else -1,
            self._compute_retransmissions(),
        )
        if known is not None and known.incarnation == update.incarnation:
            member.state_before_suspicion = known.get_announced_state()
        self.members[update.host] = member
        return True

    def _supersedes(
        self, known: Member, state: MemberState, update: MemberUpdate
    ) -> bool:
        if update.incarnation != known.incarnation:
            return update.incarnation > known.incarnation
        return _precedence[state] > _precedence[known.state]

    def _refute(self, own: Member, state: MemberState, incarnation: int) -> bool:
        """Refute an update about this host that differs from its own state."""
        if incarnation < own.incarnation:
            return False
        if state == own.state and incarnation == own.incarnation:
            return False
        own.incarnation = incarnation + 1
        own.retransmissions_left = self._compute_retransmissions()
        return True

    def announce(self, state: MemberState) -> None:
        """Set this host's own state and schedule its dissemination."""
        self.local_member.state = state
        self.local_member.incarnation += 1
        self.local_member.retransmissions_left = self._compute_retransmissions()

    def mark_suspect(self, name: str, now: float) -> None:
        """Mark a host that did not respond as suspected."""
        member = self.members.get(name)
        if member is None or member.state in {MemberState.SUSPECT, MemberState.DEAD}:
            return
        member.state_before_suspicion = member.state
        member.state = MemberState.SUSPECT
        member.since_ms = now
        member.retransmissions_left = self._compute_retransmissions()

    def mark_reachable(self, name: str, version: int, now: float) -> None:
        """Record that a host responded; a suspected host regains its previous state."""
        member = self.members.get(name)
        if member is None:
            return
        member.version = max(version, member.version)
        if member.state is MemberState.SUSPECT:
            # Not disseminated: the host itself refutes the suspicion at other hosts.
            member.state = member.state_before_suspicion
            member.since_ms = now

    def expire(self, now: float, suspicion_ms: float, forget_ms: float) -> list[str]:
        """Declare hosts dead once their suspicion times out and return their names.

        Dead hosts are removed after `forget_ms`.
        """
        dead = []
        for member in list(self.members.values()):
            age = now - member.since_ms
            if member.state is MemberState.SUSPECT and age >= suspicion_ms:
                member.state = MemberState.DEAD
                member.since_ms = now
                member.retransmissions_left = self._compute_retransmissions()
                dead.append(member.name)
            elif member.state is MemberState.DEAD and age >= forget_ms:
                del self.members[member.name]
        return dead

    def list_live(self) -> list[Member]:
        """Return the alive hosts and those suspected after being alive.

        Shards and claim streams are assigned to these hosts.
        """
        members = self.members.values()
        return [m for m in members if m.get_announced_state() is MemberState.ALIVE]

    def list_routable(self) -> list[Member]:
        """Return the hosts to which callers may be directed."""
        return [m for m in self.members.values() if m.state is MemberState.ALIVE]

    def choose_probe(self, generator: random.Random) -> str | None:
        """Return the next host to probe, or None if there are no other hosts.

        Each round covers all hosts in random order.
        """
        while True:
            if not self._probe_order:
                self._probe_order = [
                    m.name
                    for m in self.members.values()
                    if m.name != self.name and m.state is not MemberState.DEAD
                ]
                generator.shuffle(self._probe_order)
                if not self._probe_order:
                    return None
            name = self._probe_order.pop()
            member = self.members.get(name)
            if member is not None and member.state is not MemberState.DEAD:
                return name

    def choose_dead_host(self, generator: random.Random) -> str | None:
        """Return a random host that is believed dead, or None if there is none."""
        dead = [m.name for m in self.members.values() if m.state is MemberState.DEAD]
        return generator.choice(dead) if dead else None

    def find_refutable_update(self, name: str) -> MemberUpdate | None:
        """Return the update that lets a host refute that it is suspected or dead."""
        member = self.members.get(name)
        if member is None:
            return None
        refutable = member.state in {MemberState.SUSPECT, MemberState.DEAD}
        return member.create_update() if refutable else None

    def choose_indirect_probers(
        self, target: str, count: int, generator: random.Random
    ) -> list[str]:
        """Return up to `count` random hosts to probe `target` indirectly."""
        names = [
            m.name for m in self.list_routable() if m.name not in {self.name, target}
        ]
        return generator.sample(names, min(count, len(names)))

    def pop_updates(self) -> list[MemberUpdate]:
        """Return the least transmitted updates and count them as sent."""
        pending = [m for m in self.members.values() if m.retransmissions_left > 0]
        pending.sort(key=lambda m: -m.retransmissions_left)
        chosen = pending[:MAX_UPDATES_PER_MESSAGE]
        for member in chosen:
            member.retransmissions_left -= 1
        return [m.create_update() for m in chosen]

    def _compute_retransmissions(self) -> int:
        size = max(len(self.members), 1)
        return RETRANSMIT_FACTOR * size.bit_length()


class ServerTable:
    """Table of the servers that the platform lists as leaving."""

    def __init__(self) -> None:
        self._updates: dict[str, ServerUpdate] = {}
        self._retransmissions_left: dict[str, int] = {}

    def merge(self, update: ServerUpdate, fleet_size: int) -> bool:
        """Apply an update with a higher sequence; return whether the state changed."""
        known = self._updates.get(update.server)
        if known is not None and update.sequence <= known.sequence:
            return False
        changed = known is None or known.state != update.state
        self._updates[update.server] = update
        self._retransmissions_left[update.server] = (
            RETRANSMIT_FACTOR * fleet_size.bit_length()
        )
        return changed

    def update_from_listing(
        self, server: str, state: str, wall_ms: float, fleet_size: int
    ) -> bool:
        """Apply a state read from the host list; return whether it changed."""
        known = self._updates.get(server)
        if known is None and state == "live":
            return False
        if known is not None and known.state == state:
            return False
        return self.merge(ServerUpdate(server, state, int(wall_ms)), fleet_size)

    def list_leaving(self) -> frozenset[str]:
        """Return the servers that must not receive new requests."""
        return frozenset(u.server for u in self._updates.values() if u.state != "live")

    def pop_updates(self) -> list[ServerUpdate]:
        """Return updates with retransmissions left and count them as sent."""
        names: Iterable[str] = [
            n for n, left in self._retransmissions_left.items() if left > 0
        ]
        chosen = list(names)[:MAX_UPDATES_PER_MESSAGE]
        for name in chosen:
            self._retransmissions_left[name] -= 1
        return [self._updates[name] for name in chosen]
