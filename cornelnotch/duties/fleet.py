"""Interface to the other hosts, as far as duties need them."""

from abc import ABC, abstractmethod
from typing import Any

__all__ = ["MAX_CANDIDATES", "DutyFleet"]

MAX_CANDIDATES = 3


class DutyFleet(ABC):
    """The hosts that this host knows, and messages to them."""

    @abstractmethod
    def list_candidates(self) -> list[str]:
        """Return the hosts that may hold the duties, the first by rank first."""

    @abstractmethod
    def list_live(self) -> list[str]:
        """Return the hosts that serve callers, including this one."""

    @abstractmethod
    def list_lost(self) -> set[str]:
        """Return the hosts that stopped without notice."""

    @abstractmethod
    def is_lost(self, host: str) -> bool:
        """Return whether a host is dead, suspected, leaving or unknown."""

    @abstractmethod
    def find_heard_ms(self) -> float:
        """Return when a message of another host arrived last, -inf if none ever did."""

    @abstractmethod
    def find_timeline(self) -> int:
        """Return the newest timeline of the store that this host knows, or -1."""

    @abstractmethod
    def is_leaving(self) -> bool:
        """Return whether this host is stopping."""

    @abstractmethod
    def send(self, host: str, message: Any) -> None:
        """Send a message to a host without waiting for it."""
