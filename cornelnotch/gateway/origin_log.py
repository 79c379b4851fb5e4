"""Interface to the log in which the origins of streams outlast all hosts."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

import msgspec

from cornelnotch.kernel.parsing import Amount
from cornelnotch.wire.messages import BegunStreams

__all__ = ["OriginBatch", "OriginHistory", "OriginLog", "SoftwareSeen"]


class SoftwareSeen(msgspec.Struct, frozen=True):
    """A software version of a service that served of late."""

    service: str
    software: str


class OriginBatch(msgspec.Struct, frozen=True):
    """Streams that began since the batch before.

    `seen` lists the versions that served in the `known_ms` before the batch was
    written, at `written_ms` of the writer's time of day.
    """

    written_ms: Amount
    known_ms: Amount
    seen: list[SoftwareSeen]
    groups: list[BegunStreams]


@dataclass(frozen=True, slots=True)
class OriginHistory:
    """The batches that the log still has, in order.

    `is_first` is set if none was ever written. `malformed` counts unreadable records.
    """

    batches: list[OriginBatch] = field(default_factory=list)
    is_first: bool = False
    malformed: int = 0


class OriginLog(ABC):
    """Append-only log of the origins of streams."""

    @abstractmethod
    async def append_origins(self, batch: OriginBatch) -> None:
        """Append a batch; raise LogUnavailableError, after which it may be there."""

    @abstractmethod
    async def read_origins(self) -> OriginHistory:
        """Return all batches that the log has; raise LogUnavailableError."""
