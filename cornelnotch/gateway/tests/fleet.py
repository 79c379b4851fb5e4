"""Simulate hosts that replicate a store, in virtual time, through restorations."""

import random
from collections.abc import Callable
from typing import Any, cast

import msgspec

from cornelnotch.exceptions import (
    ConfigurationError,
    LogTrimmedError,
    LogUnavailableError,
)
from cornelnotch.gateway.follower import CONFIGURATION, SERVERS, TOPICS, RecordFollower
from cornelnotch.gateway.models import CallerLimits, RoutingTable, ServerRecord
from cornelnotch.gateway.records import (
    Record,
    RecordDecoder,
    RecordPage,
    RecordSource,
)
from cornelnotch.gateway.relay import ReaderCandidate, RelayPlan
from cornelnotch.gateway.routing_state import TICK_MS, RoutingState
from cornelnotch.gateway.servers import ServerPool
from cornelnotch.gateway.software_history import SoftwareHistory
from cornelnotch.kernel import ManualClock, create_event_log

STEP_MS = 20.0
DOMAINS = ("a", "b", "c")
NO_TABLE = RoutingTable(-1, {}, {}, None, CallerLimits())


class Store:
    """In-memory store of both topics; `create_backup` and `restore` act as a backup."""

    def __init__(self):
        self.topics: dict[str, list[tuple[str, bytes]]] = {t: [] for t in TOPICS}
        self.timeline: int | None = 1
        self.is_down = False
        self.calls = 0

    def write(self, topic, key, value):
        self.topics[topic].append((key, value))

    def configure(self, version):
        self.write(CONFIGURATION, "config", b"%d" % version)

    def list_server(self, name, written, state="ready", boot_ms=1):
        self.write(SERVERS, name, f"{state} {boot_ms} {written}".encode())

    def create_backup(self):
        return {topic: len(records) for topic, records in self.topics.items()}

    def restore(self, copy, by=1):
        for topic, size in copy.items():
            del self.topics[topic][size:]
        self.timeline += by

    def list_newest(self, topic):
        newest = {}
        for offset, (key, value) in enumerate(self.topics[topic]):
            newest[key] = Record(key, value, offset)
        return {key: record for key, record in newest.items() if record.value}


class StoreReader(RecordSource):
    """Read the store for one host; `outdated` is an older store to read instead.

    A host that the store rejects knows so after `hang_ms`.
    """

    def __init__(self, store):
        self.store = store
        self.outdated = None
        self.is_unreachable = False
        self.hang_ms = 0.0

    def _call(self):
        store = self.outdated or self.store
        self.store.calls += 1
        if store.is_down or self.is_unreachable:
            raise LogUnavailableError("down", "wait")
        return store

    async def read_newest(self, topic):
        store = self._call()
        records = list(store.list_newest(topic).values())
        end = len(store.topics[topic])
        return RecordPage(records, end, end, store.timeline)

    async def read_from(self, topic, start, wait_ms):
        store = self._call()
        records = store.topics[topic]
        if start > len(records):
            raise LogTrimmedError(0, store.timeline)
        found = [Record(k, v, start + i) for i, (k, v) in enumerate(records[start:])]
        return RecordPage(found, len(records), len(records), store.timeline)


class Decoder(RecordDecoder):
    """Decode versions and servers from short texts."""

    def decode_table(self, records):
        record = records.get("config")
        if record is None:
            return None
        try:
            version = int(record.value)
        except ValueError as error:
            raise ConfigurationError("malformed", "write a number") from error
        return RoutingTable(version, {}, {}, None, CallerLimits())

    def decode_server(self, record):
        state, boot_ms, written = record.value.decode().split()
        leaving = state == "leaving"
        return ServerRecord(
            record.key, "llm", "1.2.3.4:5", "a", 8, leaving, int(boot_ms), int(written)
        )


class Client:
    def close_idle_connections(self, address):
        pass


class Context:
    """The parts of a host's context that its routing state changes."""

    def __init__(self, clock, events):
        self.clock = clock
        self.events = events
        self.client = Client()
        self.pool = ServerPool()
        self.table = NO_TABLE
        self.software_history = SoftwareHistory(clock.read())


