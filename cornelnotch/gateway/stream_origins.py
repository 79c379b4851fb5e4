"""Remember at which software version streams began; no I/O.

What servers of two software versions write does not fit together, so a stream goes on
only at servers of the version that began it.
"""

from dataclasses import dataclass

from cornelnotch.gateway.models import ServerRecord

__all__ = ["StreamOrigin", "create_origin"]


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and the software version whose server began a stream."""

    service: str
    software: str


def create_origin(record: ServerRecord) -> StreamOrigin:
    """Return the origin of a stream that a server begins."""
    return StreamOrigin(record.service, record.software)
