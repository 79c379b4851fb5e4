"""Data classes of claims, usage and calls to the platform's API."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["CallOutcome", "Claim", "Duty", "UsageWindow"]


class Duty(StrEnum):
    """Duties towards the platform's API."""

    USAGE = "usage"
    SCALING = "scaling"


class CallOutcome(StrEnum):
    """Outcome of a call to the platform's API.

    CONFLICT means that a higher fencing token was seen, or that no servers of the
    ordered kind are to be had. After UNANSWERED the call may still be executed.
    """

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    BUSY = "busy"
    UNANSWERED = "unanswered"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class Claim:
    """Right of `holder` to the duties, valid within one timeline of the store.

    `token` is the fencing token, which rises with every claim.
    """

    holder: str
    token: int
    timeline: int


@dataclass(frozen=True, slots=True)
class UsageWindow:
    """Requests that servers began to run in a window, by workspace."""

    window: int
    counts: dict[str, int]
