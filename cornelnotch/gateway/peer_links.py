"""Know which hosts are cut off from which services, and choose hosts that are not."""

import asyncio
import itertools
import random
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from cornelnotch.gateway.broadcast import Broadcaster
from cornelnotch.gateway.server_links import ServerLinks
from cornelnotch.kernel.clock import Clock
from cornelnotch.membership import Member
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import LinkNotice, LinkQuery, LinkReply

__all__ = ["PeerLinks", "choose_peer"]

NOTICE_INTERVAL_MS = 1000.0
# Notices go to all hosts, and many hosts may be cut off at once. In a fleet with more
# hosts than this, each repeats its notice less often.
NOTICED_HOSTS = 16
# A notice that is not repeated in this many intervals expires.
LIFETIME_INTERVALS = 3.0

# Other hosts that are asked whether they reach a service.
MAX_ASKED = 4
# Longer than a host takes to find that servers accept no connections.
ANSWER_TIMEOUT_MS = 900.0


@dataclass(frozen=True, slots=True)
class PeerCutOff:
    """Services that a host said it cannot reach."""

    services: frozenset[str]
    told_ms: float


def choose_peer(
    members: Collection[Member],
    place: str,
    regions: Mapping[str, str],
    generator: random.Random,
) -> Member | None:
    """Return a random host, of the region of `place` if there is one."""
    region = regions.get(place)
    near = [member for member in members if regions.get(member.place) == region]
    chosen = sorted(near or members, key=lambda member: member.name)
    return generator.choice(chosen) if chosen else None


class PeerLinks:
    """Exchange of what hosts are cut off from."""

    def __init__(
        self,
        clock: Clock,
        links: ServerLinks,
        peers: PeerNetwork,
        broadcaster: Broadcaster,
        list_hosts: Callable[[], list[str]],
        list_members: Callable[[], list[Member]],
        name: str,
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._links = links
        self._broadcaster = broadcaster
        self._list_hosts = list_hosts
        self._list_members = list_members
        self._name = name
        self._known: dict[str, PeerCutOff] = {}
        self._peers = peers
        self._generator = generator
        self._numbers = itertools.count()
        self._replies: dict[int, asyncio.Future[bool]] = {}
        self._answering: set[asyncio.Task[None]] = set()
        peers.subscribe(LinkNotice, self._receive)
        peers.subscribe(LinkQuery, self._receive_query)
        peers.subscribe(LinkReply, self._receive_reply)
        links.announce = self.broadcast
        links.ask_others = self.ask_others
        links.has_others = self.has_others

    async def run(self) -> None:
        """Repeat the notice while this host is cut off, until cancelled."""
        while True:
            await self._clock.sleep(self._find_interval_ms())
            if self._links.list_cut_off():
                self.broadcast()

    def _find_interval_ms(self) -> float:
        """Return the time between two notices of a host in this fleet."""
        return NOTICE_INTERVAL_MS * max(len(self._list_hosts()) / NOTICED_HOSTS, 1.0)

    def broadcast(self) -> None:
        """Tell all hosts what this host is cut off from now."""
        services = self._links.list_cut_off()
        self._send(LinkNotice(self._name, services, []), self._list_hosts())

    def _send(self, notice: LinkNotice, names: list[str]) -> None:
        self._broadcaster.broadcast(
            names, lambda targets: LinkNotice(notice.host, notice.services, targets)
        )

    def has_others(self) -> bool:
        """Return whether this host knows another one."""
        return any(member.name != self._name for member in self._list_members())

    async def ask_others(self, service: str) -> bool:
        """Return whether one of a few other hosts reaches a server of a service."""
        names = sorted(member.name for member in self.list_linked(service))
        asked = self._generator.sample(names, min(len(names), MAX_ASKED))
        queries = [asyncio.create_task(self._query(name, service)) for name in asked]
        try:
            for query in asyncio.as_completed(queries):
                if await query:
                    return True
            return False
        finally:
            for task in queries:
                task.cancel()

    async def _query(self, name: str, service: str) -> bool:
        number = next(self._numbers)
        future = asyncio.get_running_loop().create_future()
        self._replies[number] = future
        self._peers.send(name, LinkQuery(number, service))
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_MS / 1000.0):
                return await future
        except TimeoutError:
            return False
        finally:
            del self._replies[number]

    def _receive_query(self, sender: str, query: LinkQuery) -> None:
        task = asyncio.create_task(self._answer(sender, query))
        self._answering.add(task)
        task.add_done_callback(self._answering.discard)

    async def _answer(self, sender: str, query: LinkQuery) -> None:
        reached = await self._links.reaches(query.service)
        self._peers.send(sender, LinkReply(query.number, reached))

    def _receive_reply(self, sender: str, reply: LinkReply) -> None:
        future = self._replies.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply.reached)

    def _receive(self, sender: str, notice: LinkNotice) -> None:
        self._send(notice, notice.targets)
        now = self._clock.read()
        self._known[notice.host] = PeerCutOff(frozenset(notice.services), now)

    def list_linked(self, service: str) -> list[Member]:
        """Return the other hosts not known to be cut off from a service."""
        lifetime_ms = LIFETIME_INTERVALS * self._find_interval_ms()
        since_ms = self._clock.read() - lifetime_ms
        return [
            member
            for member in self._list_members()
            if member.name != self._name
            and not self._is_cut_off(member.name, service, since_ms)
        ]

    def _is_cut_off(self, host: str, service: str, since_ms: float) -> bool:
        known = self._known.get(host)
        return (
            known is not None
            and known.told_ms >= since_ms
            and service in known.services
        )
