"""Find the records that matter among those of the store."""

from cornelnotch.gateway.models import RoutingTable, ServerRecord
from cornelnotch.gateway.records import Record, RecordDecoder
from cornelnotch.platform.records import decode_server, decode_table

__all__ = ["PlatformDecoder"]

CONFIGURATION_KEY = "config"


class PlatformDecoder(RecordDecoder):
    """Decode what the operator and the servers write."""

    def decode_table(self, records: dict[str, Record]) -> RoutingTable | None:
        """Return the routing table; raise ConfigurationError when malformed."""
        record = records.get(CONFIGURATION_KEY)
        return None if record is None else decode_table(record.value)

    def decode_server(self, record: Record) -> ServerRecord | None:
        """Return a server, or None when the record names none to use."""
        return decode_server(record.key, record.value)
