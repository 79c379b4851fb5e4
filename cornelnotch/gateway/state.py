"""Turn followed records into the table and servers that requests use."""

from collections import OrderedDict
from collections.abc import Callable

from cornelnotch.exceptions import ConfigurationError
from cornelnotch.gateway.follower import CONFIGURATION, SERVERS, RecordFollower
from cornelnotch.gateway.models import RoutingTable, ServerRecord
from cornelnotch.gateway.parts import GatewayParts
from cornelnotch.gateway.records import Record, RecordDecoder
from cornelnotch.kernel.events import Event

__all__ = ["RoutingState"]

# Entries that lapsed in an outage of the store are back within 2 s of its return.
RETURN_MS = 2100.0
TICK_MS = 200.0
# Servers remembered that have gone; a fleet replaces about a thousand a day.
REMEMBERED_GONE = 4096


class RoutingState:
    """Own what the platform's records mean for this host's requests."""

    def __init__(
        self,
        parts: GatewayParts,
        follower: RecordFollower,
        decoder: RecordDecoder,
        apply_table: Callable[[], None],
        note_applied: Callable[[], None],
    ) -> None:
        self._parts = parts
        self._follower = follower
        self._decoder = decoder
        self._apply_table = apply_table
        self._note_applied = note_applied
        self._kept: dict[str, ServerRecord] = {}
        self._kept_until_ms = float("-inf")
        self._gone: OrderedDict[str, ServerRecord] = OrderedDict()
        follower.subscribe(self.apply)

    async def run(self) -> None:
        """Drop servers that did not come back after an outage."""
        while True:
            await self._parts.clock.sleep(TICK_MS)
            self.expire()

    def expire(self) -> None:
        """Drop the servers whose time to come back is over."""
        if self._kept and self._parts.clock.read() >= self._kept_until_ms:
            self._kept.clear()
            self._apply_servers(False)

    def apply(self, topic: str, after_outage: bool) -> None:
        """Bring a changed topic into force."""
        if topic == CONFIGURATION:
            self._apply_configuration()
        else:
            self._apply_servers(after_outage)
        self._note_applied()

    def _apply_configuration(self) -> None:
        view = self._follower.views[CONFIGURATION]
        listed = self._decode_table(view.records)
        held = self._decode_table(view.held)
        if listed is not None and held is not None and listed.version >= held.version:
            view.held.clear()
        for table in filter(None, (listed, held)):
            if table.version > self._parts.table.version:
                self._parts.table = table
                self._parts.events.record(
                    Event.CONFIGURATION_APPLIED,
                    version=table.version,
                    held=table is held,
                )
                self._apply_table()

    def _decode_table(self, records: dict[str, Record]) -> RoutingTable | None:
        try:
            return self._decoder.decode_table(records)
        except ConfigurationError as error:
            self._parts.events.record(Event.CONFIGURATION_REJECTED, error=str(error))
            return None

    def _list_servers(self) -> dict[str, ServerRecord]:
        """Return the servers that are listed by themselves, not by an older copy."""
        view = self._follower.views[SERVERS]
        # Servers write again what the copy lacks; nothing else is known better.
        view.held.clear()
        found = map(self._decoder.decode_server, view.records.values())
        servers = {server.name: server for server in found if server is not None}
        for server in servers.values():
            if server.leaving and server.boot_ms:
                self._parts.pool.note_leaving(server.name, server.boot_ms)
        if not view.was_restored:
            return servers
        return {n: s for n, s in servers.items() if not self._is_outdated(s)}

    def _is_outdated(self, server: ServerRecord) -> bool:
        """Tell whether a server has gone since it wrote this entry."""
        gone = self._gone.get(server.name)
        return (
            gone is not None
            and gone.boot_ms == server.boot_ms
            and gone.written >= server.written
        )

    def _note_gone(self, server: ServerRecord) -> None:
        self._gone[server.name] = server
        if len(self._gone) > REMEMBERED_GONE:
            self._gone.popitem(last=False)

    def _apply_servers(self, after_outage: bool) -> None:
        records = self._list_servers()
        known = {name: v.record for name, v in self._parts.pool.servers.items()}
        if after_outage:
            self._kept = {n: r for n, r in known.items() if n not in records}
            self._kept_until_ms = self._parts.clock.read() + RETURN_MS
        for name in list(self._kept):
            if name in records:
                del self._kept[name]
        merged = {**self._kept, **records}
        for ended in self._parts.pool.replace(merged.values()):
            # A request on a connection of an ended life is reset, as if it had run.
            self._parts.client.drop_idle(ended.address)
            self._note_gone(ended)
        for name in known.keys() | merged.keys():
            self._note_server(name, known.get(name), merged.get(name))

    def _note_server(
        self, name: str, before: ServerRecord | None, after: ServerRecord | None
    ) -> None:
        if before is not None and after is not None and before.leaving == after.leaving:
            return
        state = "gone"
        if after is not None:
            state = "leaving" if after.leaving else "serving"
        self._parts.events.record(Event.SERVER_LISTED, server=name, state=state)
