"""Decide when to send which order; no I/O.

An order states an absolute number and may be lost, refused, or executed seconds later,
so that it is repeated until the entries of servers show it.
"""

from collections import deque
from dataclasses import dataclass, field

from cornelnotch.duties.models import CallOutcome, Claim
from cornelnotch.scaling.models import OrderKey, ServerKind, ServerOrder

__all__ = ["OrderBook"]

# Servers are taken away once fewer were enough for this long without a break.
REDUCE_HOLD_MS = 3000.0
# Time from the order until entries show a server, beyond its boot time.
SHOWN_MARGIN_MS = 2500.0
# An order without an answer, or that the API was too busy for, is sent again after this
# time unless the entries show that it was executed.
RETRY_MS = 1500.0
# A domain that has just lost its spot servers gets none for about 9 s after the notice
# of 2.4 s.
RECLAIMED_PAUSE_MS = 12_500.0
# Spot servers that were not to be had are asked for again after this time. It is longer
# than `proof_ms`, so that on-demand servers can be ordered in their place.
NO_SPOT_MS = 20_000.0
# The lease of a claim runs from the last write to the store that succeeded, so that a
# claim that is valid a lease later (3 s by default) was proven in between.
PROOF_MS = 3500.0
# An order that the API finds invalid is hardly valid later.
REJECTED_PAUSE_MS = 30_000.0


@dataclass(frozen=True, slots=True)
class DesiredCount:
    """Number of servers that was desired from a time on."""

    at_ms: float
    count: int


@dataclass(slots=True)
class OrderState:
    """The last order of one key, and what is wanted now."""

    ordered: int | None = None
    is_increase: bool = False
    fresh_until_ms: float = 0.0
    paused_until_ms: float = 0.0
    desired: deque[DesiredCount] = field(default_factory=deque)
    wanted: int | None = None
    level: int = 0
    in_flight: bool = False
    sent_level: int = 0


@dataclass(slots=True)
class SubjectPause:
    """No calls for a service and domain with this token; `until_ms` may be infinite."""

    token: int
    until_ms: float


