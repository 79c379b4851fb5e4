"""Schedule the prefill of prompts on one engine, without sockets or clocks.

An engine admits every request it gets and prefills the prompts one after another, so
a short prompt would wait for every long one sent before it. The queue therefore keeps
only about a sixth of a second of prefill work on the engine. Under overload it grants
by priority first and by shortest prefill next, which serves most callers in time and
keeps long prompts from delaying urgent ones.

A request close to its deadline may overtake requests that have slack, as long as none
of them becomes late. This protects short prompts from the long prompts of workspaces
with a higher priority.

A brittle server gets no more than it has room for (`server_room.py`).

If the server has a rate limit, each grant takes a token of a bucket, so that the grants
of all hosts together stay within the limit.

Within the shortest inter-token gap that a running stream accepts, the queue grants no
more prefill work than fits into that gap. A burst of prompts is delayed a little and
running streams keep their inter-token latency.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

from cornelnotch.gateway.engine_estimates import EngineEstimate, find_prefill_budget
from cornelnotch.gateway.limit_control import is_grant_current
from cornelnotch.gateway.models import PromptPart
from cornelnotch.gateway.server_room import CONFIRMED_MS, ServerRoom
from cornelnotch.gateway.token_bucket import TokenBucket
from cornelnotch.wire.messages import StreamProgress

__all__ = ["AdmissionQueue", "QueueEntry"]

# An engine gets more work once the prefill of its backlog takes less than this. That
# covers the delay of the next grant, also from another region, so it does not run idle.
PREFILL_AHEAD_MS = 160.0
# An engine gets no more work while its granted prompts without a first token take
# longer than this to prefill, since it has become slower than estimated.
MAX_UNFINISHED_MS = 4 * PREFILL_AHEAD_MS
# How long grants and prefills are remembered. Must exceed the longest inter-token gap
# that callers accept.
PREFILL_HISTORY_MS = 5000.0
# Each ms of waiting counts as this much less prefill time in the grant order, so that
# long prompts do not starve.
AGING_RATE = 0.05
# Share of a request's slack that overtaking requests may use up.
OVERTAKING_SLACK_SHARE = 0.5
# Grants beyond the number of slots, so that a freed slot is filled at once.
EXTRA_GRANTS = 2
# Period at which the queue of a brittle server without room is checked. Ends of its
# requests are noticed at once.
ROOM_CHECK_MS = 50.0
# Requests are removed after this long without a report. Hosts report waiting requests
# every 200 ms and granted ones every 1.5 s.
WAITING_TIMEOUT_MS = 1000.0
GRANTED_TIMEOUT_MS = 4000.0
# Arrivals within this window predict how much prefill work will arrive later than a
# waiting request but be granted before it. The arrival rate is averaged over at least
# the minimum, and such work is assumed to take at most the given share of the engine.
ARRIVAL_WINDOW_MS = 3000.0
MIN_ARRIVAL_WINDOW_MS = 1000.0
MAX_OVERTAKEN_SHARE = 0.9


@dataclass(slots=True)
class QueueEntry:
    """A request that a host wants to send to an engine; times are in ms.

    `uncached_tokens` is the number of tokens to prefill, fixed when the request is
    granted. The caller accepts inter-token gaps of up to `gap_ms`, any if that is 0,
    and expects its first token within `target_ms`, at any time if that is 0. At its
    last refresh, the caller had waited for `waited_ms`.
    """

    request_id: str
    host: str
    priority: int
    shared: tuple[PromptPart, ...]
    own_tokens: int
    queued_at_ms: float
    refreshed_ms: float
    granted: bool = False
    prefilled: bool = False
    uncached_tokens: int = 0
    gap_ms: float = 0.0
    target_ms: float = 0.0
    granted_ms: float = 0.0
    waited_ms: float = 0.0

    @property
    def tokens(self) -> int:
        """Return the number of tokens in the prompt."""
        return self.own_tokens + sum(part.tokens for part in self.shared)


@dataclass(frozen=True, slots=True)
class PrefillRecord:
    """A prompt that was granted or prefilled, and when."""

    at_ms: float
    request_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class WorkRecord:
    """The prefill work of a request that arrived or was granted."""

    at_ms: float
    priority: int
    uncached_tokens: int


class AdmissionQueue:
    """Order the requests for one engine and grant them as its backlog shrinks."""

    def __init__(
        self, slots: int, cache_tokens: int, estimate: EngineEstimate | None = None
    ) -> None:
        self.slots = slots
        self.estimate = estimate or EngineEstimate()
        self.bucket: TokenBucket | None = None
        self.room: ServerRoom | None = None
        # How many times its usual time work takes at the engine now.
        self.pace = 1.0
        self.entries: dict[str, QueueEntry] = {}
        self._cache_tokens = cache_tokens
        self._prefix_cache: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0
        self._backlog_tokens = 0.0
        self._updated_ms = 0.0
        # Requests of this priority or a less urgent one are the first to be refused.
        self.least_urgent = 0
        self._arrivals: deque[WorkRecord] = deque()
        self._granted: deque[WorkRecord] = deque()
        self._first_arrival_ms = float("inf")
        self._recent_grants: deque[PrefillRecord] = deque()
        self._recent_prefills: deque[PrefillRecord] = deque()

    def add_or_refresh(self, entry: QueueEntry) -> QueueEntry:
        """Add a request or refresh a known one, and return its current state."""
        self._update_backlog(entry.refreshed_ms)
        known = self.entries.get(entry.request_id)
        if known is None:
            known = self.entries[entry.request_id] = entry
            self._record_arrival(entry)
            if entry.granted:
                self._add_to_backlog(entry)
        known.refreshed_ms = entry.refreshed_ms
        known.waited_ms = entry.waited_ms
        if entry.granted and not known.granted:
            # The host sent the request without waiting for a grant.
            self._add_to_backlog(known)
            known.granted = True
        if entry.prefilled and not known.prefilled:
            self._record_prefill(known, entry.refreshed_ms)
        known.prefilled = known.prefilled or entry.prefilled
        return known

    def set_pace(self, pace: float, now: float) -> None:
        """Set how many times its usual time work takes at the engine from now on."""
        if pace != self.pace:
            self._update_backlog(now)
            self.pace = pace

    def take_over(self, former: "AdmissionQueue") -> None:
        """Add the requests that another queue for the same server has granted."""
        granted = {name: e for name, e in former.entries.items() if e.granted}
        self.entries.update(granted)
        self.room = former.room.create_successor() if former.room else None

    def revoke_expired(self, request_id: str, now: float) -> None:
        """Remove a request whose grant has expired, so that it needs another one."""
        entry = self.entries.get(request_id)
        if entry is None or not entry.granted or entry.prefilled:
            return
        if not is_grant_current(entry.granted_ms, now):
            del self.entries[request_id]

    def mark_prefilled(self, request_id: str, now: float | None = None) -> None:
        """Record that the engine has finished the prefill of a prompt."""
        entry = self.entries.get(request_id)
        if entry is not None and not entry.prefilled:
            self._record_prefill(entry, self._updated_ms if now is None else now)
            entry.prefilled = True

    def record_progress(
        self, request_id: str, progress: StreamProgress, now: float
    ) -> None:
        """Update the estimate from a stream's progress and concurrent prefill work."""
        started_ms = now - progress.spent_ms
        prompts = [
            record.tokens
            for record in self._recent_prefills
            if record.at_ms >= started_ms and record.request_id != request_id
        ]
        entry = self.entries.get(request_id)
        gap_ms = entry.gap_ms if entry is not None else 0.0
        self.estimate.record_progress(progress, prompts, gap_ms, now)

    def _record_prefill(self, entry: QueueEntry, now: float) -> None:
        """Update the estimate from the time that a prefill took."""
        if not entry.tokens:
            return
        idle_since_ms = (
            self._recent_prefills[-1].at_ms if self._recent_prefills else float("-inf")
        )
        elapsed_ms = now - max(entry.granted_ms, idle_since_ms)
        was_idle = entry.granted_ms > idle_since_ms
        # The estimate is that of the usual pace.
        usual_ms = elapsed_ms / self.pace
        self.estimate.record_prefill(entry.uncached_tokens, usual_ms, now, was_idle)
        self._recent_prefills.append(
            PrefillRecord(now, entry.request_id, entry.uncached_tokens)
        )
        while self._recent_prefills[0].at_ms < now - PREFILL_HISTORY_MS:
            self._recent_prefills.popleft()

    def remove(
        self,
        request_id: str,
        rejected: bool = False,
        abandoned: bool = False,
        now: float | None = None,
    ) -> None:
        """Remove a request that ended, was cancelled or was rejected by the server.

        The server may still hold one that its host has `abandoned`.
        """
        now = self._updated_ms if now is None else now
        entry = self.entries.pop(request_id, None)
        if self.room is None or entry is None or not entry.granted:
            return
        if rejected:
            self.room.note_rejection(self._count_confirmed(now), now)
        elif abandoned:
            self.room.note_abandoned(entry.granted_ms, now)
        else:
            self.room.note_end(max(now - entry.granted_ms, 0.0))

    def _count_granted(self) -> int:
        return sum(entry.granted for entry in self.entries.values())

    def _count_confirmed(self, now: float) -> int:
        """Return the number of granted requests that the server did not reject."""
        return sum(
            entry.granted and (entry.prefilled or now - entry.granted_ms > CONFIRMED_MS)
            for entry in self.entries.values()
        )

    def _has_room(self, now: float) -> bool:
        """Return whether a brittle server may get another request."""
        if self.room is None:
            return True
        confirmed = self._count_confirmed(now)
        return self.room.may_grant(self._count_granted(), confirmed, now)

    def remove_expired(self, now: float) -> None:
        """Remove requests that their hosts no longer report."""
        for entry in list(self.entries.values()):
            lifetime = GRANTED_TIMEOUT_MS if entry.granted else WAITING_TIMEOUT_MS
            if now - entry.refreshed_ms > lifetime:
                del self.entries[entry.request_id]

    def grant(self, now: float) -> list[QueueEntry]:
        """Grant the requests to be sent now and return them in order."""
        self._update_backlog(now)
        waiting = [t for t in self.entries.values() if not t.granted]
        granted = []
        while (
            waiting
            and self._has_token(now)
            and self._has_capacity()
            and self._has_room(now)
        ):
            entry = self._select_next(waiting, now)
            if entry is None:
                break
            if self.bucket is not None:
                self.bucket.take()
            waiting.remove(entry)
            entry.granted = True
            entry.refreshed_ms = now
            self._add_to_backlog(entry)
            granted.append(entry)
        return granted

    def _has_token(self, now: float) -> bool:
        """Return whether the rate limit allows another grant."""
        return self.bucket is None or self.bucket.find_delay_ms(now) <= 0

    def _select_next(self, waiting: list[QueueEntry], now: float) -> QueueEntry | None:
        """Return the request to grant next, or None if the first one must wait."""
        if len(waiting) == 1:
            first = waiting[0]
            return None if self._compute_gap_delay_ms(first, now) > 0 else first
        ranked = sorted(waiting, key=lambda t: self._compute_sort_key(t, now))
        is_delayed = self._compute_gap_delay_ms(ranked[0], now) > 0
        overtaking = self._select_overtaking(ranked, is_delayed, now)
        if overtaking is not None:
            return overtaking
        return None if is_delayed else ranked[0]

    def _select_overtaking(
        self, ranked: list[QueueEntry], is_delayed: bool, now: float
    ) -> QueueEntry | None:
        """Return a request that can overtake those before it without making them late.

        It has an earlier latest start than the first request, or the first request is
        delayed to protect running streams.
        """
        first_latest_ms = self._compute_latest_start_ms(ranked[0])
        min_slack_ms = float("inf")
        queued_ahead_ms = self._estimate_prefill_ms(self._backlog_tokens)
        for entry, following in pairwise(ranked):
            usable_slack_ms = (
                self._compute_latest_start_ms(entry) - entry.queued_at_ms
            ) * OVERTAKING_SLACK_SHARE
            min_slack_ms = min(
                min_slack_ms,
                entry.queued_at_ms + usable_slack_ms - now - queued_ahead_ms,
            )
            queued_ahead_ms += self._estimate_prefill_ms(
                self.count_uncached_tokens(entry)
            )
            if min_slack_ms <= 0:
                return None
            prefill_ms = self._estimate_prefill_ms(
                self.count_uncached_tokens(following)
            )
            may_overtake = (
                is_delayed or self._compute_latest_start_ms(following) < first_latest_ms
            )
            if not may_overtake or prefill_ms >= min_slack_ms:
                continue
            if self._compute_gap_delay_ms(following, now) <= 0:
                return following
        return None

    def _compute_latest_start_ms(self, entry: QueueEntry) -> float:
        """Return the latest time at which the prefill can start to meet the target."""
        if entry.target_ms <= 0:
            return float("-inf")
        prefill_ms = self._estimate_prefill_ms(self.count_uncached_tokens(entry))
        return entry.queued_at_ms + entry.target_ms - prefill_ms

    def find_next_grant_ms(self, now: float) -> float:
        """Return the time until prefill progress alone may allow a grant, in ms."""
        prefill_ms = max(
            self._estimate_prefill_ms(self._backlog_tokens) - PREFILL_AHEAD_MS, 0.0
        )
        waiting = [t for t in self.entries.values() if not t.granted]
        first = min(waiting, key=lambda t: self._compute_sort_key(t, now), default=None)
        if first is None:
            return prefill_ms
        token_ms = self.bucket.find_delay_ms(now) if self.bucket is not None else 0.0
        room_ms = ROOM_CHECK_MS if self.room is not None else 0.0
        return max(
            prefill_ms, token_ms, room_ms, self._compute_gap_delay_ms(first, now)
        )

    def _compute_gap_delay_ms(self, entry: QueueEntry, now: float) -> float:
        """Return how long a prompt must wait to protect running streams, in ms."""
        gap_ms = min(
            (t.gap_ms for t in self.entries.values() if t.prefilled and t.gap_ms > 0),
            default=0.0,
        )
        # A slow engine needs the same time for fewer tokens in each gap.
        budget_tokens = find_prefill_budget(self.estimate.rates, gap_ms)
        remaining_tokens = budget_tokens / self.pace
        remaining_tokens -= self.count_uncached_tokens(entry)
        for record in reversed(self._recent_grants):
            if record.at_ms <= now - gap_ms:
                break
            remaining_tokens -= record.tokens
            if remaining_tokens < 0:
                # A prompt that exceeds the budget alone waits for one full gap.
                return record.at_ms + gap_ms - now
        return 0.0

    def _estimate_prefill_ms(self, tokens: float) -> float:
        return tokens * self.pace / self.estimate.rates.read_rate

    def estimate_wait_ms(self, entry: QueueEntry, now: float) -> float:
        """Return the expected time until a request is granted, in ms.

        Accounts for later arrivals that will be prefilled before it.
        """
        rank = self._compute_sort_key(entry, now)
        ahead = [
            other
            for other in self.entries.values()
            if not other.granted and self._compute_sort_key(other, now) < rank
        ]
        ahead_tokens = sum(map(self.count_uncached_tokens, ahead))
        queued_ms = self._estimate_prefill_ms(ahead_tokens + self._backlog_tokens)
        wait_ms = queued_ms / (1.0 - self._estimate_overtaken_share(entry, now))
        if self.room is not None:
            granted = self._count_granted()
            wait_ms = max(wait_ms, self.room.estimate_wait_ms(granted, len(ahead), now))
        if self.bucket is None:
            return wait_ms
        return max(wait_ms, self.bucket.find_delay_ms(now, len(ahead)))

    def _estimate_overtaken_share(self, entry: QueueEntry, now: float) -> float:
        """Return the share of prefill capacity that later arrivals will take first.

        For the least urgent requests, all that has arrived counts, also what has left
        for other engines, so that in an overload they are refused early. For others
        only what was granted counts, since they must not be refused before those.
        """
        window_ms = max(
            min(now - self._first_arrival_ms, ARRIVAL_WINDOW_MS), MIN_ARRIVAL_WINDOW_MS
        )
        capacity_tokens = window_ms * self.estimate.rates.read_rate / self.pace
        is_least_urgent = entry.priority >= self.least_urgent
        work = self._arrivals if is_least_urgent else self._granted
        _drop_before(work, now - ARRIVAL_WINDOW_MS)
        if not is_least_urgent:
            granted_tokens = sum(record.uncached_tokens for record in work)
            capacity_tokens = max(capacity_tokens, granted_tokens)
        uncached_tokens = self.count_uncached_tokens(entry)
        overtaking_tokens = sum(
            other.uncached_tokens
            for other in work
            if (other.priority, other.uncached_tokens)
            < (entry.priority, uncached_tokens)
        )
        return min(overtaking_tokens / capacity_tokens, MAX_OVERTAKEN_SHARE)

    def _record_arrival(self, entry: QueueEntry) -> None:
        uncached_tokens = self.count_uncached_tokens(entry)
        arrival = WorkRecord(entry.refreshed_ms, entry.priority, uncached_tokens)
        _drop_before(self._arrivals, entry.refreshed_ms - ARRIVAL_WINDOW_MS)
        self._arrivals.append(arrival)
        self._first_arrival_ms = min(self._first_arrival_ms, entry.refreshed_ms)

    def has_waiting(self) -> bool:
        """Return whether any request waits for a grant."""
        return any(not entry.granted for entry in self.entries.values())

    def _has_capacity(self) -> bool:
        granted = [t for t in self.entries.values() if t.granted]
        unfinished = sum(t.uncached_tokens for t in granted if not t.prefilled)
        # Prompts with a first token are prefilled, perhaps sooner than estimated.
        self._backlog_tokens = min(self._backlog_tokens, float(unfinished))
        return (
            self._estimate_prefill_ms(self._backlog_tokens) <= PREFILL_AHEAD_MS
            and self._estimate_prefill_ms(unfinished) <= MAX_UNFINISHED_MS
            and len(granted) < self.slots + EXTRA_GRANTS
        )

    def _compute_sort_key(self, entry: QueueEntry, now: float) -> tuple[int, float]:
        """Return the key that sorts requests by the order of their grants."""
        prefill_ms = self._estimate_prefill_ms(self.count_uncached_tokens(entry))
        return entry.priority, prefill_ms - AGING_RATE * (now - entry.queued_at_ms)

    def _update_backlog(self, now: float) -> None:
        elapsed_ms = max(now - self._updated_ms, 0.0)
        read = elapsed_ms * self.estimate.rates.read_rate / self.pace
        self._backlog_tokens = max(self._backlog_tokens - read, 0.0)
        self._updated_ms = now

    def count_uncached_tokens(self, entry: QueueEntry) -> int:
        """Return the number of prompt tokens that the engine does not cache."""
        uncached_tokens = entry.tokens
        for part in entry.shared:
            if part.name not in self._prefix_cache:
                break
            uncached_tokens -= part.tokens
        return uncached_tokens

    def _add_to_backlog(self, entry: QueueEntry) -> None:
        entry.uncached_tokens = self.count_uncached_tokens(entry)
        entry.granted_ms = entry.refreshed_ms
        if not entry.prefilled:
            self._backlog_tokens += entry.uncached_tokens
            self._recent_grants.append(
                PrefillRecord(
                    entry.refreshed_ms, entry.request_id, entry.uncached_tokens
                )
            )
            while (
                self._recent_grants[0].at_ms < entry.refreshed_ms - PREFILL_HISTORY_MS
            ):
                self._recent_grants.popleft()
            _drop_before(self._granted, entry.refreshed_ms - ARRIVAL_WINDOW_MS)
            self._granted.append(
                WorkRecord(entry.refreshed_ms, entry.priority, entry.uncached_tokens)
            )
        self._update_cache(entry.shared)

    def _update_cache(self, parts: Iterable[PromptPart]) -> None:
        for part in parts:
            self._cached_tokens += part.tokens - self._prefix_cache.get(part.name, 0)
            self._prefix_cache[part.name] = part.tokens
            self._prefix_cache.move_to_end(part.name)
        while self._cached_tokens > self._cache_tokens and self._prefix_cache:
            _, tokens = self._prefix_cache.popitem(last=False)
            self._cached_tokens -= tokens


def _drop_before(records: deque[WorkRecord], at_ms: float) -> None:
    while records and records[0].at_ms < at_ms:
        records.popleft()
