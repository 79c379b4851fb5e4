"""Interface to the log that keeps the claim and the content of usage reports."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from cornelnotch.duties.claims import ObservedLog, StoredClaim
from cornelnotch.duties.windows import WrittenWindow

__all__ = ["AppendResult", "DutyStore", "StoredDuties"]


@dataclass(frozen=True, slots=True)
class AppendResult:
    """Result of a conditional append; `end_offset` is the end of the log after it."""

    is_written: bool
    end_offset: int
    timeline: int


@dataclass(frozen=True, slots=True)
class StoredDuties:
    """The newest claim and windows, and the number of malformed records."""

    log: ObservedLog
    windows: list[WrittenWindow]
    malformed: int


class DutyStore(ABC):
    """The log of claims and windows in the platform's store."""

    @abstractmethod
    async def append_claim(self, claim: StoredClaim, at: int) -> AppendResult:
        """Write a claim if the log ends at `at`; raise LogUnavailableError.

        After the error the claim may be written, also some seconds later.
        """

    @abstractmethod
    async def append_window(self, window: WrittenWindow, at: int) -> AppendResult:
        """Write the content of a report like a claim."""

    @abstractmethod
    async def read(self) -> StoredDuties:
        """Return the newest records; raise LogUnavailableError."""
