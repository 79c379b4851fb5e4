"""Add up what all hosts have sent to each server; pure.

Each host tells one collector what it has under way; the collector tells everyone
the sums. It answers bursts, in which a host alone sees a fraction of a queue.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cornelnotch.wire.messages import EnginePace, LoadReport, LoadSummary, ServerUse

__all__ = ["LoadBoard", "LoadSums", "add_uses"]

# Reports older than this come from hosts that are gone or cut off.
REPORT_LIFETIME_MS = 1500.0
SUMMARY_LIFETIME_MS = 1500.0


def _merge(
    left: list[int], right: list[int], combine: Callable[[int, int], int]
) -> list[int]:
    size = max(len(left), len(right))
    padded = (values + [0] * (size - len(values)) for values in (left, right))
    return [combine(a, b) for a, b in zip(*padded, strict=True)]


def add_uses(left: ServerUse, right: ServerUse) -> ServerUse:
    """Return what two hosts together have under way at a server."""
    return ServerUse(
        left.server,
        left.running + right.running,
        left.waiting + right.waiting,
        left.failures + right.failures,
        left.tight + right.tight,
        left.sent + right.sent,
        _merge(left.backlog, right.backlog, lambda a, b: a + b),
    )


class LoadBoard:
    """Collect the reports of hosts."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, LoadReport]] = {}
        self._paces: dict[str, EnginePace] = {}

    def take(self, report: LoadReport, now: float) -> None:
        """Keep the newest report of a host."""
        self._reports[report.host] = (now, report)
        self._paces.update({pace.server: pace for pace in report.paces})

    def take_paces(self) -> list[EnginePace]:
        """Return the paces that were reported since the last call."""
        paces = list(self._paces.values())
        self._paces.clear()
        return paces

    def sum_up(self, now: float) -> list[ServerUse]:
        """Return the sums over all hosts that reported lately."""
        sums: dict[str, ServerUse] = {}
        for host, (at, report) in list(self._reports.items()):
            if now - at > REPORT_LIFETIME_MS:
                del self._reports[host]
                continue
            for use in report.uses:
                known = sums.get(use.server)
                sums[use.server] = use if known is None else add_uses(known, use)
        return list(sums.values())


@dataclass(slots=True)
class LoadSums:
    """Hold the newest summary and this host's own share of it."""

    others: dict[str, ServerUse]
    at_ms: float = float("-inf")

    def take(self, summary: LoadSummary, own: Iterable[ServerUse], now: float) -> None:
        """Take in a summary, less what this host itself had reported."""
        mine = {use.server: use for use in own}
        self.others = {
            use.server: _subtract(use, mine.get(use.server)) for use in summary.uses
        }
        self.at_ms = now

    def find(self, server: str, now: float) -> ServerUse | None:
        """Return what other hosts have under way at a server, if it is known."""
        if now - self.at_ms > SUMMARY_LIFETIME_MS:
            return None
        return self.others.get(server)


def _subtract(total: ServerUse, own: ServerUse | None) -> ServerUse:
    if own is None:
        return total
    return ServerUse(
        total.server,
        max(total.running - own.running, 0),
        max(total.waiting - own.waiting, 0),
        max(total.failures - own.failures, 0),
        max(total.tight - own.tight, 0),
        max(total.sent - own.sent, 0),
        _merge(total.backlog, own.backlog, lambda a, b: max(a - b, 0)),
    )