@dataclass(slots=True)
class OrderBook:
    """Orders of all services, domains and kinds.

    With `fenced`, a refused spot order may mean that a higher fencing token was seen.
    A claim that is still valid after `proof_ms` has been proven to be the newest.
    """

    fenced: bool = True
    proof_ms: float = PROOF_MS
    _states: dict[OrderKey, OrderState] = field(default_factory=dict)
    _pauses: dict[tuple[str, str], SubjectPause] = field(default_factory=dict)

    def find_level(self, key: OrderKey, serving: int, now: float) -> int:
        """Return the number of servers once the last order is executed."""
        state = self._states.setdefault(key, OrderState())
        if state.ordered is None or now >= state.fresh_until_ms:
            return serving
        if state.is_increase:
            return max(serving, state.ordered)
        return min(serving, state.ordered)

    def update(self, key: OrderKey, desired: int, serving: int, now: float) -> None:
        """Set the number of servers that is desired now."""
        state = self._states.setdefault(key, OrderState())
        state.level = level = self.find_level(key, serving, now)
        if not state.desired:
            # Nothing is known of the time before.
            state.desired.append(DesiredCount(now, level))
        state.desired.append(DesiredCount(now, desired))
        while len(state.desired) > 1 and now - state.desired[1].at_ms >= REDUCE_HOLD_MS:
            state.desired.popleft()
        if now - state.desired[0].at_ms >= REDUCE_HOLD_MS:
            state.desired.popleft()
        highest = max(item.count for item in state.desired)
        state.wanted = desired if desired >= level else min(highest, level)

    def clear_wanted(self) -> None:
        """Want nothing until the next updates."""
        for state in self._states.values():
            state.wanted = None

    def forget_desired(self) -> None:
        """Forget what is wanted and for how long, as this host has a new claim."""
        for state in self._states.values():
            state.wanted = None
            state.desired.clear()

    def list_due(self, claim: Claim, now: float) -> list[ServerOrder]:
        """Return the orders to send now, the most urgent first.

        Additions come before reductions, and the largest first, as the API accepts few
        calls per second.
        """
        due = [
            (key, state)
            for key, state in self._states.items()
            if state.wanted is not None
            and state.wanted != state.level
            and now >= state.paused_until_ms
            and not self._is_subject_busy(key)
            and not self._is_paused(key, claim, now)
        ]
        due.sort(key=lambda pair: _rank(*pair))
        return [ServerOrder(key, state.wanted or 0) for key, state in due]

    def _is_subject_busy(self, key: OrderKey) -> bool:
        """Return whether a call for the service and domain is under way."""
        return any(
            self._states[other].in_flight
            for kind in ServerKind
            if (other := OrderKey(key.service, key.domain, kind)) in self._states
        )

    def _is_paused(self, key: OrderKey, claim: Claim, now: float) -> bool:
        pause = self._pauses.get((key.service, key.domain))
        return pause is not None and pause.token == claim.token and now < pause.until_ms

    def is_spot_available(self, service: str, domain: str, now: float) -> bool:
        """Return whether spot servers may be ordered in a domain."""
        state = self._states.get(OrderKey(service, domain, ServerKind.SPOT))
        return state is None or now >= state.paused_until_ms

    def note_reclaimed(self, service: str, domain: str, now: float) -> None:
        """Order no spot servers for a while where they have just been taken back."""
        key = OrderKey(service, domain, ServerKind.SPOT)
        state = self._states.setdefault(key, OrderState())
        state.paused_until_ms = max(state.paused_until_ms, now + RECLAIMED_PAUSE_MS)
        state.fresh_until_ms = now

    def explains_release(self, key: OrderKey, serving: int, now: float) -> bool:
        """Return whether a fresh order left no more than `serving` servers."""
        state = self._states.get(key)
        if state is None or state.ordered is None or now >= state.fresh_until_ms:
            return False
        return not state.is_increase and serving >= state.ordered

    def note_sent(self, order: ServerOrder) -> None:
        """Note that a call for the order begins."""
        state = self._states[order.key]
        state.in_flight = True
        state.sent_level = state.level

    def note_outcome(
        self,
        order: ServerOrder,
        claim: Claim,
        outcome: CallOutcome,
        boot_ms: float,
        now: float,
    ) -> bool:
        """Note how a call ended; return whether it shows a higher fencing token.

        The API answers a spot order alike if there are no such servers. Then nothing is
        sent for the service and domain with the same token until a claim that is still
        valid must have been proven by a later write to the store: a higher token would
        have made that write fail.
        """
        state = self._states[order.key]
        state.in_flight = False
        if outcome in {CallOutcome.ACCEPTED, CallOutcome.UNANSWERED}:
            accepted = outcome is CallOutcome.ACCEPTED
            state.is_increase = order.count > state.sent_level
            state.ordered = order.count
            wait_ms = SHOWN_MARGIN_MS + boot_ms * state.is_increase
            state.fresh_until_ms = now + (wait_ms if accepted else RETRY_MS)
        elif outcome is CallOutcome.BUSY:
            state.paused_until_ms = now + RETRY_MS
        elif outcome is CallOutcome.REJECTED:
            state.paused_until_ms = now + REJECTED_PAUSE_MS
        elif order.key.kind is ServerKind.SPOT:
            state.paused_until_ms = now + NO_SPOT_MS
            if self.fenced:
                self._pause(order.key, claim, now + self.proof_ms)
        else:
            self._pause(order.key, claim, float("inf"))
            return True
        return False

    def _pause(self, key: OrderKey, claim: Claim, until_ms: float) -> None:
        self._pauses[key.service, key.domain] = SubjectPause(claim.token, until_ms)


def _rank(key: OrderKey, state: OrderState) -> tuple[bool, bool, int, str, str]:
    change = (state.wanted or 0) - state.level
    is_spot = key.kind is ServerKind.SPOT
    return change < 0, is_spot, -abs(change), key.service, key.domain
