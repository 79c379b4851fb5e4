"""Judge whether hosts together keep to the rates that servers name; no I/O."""

import bisect
import math
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cornelnotch.soak.attempts import Attempt
from cornelnotch.soak.fleet import HostLife
from cornelnotch.standins.worker import RateLimit, RunLedger

__all__ = ["LimitedWindow", "find_fullest_window"]

WINDOW_S = 4.0
# Time from the first response that names a limit until hosts have to keep to it.
CONTACT_S = 4.0
# A host knows a limit so long after it passed on a response that named it.
NOTICE_S = 0.5
ALLOWED_SHARE = 1.5
ALLOWED_EXTRA = 5


@dataclass(frozen=True, slots=True)
class LimitedWindow:
    """Requests that a server got within `WINDOW_S`, and how many it allows."""

    server: str
    since_s: float
    requests: int
    allowed: float

    @property
    def is_excessive(self) -> bool:
        """Return whether the server got more than it allows."""
        return self.requests > self.allowed


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request at a server, and the process that sent it."""

    at_s: float
    ended_s: float
    host: str


def find_fullest_window(
    attempts: Iterable[Attempt],
    ledger: RunLedger,
    lives: Mapping[str, HostLife],
    limits: Mapping[str, list[RateLimit]],
) -> LimitedWindow | None:
    """Return the window with the largest share of what its server allows."""
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    for attempt in attempts:
        for run in ledger.get(attempt.request_id, []):
            arrival = Arrival(run.received_s, run.ended_s, attempt.host)
            arrivals[run.server].append(arrival)
    windows = [
        window
        for server, periods in limits.items()
        for limit in periods
        for window in list_windows(server, limit, arrivals[server], lives)
    ]
    return max(windows, key=lambda w: w.requests / w.allowed, default=None)


def list_windows(
    server: str,
    limit: RateLimit,
    arrivals: list[Arrival],
    lives: Mapping[str, HostLife],
) -> list[LimitedWindow]:
    """Return the windows that begin with a request from a host that knew the limit."""
    limited = sorted(
        (a for a in arrivals if limit.since_s <= a.at_s < limit.until_s),
        key=lambda arrival: arrival.at_s,
    )
    known_s: dict[str, float] = defaultdict(lambda: math.inf)
    for arrival in limited:
        noticed_s = arrival.ended_s + NOTICE_S
        known_s[arrival.host] = min(known_s[arrival.host], noticed_s)
    if not known_s:
        return []
    binding_s = min(known_s.values()) - NOTICE_S + CONTACT_S
    times = [
        a.at_s
        for a in limited
        if a.at_s >= max(binding_s, known_s[a.host])
        and not was_paused(lives[a.host], a.at_s)
    ]
    allowed = limit.per_second * WINDOW_S * ALLOWED_SHARE + ALLOWED_EXTRA
    return [
        LimitedWindow(
            server, at_s, bisect.bisect_left(times, at_s + WINDOW_S) - index, allowed
        )
        for index, at_s in enumerate(times)
    ]


def was_paused(life: HostLife, at_s: float) -> bool:
    """Return whether the process was paused within the last window."""
    since_s = at_s - WINDOW_S
    return any(start < at_s and end > since_s for start, end in life.pauses)
