"""Collect the demand that hosts report, by time, service, domain and priority; no I/O.

Hosts report cumulative totals, so that a lost or repeated report loses or repeats
nothing.
"""

from collections import deque
from dataclasses import dataclass

from cornelnotch.scaling.models import Work
from cornelnotch.wire.messages import DemandRow, DemandTotals

__all__ = ["DemandHistory"]

BUCKET_MS = 500.0
# Demand is remembered for this long; bursts return within it.
HISTORY_MS = 60_000.0
BUCKETS = int(HISTORY_MS / BUCKET_MS)
# After a longer gap between two reports of a host, its requests count in this time.
MAX_GAP_MS = 10_000.0
# A host whose last report is older lacks two or more.
FRESH_REPORT_MS = 3000.0
# A host reports some services at a few priorities each; more rows are malformed.
MAX_ROWS = 1000
MS_PER_SECOND = 1000.0


@dataclass(slots=True)
class DemandBucket:
    """Requests that arrived within one bucket of time."""

    number: int
    requests: float = 0.0
    prefill_tokens: float = 0.0
    output_tokens: float = 0.0
    served: float = 0.0
    served_ms: float = 0.0


@dataclass(slots=True)
class HostReport:
    """The last totals of a host and when they arrived."""

    totals: DemandTotals
    rows: dict[tuple[str, int], DemandRow]
    at_ms: float


@dataclass(frozen=True, slots=True)
class DemandKey:
    """What demand is told apart by."""

    service: str
    domain: str
    priority: int


