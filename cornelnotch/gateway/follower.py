"""Follow the platform's records and keep the routing state up to date."""

from collections.abc import Callable

from cornelnotch.exceptions import (
    ConfigurationError,
    LogTrimmedError,
    LogUnavailableError,
)
from cornelnotch.gateway.parts import GatewayParts
from cornelnotch.gateway.records import KeyedView, Record, RecordDecoder, RecordSource
from cornelnotch.kernel.events import Event

__all__ = ["CONFIGURATION", "SERVERS", "RecordFollower"]

CONFIGURATION = "configuration"
SERVERS = "servers"
# Server records change with every heartbeat, so reads are paced.
SERVERS_PERIOD_MS = 700.0
# A change must be in force within 3 s, also when one read goes unanswered.
CONFIGURATION_WAIT_MS = 1200.0
RETRY_MS = 200.0
# Entries that lapse in an outage of the store are back within 2 s of its return.
OUTAGE_MS = 2000.0
RETURN_MS = 2200.0


class RecordFollower:
    """Own this host's copies of both topics."""

    def __init__(
        self, parts: GatewayParts, source: RecordSource, decoder: RecordDecoder
    ) -> None:
        self._parts = parts
        self._source = source
        self._decoder = decoder
        self.views = {CONFIGURATION: KeyedView(), SERVERS: KeyedView()}
        self.read_ms = {CONFIGURATION: float("-inf"), SERVERS: float("-inf")}
        self._lost: set[str] = set()
        self._outage_ended_ms = float("-inf")
        self._listeners: list[Callable[[str, list[Record]], None]] = []

    def subscribe(self, listener: Callable[[str, list[Record]], None]) -> None:
        """Call `listener` with topic and changed records."""
        self._listeners.append(listener)

    async def run_configuration(self) -> None:
        """Follow the operator's configuration until cancelled."""
        while True:
            if not await self._read(CONFIGURATION, CONFIGURATION_WAIT_MS):
                await self._parts.clock.sleep(RETRY_MS)

    async def run_servers(self) -> None:
        """Follow the servers' entries until cancelled."""
        while True:
            done = await self._read(SERVERS, 0.0)
            pause = SERVERS_PERIOD_MS if done else RETRY_MS
            await self._parts.clock.sleep(pause)

    async def _read(self, topic: str, wait_ms: float) -> bool:
        view = self.views[topic]
        try:
            if view.head < 0:
                await self._read_newest(topic)
            else:
                page = await self._source.read_from(topic, view.head, wait_ms)
                self._note_read(topic)
                if view.apply(page):
                    self._apply(topic)
        except LogTrimmedError:
            view.head = -1
            return True
        except LogUnavailableError as error:
            self._note_lost(topic, error)
            return False
        return True

    async def _read_newest(self, topic: str) -> None:
        page = await self._source.read_newest(topic)
        self.views[topic].replace(page)
        self._note_read(topic)
        self._apply(topic)

    def _note_read(self, topic: str) -> None:
        now = self._parts.clock.read()
        if now - self.read_ms[topic] > OUTAGE_MS and topic == SERVERS:
            self._outage_ended_ms = now
        self.read_ms[topic] = now
        if topic in self._lost:
            self._lost.discard(topic)
            self._parts.events.record(Event.LOG_RECOVERED, topic=topic)

    def _note_lost(self, topic: str, error: LogUnavailableError) -> None:
        if topic not in self._lost:
            self._lost.add(topic)
            self._parts.events.record(
                Event.LOG_UNAVAILABLE, topic=topic, error=str(error)
            )

    def _apply(self, topic: str) -> None:
        if topic == CONFIGURATION:
            self._apply_configuration()
        else:
            self._apply_servers()

    def _apply_configuration(self) -> None:
        try:
            table = self._decoder.decode_table(self.views[CONFIGURATION].records)
        except ConfigurationError as error:
            self._parts.events.record(Event.CONFIGURATION_REJECTED, error=str(error))
            return
        if table is None or table.version <= self._parts.table.version:
            return
        self._parts.table = table
        self._parts.events.record(Event.CONFIGURATION_APPLIED, version=table.version)

    def _apply_servers(self) -> None:
        found = [
            self._decoder.decode_server(record)
            for record in self.views[SERVERS].records.values()
        ]
        records = {server.name: server for server in found if server is not None}
        now = self._parts.clock.read()
        if now < self._outage_ended_ms + RETURN_MS:
            # Lapsed entries of live servers are about to come back.
            for name, view in self._parts.pool.servers.items():
                records.setdefault(name, view.record)
        known = {name: v.record for name, v in self._parts.pool.servers.items()}
        self._parts.pool.replace(records.values())
        for name in known.keys() | records.keys():
            self._note_server(name, known.get(name), records.get(name))

    def _note_server(self, name, before, after) -> None:  # type: ignore[no-untyped-def]
        if before is None or after is None or before.leaving != after.leaving:
            state = "gone"
            if after is not None:
                state = "leaving" if after.leaving else "ready"
            self._parts.events.record(Event.SERVER_LISTED, server=name, state=state)
