"""Apply followed records to the routing table and server pool."""

from collections import Counter, OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.follower import (
    CONFIGURATION,
    OUTAGE_MS,
    SERVERS,
    ChangeSource,
    RecordFollower,
)
from cornelnotch.gateway.models import RoutingTable, ServerRecord
from cornelnotch.gateway.records import Record, RecordDecoder
from cornelnotch.gateway.stream_origins import create_origin
from cornelnotch.kernel.events import Event

__all__ = ["RoutingState"]

# Entries that expired during a store outage are rewritten within 2 s of its end.
RELISTING_GRACE_MS = 2100.0
TICK_MS = 200.0
NO_SOURCE = ChangeSource()
# Servers leave a few at a time; if a late update lacks more than this share of those of
# a service, their entries have probably expired.
MAX_LEFT_SHARE = 0.5
# Removed servers remembered; a fleet replaces about a thousand a day.
REMEMBERED_REMOVED = 4096


@dataclass(frozen=True, slots=True)
class RetainedServer:
    """A server that the list lacks after an outage, used until `until_ms`."""

    record: ServerRecord
    until_ms: float


class RoutingState:
    """Apply the records of the platform to the routing state of this host."""

    def __init__(
        self,
        context: GatewayContext,
        follower: RecordFollower,
        decoder: RecordDecoder,
        apply_table: Callable[[], None],
        note_applied: Callable[[], None],
    ) -> None:
        self._context = context
        self._follower = follower
        self._decoder = decoder
        self._apply_table = apply_table
        self._note_applied = note_applied
        self._retained: dict[str, RetainedServer] = {}
        self._removed: OrderedDict[str, ServerRecord] = OrderedDict()
        self._rejected_servers: set[str] = set()
        self._rejected_tables: set[str] = set()
        follower.subscribe(self.apply)

    async def run(self) -> None:
        """Remove servers not listed again after an outage, until cancelled."""
        while True:
            await self._context.clock.sleep(TICK_MS)
            self.expire()

    def expire(self) -> None:
        """Remove retained servers whose grace period is over."""
        now = self._context.clock.read()
        expired = [n for n, kept in self._retained.items() if now >= kept.until_ms]
        for name in expired:
            del self._retained[name]
        if expired:
            self._apply_servers(False, NO_SOURCE)

    def apply(
        self, topic: str, after_outage: bool, source: ChangeSource = NO_SOURCE
    ) -> None:
        """Apply the changes of a topic."""
        if topic == CONFIGURATION:
            self._apply_configuration()
        else:
            self._apply_servers(after_outage, source)
        self._note_applied()

    def _apply_configuration(self) -> None:
        view = self._follower.views[CONFIGURATION]
        listed = self._decode_table(view.records)
        older = self._decode_table(view.older_records)
        if listed is not None and older is not None and listed.version >= older.version:
            view.older_records.clear()
        for table in filter(None, (listed, older)):
            if table.version > self._context.table.version:
                self._context.table = table
                self._rejected_tables.clear()
                self._context.events.record(
                    Event.CONFIGURATION_APPLIED,
                    version=table.version,
                    held=table is older,
                )
                for problem in table.problems:
                    self._context.events.record(
                        Event.CONFIGURATION_PART_IGNORED, problem=problem
                    )
                self._apply_table()

    # Records are decoded again with each change, so an error that left these two
    # functions would keep all later changes from being applied.

    def _decode_table(self, records: dict[str, Record]) -> RoutingTable | None:
        """Return the routing table, or None without a valid one."""
        try:
            return self._decoder.decode_table(records)
        except Exception as error:
            text = str(error)
            if text not in self._rejected_tables:
                self._rejected_tables.add(text)
                self._context.events.record(Event.CONFIGURATION_REJECTED, error=text)
            return None

    def _decode_server(self, record: Record) -> ServerRecord | None:
        """Return the server of an entry, or None if it is not to be used."""
        try:
            server = self._decoder.decode_server(record)
        except Exception as error:
            if record.key not in self._rejected_servers:
                self._rejected_servers.add(record.key)
                self._context.events.record(
                    Event.SERVER_ENTRY_REJECTED, server=record.key, error=str(error)
                )
            return None
        self._rejected_servers.discard(record.key)
        return server

    def _list_servers(self) -> dict[str, ServerRecord]:
        """Return the listed servers, without outdated entries of a restored copy."""
        view = self._follower.views[SERVERS]
        # Servers rewrite the entries that the copy lacks, so none need to be kept.
        view.older_records.clear()
        self._rejected_servers &= view.records.keys()
        decoded = map(self._decode_server, view.records.values())
        servers = {server.name: server for server in decoded if server is not None}
        for server in servers.values():
            if server.leaving and server.boot_ms:
                self._context.pool.mark_leaving(server.name, server.boot_ms)
        if not view.was_restored:
            return servers
        return {n: s for n, s in servers.items() if not self._is_outdated(s)}

    def _is_outdated(self, server: ServerRecord) -> bool:
        """Return whether a server was removed after it wrote this entry."""
        removed = self._removed.get(server.name)
        return (
            removed is not None
            and removed.boot_ms == server.boot_ms
            and removed.write_count >= server.write_count
        )

    def _remember_removed(self, server: ServerRecord) -> None:
        self._removed[server.name] = server
        if len(self._removed) > REMEMBERED_REMOVED:
            self._removed.popitem(last=False)

    def _apply_servers(self, after_outage: bool, source: ChangeSource) -> None:
        records = self._list_servers()
        known = {name: v.record for name, v in self._context.pool.servers.items()}
        is_late = source.gap_ms > OUTAGE_MS
        after_outage |= is_late and _lacks_most(known.values(), records)
        for name in self._retained.keys() & records.keys():
            del self._retained[name]
        if after_outage:
            missing = [r for n, r in known.items() if n not in records]
            self._retain(missing, source)
        kept_records = {n: kept.record for n, kept in self._retained.items()}
        merged = {**kept_records, **records}
        self._note_versions([*known.values(), *merged.values()])
        for ended in self._context.pool.replace(merged.values()):
            # A connection to an earlier boot is reset once used, and the request on
            # it is then treated as if it had run.
            self._context.client.close_idle_connections(ended.address)
            self._remember_removed(ended)
        for name in known.keys() | merged.keys():
            self._log_server_change(name, known.get(name), merged.get(name), source)

    def _note_versions(self, servers: list[ServerRecord]) -> None:
        """Note the versions that served since the last change, even if no longer."""
        now = self._context.clock.read()
        overwritten = self._follower.views[SERVERS].overwritten
        decoded = [
            self._decode_server(record) for record in overwritten if record.value
        ]
        overwritten.clear()
        for server in (*servers, *decoded):
            if server is not None:
                self._context.software_history.note(create_origin(server), now)

    def _retain(self, servers: list[ServerRecord], source: ChangeSource) -> None:
        """Retain servers, each for one grace period only."""
        until_ms = self._context.clock.read() + RELISTING_GRACE_MS
        for server in servers:
            if server.name in self._retained:
                continue
            self._retained[server.name] = RetainedServer(server, until_ms)
            self._context.events.record(
                Event.SERVER_RETAINED,
                server=server.name,
                told_by=source.host,
                age_ms=source.age_ms,
                gap_ms=source.gap_ms,
                grace_ms=RELISTING_GRACE_MS,
            )

    def _log_server_change(
        self,
        name: str,
        before: ServerRecord | None,
        after: ServerRecord | None,
        source: ChangeSource,
    ) -> None:
        if before is not None and after is not None and before.leaving == after.leaving:
            return
        state = "gone"
        if after is not None:
            state = "leaving" if after.leaving else "serving"
        self._context.events.record(
            Event.SERVER_LISTED,
            server=name,
            state=state,
            told_by=source.host,
            age_ms=source.age_ms,
            gap_ms=source.gap_ms,
        )


def _lacks_most(known: Iterable[ServerRecord], listed: Collection[str]) -> bool:
    """Return whether most servers of a service are listed no longer."""
    ready = [server for server in known if not server.leaving]
    counts = Counter(server.service for server in ready)
    missing = Counter(s.service for s in ready if s.name not in listed)
    return any(missing[name] > MAX_LEFT_SHARE * counts[name] for name in missing)
