"""Decide what becomes of requests during the graceful shutdown of a host; no I/O.

Callers may use an open connection until it is closed, so requests arrive during the
whole grace period. A request that can end in time is served like any other. Another
one is refused before it is sent to a server: its caller can retry it at another host,
while a response that is cut off loses the work, or leaves its caller uncertain whether
it ran.
"""

import random
from collections.abc import Callable

from cornelnotch.gateway.models import Route, WorkKind
from cornelnotch.gateway.retry_after import MAX_RETRY_AFTER_SHARE
from cornelnotch.gateway.timeouts import LOST_AFTER_SILENCES
from cornelnotch.kernel.clock import Clock

__all__ = [
    "LONGEST_SHARE",
    "Drain",
    "choose_drain_retry_after_ms",
    "choose_share",
    "find_exit_margin_ms",
]

# Part of the grace period that remains for closing connections and exiting: a share,
# and the most that is needed.
EXIT_MARGIN_SHARE = 1.0 / 8.0
MAX_EXIT_MARGIN_MS = 600.0
# Share of similar requests that must have ended within the time left, while callers may
# use the host's address. Work that may not be repeated needs more certainty, as a wrong
# estimate leaves its caller uncertain whether it ran.
USUAL_SHARE = 0.5
ONCE_SHARE = 0.75
# Later requests, which come on connections that are still open, must end in time even
# if their response is longer than all before; their server may turn slower meanwhile.
LATE_FACTOR = 1.25
# The longest of the recent durations.
LONGEST_SHARE = 1.0
# Time before the latest moment at which a stream can go on at another server.
LATEST_MOVE_MS = 250.0
# Delay before a refused caller retries at another host, shortened by up to half.
RETRY_AFTER_MS = 100.0


# Returns the time in ms that a share of requests does not exceed, or None if unknown.
Estimate = Callable[[float], float | None]
# Returns the time in ms that no request of the kind exceeds, or None if unbounded.
Bound = Callable[[], float | None]


def find_exit_margin_ms(grace_ms: float) -> float:
    """Return the time that closing connections and exiting may take, in ms."""
    return min(grace_ms * EXIT_MARGIN_SHARE, MAX_EXIT_MARGIN_MS)


def choose_share(route: Route) -> float:
    """Return the share of similar requests that must fit for one to be served."""
    return ONCE_SHARE if route.kind is WorkKind.ONCE else USUAL_SHARE


def choose_drain_retry_after_ms(
    has_other_hosts: bool, left_ms: float, generator: random.Random
) -> float:
    """Return the jittered delay after which a refused caller may retry, in ms."""
    longest_ms = max(left_ms, 0.0) * MAX_RETRY_AFTER_SHARE
    delay_ms = min(RETRY_AFTER_MS, longest_ms) if has_other_hosts else longest_ms
    return delay_ms * (1.0 - 0.5 * generator.random())


class Drain:
    """Graceful shutdown of a host; `end_ms` is infinite until it starts."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_ms: float | None = None
        self._expected_until_ms = float("inf")
        self.end_ms = float("inf")

    def start(self, grace_ms: float, expected_ms: float) -> None:
        """Start to drain; the process is killed after `grace_ms`.

        Callers may use the host's address for `expected_ms`.
        """
        self._started_ms = self._clock.read()
        self._expected_until_ms = self._started_ms + expected_ms
        self.end_ms = self._started_ms + grace_ms - find_exit_margin_ms(grace_ms)

    def close(self) -> None:
        """End the drain now, also before its time: no further request is served."""
        self.end_ms = min(self.end_ms, self._clock.read())

    @property
    def has_started(self) -> bool:
        """Return whether the host is draining."""
        return self._started_ms is not None

    def measure_left_ms(self) -> float:
        """Return the time until all requests must have ended, in ms."""
        return self.end_ms - self._clock.read()

    def measure_age_ms(self, at_ms: float) -> float | None:
        """Return the time from the start to `at_ms` in ms, or None before the start.

        The time is negative if `at_ms` is before the start.
        """
        return None if self._started_ms is None else at_ms - self._started_ms

    def find_needed_ms(
        self,
        route: Route,
        estimate: Estimate,
        bound: Bound,
        silence_ms: float = 0.0,
        received_ms: float | None = None,
    ) -> float | None:
        """Return the time that a request must have to be served, or None if unknown.

        Past durations do not bound a late request. Its server may fall silent for
        `silence_ms` and go on. A request that was received in time, and waits since,
        is not late; without `received_ms` it is received now.
        """
        if not self._is_late(received_ms):
            return estimate(choose_share(route))
        bound_ms = bound()
        return None if bound_ms is None else bound_ms * LATE_FACTOR + silence_ms

    def may_move(
        self,
        route: Route,
        estimate: Estimate,
        limit_ms: float,
        silence_ms: float,
        silent_ms: float,
    ) -> bool:
        """Return whether a stream may now be moved from its silent server.

        The server has sent no event for `silent_ms`. A sound one goes on after about
        `silence_ms`, and the other server may fall silent for as long. So the stream is
        moved only when its server counts as lost and there is time for a silence of the
        other one, or when it could not end elsewhere any later. Until its server counts
        as lost, no time is kept for a slower one, as that would bring the move forward.
        """
        left_ms = self.measure_left_ms()
        if left_ms <= 0:
            return False
        if limit_ms <= left_ms:
            return True
        is_late = self._is_late()
        is_lost = silent_ms >= LOST_AFTER_SILENCES * silence_ms
        rest_ms = estimate(LONGEST_SHARE if is_late else choose_share(route))
        if rest_ms is None:
            return is_lost and not is_late
        if not is_lost:
            return 0.0 <= left_ms - rest_ms <= LATEST_MOVE_MS
        spare_ms = left_ms - (rest_ms * LATE_FACTOR if is_late else rest_ms)
        return spare_ms >= silence_ms or 0.0 <= spare_ms <= LATEST_MOVE_MS

    def _is_late(self, received_ms: float | None = None) -> bool:
        at_ms = self._clock.read() if received_ms is None else received_ms
        return at_ms >= self._expected_until_ms

    def can_end(
        self,
        route: Route,
        estimate: Estimate,
        bound: Bound,
        limit_ms: float,
        silence_ms: float = 0.0,
        received_ms: float | None = None,
    ) -> bool:
        """Return whether a request sent to a server now can end in time.

        It was received at `received_ms`, or now. It has its final response within
        `limit_ms`, whatever its server does, which may fall silent for `silence_ms`
        and go on. Once callers are expected no more, none of unknown duration is sent.
        """
        left_ms = self.measure_left_ms()
        if left_ms <= 0:
            return False
        if limit_ms <= left_ms:
            return True
        needed_ms = self.find_needed_ms(route, estimate, bound, silence_ms, received_ms)
        if needed_ms is None:
            return not self._is_late()
        return needed_ms <= left_ms
