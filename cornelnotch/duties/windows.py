"""Windows of usage: how requests are counted, collected and reported; no I/O.

Window K begins K window lengths after the start of 1970, in true time.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

from cornelnotch.duties.models import UsageWindow

__all__ = [
    "STORED_WINDOWS",
    "TOTALS_INTERVAL_MS",
    "HostUsage",
    "ReportLedger",
    "UsageCollector",
    "UsageCounter",
    "WindowTiming",
    "WrittenWindow",
]

# A host that counts repeats the totals of this many windows.
KEPT_WINDOWS = 4
# The holder keeps windows until reports of them are no longer repeated.
COLLECTED_WINDOWS = 12
# The store keeps the content of this many windows.
STORED_WINDOWS = 8
# Hosts send changed totals this often.
TOTALS_INTERVAL_MS = 1000.0
# Totals of windows further from the present are malformed.
MAX_AHEAD_WINDOWS = 2
MAX_WORKSPACES = 20_000
# Resolution in which requests are kept that were counted before true time was agreed.
UNPLACED_MS = 50.0


@dataclass(frozen=True, slots=True)
class WindowTiming:
    """Lengths in ms of a window and of the time until its report is due."""

    window_ms: float
    due_ms: float
    # All totals of a window have arrived this long after its end.
    settle_ms: float = 2000.0

    def find_window(self, wall_ms: float) -> int:
        """Return the window at a true time."""
        return int(wall_ms // self.window_ms)

    def find_end_ms(self, window: int) -> float:
        """Return the true time at which a window ends."""
        return (window + 1) * self.window_ms

    def find_last_ended(self, wall_ms: float) -> int:
        """Return the last window that has ended at a true time."""
        return self.find_window(wall_ms) - 1

    def find_first_due(self, wall_ms: float) -> int:
        """Return the first window whose report is not overdue."""
        return int((wall_ms - self.due_ms) // self.window_ms)

    def is_settled(self, window: int, wall_ms: float) -> bool:
        """Return whether all totals of a window have arrived."""
        return wall_ms >= self.find_end_ms(window) + self.settle_ms

    def is_late(self, window: int, wall_ms: float) -> bool:
        """Return whether the report of a window is overdue."""
        return wall_ms >= self.find_end_ms(window) + self.due_ms

    def is_over(self, window: int, wall_ms: float) -> bool:
        """Return whether a report of a window is no longer sent."""
        return wall_ms >= self.find_end_ms(window) + 2.0 * self.due_ms


class UsageCounter:
    """Requests that servers began for this host, by window and workspace."""

    def __init__(self, timing: WindowTiming) -> None:
        self._timing = timing
        self._windows: defaultdict[int, Counter[str]] = defaultdict(Counter)
        self._unplaced: Counter[tuple[float, str]] = Counter()
        self.changed: set[int] = set()

    def count(self, workspace: str, wall_ms: float) -> None:
        """Count a request that a server begins to run at a true time."""
        window = self._timing.find_window(wall_ms)
        self._windows[window][workspace] += 1
        self.changed.add(window)

    def hold(self, workspace: str, now: float) -> None:
        """Count a request at monotonic time `now`, whose true time is not known yet."""
        self._unplaced[now // UNPLACED_MS * UNPLACED_MS, workspace] += 1

    def has_held(self) -> bool:
        """Return whether requests wait for their true time."""
        return bool(self._unplaced)

    def place_held(self, offset_ms: float) -> None:
        """Place the requests held, with true time minus monotonic time."""
        for (at_ms, workspace), count in self._unplaced.items():
            window = self._timing.find_window(at_ms + offset_ms)
            self._windows[window][workspace] += count
            self.changed.add(window)
        self._unplaced.clear()

    def expire(self, wall_ms: float) -> None:
        """Forget the windows that are no longer sent."""
        oldest = self._timing.find_window(wall_ms) - KEPT_WINDOWS + 1
        for window in [w for w in self._windows if w < oldest]:
            del self._windows[window]
            self.changed.discard(window)

    def list_windows(self, windows: set[int] | None = None) -> list[UsageWindow]:
        """Return the totals of some windows, or of all."""
        return [
            UsageWindow(window, dict(counts))
            for window, counts in sorted(self._windows.items())
            if windows is None or window in windows
        ]


@dataclass(slots=True)
class HostUsage:
    """Totals of one process of a host, by window; `heard_ms` is in true time."""

    windows: dict[int, dict[str, int]] = field(default_factory=dict)
    heard_ms: float = float("-inf")


class UsageCollector:
    """Totals of all hosts."""

    def __init__(self, timing: WindowTiming) -> None:
        self._timing = timing
        self._hosts: dict[tuple[str, int], HostUsage] = {}

    def add(
        self, host: str, boot_ms: int, windows: list[UsageWindow], wall_ms: float
    ) -> int:
        """Replace the totals of a host and return how many were malformed."""
        current = self._timing.find_window(wall_ms)
        usage = self._hosts.setdefault((host, boot_ms), HostUsage())
        usage.heard_ms = wall_ms
        malformed = 0
        for entry in windows:
            age = current - entry.window
            if age < -MAX_AHEAD_WINDOWS or not _is_valid(entry.counts):
                malformed += 1
            elif age < COLLECTED_WINDOWS:
                self._merge(usage, entry)
        return malformed

    @staticmethod
    def _merge(usage: HostUsage, entry: UsageWindow) -> None:
        # Totals only grow, so that messages may arrive in any order.
        known = usage.windows.setdefault(entry.window, {})
        for workspace, count in entry.counts.items():
            known[workspace] = max(known.get(workspace, 0), count)

    def expire(self, wall_ms: float) -> None:
        """Forget windows that are no longer reported, and hosts without any."""
        oldest = self._timing.find_window(wall_ms) - COLLECTED_WINDOWS
        heard_ms = wall_ms - COLLECTED_WINDOWS * self._timing.window_ms
        for key, usage in list(self._hosts.items()):
            for window in [w for w in usage.windows if w < oldest]:
                del usage.windows[window]
            if not usage.windows and usage.heard_ms < heard_ms:
                del self._hosts[key]

    def sum_window(self, window: int) -> dict[str, int]:
        """Return the total of a window by workspace, sorted by name."""
        total: Counter[str] = Counter()
        for usage in self._hosts.values():
            total.update(usage.windows.get(window, {}))
        return dict(sorted(total.items()))

    def is_older_than(self, window: int) -> bool:
        """Return whether a host that sent totals ran when a window began."""
        start_ms = self._timing.find_end_ms(window) - self._timing.window_ms
        return any(boot_ms <= start_ms for _, boot_ms in self._hosts)

    def list_unheard(self, window: int, lost: set[str]) -> list[str]:
        """Return the lost hosts whose totals of a window may be incomplete."""
        end_ms = self._timing.find_end_ms(window)
        start_ms = end_ms - self._timing.window_ms - TOTALS_INTERVAL_MS
        return sorted(
            {
                host
                for (host, _), usage in self._hosts.items()
                if host in lost and start_ms <= usage.heard_ms < end_ms
            }
        )


def _is_valid(counts: dict[str, int]) -> bool:
    return len(counts) <= MAX_WORKSPACES and all(
        0 <= count <= 2**53 for count in counts.values()
    )


@dataclass(slots=True)
class WrittenWindow:
    """Content of a report that the store has, or had in an earlier timeline.

    `is_found` states that another host wrote it, and may have reported it.
    """

    usage: UsageWindow
    timeline: int
    is_accepted: bool = False
    is_found: bool = False


class ReportLedger:
    """Which windows are written and reported.

    New content is only written for windows above the highest that was ever written.
    After a restoration the store may have lost content that was reported: a host which
    knows that content writes it again, all others leave these windows out.
    """

    def __init__(self, timing: WindowTiming) -> None:
        self._timing = timing
        self._written: dict[int, WrittenWindow] = {}
        self._timeline = 0
        self._highest = 0
        self._accounted = 0

    def load(
        self, found: list[WrittenWindow], skip_through: int, timeline: int
    ) -> None:
        """Apply the windows that the store has at the start of a claim.

        Windows up to `skip_through` may have been reported in an earlier timeline, with
        contents that only the host knows which wrote them.
        """
        self._timeline = timeline
        highest = 0
        for entry in found:
            window = entry.usage.window
            # A write of an earlier timeline may have been executed after the
            # restoration, so its content may differ from what was reported.
            if entry.timeline != timeline:
                continue
            highest = max(highest, window)
            known = self._written.get(window)
            # This host may have reported what it knows, so it reports nothing else.
            if known is None:
                self._written[window] = replace(entry, is_found=True)
            elif known.usage == entry.usage:
                known.timeline = timeline
        self._highest = max(highest, skip_through)
        self._accounted = highest or skip_through

    def find_next(self, wall_ms: float) -> int | None:
        """Return the next window to write, or None."""
        for window in sorted(self._written):
            if self._must_rewrite(window, wall_ms):
                return window
        window = self._timing.find_first_due(wall_ms)
        window = max(window, self._highest + 1, max(self._written, default=0) + 1)
        return window if self._timing.is_settled(window, wall_ms) else None

    def _must_rewrite(self, window: int, wall_ms: float) -> bool:
        """Return whether the store may have lost the known content of a window."""
        return (
            self._written[window].timeline < self._timeline
            and window > self._highest - STORED_WINDOWS
            and not self._timing.is_over(window, wall_ms)
        )

    def list_left_out(self, window: int) -> list[int]:
        """Return the windows that are not reported if `window` is written next."""
        first = max(self._accounted + 1, window - COLLECTED_WINDOWS)
        return [w for w in range(first, window) if w not in self._written]

    def get_content(self, window: int) -> UsageWindow | None:
        """Return the content that must be written for a window, if it is known."""
        entry = self._written.get(window)
        return entry.usage if entry is not None else None

    def note_written(self, usage: UsageWindow, timeline: int) -> None:
        """Apply a successful write of a window."""
        entry = self._written.setdefault(usage.window, WrittenWindow(usage, timeline))
        entry.timeline = timeline
        self._highest = max(self._highest, usage.window)
        self._accounted = max(self._accounted, usage.window)

    def find_unreported(self, wall_ms: float) -> UsageWindow | None:
        """Return the next written window whose report was not accepted.

        A new holder cannot know what was accepted, and repeats it after what is due.
        """

        def rank(window: int) -> tuple[bool, int]:
            return self._timing.is_late(window, wall_ms), window

        for window in sorted(self._written, key=rank):
            entry = self._written[window]
            if entry.is_accepted or entry.timeline < self._timeline:
                continue
            if not self._timing.is_over(window, wall_ms):
                return entry.usage
        return None

    def note_accepted(self, window: int) -> None:
        """Apply that the API accepted the report of a window."""
        if window in self._written:
            self._written[window].is_accepted = True

    def expire(self, wall_ms: float) -> list[int]:
        """Forget windows that are over; return those known not to be accepted.

        The host that wrote a window may have reported it before another one found it.
        """
        over = sorted(w for w in self._written if self._timing.is_over(w, wall_ms))
        ended = {window: self._written.pop(window) for window in over}
        return [w for w, e in ended.items() if not (e.is_accepted or e.is_found)]
