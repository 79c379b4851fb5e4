"""Interface to the part of the platform's API that accepts orders of servers."""

from abc import ABC, abstractmethod
from collections.abc import Callable

from cornelnotch.duties.models import CallOutcome, Claim
from cornelnotch.scaling.models import ServerOrder

__all__ = ["OrderApi"]


class OrderApi(ABC):
    """The part of the platform's API that accepts orders of servers."""

    @abstractmethod
    async def place_order(
        self, claim: Claim, order: ServerOrder, is_current: Callable[[], bool]
    ) -> CallOutcome:
        """Order servers.

        `is_current` is called immediately before the first byte is sent; if it returns
        False, nothing is sent and the outcome is UNANSWERED.
        """
