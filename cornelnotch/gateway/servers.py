"""Keep what this host knows of each server; pure, without sockets or clocks."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from cornelnotch.gateway.models import PromptPart, ServerRecord
from cornelnotch.wire.messages import ServerUse, StreamProgress

__all__ = ["Flight", "ServerPool", "ServerView"]

# A failed server rests this long, doubled for each failure in a row.
EJECTION_BASE_MS = 300.0
EJECTION_LIMIT_MS = 3000.0
# After this long without a failure a server is tried like any other.
FAILURE_MEMORY_MS = 4000.0
# The longest rest that a server may ask for; what asks for more is malformed.
MAX_REST_MS = 600_000.0
# Before the first life of a server; lives whose start is not told begin at 0.
NEVER_BOOTED = -1
# Servers remembered that said they leave; names are not used again by the thousand.
REMEMBERED_LEAVING = 4096
# The longest pause of late is forgotten by half in this time, and grows by this factor
# at a time, so that a silence does not teach to bear the next.
PAUSE_HALF_LIFE_MS = 10_000.0
MAX_PAUSE_GROWTH = 1.5
# Parts remembered per server; an engine of 600,000 tokens keeps about 100.
REMEMBERED_PARTS = 400


# Engines know the priorities 0, the most urgent, to 9.
PRIORITIES = 10


def _trim(values: list[int]) -> list[int]:
    """Return the values up to the last that is not 0."""
    while values and not values[-1]:
        values.pop()
    return values


@dataclass(slots=True)
class Flight:
    """Hold one dispatch that has not ended; `first_ms` is 0 until its answer.

    `sent` is false while it waits for its turn, for about `wait_ms` more; `tight` is
    true if its pauses are short. The last of `events` whole ones came at `event_ms`;
    `pause_ms` is the longest between two since `take_progress`.
    """

    request_id: str
    started_ms: float
    prefill_tokens: int
    priority: int = 0
    first_ms: float = 0.0
    heard_ms: float = 0.0
    gap_ms: float = 0.0
    wait_ms: float = 0.0
    sent: bool = False
    tight: bool = False
    events: int = 0
    event_ms: float = 0.0
    pause_ms: float = 0.0
    told_events: int = 0
    told_ms: float = 0.0

    def count_events(self, events: int, now: float) -> None:
        """Note that so many whole events arrived."""
        if not events:
            return
        if self.events:
            self.pause_ms = max(self.pause_ms, now - self.event_ms)
        else:
            # The first is no pause, and events that came with it took no time.
            self.told_events = events
            self.told_ms = now
        self.events += events
        self.event_ms = now

    def take_progress(self) -> StreamProgress | None:
        """Return how far the stream came since the last call, None if it did not."""
        events = self.events - self.told_events
        if not events:
            return None
        spent_ms = self.event_ms - self.told_ms
        progress = StreamProgress(events, round(spent_ms, 1), round(self.pause_ms, 1))
        self.told_events = self.events
        self.told_ms = self.event_ms
        self.pause_ms = 0.0
        return progress


@dataclass(slots=True)
class ServerView:
    """Hold record, own dispatches, failures and cached parts of one server."""

    record: ServerRecord
    flights: dict[str, Flight] = field(default_factory=dict)
    failures: int = 0
    failed_ms: float = 0.0
    ejected_until_ms: float = 0.0
    parts: OrderedDict[str, float] = field(default_factory=OrderedDict)
    said_leaving: bool = False
    rest_until_ms: float = 0.0
    heard_ms: float = 0.0
    longest_pause_ms: float = 0.0

    @property
    def leaving(self) -> bool:
        """Tell whether the platform or the server itself says that it leaves."""
        return self.said_leaving or self.record.leaving

    def rest(self, asked_ms: float, now: float) -> float:
        """Give the server nothing for as long as it asked; return the time in ms."""
        rest_ms = min(asked_ms, MAX_REST_MS)
        self.rest_until_ms = max(self.rest_until_ms, now + rest_ms)
        return rest_ms

    def start(self, flight: Flight) -> None:
        """Note that work was sent."""
        self.flights[flight.request_id] = flight

    def finish(self, flight: Flight) -> None:
        """Note that work ended."""
        self.flights.pop(flight.request_id, None)

    def hear(self, flight: Flight, now: float) -> None:
        """Note that bytes of an answer arrived."""
        heard_ms = self.find_heard_ms()
        if heard_ms is not None:
            self._learn_pause(now - heard_ms, now)
        self.heard_ms = now
        if flight.first_ms:
            flight.gap_ms = max(flight.gap_ms, now - flight.heard_ms)
        else:
            flight.first_ms = now
        flight.heard_ms = now

    def find_heard_ms(self) -> float | None:
        """Return when a running stream was last heard here, None if none runs."""
        began = [f.first_ms for f in self.flights.values() if f.first_ms]
        return max(self.heard_ms, min(began)) if began else None

    def _learn_pause(self, pause_ms: float, now: float) -> None:
        """Remember the longest pause of late; one that is much longer counts less."""
        kept = 0.5 ** (max(now - self.heard_ms, 0.0) / PAUSE_HALF_LIFE_MS)
        known_ms = self.longest_pause_ms * kept
        if self.longest_pause_ms:
            pause_ms = min(pause_ms, self.longest_pause_ms * MAX_PAUSE_GROWTH)
        self.longest_pause_ms = max(pause_ms, known_ms)

    def fail(self, now: float) -> None:
        """Let the server rest, longer after each failure in a row."""
        self.failures = self.count_failures(now) + 1
        self.failed_ms = now
        rest = min(EJECTION_BASE_MS * 2 ** (self.failures - 1), EJECTION_LIMIT_MS)
        self.ejected_until_ms = now + rest

    def count_failures(self, now: float) -> int:
        """Return the failures in a row, 0 once the last is long past."""
        return self.failures if now - self.failed_ms < FAILURE_MEMORY_MS else 0

    def disown(self) -> None:
        """Give the server nothing until its record changes; it is not there."""
        self.ejected_until_ms = float("inf")

    def succeed(self) -> None:
        """Forget earlier failures."""
        self.failures = 0

    def remember(self, prompt: Iterable[PromptPart], now: float) -> None:
        """Note that the server now caches the parts of a prompt."""
        for part in prompt:
            self.parts[part.name] = now
            self.parts.move_to_end(part.name)
        while len(self.parts) > REMEMBERED_PARTS:
            self.parts.popitem(last=False)

    def measure_use(self, now: float) -> ServerUse:
        """Return what this host has under way at the server."""
        backlog = [0] * PRIORITIES
        running = waiting = tight = sent = 0
        for flight in self.flights.values():
            tight += flight.tight
            if flight.first_ms:
                running += 1
                continue
            waiting += 1
            if flight.sent:
                sent += flight.prefill_tokens
                continue
            priority = min(max(flight.priority, 0), PRIORITIES - 1)
            backlog[priority] += flight.prefill_tokens
        return ServerUse(
            self.record.name,
            running,
            waiting,
            self.count_failures(now),
            tight,
            sent,
            _trim(backlog),
        )


class ServerPool:
    """Hold the servers of all services by name."""

    def __init__(self) -> None:
        self.servers: dict[str, ServerView] = {}
        self.generation = 0
        self._leaving: OrderedDict[str, int] = OrderedDict()

    def replace(self, records: Iterable[ServerRecord]) -> list[ServerRecord]:
        """Apply the platform's list; return the servers whose life has ended."""
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
                self.servers[name].said_leaving = self._has_left(record)
            elif known.record != record:
                known.record = record
                if known.ejected_until_ms == float("inf"):
                    known.ejected_until_ms = 0.0
        return ended

    def note_leaving(self, name: str, boot_ms: int) -> bool:
        """Take a life of a server out for good; tell whether that is news.

        A later record or an older word does not bring it back, only a new start.
        """
        if boot_ms <= self._leaving.get(name, NEVER_BOOTED):
            return False
        self._leaving[name] = boot_ms
        if len(self._leaving) > REMEMBERED_LEAVING:
            self._leaving.popitem(last=False)
        view = self.servers.get(name)
        if view is not None and self._has_left(view.record):
            view.said_leaving = True
            self.generation += 1
        return True

    def _has_left(self, record: ServerRecord) -> bool:
        return record.boot_ms <= self._leaving.get(record.name, NEVER_BOOTED)

    def accepts(self, view: ServerView, now: float) -> bool:
        """Tell whether a server, in the same life, may get work from this host."""
        known = self.servers.get(view.record.name)
        return known is view and not view.leaving and now >= view.rest_until_ms

    def list_ready(self, service: str) -> list[ServerView]:
        """Return the servers of a service that are not leaving."""
        return [
            view
            for view in self.servers.values()
            if view.record.service == service and not view.leaving
        ]

    def list_usable(self, service: str, now: float) -> list[ServerView]:
        """Return servers that may get new work, or all that did not decline it."""
        ready = [v for v in self.list_ready(service) if now >= v.rest_until_ms]
        usable = [view for view in ready if now >= view.ejected_until_ms]
        return usable or ready

    def find_rest_ms(self, service: str, now: float) -> float:
        """Return the time until a server's rest ends, in ms; 0 if none rests."""
        rests = [v.rest_until_ms - now for v in self.list_ready(service)]
        return max(min(rests, default=0.0), 0.0)
