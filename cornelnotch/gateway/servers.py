"""Track the state of each server as seen by this host, without sockets or clocks."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelnotch.gateway.models import PromptPart, ServerRecord
from cornelnotch.wire.messages import ServerUsage, StreamProgress

__all__ = ["InFlightRequest", "ServerPool", "ServerView"]

# A failed server is ejected this long, doubled for each consecutive failure.
EJECTION_BASE_MS = 300.0
MAX_EJECTION_MS = 3000.0
# Failures are forgotten after this long without another one.
FAILURE_MEMORY_MS = 4000.0
# The longest backoff that a server may ask for; more is malformed.
MAX_BACKOFF_MS = 600_000.0
# Less than any boot time; boots without a reported time have the time 0.
NEVER_BOOTED = -1
# Number of leaving servers remembered; far fewer names are used again.
REMEMBERED_LEAVING = 4096
# The longest recent gap between arrivals of bytes decays with this half-life and grows
# at most by this factor per gap, so that an outage does not raise the silence limit for
# the next one.
GAP_HALF_LIFE_MS = 10_000.0
MAX_GAP_GROWTH = 1.5
# Prompt parts remembered per server; an engine that caches 600,000 tokens holds about
# 100.
REMEMBERED_PARTS = 400

# Engines support the priorities 0 (most urgent) to 9.
PRIORITIES = 10


def _strip_trailing_zeros(values: list[int]) -> list[int]:
    """Remove trailing zeros in place and return the list."""
    while values and not values[-1]:
        values.pop()
    return values


@dataclass(slots=True)
class InFlightRequest:
    """A dispatch in progress; `first_ms` is 0 until the response starts.

    `sent` is false while the dispatch is queued, for about `wait_ms` more;
    `transmitted` is false until the connection exists and the request is written to it.
    `latency_sensitive` is true for streams that accept only short inter-token gaps.
    `shared_parts` are the prompt parts that other requests may have too, `fingerprints`
    those of the whole request. `rejected` is true once the server did not run it,
    `ended` once it certainly holds it no more.
    `events` counts complete events, the last of which arrived at `event_ms`;
    `longest_gap_ms` is the longest gap between two events since `take_progress` was
    last called. `held_bytes` is the size of the request in the memory of its server.
    """

    request_id: str
    started_ms: float
    prefill_tokens: int
    priority: int = 0
    first_ms: float = 0.0
    last_received_ms: float = 0.0
    gap_ms: float = 0.0
    wait_ms: float = 0.0
    sent: bool = False
    transmitted: bool = False
    latency_sensitive: bool = False
    shared_parts: tuple[str, ...] = ()
    fingerprints: tuple[str, ...] = ()
    server: str = ""
    rejected: bool = False
    ended: bool = False
    events: int = 0
    event_ms: float = 0.0
    longest_gap_ms: float = 0.0
    reported_events: int = 0
    reported_ms: float = 0.0
    held_bytes: int = 0

    def record_events(self, events: int, now: float) -> None:
        """Record the arrival of a number of complete events."""
        if not events:
            return
        if self.events:
            self.longest_gap_ms = max(self.longest_gap_ms, now - self.event_ms)
        else:
            # No gap precedes the first event; events that come with it took no time.
            self.reported_events = events
            self.reported_ms = now
        self.events += events
        self.event_ms = now

    def take_progress(self) -> StreamProgress | None:
        """Return the progress since the last call, or None without new events."""
        events = self.events - self.reported_events
        if not events:
            return None
        spent_ms = self.event_ms - self.reported_ms
        progress = StreamProgress(
            events, round(spent_ms, 1), round(self.longest_gap_ms, 1)
        )
        self.reported_events = self.events
        self.reported_ms = self.event_ms
        self.longest_gap_ms = 0.0
        return progress


@dataclass(slots=True)
class ServerView:
    """Record, dispatches, failures and cached parts of one server.

    If the server has a rate limit, this host expects its next permit at `permit_ms`.
    """

    record: ServerRecord
    in_flight: dict[str, InFlightRequest] = field(default_factory=dict)
    failures: int = 0
    failed_ms: float = 0.0
    ejected_until_ms: float = 0.0
    is_ejected_for_silence: bool = False
    cached_parts: OrderedDict[str, float] = field(default_factory=OrderedDict)
    announced_leaving: bool = False
    backoff_until_ms: float = 0.0
    last_received_ms: float = 0.0
    longest_gap_ms: float = 0.0
    permit_ms: float = 0.0

    @property
    def leaving(self) -> bool:
        """Return whether the platform or the server itself reports it as leaving."""
        return self.announced_leaving or self.record.leaving

    def expect_permit(self, delay_ms: float, now: float) -> None:
        """Expect that a request gets a permit under the rate limit after `delay_ms`."""
        self.permit_ms = now + delay_ms

    def back_off(self, asked_ms: float, now: float) -> float:
        """Send no requests for `asked_ms`, within a limit; return the ms applied."""
        backoff_ms = min(asked_ms, MAX_BACKOFF_MS)
        self.backoff_until_ms = max(self.backoff_until_ms, now + backoff_ms)
        return backoff_ms

    def start(self, request: InFlightRequest) -> None:
        """Add a dispatch in progress."""
        self.in_flight[request.request_id] = request

    def finish(self, request: InFlightRequest) -> None:
        """Remove a dispatch that has ended."""
        self.in_flight.pop(request.request_id, None)

    def record_received(self, request: InFlightRequest, now: float) -> None:
        """Record the arrival of response bytes."""
        last_received_ms = self.find_last_received_ms()
        if last_received_ms is not None:
            self._update_longest_gap(now - last_received_ms, now)
        self.last_received_ms = now
        if request.first_ms:
            request.gap_ms = max(request.gap_ms, now - request.last_received_ms)
        else:
            request.first_ms = now
        request.last_received_ms = now

    def find_last_received_ms(self) -> float | None:
        """Return when a running stream last got bytes, or None if none runs."""
        first_times_ms = [f.first_ms for f in self.in_flight.values() if f.first_ms]
        return (
            max(self.last_received_ms, min(first_times_ms)) if first_times_ms else None
        )

    def _update_longest_gap(self, gap_ms: float, now: float) -> None:
        """Update the longest recent gap; growth per gap is limited."""
        decay = 0.5 ** (max(now - self.last_received_ms, 0.0) / GAP_HALF_LIFE_MS)
        decayed_ms = self.longest_gap_ms * decay
        if self.longest_gap_ms:
            gap_ms = min(gap_ms, self.longest_gap_ms * MAX_GAP_GROWTH)
        self.longest_gap_ms = max(gap_ms, decayed_ms)

    def record_failure(self, now: float) -> None:
        """Eject the server, longer after each consecutive failure."""
        self.failures = self.count_failures(now) + 1
        self.failed_ms = now
        ejection_ms = min(EJECTION_BASE_MS * 2 ** (self.failures - 1), MAX_EJECTION_MS)
        self.ejected_until_ms = now + ejection_ms
        self.is_ejected_for_silence = False

    def record_silence(self, now: float) -> None:
        """Eject the server until it sends again, at most as long as for a failure."""
        is_failing = now < self.ejected_until_ms and not self.is_ejected_for_silence
        self.record_failure(now)
        self.is_ejected_for_silence = not is_failing

    def end_silence(self) -> None:
        """End the ejection of a server that was only silent, as it sends again."""
        if self.is_ejected_for_silence:
            self.forget_failures()

    def forget_failures(self) -> None:
        """Forget all failures, unless the server no longer exists."""
        self.failures = 0
        self.is_ejected_for_silence = False
        if self.ejected_until_ms != float("inf"):
            self.ejected_until_ms = 0.0

    def count_failures(self, now: float) -> int:
        """Return the number of consecutive failures, 0 once they are forgotten."""
        return self.failures if now - self.failed_ms < FAILURE_MEMORY_MS else 0

    def disable_until_relisted(self) -> None:
        """Eject the server until its record changes, since it no longer exists."""
        self.ejected_until_ms = float("inf")

    def record_success(self) -> None:
        """Reset the failure count, after a whole response."""
        self.end_silence()
        self.failures = 0

    def record_cached(self, prompt: Iterable[PromptPart], now: float) -> None:
        """Record that the server caches the parts of a prompt."""
        for part in prompt:
            self.cached_parts[part.name] = now
            self.cached_parts.move_to_end(part.name)
        while len(self.cached_parts) > REMEMBERED_PARTS:
            self.cached_parts.popitem(last=False)

    def count_since(self, at_ms: float) -> int:
        """Return the number of requests in flight that were dispatched since a time."""
        return sum(r.started_ms >= at_ms for r in self.in_flight.values())

    def measure_usage(self, now: float) -> ServerUsage:
        """Return the load that this host puts on the server."""
        backlog = [0] * PRIORITIES
        running = waiting = latency_sensitive = sent = 0
        for request in self.in_flight.values():
            latency_sensitive += request.latency_sensitive
            if request.first_ms:
                running += 1
                continue
            waiting += 1
            if request.sent:
                sent += request.prefill_tokens
                continue
            priority = min(max(request.priority, 0), PRIORITIES - 1)
            backlog[priority] += request.prefill_tokens
        return ServerUsage(
            self.record.name,
            running,
            waiting,
            self.count_failures(now),
            latency_sensitive,
            sent,
            _strip_trailing_zeros(backlog),
        )


class ServerPool:
    """The servers of all services, by name."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerView] = {}
        self.generation = 0
        self._leaving: OrderedDict[str, int] = OrderedDict()

    def replace(self, records: Iterable[ServerRecord]) -> list[ServerRecord]:
        """Apply the platform's list; return records of removed or restarted servers."""
        self.generation += 1
        listed = {record.name: record for record in records}
        ended = []
        for name in list(self.servers):
            if name not in listed:
                ended.append(self.servers.pop(name).record)
        for name, record in listed.items():
            known = self.servers.get(name)
            if known is None or known.record.boot_ms != record.boot_ms:
                if known is not None:
                    ended.append(known.record)
                self.servers[name] = ServerView(record)
                self.servers[name].announced_leaving = self._has_left(record)
            elif known.record != record:
                known.record = record
                if known.ejected_until_ms == float("inf"):
                    known.ejected_until_ms = 0.0
        return ended

    def mark_leaving(self, name: str, boot_ms: int) -> bool:
        """Mark a boot of a server as leaving for good; return whether that is new.

        Later records and older reports do not reverse it; only a new boot does.
        """
        if boot_ms <= self._leaving.get(name, NEVER_BOOTED):
            return False
        self._leaving[name] = boot_ms
        if len(self._leaving) > REMEMBERED_LEAVING:
            self._leaving.popitem(last=False)
        view = self.servers.get(name)
        if view is not None and self._has_left(view.record):
            view.announced_leaving = True
            self.generation += 1
        return True

    def _has_left(self, record: ServerRecord) -> bool:
        return record.boot_ms <= self._leaving.get(record.name, NEVER_BOOTED)

    def has(self, view: ServerView) -> bool:
        """Return whether a server is listed and has not restarted."""
        return self.servers.get(view.record.name) is view

    def accepts(self, view: ServerView, now: float) -> bool:
        """Return whether a server has not restarted and may get work from this host."""
        return self.has(view) and not view.leaving and now >= view.backoff_until_ms

    def list_ready(self, service: str) -> list[ServerView]:
        """Return the servers of a service that are not leaving."""
        return [
            view
            for view in self.servers.values()
            if view.record.service == service and not view.leaving
        ]

    def list_usable(
        self, service: str, now: float, software: str | None = None
    ) -> list[ServerView]:
        """Return the servers not ejected; if all are, those without a backoff.

        With `software`, only servers of that version of their software.
        """
        ready = [
            view
            for view in self.list_ready(service)
            if now >= view.backoff_until_ms and software in {None, view.record.software}
        ]
        usable = [view for view in ready if now >= view.ejected_until_ms]
        return usable or ready

    def find_backoff_ms(self, service: str, now: float) -> float:
        """Return the time in ms until the first backoff ends, 0 if there is none."""
        backoffs_ms = [v.backoff_until_ms - now for v in self.list_ready(service)]
        return max(min(backoffs_ms, default=0.0), 0.0)
