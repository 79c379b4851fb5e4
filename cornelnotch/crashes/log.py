"""Interface to the store in which the evidence of crashes outlives all hosts."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from cornelnotch.kernel.parsing import Amount, Integer
from cornelnotch.wire.messages import BlamedParts, CrashEvidenceNotice, CrashReport

__all__ = [
    "CrashLog",
    "StoredCrash",
    "StoredCrashes",
    "StoredParts",
    "StoredPosition",
    "create_notice",
    "create_stored_crashes",
]

# The record stays well below the largest that the store takes, whatever callers send.
MAX_NAME_BYTES = 100_000


class StoredCrash(msgspec.Struct, frozen=True):
    """A crash of a server process, and the parts that may have caused it."""

    server: str
    boot_ms: Integer
    age_ms: Amount
    parts: list[str]
    known: list[str]


class StoredParts(msgspec.Struct, frozen=True):
    """Parts that together crash servers."""

    parts: list[str]
    confirmed: bool


class StoredCrashes(msgspec.Struct, frozen=True):
    """What was known of crashes at `written_ms` of the writer's time of day."""

    written_ms: Amount
    crashes: list[StoredCrash]
    blamed: list[StoredParts]


@dataclass(frozen=True, slots=True)
class StoredPosition:
    """What the store has, and where the next record would be.

    `crashes` is None if nothing was stored, or if it is malformed.
    """

    crashes: StoredCrashes | None
    end_offset: int
    is_malformed: bool = False


class CrashLog(ABC):
    """One record of what all hosts know of crashes."""

    @abstractmethod
    async def read_crashes(self) -> StoredPosition:
        """Return what is stored; raise LogUnavailableError."""

    @abstractmethod
    async def write_crashes(self, crashes: StoredCrashes | None, at: int) -> int | None:
        """Replace what is stored, or delete it, if the log ends at offset `at`.

        Return the offset of the end, or None if another host has written. Raise
        LogUnavailableError, after which it may be there.
        """


def create_stored_crashes(
    notice: CrashEvidenceNotice, written_ms: float
) -> StoredCrashes | None:
    """Return what is to be stored of a notice, or None if there is nothing.

    The latest evidence is kept if all of it is too large.
    """
    room = MAX_NAME_BYTES
    blamed = []
    for found in reversed(notice.blamed):
        room -= _measure(found.parts)
        if room >= 0:
            blamed.append(StoredParts(found.parts, found.confirmed))
    crashes = []
    for crash in reversed(notice.crashes):
        room -= _measure(crash.parts) + _measure(crash.known)
        if room >= 0:
            crashes.append(
                StoredCrash(
                    crash.server,
                    crash.boot_ms,
                    crash.age_ms,
                    crash.parts,
                    crash.known,
                )
            )
    if not blamed and not crashes:
        return None
    return StoredCrashes(written_ms, crashes[::-1], blamed[::-1])


def create_notice(stored: StoredCrashes, elapsed_ms: float) -> CrashEvidenceNotice:
    """Return stored evidence as another host would report it `elapsed_ms` later."""
    crashes = [
        CrashReport(
            crash.server,
            crash.boot_ms,
            max(crash.age_ms + elapsed_ms, 0.0),
            crash.parts,
            crash.known,
        )
        for crash in stored.crashes
    ]
    blamed = [BlamedParts(found.parts, found.confirmed) for found in stored.blamed]
    return CrashEvidenceNotice(crashes, [], blamed)


def _measure(names: Iterable[str]) -> int:
    return sum(len(name.encode()) + 1 for name in names)
