"""Keep the copies of other engines' runs; no I/O."""

import random
from dataclasses import dataclass

__all__ = ["COPY_LIFETIME_S", "CopyStore"]

COPY_LIFETIME_S = 4.0
MAX_COPIES = 40
REFUSED_SHARE = 0.08


@dataclass(slots=True)
class StoredCopy:
    """State of a run after some events."""

    events: int
    updated_s: float


class CopyStore:
    """Copies by the id of their runs; some runs get no room."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._copies: dict[str, StoredCopy] = {}
        self._used: set[str] = set()

    def update(self, request_id: str, events: int, now_s: float) -> bool:
        """Store the state of a run; return whether there is room for it."""
        self._drop_old(now_s)
        if request_id in self._used:
            return False
        copy = self._copies.get(request_id)
        if copy is not None:
            copy.events, copy.updated_s = max(copy.events, events), now_s
            return True
        chance = random.Random(f"{self._name}/{request_id}").random()
        if len(self._copies) >= MAX_COPIES or chance < REFUSED_SHARE:
            return False
        self._copies[request_id] = StoredCopy(events, now_s)
        return True

    def free(self, request_id: str) -> None:
        """Drop the copy of a run that has ended."""
        self._copies.pop(request_id, None)

    def has(self, request_id: str, now_s: float) -> bool:
        """Return whether there is a copy of a run."""
        self._drop_old(now_s)
        return request_id in self._copies

    def take(self, request_id: str, now_s: float) -> int | None:
        """Return the events of a copy and drop it, or None if there is none."""
        self._drop_old(now_s)
        copy = self._copies.pop(request_id, None)
        if copy is None:
            return None
        self._used.add(request_id)
        return copy.events

    def _drop_old(self, now_s: float) -> None:
        limit_s = now_s - COPY_LIFETIME_S
        old = [name for name, c in self._copies.items() if c.updated_s < limit_s]
        for name in old:
            del self._copies[name]
