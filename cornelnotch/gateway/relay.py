"""Decide which hosts read the store and whom they tell; pure.

Two hosts read for the whole fleet and pass changes on. A host that hears nothing reads
by itself, and one that cannot read either asks others. Readers that cannot read say so,
and the next in rank take over, so that an outage of the store brings no crowd to it.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from cornelnotch.kernel.hashing import rank_owners

__all__ = ["Branch", "RelayPlan", "Source", "split_targets"]

READERS = 2
READING_DUTY = "records"
# News older than this means that the sender cannot read the store.
UNABLE_AGE_MS = 1500.0
# Hosts without news this fresh read by themselves, in time for a bound of 3 s.
STALE_MS = {"configuration": 1700.0, "servers": 1400.0}
# A host that hears even that others cannot read leaves it to those whose turn it is.
HEARD_MS = 1500.0
# What a host said of itself is forgotten when it is not repeated.
UNABLE_MEMORY_MS = 3000.0
# The next in rank read after a pause: where nobody can, they call one after another.
REPLACE_MS = 300.0
# Messages that one host sends within its region for one change.
FAN_OUT = 16


@dataclass(frozen=True, slots=True)
class Source:
    """Name a host that may read, with its failure domain."""

    name: str
    domain: str


@dataclass(frozen=True, slots=True)
class Branch:
    """Name the host that gets news and those that it passes them on to."""

    head: str
    rest: list[str]


def split_targets(
    names: Collection[str], own: str, regions: Mapping[str, str]
) -> list[Branch]:
    """Split hosts into branches; other regions get one copy each.

    `regions` maps hosts to regions; `own` is the sender's region. The first host
    of a branch passes the message on, so callers shuffle `names`: a head that is
    dead then misses one message and not all.
    """
    by_region: dict[str, list[str]] = {}
    for name in names:
        by_region.setdefault(regions.get(name, own), []).append(name)
    near = by_region.pop(own, [])
    branches = [
        Branch(head, near[FAN_OUT + i :: FAN_OUT])
        for i, head in enumerate(near[:FAN_OUT])
    ]
    return branches + [Branch(far[0], far[1:]) for far in by_region.values()]


@dataclass(frozen=True, slots=True)
class Inability:
    """Remember since when a host cannot read, and when it last said so."""

    since_ms: float
    told_ms: float


class RelayPlan:
    """Hold what one host believes about the readers of the store."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._order: list[Source] = []
        self._unable: dict[str, Inability] = {}
        self._fresh_ms: dict[str, float] = {}
        self._heard_ms: dict[str, float] = {}

    def set_hosts(self, hosts: Collection[Source]) -> None:
        """Take in the hosts that are alive."""
        found = {host.name: host for host in hosts}
        self._order = [found[name] for name in rank_owners(READING_DUTY, found)]

    def note_age(self, host: str, topic: str, age_ms: float, now: float) -> None:
        """Take in how old a host's reading of a topic is."""
        if host != self.name:
            self._heard_ms[topic] = now
        if age_ms > UNABLE_AGE_MS:
            known = self._unable.get(host)
            lapsed = known is None or now - known.told_ms > UNABLE_MEMORY_MS
            since_ms = now if lapsed or known is None else known.since_ms
            self._unable[host] = Inability(since_ms, now)
        else:
            self._unable.pop(host, None)
        read_ms = now - age_ms
        self._fresh_ms[topic] = max(self._fresh_ms.get(topic, read_ms), read_ms)

    def read_age(self, topic: str, now: float) -> float:
        """Return ms since somebody read the topic, as far as this host knows."""
        return now - self._fresh_ms.get(topic, float("-inf"))

    def is_stale(self, topic: str, now: float) -> bool:
        """Tell whether what this host knows of a topic is too old."""
        return self.read_age(topic, now) > STALE_MS[topic]

    def list_readers(self, now: float) -> list[str]:
        """Return the hosts that are to read, in different domains if possible."""
        able = [host for host in self._order if not self._is_replaced(host.name, now)]
        return self._choose(able)

    def _is_replaced(self, host: str, now: float) -> bool:
        known = self._unable.get(host)
        if known is None or now - known.told_ms > UNABLE_MEMORY_MS:
            return False
        return now - known.since_ms >= REPLACE_MS

    def _choose(self, hosts: list[Source]) -> list[str]:
        """Return the first hosts in order, in different domains if possible."""
        first = hosts[:1]
        others = [h for h in hosts[1:] if h.domain != first[0].domain]
        chosen = first + (others or hosts[1:])[: READERS - 1]
        return [host.name for host in chosen]

    def must_read(self, topic: str, now: float) -> bool:
        """Tell whether this host is to read the topic now."""
        if self.name in self.list_readers(now):
            return True
        # The usual readers go on trying, so that others learn when they can again.
        if self.name in self._choose(self._order):
            return True
        heard = now - self._heard_ms.get(topic, float("-inf")) <= HEARD_MS
        return self.is_stale(topic, now) and not heard

    def must_tell(self, now: float) -> bool:
        """Tell whether this host is to pass on what it reads."""
        usual = self._choose(self._order)
        return self.name in usual or self.name in self.list_readers(now)