class DemandHistory:
    """Demand of the last minute, and which hosts report it."""

    def __init__(self) -> None:
        self._reports: dict[str, HostReport] = {}
        self._buckets: dict[DemandKey, deque[DemandBucket]] = {}
        self._begun_ms: float | None = None

    def add(self, totals: DemandTotals, now: float) -> bool:
        """Add a report; return False and ignore it if it is malformed."""
        if not _is_valid(totals):
            return False
        rows = {(row.service, row.priority): row for row in totals.rows}
        known = self._reports.get(totals.host)
        if known is not None and totals.boot_ms < known.totals.boot_ms:
            return True
        is_same_boot = known is not None and totals.boot_ms == known.totals.boot_ms
        if known is not None and is_same_boot:
            if totals.sequence <= known.totals.sequence:
                return True
            for key, row in rows.items():
                before = known.rows.get(key)
                self._add_row(totals.domain, row, before, known.at_ms, now)
        # The requests of a host that reports for the first time came at unknown times.
        self._reports[totals.host] = HostReport(totals, rows, now)
        if self._begun_ms is None:
            self._begun_ms = now
        return True

    def _add_row(
        self,
        domain: str,
        row: DemandRow,
        before: DemandRow | None,
        since_ms: float,
        now: float,
    ) -> None:
        since_ms = max(since_ms, now - MAX_GAP_MS)
        added = DemandBucket(
            0,
            row.requests - (before.requests if before else 0),
            row.prefill_tokens - (before.prefill_tokens if before else 0),
            row.output_tokens - (before.output_tokens if before else 0),
            row.served - (before.served if before else 0),
            row.served_ms - (before.served_ms if before else 0.0),
        )
        if min(added.requests, added.prefill_tokens, added.output_tokens) < 0:
            return
        if not added.requests and not added.served:
            return
        key = DemandKey(row.service, domain, row.priority)
        buckets = self._buckets.setdefault(key, deque(maxlen=BUCKETS))
        span_ms = max(now - since_ms, 1.0)
        first, last = int(since_ms // BUCKET_MS), int(now // BUCKET_MS)
        for number in range(first, last + 1):
            start = max(since_ms, number * BUCKET_MS)
            end = min(now, (number + 1) * BUCKET_MS)
            share = max(end - start, 0.0) / span_ms
            bucket = _find_bucket(buckets, number)
            if bucket is not None:
                bucket.requests += added.requests * share
                bucket.prefill_tokens += added.prefill_tokens * share
                bucket.output_tokens += added.output_tokens * share
                bucket.served += max(added.served, 0.0) * share
                bucket.served_ms += max(added.served_ms, 0.0) * share

    def measure_age_ms(self, now: float) -> float:
        """Return for how long reports have arrived, at most the remembered time."""
        return 0.0 if self._begun_ms is None else min(now - self._begun_ms, HISTORY_MS)

    def count_reporting(self, now: float) -> int:
        """Return how many hosts have reported lately."""
        reports = self._reports.values()
        return sum(now - report.at_ms <= FRESH_REPORT_MS for report in reports)

    def list_priorities(self, service: str, now: float) -> list[int]:
        """Return the priorities of requests to a service, the most urgent first."""
        oldest = int((now - HISTORY_MS) // BUCKET_MS)
        return sorted(
            {
                key.priority
                for key, buckets in self._buckets.items()
                if key.service == service and buckets and buckets[-1].number >= oldest
            }
        )

    def list_domains(self, service: str) -> set[str]:
        """Return the domains of hosts that got requests to a service."""
        return {key.domain for key in self._buckets if key.service == service}

    def measure(
        self,
        service: str,
        domains: set[str],
        now: float,
        window_ms: float,
        priority: int | None = None,
    ) -> list[Work]:
        """Return the demand in successive windows, the last one complete until now.

        Of one priority, or of all. There are as many windows as reports cover.
        """
        size = max(int(window_ms / BUCKET_MS), 1)
        # The current bucket, and the one that late reports still add to, are left out.
        end = int(now // BUCKET_MS) - 1
        count = int(self.measure_age_ms(now) / BUCKET_MS) - 1
        sums = [DemandBucket(number) for number in range(max(count, 0))]
        start = end - len(sums)
        for key, buckets in self._buckets.items():
            if key.service != service or key.domain not in domains:
                continue
            if priority is not None and key.priority != priority:
                continue
            for bucket in buckets:
                if start <= bucket.number < end:
                    _add_bucket(sums[bucket.number - start], bucket)
        windows = []
        for index in range(len(sums) - size + 1):
            total = DemandBucket(index)
            for bucket in sums[index : index + size]:
                _add_bucket(total, bucket)
            windows.append(_create_work(total, size * BUCKET_MS))
        return windows

    def forget_old(self, now: float) -> None:
        """Forget hosts and kinds of requests not seen for the remembered time."""
        oldest = int((now - HISTORY_MS) // BUCKET_MS)
        for key in [k for k, b in self._buckets.items() if b[-1].number < oldest]:
            del self._buckets[key]
        reports = self._reports.items()
        for name in [n for n, report in reports if now - report.at_ms > HISTORY_MS]:
            del self._reports[name]


def _is_valid(totals: DemandTotals) -> bool:
    if not totals.host or not totals.domain or len(totals.rows) > MAX_ROWS:
        return False
    return totals.sequence >= 0 and all(
        0 <= amount < float("inf")
        for row in totals.rows
        for amount in (
            row.requests,
            row.refused,
            row.prompt_tokens,
            row.prefill_tokens,
            row.output_tokens,
            row.served,
            row.served_ms,
        )
    )


def _find_bucket(buckets: deque[DemandBucket], number: int) -> DemandBucket | None:
    """Return the bucket of a number, None if it is older than those remembered."""
    if not buckets or number > buckets[-1].number:
        buckets.append(DemandBucket(number))
        return buckets[-1]
    for bucket in reversed(buckets):
        if bucket.number == number:
            return bucket
        if bucket.number < number:
            break
    else:
        if len(buckets) == buckets.maxlen:
            return None
    bucket = DemandBucket(number)
    kept = sorted([*buckets, bucket], key=lambda b: b.number)
    buckets.clear()
    buckets.extend(kept)
    return bucket


def _add_bucket(total: DemandBucket, bucket: DemandBucket) -> None:
    total.requests += bucket.requests
    total.prefill_tokens += bucket.prefill_tokens
    total.output_tokens += bucket.output_tokens
    total.served += bucket.served
    total.served_ms += bucket.served_ms


def _create_work(total: DemandBucket, window_ms: float) -> Work:
    seconds = window_ms / MS_PER_SECOND
    return Work(
        total.requests / seconds,
        total.prefill_tokens / seconds,
        total.output_tokens / seconds,
        total.served_ms / total.served if total.served else 0.0,
    )
