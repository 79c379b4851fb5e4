"""Interfaces between duties, the platform's API, and the code that makes calls."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from cornelnotch.duties.models import CallOutcome, Claim, UsageWindow

__all__ = ["DutyHolder", "UsageApi"]


class UsageApi(ABC):
    """The part of the platform's API that accepts reports of usage."""

    @abstractmethod
    async def report_usage(
        self, claim: Claim, usage: UsageWindow, is_current: Callable[[], bool]
    ) -> CallOutcome:
        """Report the usage of one window.

        `is_current` is called immediately before the first byte is sent; if it returns
        False, nothing is sent and the outcome is UNANSWERED.
        """


class DutyHolder(ABC):
    """Which host holds the duties, as seen from this host."""

    @abstractmethod
    def find_claim(self) -> Claim | None:
        """Return this host's claim if it may be used now, else None."""

    @abstractmethod
    def note_conflict(self, claim: Claim) -> None:
        """Stop the use of a claim whose fencing token the API has refused."""

    @abstractmethod
    def list_recipients(self) -> list[str]:
        """Return the hosts that collect totals: the holder and its next successors."""

    @abstractmethod
    def may_call(self) -> bool:
        """Return whether another call to the API fits its rate limit, and count it."""
