"""Keep the state of hosts and servers; pure, without sockets or clocks.

The rules are those of SWIM: an update with a higher incarnation wins, at the
same incarnation the worse state wins, and a host that hears it is suspected
raises its own incarnation.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from cornelnotch.wire.messages import MemberUpdate, ServerUpdate

__all__ = ["Member", "MemberState", "MemberTable", "ServerTable"]

UPDATES_PER_MESSAGE = 6
RETRANSMIT_FACTOR = 4


class MemberState(StrEnum):
    """Name what a host is believed to be."""

    JOINING = "joining"
    ALIVE = "alive"
    LEAVING = "leaving"
    SUSPECT = "suspect"
    DEAD = "dead"


_rank = {
    MemberState.JOINING: 0,
    MemberState.ALIVE: 0,
    MemberState.LEAVING: 1,
    MemberState.SUSPECT: 2,
    MemberState.DEAD: 3,
}


@dataclass(slots=True)
class Member:
    """Hold what is known of one host; `since_ms` is local monotonic time."""

    name: str
    http: str
    peer: str
    place: str
    state: MemberState
    incarnation: int
    since_ms: float
    version: int = -1
    sends_left: int = 0
    before_suspicion: MemberState = MemberState.ALIVE

    def create_update(self) -> MemberUpdate:
        """Return the update that tells others."""
        return MemberUpdate(
            self.name,
            self.http,
            self.peer,
            self.place,
            self.state.value,
            self.incarnation,
        )


class MemberTable:
    """Merge updates about hosts and choose what to pass on."""

    def __init__(self, self_update: MemberUpdate, now: float) -> None:
        self.name = self_update.host
        self.members: dict[str, Member] = {}
        self._order: list[str] = []
        self.merge(self_update, now)

    @property
    def own(self) -> Member:
        """Return this host's own entry."""
        return self.members[self.name]

    def merge(self, update: MemberUpdate, now: float) -> bool:
        """Take in an update; tell whether it changed anything."""
        state = MemberState(update.state)
        known = self.members.get(update.host)
        if update.host == self.name and known is not None:
            return self._defend(known, state, update.incarnation)
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
            self._count_sends(),
        )
        self.members[update.host] = member
        return True

    def _supersedes(
        self, known: Member, state: MemberState, update: MemberUpdate
    ) -> bool:
        if update.incarnation != known.incarnation:
            return update.incarnation > known.incarnation
        return _rank[state] > _rank[known.state]

    def _defend(self, own: Member, state: MemberState, incarnation: int) -> bool:
        """Refute what others believe of this host when it is worse than true."""
        if incarnation < own.incarnation:
            return False
        if state == own.state and incarnation == own.incarnation:
            return False
        own.incarnation = incarnation + 1
        own.sends_left = self._count_sends()
        return True

    def announce(self, state: MemberState) -> None:
        """Change this host's own state and tell others."""
        self.own.state = state
        self.own.incarnation += 1
        self.own.sends_left = self._count_sends()

    def suspect(self, name: str, now: float) -> None:
        """Doubt a host that did not answer."""
        member = self.members.get(name)
        if member is None or member.state in {MemberState.SUSPECT, MemberState.DEAD}:
            return
        member.before_suspicion = member.state
        member.state = MemberState.SUSPECT
        member.since_ms = now
        member.sends_left = self._count_sends()

    def confirm(self, name: str, version: int, now: float) -> None:
        """Note direct evidence that a host answers."""
        member = self.members.get(name)
        if member is None:
            return
        member.version = max(version, member.version)
        if member.state is MemberState.SUSPECT:
            # Only local: others hear it from the host itself, which refutes.
            member.state = member.before_suspicion
            member.since_ms = now

    def expire(self, now: float, suspicion_ms: float, forget_ms: float) -> list[str]:
        """Declare long-suspected hosts dead; return their names."""
        dead = []
        for member in list(self.members.values()):
            age = now - member.since_ms
            if member.state is MemberState.SUSPECT and age >= suspicion_ms:
                member.state = MemberState.DEAD
                member.since_ms = now
                member.sends_left = self._count_sends()
                dead.append(member.name)
            elif member.state is MemberState.DEAD and age >= forget_ms:
                del self.members[member.name]
        return dead

    def list_live(self) -> list[Member]:
        """Return hosts that take duties: alive or suspected."""
        usable = {MemberState.ALIVE, MemberState.SUSPECT}
        return [m for m in self.members.values() if m.state in usable]

    def list_entries(self) -> list[Member]:
        """Return hosts that callers may be sent to."""
        return [m for m in self.members.values() if m.state is MemberState.ALIVE]

    def choose_probe(self, generator: random.Random) -> str | None:
        """Return the next host to probe; each is probed once per round."""
        while True:
            if not self._order:
                self._order = [
                    m.name
                    for m in self.members.values()
                    if m.name != self.name and m.state is not MemberState.DEAD
                ]
                generator.shuffle(self._order)
                if not self._order:
                    return None
            name = self._order.pop()
            member = self.members.get(name)
            if member is not None and member.state is not MemberState.DEAD:
                return name

    def choose_dead(self, generator: random.Random) -> str | None:
        """Return a host believed dead that may be worth a greeting."""
        dead = [m.name for m in self.members.values() if m.state is MemberState.DEAD]
        return generator.choice(dead) if dead else None

    def find_suspicion(self, name: str) -> MemberUpdate | None:
        """Return what a host must hear to refute that it is suspected or dead."""
        member = self.members.get(name)
        if member is None:
            return None
        doubted = member.state in {MemberState.SUSPECT, MemberState.DEAD}
        return member.create_update() if doubted else None

    def choose_helpers(
        self, target: str, count: int, generator: random.Random
    ) -> list[str]:
        """Return hosts that may probe `target` on this host's behalf."""
        names = [
            m.name for m in self.list_entries() if m.name not in {self.name, target}
        ]
        return generator.sample(names, min(count, len(names)))

    def take_updates(self) -> list[MemberUpdate]:
        """Return the freshest updates and count them as sent."""
        fresh = [m for m in self.members.values() if m.sends_left > 0]
        fresh.sort(key=lambda m: -m.sends_left)
        chosen = fresh[:UPDATES_PER_MESSAGE]
        for member in chosen:
            member.sends_left -= 1
        return [m.create_update() for m in chosen]

    def _count_sends(self) -> int:
        size = max(len(self.members), 1)
        return RETRANSMIT_FACTOR * size.bit_length()


