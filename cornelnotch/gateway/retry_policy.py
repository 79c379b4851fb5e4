"""Decide which requests may be sent to another server; no I/O.

A request that must not run twice is sent again only while every server so far has
proved that it did not run it.
"""

from dataclasses import dataclass

from cornelnotch.gateway.dispatch import DispatchOutcome
from cornelnotch.gateway.models import Route

__all__ = ["DispatchCounts", "may_send_again"]

# A server that refuses has read the request, so each try counts as a retry.
MAX_REFUSED_DISPATCHES = 4
# A refused connection costs one round trip, and a quarter of the servers may be down.
MAX_UNSENT_DISPATCHES = 12


@dataclass(slots=True)
class DispatchCounts:
    """Count the dispatches of one request by outcome."""

    ran: int = 0
    refused: int = 0
    unsent: int = 0

    def count(self, outcome: DispatchOutcome) -> None:
        """Count one dispatch; `ran` counts all that may have run."""
        if outcome is DispatchOutcome.NOT_SENT:
            self.unsent += 1
        elif outcome is DispatchOutcome.REFUSED:
            self.refused += 1
        else:
            self.ran += 1


def may_send_again(
    route: Route, counts: DispatchCounts, outcome: DispatchOutcome
) -> bool:
    """Return whether a request may be sent again after its last dispatch's outcome."""
    if outcome is DispatchOutcome.NOT_SENT:
        return counts.unsent < MAX_UNSENT_DISPATCHES
    if outcome is DispatchOutcome.REFUSED:
        return counts.refused < MAX_REFUSED_DISPATCHES
    return counts.ran < route.attempts and route.may_repeat
