"""Remember at which software version streams began; no I/O.

What servers of two software versions write does not fit together, so a stream goes on
only at servers of the version that began it.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from cornelnotch.gateway.models import ServerRecord
from cornelnotch.kernel.hashing import hash_text
from cornelnotch.wire.messages import BegunStreams

__all__ = [
    "AMBIGUOUS_SOFTWARE",
    "OriginAnswer",
    "StreamOrigin",
    "StreamOrigins",
    "combine_answers",
    "create_origin",
    "group_streams",
    "list_streams",
]

MAX_STREAMS = 65_536
# The version of streams of which two versions may have sent events; no server has it.
AMBIGUOUS_SOFTWARE = "\x00"


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The service and the software version whose server began a stream."""

    service: str
    software: str


@dataclass(frozen=True, slots=True)
class OriginAnswer:
    """Where a stream began, if that is known.

    With `is_final`, those who would know have answered.
    """

    origin: StreamOrigin | None
    is_final: bool


@dataclass(frozen=True, slots=True)
class KnownStream:
    """A stream that a caller may resume."""

    origin: StreamOrigin
    begun_ms: float


def create_origin(record: ServerRecord) -> StreamOrigin:
    """Return the origin of a stream that a server begins."""
    return StreamOrigin(record.service, record.software)


def combine_answers(
    answers: Collection[OriginAnswer], unreachable_hosts: int
) -> OriginAnswer:
    """Return what the answers of several hosts say of one stream.

    A host that is out of reach may know more.
    """
    is_final = all(answer.is_final for answer in answers)
    is_final = is_final and bool(answers) and not unreachable_hosts
    found = [answer.origin for answer in answers if answer.origin is not None]
    return OriginAnswer(found[0] if found else None, is_final)


def group_streams(origins: Mapping[int, StreamOrigin]) -> list[BegunStreams]:
    """Return streams, by the hash of their request's id, in groups of one origin."""
    groups: dict[StreamOrigin, list[int]] = {}
    for id_hash, origin in origins.items():
        groups.setdefault(origin, []).append(id_hash)
    return [BegunStreams(o.service, o.software, ids) for o, ids in groups.items()]


def list_streams(groups: Iterable[BegunStreams]) -> dict[int, StreamOrigin]:
    """Return the origins of the streams in `groups` by the hash of their ids."""
    return {
        id_hash: StreamOrigin(group.service, group.software)
        for group in groups
        for id_hash in group.id_hashes
    }


class StreamOrigins:
    """Origins of the streams that began of late, as far as one host knows."""

    def __init__(self) -> None:
        self._streams: OrderedDict[int, KnownStream] = OrderedDict()

    def add(self, id_hash: int, origin: StreamOrigin, now: float) -> None:
        """Add a stream that began now; `id_hash` identifies its request."""
        self._streams[id_hash] = KnownStream(origin, now)
        self._streams.move_to_end(id_hash)
        if len(self._streams) > MAX_STREAMS:
            self._streams.popitem(last=False)

    def find(self, id_hash: int) -> StreamOrigin | None:
        """Return the origin of the stream of a request, or None if it is unknown."""
        known = self._streams.get(id_hash)
        return None if known is None else known.origin

    def find_request(self, request_id: str) -> StreamOrigin | None:
        """Return the origin of the stream of a request, or None if it is unknown."""
        return self.find(hash_text(request_id))

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
