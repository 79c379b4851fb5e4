"""Remember which server processes rejected requests and when, without I/O.

A brittle server that falls over after rejections looks like one that a request crashed.
"""

from collections import OrderedDict
from collections.abc import Iterable

from cornelnotch.wire.messages import RejectionNotice

__all__ = ["RejectionTable"]

# A fall follows the rejections that caused it within this time.
FALL_MS = 2000.0
# Rejections are told to other hosts for this long, as a collector may be replaced.
REPORT_TTL_MS = 3000.0
REMEMBERED_LIVES = 256


class RejectionTable:
    """The latest rejection by each process of a brittle server."""

    def __init__(self) -> None:
        self._rejected_ms: OrderedDict[tuple[str, int], float] = OrderedDict()

    def record(self, server: str, boot_ms: int, rejected_ms: float) -> None:
        """Record a rejection by a brittle server."""
        key = server, boot_ms
        known_ms = self._rejected_ms.get(key, rejected_ms)
        self._rejected_ms[key] = max(known_ms, rejected_ms)
        self._rejected_ms.move_to_end(key)
        while len(self._rejected_ms) > REMEMBERED_LIVES:
            self._rejected_ms.popitem(last=False)

    def merge(self, notices: Iterable[RejectionNotice], now: float) -> None:
        """Record the rejections that other hosts observed."""
        for notice in notices:
            self.record(notice.server, notice.boot_ms, now - notice.age_ms)

    def list_notices(self, now: float) -> list[RejectionNotice]:
        """Return the latest rejections for other hosts."""
        return [
            RejectionNotice(server, boot_ms, round(max(now - rejected_ms, 0.0), 1))
            for (server, boot_ms), rejected_ms in self._rejected_ms.items()
            if now - rejected_ms <= REPORT_TTL_MS
        ]

    def explains_fall(self, server: str, boot_ms: int, fallen_ms: float) -> bool:
        """Return whether a server process rejected requests shortly before its end."""
        rejected_ms = self._rejected_ms.get((server, boot_ms))
        return rejected_ms is not None and abs(fallen_ms - rejected_ms) <= FALL_MS
