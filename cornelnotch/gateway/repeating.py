"""Decide what may be sent to another server; pure.

Work that must not repeat goes on only while every server so far has proved that it
did not run it.
"""

from dataclasses import dataclass

from cornelnotch.gateway.dispatch import Fate
from cornelnotch.gateway.models import Route, WorkKind

__all__ = ["Progress", "may_send_again"]

# A server that refuses has read the request, so each try counts as a repeat.
MAX_REFUSED_SENDS = 4
# A refused connection costs a round trip, and a quarter of servers may be down.
MAX_UNSENT = 12


@dataclass(slots=True)
class Progress:
    """Count what became of the dispatches of one request."""

    ran: int = 0
    refused: int = 0
    unsent: int = 0

    def count(self, fate: Fate) -> None:
        """Count one dispatch; `ran` counts all that may have run."""
        if fate is Fate.NOT_SENT:
            self.unsent += 1
        elif fate is Fate.REFUSED:
            self.refused += 1
        else:
            self.ran += 1


def may_send_again(route: Route, progress: Progress, fate: Fate) -> bool:
    """Tell whether a request whose last dispatch ended so may go elsewhere."""
    if fate is Fate.NOT_SENT:
        return progress.unsent < MAX_UNSENT
    if fate is Fate.REFUSED:
        return progress.refused < MAX_REFUSED_SENDS
    if progress.ran >= route.attempts:
        return False
    if route.kind is WorkKind.REPEATABLE:
        return True
    return route.kind is WorkKind.STREAM and route.resumable
