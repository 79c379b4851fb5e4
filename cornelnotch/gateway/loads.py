"""Aggregate the load that all hosts put on each server; no I/O.

Each host reports its requests in progress to one collector, which publishes the totals
to all hosts. During bursts, a host alone would see only a fraction of each queue.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from cornelnotch.wire.messages import EngineRates, LoadReport, LoadSummary, ServerUsage

__all__ = ["LoadAggregates", "LoadAggregator", "add_usages"]

# Older reports come from hosts that have stopped or are unreachable.
REPORT_TTL_MS = 1500.0
SUMMARY_TTL_MS = 1500.0


def _combine_backlogs(
    left: list[int], right: list[int], combine: Callable[[int, int], int]
) -> list[int]:
    size = max(len(left), len(right))
    padded = (values + [0] * (size - len(values)) for values in (left, right))
    return [combine(a, b) for a, b in zip(*padded, strict=True)]


def add_usages(left: ServerUsage, right: ServerUsage) -> ServerUsage:
    """Return the sum of two loads of the same server."""
    return ServerUsage(
        left.server,
        left.running + right.running,
        left.waiting + right.waiting,
        left.failures + right.failures,
        left.tight + right.tight,
        left.sent + right.sent,
        _combine_backlogs(left.backlog, right.backlog, lambda a, b: a + b),
    )


class LoadAggregator:
    """Collect the load reports of hosts."""

    def __init__(self) -> None:
        self._reports: dict[str, tuple[float, LoadReport]] = {}
        self._rates: dict[str, EngineRates] = {}

    def add_report(self, report: LoadReport, now: float) -> None:
        """Store a report, replacing the previous one of the same host."""
        self._reports[report.host] = (now, report)
        self._rates.update({rates.server: rates for rates in report.paces})

    def pop_rates(self) -> list[EngineRates]:
        """Return the rates reported since the last call."""
        engine_rates = list(self._rates.values())
        self._rates.clear()
        return engine_rates

    def compute_totals(self, now: float) -> list[ServerUsage]:
        """Return the total per server over all hosts with a current report."""
        totals: dict[str, ServerUsage] = {}
        for host, (at, report) in list(self._reports.items()):
            if now - at > REPORT_TTL_MS:
                del self._reports[host]
                continue
            for usage in report.uses:
                known = totals.get(usage.server)
                totals[usage.server] = (
                    usage if known is None else add_usages(known, usage)
                )
        return list(totals.values())


@dataclass(slots=True)
class LoadAggregates:
    """Loads that other hosts put on servers, from the latest summary."""

    by_server: dict[str, ServerUsage]
    at_ms: float = float("-inf")

    def update(
        self, summary: LoadSummary, own: Iterable[ServerUsage], now: float
    ) -> None:
        """Store a summary after subtracting the loads that this host had reported."""
        own_by_server = {usage.server: usage for usage in own}
        self.by_server = {
            usage.server: _subtract(usage, own_by_server.get(usage.server))
            for usage in summary.uses
        }
        self.at_ms = now

    def get(self, server: str, now: float) -> ServerUsage | None:
        """Return the load of other hosts at a server, or None if it is not known."""
        if now - self.at_ms > SUMMARY_TTL_MS:
            return None
        return self.by_server.get(server)


def _subtract(total: ServerUsage, own: ServerUsage | None) -> ServerUsage:
    if own is None:
        return total
    return ServerUsage(
        total.server,
        max(total.running - own.running, 0),
        max(total.waiting - own.waiting, 0),
        max(total.failures - own.failures, 0),
        max(total.tight - own.tight, 0),
        max(total.sent - own.sent, 0),
        _combine_backlogs(total.backlog, own.backlog, lambda a, b: max(a - b, 0)),
    )
