"""Decode the store's records into routing tables and servers."""

from cornelnotch.gateway.models import RoutingTable, ServerRecord
from cornelnotch.gateway.records import Record, RecordDecoder
from cornelnotch.platform.records import decode_server, decode_table

__all__ = ["PlatformDecoder"]

CONFIGURATION_KEY = "config"


class PlatformDecoder(RecordDecoder):
    """Decode the records written by the operator and by servers."""

    def decode_table(self, records: dict[str, Record]) -> RoutingTable | None:
        """Return the routing table, or None if there is no configuration record.

        Raise ConfigurationError if the record is malformed.
        """
        record = records.get(CONFIGURATION_KEY)
        return None if record is None else decode_table(record.value)

    def decode_server(self, record: Record) -> ServerRecord | None:
        """Return the server, or None if its state does not allow its use.

        Raise MalformedInputError if the record is malformed.
        """
        return decode_server(record.key, record.value)
