"""Decide which hosts read the store and to whom they relay changes; no I/O.

Two hosts read for the whole fleet and relay changes. A host that receives nothing reads
the store itself, and asks other hosts if it cannot. Readers that cannot read announce
it and the next in rank take over, so that an outage of the store does not make all
hosts call it at once.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from cornelnotch.kernel.hashing import rank_owners

__all__ = ["Branch", "ReaderCandidate", "RelayPlan", "split_targets"]

READERS = 2
READING_DUTY = "records"
# Load reports and other duties go with the reading of this topic.
DUTY_TOPIC = "servers"
# An update older than this means that its sender cannot read the store.
UNABLE_AGE_MS = 1500.0
# A host whose copy of a topic is older reads the store itself, so that every copy stays
# within the bound of 3 s.
STALE_MS = {"configuration": 1700.0, "servers": 1400.0}
# A host does not read the store within this time after a message from another host,
# even if that message says that the other host cannot read.
CONTACT_TTL_MS = 1500.0
# A host's announcement that it cannot read the store expires after this time unless it
# is repeated.
UNABLE_TTL_MS = 3000.0
# Delay before the next in rank take over, so that they call a failed store one by one.
TAKEOVER_DELAY_MS = 300.0
# Hosts of its region to which a host sends each change; they forward it to the others.
FAN_OUT = 16


@dataclass(frozen=True, slots=True)
class ReaderCandidate:
    """A host that can read the store, with its failure domain."""

    name: str
    domain: str


@dataclass(frozen=True, slots=True)
class Branch:
    """A host that receives a message and the hosts it forwards the message to."""

    head: str
    others: list[str]


def split_targets(
    names: Collection[str], own: str, regions: Mapping[str, str]
) -> list[Branch]:
    """Split hosts into forwarding branches, one for each other region.

    `regions` maps hosts to regions; `own` is the sender's region. The first host of a
    branch forwards the message, so callers shuffle `names`: otherwise a dead first host
    would cut its branch off from every message, not just from one.
    """
    by_region: dict[str, list[str]] = {}
    for name in names:
        by_region.setdefault(regions.get(name, own), []).append(name)
    local = by_region.pop(own, [])
    branches = [
        Branch(head, local[FAN_OUT + i :: FAN_OUT])
        for i, head in enumerate(local[:FAN_OUT])
    ]
    return branches + [Branch(remote[0], remote[1:]) for remote in by_region.values()]


@dataclass(frozen=True, slots=True)
class Inability:
    """When a host became unable to read and when it last announced so."""

    since_ms: float
    announced_ms: float


class RelayPlan:
    """Choose the readers of the store, as seen from one host."""

    def __init__(self, name: str) -> None:
        self.name = name
        self._ranked_hosts: list[ReaderCandidate] = []
        # By topic and host.
        self._unable: dict[str, dict[str, Inability]] = {}
        self._read_ms: dict[str, float] = {}
        self._contact_ms: dict[str, float] = {}
        self._missed_ms: dict[str, float] = {}

    def set_hosts(self, hosts: Collection[ReaderCandidate]) -> None:
        """Replace the list of live hosts."""
        by_name = {host.name: host for host in hosts}
        self._ranked_hosts = [
            by_name[name] for name in rank_owners(READING_DUTY, by_name)
        ]

    def record_age(self, host: str, topic: str, age_ms: float, now: float) -> None:
        """Record the age of a host's last read, of which this host has all records."""
        if host != self.name:
            self._contact_ms[topic] = now
        self._record_ability(host, topic, age_ms, now)
        read_ms = now - age_ms
        self._read_ms[topic] = max(self._read_ms.get(topic, read_ms), read_ms)

    def record_missed(self, host: str, topic: str, age_ms: float, now: float) -> None:
        """Record the age of a host's last read, of which this host lacks records.

        The copy of this host does not become fresher by that. If the other host can
        read the store, this one need not wait for it, so this is no contact either.
        """
        self._record_ability(host, topic, age_ms, now)
        if age_ms > UNABLE_AGE_MS:
            self._contact_ms[topic] = now
        else:
            self._missed_ms[topic] = now

    def _record_ability(self, host: str, topic: str, age_ms: float, now: float) -> None:
        """Record whether a host can read a topic, by the age of its copy.

        Only a read of its own proves that it can: others may have refreshed its copy.
        """
        if age_ms <= 0.0:
            self._unable.get(topic, {}).pop(host, None)
        elif age_ms > UNABLE_AGE_MS:
            self.record_unable(host, topic, now)

    def record_unable(self, host: str, topic: str, now: float) -> None:
        """Record that a host has failed to read a topic."""
        hosts = self._unable.setdefault(topic, {})
        known = hosts.get(host)
        is_expired = known is None or now - known.announced_ms > UNABLE_TTL_MS
        since_ms = now if is_expired or known is None else known.since_ms
        hosts[host] = Inability(since_ms, now)

    def has_failed_since(self, host: str, topic: str, since_ms: float) -> bool:
        """Return whether a host has failed to read a topic since a time."""
        known = self._unable.get(topic, {}).get(host)
        return known is not None and known.announced_ms > since_ms

    def find_age_ms(self, topic: str, now: float) -> float:
        """Return the time in ms since any host is known to have read the topic."""
        return now - self._read_ms.get(topic, float("-inf"))

    def is_stale(self, topic: str, now: float) -> bool:
        """Return whether this host's copy of a topic is too old."""
        return self.find_age_ms(topic, now) > STALE_MS[topic]

    def list_readers(self, now: float, topic: str = DUTY_TOPIC) -> list[str]:
        """Return the hosts that should read a topic, in different domains if possible.

        These are the default readers if no host can read, as other duties go with it.
        """
        able_hosts = [
            host
            for host in self._ranked_hosts
            if not self._is_replaced(host.name, topic, now)
        ]
        return self._select_readers(able_hosts or self._ranked_hosts)

    def _is_replaced(self, host: str, topic: str, now: float) -> bool:
        """Return whether others read a topic for a host that cannot."""
        known = self._unable.get(topic, {}).get(host)
        if known is None or now - known.announced_ms > UNABLE_TTL_MS:
            return False
        return now - known.since_ms >= TAKEOVER_DELAY_MS

    def _select_readers(self, hosts: list[ReaderCandidate]) -> list[str]:
        """Return the first hosts in order, in different domains if possible."""
        first = hosts[:1]
        others = [h for h in hosts[1:] if h.domain != first[0].domain]
        chosen = first + (others or hosts[1:])[: READERS - 1]
        return [host.name for host in chosen]

    def must_read(self, topic: str, now: float) -> bool:
        """Return whether this host should read the topic now."""
        if self.name in self.list_readers(now, topic):
            return True
        # The default readers keep trying, so that others learn when they recover.
        if self.name in self._select_readers(self._ranked_hosts):
            return True
        return self.is_stale(topic, now) and self._may_read_alone(topic, now)

    def _may_read_alone(self, topic: str, now: float) -> bool:
        """Return whether this host may read although it is no reader.

        It may if no other host tells it anything, or if one has read what it lacks.
        """
        contact_ms = self._contact_ms.get(topic, float("-inf"))
        missed_ms = self._missed_ms.get(topic, float("-inf"))
        return now - contact_ms > CONTACT_TTL_MS or now - missed_ms <= CONTACT_TTL_MS

    def must_publish(self, topic: str, now: float) -> bool:
        """Return whether this host should relay what it reads of a topic."""
        default_readers = self._select_readers(self._ranked_hosts)
        readers = self.list_readers(now, topic)
        return self.name in default_readers or self.name in readers
