"""Aggregate the load that all hosts put on each server; no I/O.

Each host reports its requests in progress to one collector, which publishes the totals
to all hosts. During bursts, a host alone would see only a fraction of each queue.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cornelnotch.wire.messages import EnginePace, LoadReport, LoadSummary, ServerUse

__all__ = ["LoadBoard", "LoadSums", "add_uses"]

# Older reports come from hosts that have stopped or are unreachable.
REPORT_TTL_MS = 1500.0
SUMMARY_TTL_MS = 1500.0


def _combine_backlogs(
    left: list[int], right: list[int], combine: Callable[[int, int], int]
) -> list[int]:
    size = max(len(left), len(right))
    padded = (values + [0] * (size - len(values)) for values in (left, right))
    return [combine(a, b) for a, b in zip(*padded, strict=True)]


def add_uses(left: ServerUse, right: ServerUse) -> ServerUse:
    """Return the sum of two loads of the same server."""
    return ServerUse(
        left.server,
        left.running + right.running,
        left.waiting + right.waiting,
        left.failures + right.failures,
        left.tight + right.tight,
        left.sent + right.sent,
        _combine_backlogs(left.backlog, right.backlog, lambda a, b: a + b),
    )


class LoadBoard:
    """Collect the load reports of hosts."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, LoadReport]] = {}
        self._paces: dict[str, EnginePace] = {}

    def take(self, report: LoadReport, now: float) -> None:
        """Store a report, replacing the previous one of the same host."""
        self._reports[report.host] = (now, report)
        self._paces.update({pace.server: pace for pace in report.paces})

    def take_paces(self) -> list[EnginePace]:
        """Return the paces reported since the last call."""
        paces = list(self._paces.values())
        self._paces.clear()
        return paces

    def sum_up(self, now: float) -> list[ServerUse]:
        """Return the total per server over all hosts with a current report."""
        sums: dict[str, ServerUse] = {}
        for host, (at, report) in list(self._reports.items()):
            if now - at > REPORT_TTL_MS:
                del self._reports[host]
                continue
            for use in report.uses:
                known = sums.get(use.server)
                sums[use.server] = use if known is None else add_uses(known, use)
        return list(sums.values())


@dataclass(slots=True)
class LoadSums:
    """Loads that other hosts put on servers, from the latest summary."""

    others: dict[str, ServerUse]
    at_ms: float = float("-inf")

    def take(self, summary: LoadSummary, own: Iterable[ServerUse], now: float) -> None:
        """Store a summary after subtracting the loads that this host had reported."""
        own_by_server = {use.server: use for use in own}
        self.others = {
            use.server: _subtract(use, own_by_server.get(use.server))
            for use in summary.uses
        }
        self.at_ms = now

    def find(self, server: str, now: float) -> ServerUse | None:
        """Return the load of other hosts at a server, or None if it is not known."""
        if now - self.at_ms > SUMMARY_TTL_MS:
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
        _combine_backlogs(total.backlog, own.backlog, lambda a, b: max(a - b, 0)),
    )
