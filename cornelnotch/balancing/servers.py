"""State of one server as seen by a dispatcher."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

__all__ = ["ServerState", "SmoothedDuration", "find_median", "is_straggler"]

SMOOTHING_GAIN = 0.25
MIN_PACE_SAMPLES = 3
SLOW_RATIO = 2.0
PROBE_PERIOD_MS = 3000.0
EJECTION_BASE_MS = 500.0
EJECTION_LIMIT_MS = 4000.0
MAX_AFFINITY_KEYS = 512
LOAD_WINDOW_MS = 3000.0


@dataclass(slots=True)
class SmoothedDuration:
    """Exponentially smoothed mean of a duration, in ms."""

    mean: float = 0.0
    samples: int = 0

    def update(self, value: float) -> None:
        """Add one duration to the mean."""
        gain = max(SMOOTHING_GAIN, 1.0 / (self.samples + 1))
        self.mean += gain * (value - self.mean)
        self.samples += 1


@dataclass(slots=True)
class ServerState:
    """Slots, own requests, durations and failures of one server.

    Own requests are those that this dispatcher granted. `busy` counts those that
    occupy a slot and `paused` those paused in favour of a higher tier;
    `external` is the load from other sources, derived from the server's delayed
    reports.
    """

    name: str
    address: str
    slots: int
    leaving: bool = False
    busy: int = 0
    paused: int = 0
    external: int = 0
    failures: int = 0
    ejected_until_ms: float = 0.0
    probe_ms: float = 0.0
    slow: bool = False
    first_token: SmoothedDuration = field(default_factory=SmoothedDuration)
    between_tokens: SmoothedDuration = field(default_factory=SmoothedDuration)
    affinity: OrderedDict[str, None] = field(default_factory=OrderedDict)
    history: deque[tuple[float, int]] = field(default_factory=deque)

    def count_free(self, now: float) -> int:
        """Return the number of free slots; 0 if the server is leaving or ejected."""
        if self.leaving or now < self.ejected_until_ms:
            return 0
        limit = self.slots
        if self.slow or self.failures:
            # Only a periodic probe request is sent, to detect when the server recovers.
            limit = 1 if now >= self.probe_ms else 0
        return max(limit - self.busy - self.external, 0)

    def record_failure(self, now: float) -> None:
        """Eject the server, for longer after each consecutive failure."""
        if now < self.ejected_until_ms:
            return
        self.failures += 1
        ejection_ms = min(
            EJECTION_BASE_MS * 2 ** (self.failures - 1), EJECTION_LIMIT_MS
        )
        self.ejected_until_ms = now + ejection_ms

    def record_success(self) -> None:
        """Reset the count of consecutive failures."""
        self.failures = 0

    def schedule_probe(self, now: float) -> None:
        """Set the time of the next probe of a slow or failed server."""
        if self.slow or self.failures:
            self.probe_ms = now + PROBE_PERIOD_MS

    def add_affinity(self, key: str) -> None:
        """Record that the server now caches the prefix of `key`."""
        self.affinity[key] = None
        self.affinity.move_to_end(key)
        while len(self.affinity) > MAX_AFFINITY_KEYS:
            self.affinity.popitem(last=False)

    def record_busy(self, now: float) -> None:
        """Record the number of own requests, for `apply_load_report`."""
        self.history.append((now, self.busy + self.paused))
        while self.history and self.history[0][0] < now - LOAD_WINDOW_MS:
            self.history.popleft()

    def apply_load_report(self, reported: int, now: float) -> None:
        """Set the external load to the reported load less own requests.

        The report is delayed and may include own requests that have ended, so the
        highest number of own requests within LOAD_WINDOW_MS is subtracted.
        """
        self.record_busy(now)
        own = max(count for _, count in self.history)
        self.external = max(reported - own, 0)


def find_median(values: list[float]) -> float | None:
    """Return the median, or None if there are no values."""
    if not values:
        return None
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


def _collect_means(servers: list[ServerState], name: str) -> list[float]:
    paces = [getattr(server, name) for server in servers]
    return [pace.mean for pace in paces if pace.samples >= MIN_PACE_SAMPLES]


def is_straggler(server: ServerState, servers: list[ServerState]) -> bool:
    """Return whether a server is slow compared to the median of the others."""
    others = [other for other in servers if other is not server]
    for name in ("first_token", "between_tokens"):
        median = find_median(_collect_means(others, name))
        pace = getattr(server, name)
        if median is None or pace.samples < MIN_PACE_SAMPLES:
            continue
        if pace.mean > SLOW_RATIO * median + 1.0:
            return True
    return False
