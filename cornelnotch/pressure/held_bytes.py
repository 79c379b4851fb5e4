"""Count the bytes of requests that servers hold, and learn how many they bear; no I/O.

A server whose memory is exceeded crashes, and all requests there are lost. Which size
that is shows only in crashes, and in the sizes at which servers went on.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelnotch.gateway.models import CallerRequest
from cornelnotch.gateway.servers import ServerView
from cornelnotch.wire.messages import ServerBytes, ServiceBytes

__all__ = [
    "SHARED_BYTES",
    "HeldBytes",
    "measure_own_bytes",
    "measure_request_bytes",
]

# Usual size of a token of a prompt as text.
TOKEN_BYTES = 4
# Hosts share their counts while one of them has this much at one server, or once a
# server has crashed that held as much.
SHARED_BYTES = 1_000_000
# Counts of other hosts are used for this long; they come four times per second.
TOTALS_TTL_MS = 1500.0
# A crash is one of memory only at this share or more of what servers bore before.
FULL_SHARE = 0.9
# Share of the size of a crash that servers get from then on.
SAFE_SHARE = 0.8
# A bound may be too low, as servers grow or a crash had another cause, so it is raised
# by this share after each such time without a crash of memory.
RAISED_SHARE = 0.02
RAISE_INTERVAL_MS = 10_000.0
# Sharing goes on for this long after the last reason for it.
ACTIVE_MS = 10_000.0
# Crashes of memory are remembered for the evidence against requests, and told to other
# hosts for the second time, as a collector may be replaced.
REMEMBERED_CRASHES = 256
TOLD_CRASH_MS = 3000.0
# After this time all hosts have told what they had at a server that crashed.
COMPLETE_MS = 1000.0


def measure_request_bytes(request: CallerRequest) -> int:
    """Return the bytes that a server holds for a request."""
    return len(request.body) + TOKEN_BYTES * request.prompt_tokens


def measure_own_bytes(view: ServerView) -> int:
    """Return the bytes of the requests that this host has sent to a server."""
    return sum(r.held_bytes for r in view.in_flight.values() if r.sent)


@dataclass(slots=True)
class ServiceMemory:
    """The largest size that servers of a service bore, and the least that was fatal.

    The latter was last changed at `changed_ms`.
    """

    borne: int = 0
    fatal: int = 0
    changed_ms: float = 0.0

    @property
    def bound(self) -> int:
        """Return the bytes that a server may hold, 0 if no bound is known."""
        return max(int(self.fatal * SAFE_SHARE), self.borne) if self.fatal else 0


@dataclass(slots=True)
class MemoryCrash:
    """A crash of a server process, and the bytes that each host had there."""

    service: str
    at_ms: float
    by_host: dict[str, int] = field(default_factory=dict)
    is_explained: bool = False
    is_learned: bool = False

    @property
    def size(self) -> int:
        """Return the bytes of all hosts that are known."""
        told = self.by_host.get("", 0)
        return max(told, sum(self.by_host.values()) - told)


class HeldBytes:
    """Bytes of all hosts at each server, and what the servers of a service bear."""

    def __init__(self, host: str) -> None:
        self._host = host
        self._others: dict[str, int] = {}
        self._others_ms = float("-inf")
        self._services: dict[str, ServiceMemory] = {}
        self._crashes: OrderedDict[tuple[str, int], MemoryCrash] = OrderedDict()
        self._active_until_ms = float("-inf")

    def is_active(self, now: float) -> bool:
        """Return whether hosts share their counts."""
        return now < self._active_until_ms

    def activate(self, now: float) -> None:
        """Share counts for a while."""
        self._active_until_ms = now + ACTIVE_MS

    def set_others(
        self, totals: Iterable[ServerBytes], own: dict[str, int], now: float
    ) -> None:
        """Store the totals of all hosts, of which this host had reported `own`."""
        self._others = {
            total.server: max(total.size - own.get(total.server, 0), 0)
            for total in totals
        }
        self._others_ms = now

    def measure(self, view: ServerView, now: float) -> int:
        """Return the bytes that all hosts have at a server, as far as known."""
        own = measure_own_bytes(view)
        if now - self._others_ms > TOTALS_TTL_MS:
            return own
        return own + self._others.get(view.record.name, 0)

    def note_alive(self, view: ServerView, hosts: int, now: float) -> None:
        """Note that a server answers while it holds what it holds.

        `hosts` may have requests there.
        """
        service = view.record.service
        size = self.measure(view, now)
        bound = self.find_bound(service)
        large = min(SHARED_BYTES, bound / hosts) if bound else SHARED_BYTES
        if size < large:
            return
        self.activate(now)
        memory = self._services.setdefault(service, ServiceMemory())
        memory.borne = max(memory.borne, size)

    def note_crash(
        self, server: str, boot_ms: int, service: str, host: str, size: int, now: float
    ) -> bool:
        """Note a crash where `host` had `size`; return whether memory explains it."""
        key = server, boot_ms
        crash = self._crashes.setdefault(key, MemoryCrash(service, now))
        crash.by_host[host] = max(crash.by_host.get(host, 0), size)
        while len(self._crashes) > REMEMBERED_CRASHES:
            self._crashes.popitem(last=False)
        if size:
            self.activate(now)
        memory = self._services.get(service) or ServiceMemory()
        if crash.size >= max(SHARED_BYTES, FULL_SHARE * memory.borne):
            crash.is_explained = True
        return crash.is_explained

    def explains_fall(self, server: str, boot_ms: int, fallen_ms: float) -> bool:
        """Return whether a server process crashed for want of memory."""
        crash = self._crashes.get((server, boot_ms))
        return crash is not None and crash.is_explained

    def list_own_crashes(self, now: float) -> list[ServerBytes]:
        """Return what this host had at servers that have crashed lately."""
        return [
            ServerBytes(server, boot_ms, crash.by_host[self._host])
            for (server, boot_ms), crash in self._crashes.items()
            if self._host in crash.by_host and now - crash.at_ms <= TOLD_CRASH_MS
        ]

    def list_explained(self, now: float) -> list[ServerBytes]:
        """Return the crashes that memory explains, to tell all hosts."""
        return [
            ServerBytes(server, boot_ms, crash.size)
            for (server, boot_ms), crash in self._crashes.items()
            if crash.is_explained and now - crash.at_ms <= TOLD_CRASH_MS
        ]

    def learn_bounds(self, now: float) -> list[ServiceBytes]:
        """Return what servers of each service bear, by crashes that all hosts told.

        Only the collector knows how much all hosts had there.
        """
        for crash in self._crashes.values():
            is_complete = now - crash.at_ms >= COMPLETE_MS
            if crash.is_explained and is_complete and not crash.is_learned:
                crash.is_learned = True
                memory = self._services.setdefault(crash.service, ServiceMemory())
                memory.fatal = min(memory.fatal or crash.size, crash.size)
                memory.changed_ms = now
                # Servers bear less now than at an earlier success.
                memory.borne = min(memory.borne, int(memory.fatal * FULL_SHARE))
        for memory in self._services.values():
            if memory.fatal and now - memory.changed_ms >= RAISE_INTERVAL_MS:
                memory.fatal += int(memory.fatal * RAISED_SHARE)
                memory.changed_ms = now
        return [
            ServiceBytes(service, memory.borne, memory.fatal)
            for service, memory in self._services.items()
            if memory.fatal
        ]

    def set_bounds(self, bounds: Iterable[ServiceBytes], now: float) -> None:
        """Apply what the collector has learned."""
        for told in bounds:
            if told.fatal >= SHARED_BYTES and 0 <= told.borne <= told.fatal:
                memory = self._services.setdefault(told.service, ServiceMemory())
                if memory.fatal != told.fatal:
                    memory.changed_ms = now
                memory.fatal = told.fatal
                memory.borne = min(max(memory.borne, told.borne), told.fatal)

    def find_bound(self, service: str) -> int:
        """Return the bytes that a server may hold, 0 if no bound is known."""
        memory = self._services.get(service)
        return memory.bound if memory is not None else 0

    def list_with_room(
        self, servers: list[ServerView], size: int, now: float
    ) -> list[ServerView]:
        """Return the servers that bear a request of `size` more.

        One that exceeds the bound alone may go to a server that holds nothing.
        """
        if not servers or not self._services:
            return servers
        bound = self.find_bound(servers[0].record.service)
        if not bound:
            return servers
        held = [self.measure(view, now) for view in servers]
        return [
            view
            for view, known in zip(servers, held, strict=True)
            if not known or known + size <= bound
        ]