class ServerTable:
    """Keep which servers the platform lists as leaving."""

    def __init__(self) -> None:
        self._updates: dict[str, ServerUpdate] = {}
        self._sends: dict[str, int] = {}

    def merge(self, update: ServerUpdate, fleet_size: int) -> bool:
        """Take in an update; the higher sequence wins."""
        known = self._updates.get(update.server)
        if known is not None and update.sequence <= known.sequence:
            return False
        changed = known is None or known.state != update.state
        self._updates[update.server] = update
        self._sends[update.server] = RETRANSMIT_FACTOR * fleet_size.bit_length()
        return changed

    def note_listing(
        self, server: str, state: str, wall_ms: float, fleet_size: int
    ) -> bool:
        """Take in what the host list says; tell whether it is news."""
        known = self._updates.get(server)
        if known is None and state == "live":
            return False
        if known is not None and known.state == state:
            return False
        return self.merge(ServerUpdate(server, state, int(wall_ms)), fleet_size)

    def list_leaving(self) -> frozenset[str]:
        """Return the servers that must get no new work."""
        return frozenset(u.server for u in self._updates.values() if u.state != "live")

    def take_updates(self) -> list[ServerUpdate]:
        """Return updates not yet passed on often enough."""
        names: Iterable[str] = [n for n, left in self._sends.items() if left > 0]
        chosen = list(names)[:UPDATES_PER_MESSAGE]
        for name in chosen:
            self._sends[name] -= 1
        return [self._updates[name] for name in chosen]
