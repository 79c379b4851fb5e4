"""Decide how many requests a brittle server gets at once; no I/O.

A brittle server falls over if it rejects more than some requests per second. A request
there either uses room in which the server has lately held one, or is one of the few of
which nobody knows whether there is room.
"""

import random
from collections import deque

__all__ = ["CONFIRMED_MS", "ServerRoom"]

# Rejections come back within this time of the grant.
CONFIRMED_MS = 250.0
# Share of the rejections that a server bears which hosts may provoke; the rest is left
# to hosts that have not heard yet and to others.
PROVOKED_SHARE = 0.75
REJECTION_WINDOW_MS = 1200.0
# After a rejection nothing is granted for this long, doubled for each further one.
BASE_PAUSE_MS = 250.0
MAX_PAUSE_MS = 4000.0
# A server notices within this time that a connection was closed.
CLOSE_NOTICED_MS = 250.0
# Rejections are forgotten after this long without another one.
REJECTION_MEMORY_MS = 8000.0
# Weight of the newest request in the moving average of the time in the server.
NEWEST_WEIGHT = 0.1


class ServerRoom:
    """Room of one process of a brittle server, of which this host grants a share."""

    def __init__(self, generator: random.Random | None = None) -> None:
        self.slots = 1
        self.rejections_borne = 0.0
        self._generator = generator or random.Random()
        self._proven = 0
        self._rejected_ms: deque[float] = deque()
        self._rejections_in_row = 0
        self._resumes_ms = 0.0
        self._held_ms = 0.0
        self._abandoned_until_ms: list[float] = []

    def create_successor(self) -> "ServerRoom":
        """Return the room of the next process, which holds requests about as long."""
        successor = ServerRoom(self._generator)
        successor._held_ms = self._held_ms
        return successor

    def set_bounds(self, slots: float, rejections_borne: float) -> None:
        """Set the slots and the rejections per second that this host may use up."""
        self.slots = max(int(slots), 1)
        self.rejections_borne = rejections_borne

    def note_rejection(self, confirmed: int, now: float) -> None:
        """Pause after a rejection; `confirmed` requests are known to be there."""
        if self._rejected_ms and now - self._rejected_ms[-1] > REJECTION_MEMORY_MS:
            self._rejections_in_row = 0
        self._rejected_ms.append(now)
        self._proven = min(self._proven, confirmed)
        if now < self._resumes_ms:
            return
        pause_ms = min(BASE_PAUSE_MS * 2**self._rejections_in_row, MAX_PAUSE_MS)
        self._rejections_in_row += 1
        self._resumes_ms = now + pause_ms * (0.5 + self._generator.random())

    def note_end(self, held_ms: float) -> None:
        """Record how long the server held a request."""
        if not self._held_ms:
            self._held_ms = held_ms
        self._held_ms += NEWEST_WEIGHT * (held_ms - self._held_ms)

    def note_abandoned(self, granted_ms: float, now: float) -> None:
        """Keep the room of a request that its host left, as the server may run it."""
        until_ms = max(now, granted_ms + self._held_ms)
        self._abandoned_until_ms.append(until_ms + CLOSE_NOTICED_MS)

    def _count_abandoned(self, now: float) -> int:
        self._abandoned_until_ms = [t for t in self._abandoned_until_ms if t > now]
        return len(self._abandoned_until_ms)

    def may_grant(self, granted: int, confirmed: int, now: float) -> bool:
        """Return whether to grant one request more than `granted`.

        `confirmed` of those granted were not rejected.
        """
        abandoned = self._count_abandoned(now)
        granted, confirmed = granted + abandoned, confirmed + abandoned
        self._proven = max(self._proven, confirmed)
        if now < self._resumes_ms or granted >= self.slots:
            return False
        if granted < self._proven:
            return True
        while self._rejected_ms and self._rejected_ms[0] <= now - REJECTION_WINDOW_MS:
            self._rejected_ms.popleft()
        unknown = granted - confirmed + len(self._rejected_ms)
        return unknown < max(self.rejections_borne * PROVOKED_SHARE, 1.0)

    def estimate_wait_ms(self, granted: int, ahead: int, now: float) -> float:
        """Return the expected wait of a request after `ahead` waiting ones, in ms."""
        pause_ms = max(self._resumes_ms - now, 0.0)
        granted += self._count_abandoned(now)
        excess_requests = max(granted + ahead + 1 - self.slots, 0)
        return pause_ms + excess_requests * self._held_ms / self.slots
