"""Remember at which software version streams began; no I/O.

What servers of two software versions write does not fit together, so a stream goes on
only at servers of the version that began it.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from cornelnotch.gateway.models import ServerRecord
from cornelnotch.wire.messages import BegunStreams

__all__ = ["StreamOrigin", "StreamOrigins", "create_origin", "group_streams"]

MAX_STREAMS = 65_536


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and the software version whose server began a stream."""

    service: str
    software: str


@dataclass(frozen=True, slots=True)
class KnownStream:
    """A stream that a caller may resume."""

    origin: StreamOrigin
    begun_ms: float


def create_origin(record: ServerRecord) -> StreamOrigin:
    """Return the origin of a stream that a server begins."""
    return StreamOrigin(record.service, record.software)


def group_streams(origins: dict[str, StreamOrigin]) -> list[BegunStreams]:
    """Return streams, indexed by request id, in groups of one origin each."""
    groups: dict[StreamOrigin, list[str]] = {}
    for request_id, origin in origins.items():
        groups.setdefault(origin, []).append(request_id)
    return [BegunStreams(o.service, o.software, ids) for o, ids in groups.items()]


class StreamOrigins:
    """Origins of the streams that began of late, as far as one host knows."""

    def __init__(self) -> None:
        self._streams: OrderedDict[str, KnownStream] = OrderedDict()

    def add(self, request_id: str, origin: StreamOrigin, now: float) -> None:
        """Add a stream that began now."""
        self._streams[request_id] = KnownStream(origin, now)
        self._streams.move_to_end(request_id)
        if len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)

    def add_groups(self, groups: Iterable[BegunStreams], now: float) -> None:
        """Add streams that another host reports."""
        for group in groups:
            origin = StreamOrigin(group.service, group.software)
            for request_id in group.request_ids:
                self.add(request_id, origin, now)

    def find(self, request_id: str) -> StreamOrigin | None:
        """Return the origin of the stream of a request, or None if it is unknown."""
        known = self._streams.get(request_id)
        return None if known is None else known.origin

    def expire(self, before_ms: float) -> None:
        """Forget the streams that began before a time."""
        while self._streams:
            first = next(iter(self._streams.values()))
            if first.begun_ms >= before_ms:
                return
            self._streams.popitem(last=False)

    def count(self) -> int:
        """Return the number of known streams."""
        return len(self._streams)