class Peers:
    """Deliver a host's messages to other hosts of the fleet."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.handlers: dict[type, Callable[[str, Any], None]] = {}

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler

    def send(self, host, message):
        self.fleet.deliver(self.name, host, message)

    def broadcast(self, names, create):
        for name in names:
            if name != self.name:
                self.send(name, create([]))


class Host:
    """The follower and the routing state of one host."""

    def __init__(self, fleet, name, domain):
        self.name = name
        self.domain = domain
        self.is_alive = True
        self.versions: list[int] = []
        events = create_event_log(name)
        self.peers = Peers(fleet, name)
        self.reader = StoreReader(fleet.store)
        self.plan = RelayPlan(name)
        self.context = cast(Any, Context(fleet.clock, events))
        peers = cast(Any, self.peers)
        self.follower = RecordFollower(
            fleet.clock,
            events,
            self.reader,
            peers,
            self.plan,
            peers,
            lambda: list(fleet.hosts),
            random.Random(name),
        )
        self.state = RoutingState(
            self.context, self.follower, Decoder(), self._note_table, lambda: None
        )
        self.due_ms = dict.fromkeys(TOPICS, fleet.clock.read())
        self.hanging: set[str] = set()

    def _note_table(self):
        self.versions.append(self.context.table.version)

    @property
    def version(self):
        return self.context.table.version

    def list_usable(self):
        return {v.record.name for v in self.context.pool.list_ready("llm")}

    def _hangs(self, topic, now):
        """Return whether a read begins now that fails only after a while."""
        if topic in self.hanging:
            self.hanging.discard(topic)
            return False
        must_hang = self.reader.is_unreachable and self.reader.hang_ms > 0
        if must_hang and self.plan.must_read(topic, now):
            self.hanging.add(topic)
            return True
        return False

    async def step(self, now):
        for topic in TOPICS:
            if now < self.due_ms[topic]:
                continue
            if self._hangs(topic, now):
                self.due_ms[topic] = now + self.reader.hang_ms
                continue
            delay_ms = await self.follower._poll(topic, 0.0)
            if delay_ms is None:
                delay_ms = self.follower._choose_period_ms()
            self.due_ms[topic] = now + delay_ms
        if now % TICK_MS < STEP_MS:
            self.state.expire()


class Fleet:
    """A store, hosts and the links between them."""

    def __init__(self, count):
        self.clock = ManualClock(100_000.0)
        self.store = Store()
        self.hosts: dict[str, Host] = {}
        self.cut_domains: set[str] = set()
        self.is_lost: Callable[[str, str, Any], bool] = lambda *message: False
        self.sent_bytes = 0
        for _ in range(count):
            self.add_host()

    def add_host(self):
        name = f"host-{len(self.hosts)}"
        host = Host(self, name, DOMAINS[len(self.hosts) % 3])
        self.hosts[name] = host
        self._update_members()
        return host

    def kill(self, host):
        host.is_alive = False
        self._update_members()

    def _update_members(self):
        alive = [h for h in self.hosts.values() if h.is_alive]
        candidates = [ReaderCandidate(host.name, host.domain) for host in alive]
        for host in alive:
            host.plan.set_hosts(candidates)

    def deliver(self, sender, receiver, message):
        """Deliver a message at once if both hosts run and the link is not cut."""
        source, target = self.hosts[sender], self.hosts.get(receiver)
        if target is None or not target.is_alive or not source.is_alive:
            return
        if (source.domain in self.cut_domains) != (target.domain in self.cut_domains):
            return
        self.sent_bytes += len(msgspec.msgpack.encode(message))
        if self.is_lost(sender, receiver, message):
            return
        target.peers.handlers[type(message)](sender, message)

    def list_alive(self):
        return [host for host in self.hosts.values() if host.is_alive]

    def list_readers(self):
        names = self.list_alive()[0].plan.list_readers(self.clock.read())
        return [self.hosts[name] for name in names]

    async def run(self, duration_ms, until=lambda: False):
        """Advance the clock; return the elapsed time in ms."""
        started_ms = self.clock.read()
        while self.clock.read() - started_ms < duration_ms and not until():
            self.clock.advance(STEP_MS)
            for host in self.list_alive():
                await host.step(self.clock.read())
        return self.clock.read() - started_ms
