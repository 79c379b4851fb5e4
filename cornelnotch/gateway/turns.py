"""Decide whose prompt an engine reads next; pure, without sockets or clocks.

An engine admits what it gets and reads prompts one after another, so that a chat
waits behind every long prompt that came before it. The queue gives an engine about
a sixth of a second of reading at a time. It answers days on which more prompts
come than engines can read: urgent ones first, then those that need least reading,
so that most callers are served in time and no long reading holds up urgent prompts.

A request that is pressed for time may pass others that have time to spare, as far as
none of them becomes late. It answers workspaces whose long prompts go before the chats
of others.

The queue grants no more reading within the shortest pause that a running stream
allows than fits into it. It answers bursts of prompts beside chats: prompts come a
little later, and the chats keep their pauses.
"""

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

from cornelnotch.gateway.engines import EngineEstimate, find_reading_budget
from cornelnotch.gateway.models import PromptPart
from cornelnotch.wire.messages import StreamProgress

__all__ = ["Ticket", "TurnQueue"]

# Unread prompts up to which an engine is given more, as the time that it reads them:
# enough that it does not wait for the next grant, also from another region.
READ_AHEAD_MS = 160.0
# What is sent and not begun beyond this shows that an engine is slower than it was.
MAX_UNBEGUN_MS = 4 * READ_AHEAD_MS
# How long a grant is remembered: longer than the pauses that callers accept.
READING_LIFETIME_MS = 5000.0
# A request that waits gains on shorter ones by this share of its wait, so that
# long ones are late rather than lost.
AGE_SHARE = 0.05
# Others may pass a request within this share of the time that it has to spare.
PASSING_SHARE = 0.5
# Requests beyond the slots, so that a slot that is freed is taken at once.
SPARE_GRANTS = 2
# Hosts repeat what they wait for each 200 ms and what they run each 1.5 s.
WAITING_LIFETIME_MS = 1000.0
GRANTED_LIFETIME_MS = 4000.0
# Arrivals of this time tell how much will come ahead of a request that waits, at
# least this much of it is taken to have passed, and at most this share is lost to it.
ARRIVALS_MS = 3000.0
MIN_ARRIVALS_MS = 1000.0
MAX_OVERTAKEN = 0.9


@dataclass(slots=True)
class Ticket:
    """Hold one request that a host has for an engine; times are in ms.

    `unread` counts the tokens to read, as of the grant once there is one. The caller
    accepts pauses of `gap_ms`, any if that is 0, and wants its first piece within
    `target_ms`, if that is not 0.
    """

    request_id: str
    host: str
    priority: int
    shared: tuple[PromptPart, ...]
    own_tokens: int
    asked_ms: float
    heard_ms: float
    granted: bool = False
    begun: bool = False
    unread: int = 0
    gap_ms: float = 0.0
    target_ms: float = 0.0
    granted_ms: float = 0.0

    @property
    def tokens(self) -> int:
        """Return the size of the prompt."""
        return self.own_tokens + sum(part.tokens for part in self.shared)


@dataclass(frozen=True, slots=True)
class Reading:
    """Remember a prompt that was granted or read, and when."""

    at_ms: float
    request_id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class Arrival:
    """Remember the reading that one request brought."""

    at_ms: float
    priority: int
    unread: int


class TurnQueue:
    """Order the requests for one engine and grant them as it reads."""

    def __init__(
        self, slots: int, cache_tokens: int, estimate: EngineEstimate | None = None
    ) -> None:
        self.slots = slots
        self.estimate = estimate or EngineEstimate()
        self.tickets: dict[str, Ticket] = {}
        self._cache_tokens = cache_tokens
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._cached = 0
        self._unread = 0.0
        self._at_ms = 0.0
        self._arrivals: deque[Arrival] = deque()
        self._began_ms = float("inf")
        self._granted: deque[Reading] = deque()
        self._read: deque[Reading] = deque()

    def ask(self, ticket: Ticket) -> Ticket:
        """Take in a request, or hear of a known one again; return what is known."""
        self._drain(ticket.heard_ms)
        known = self.tickets.get(ticket.request_id)
        if known is None:
            known = self.tickets[ticket.request_id] = ticket
            self._note_arrival(ticket)
            if ticket.granted:
                self._count_reading(ticket)
        known.heard_ms = ticket.heard_ms
        if ticket.granted and not known.granted:
            # The host went ahead without an answer.
            self._count_reading(known)
            known.granted = True
        if ticket.begun and not known.begun:
            self._note_begun(known, ticket.heard_ms)
        known.begun = known.begun or ticket.begun
        return known

    def begin(self, request_id: str, now: float | None = None) -> None:
        """Note that the engine has read a prompt."""
        ticket = self.tickets.get(request_id)
        if ticket is not None and not ticket.begun:
            self._note_begun(ticket, self._at_ms if now is None else now)
            ticket.begun = True

    def note_progress(
        self, request_id: str, progress: StreamProgress, now: float
    ) -> None:
        """Learn from how far a stream came beside what the engine read."""
        began_ms = now - progress.spent_ms
        prompts = [
            reading.tokens
            for reading in self._read
            if reading.at_ms >= began_ms and reading.request_id != request_id
        ]
        ticket = self.tickets.get(request_id)
        gap_ms = ticket.gap_ms if ticket is not None else 0.0
        self.estimate.note_progress(progress, prompts, gap_ms, now)

    def _note_begun(self, ticket: Ticket, now: float) -> None:
        """Learn from the time that the engine took for a prompt."""
        free_ms = self._read[-1].at_ms if self._read else float("-inf")
        elapsed_ms = now - max(ticket.granted_ms, free_ms)
        self.estimate.note_reading(ticket.unread, elapsed_ms, now)
        self._read.append(Reading(now, ticket.request_id, ticket.unread))
        while self._read[0].at_ms < now - READING_LIFETIME_MS:
            self._read.popleft()

    def end(self, request_id: str) -> None:
        """Forget a request that ended or was given up."""
        self.tickets.pop(request_id, None)

    def expire(self, now: float) -> None:
        """Forget requests of which their hosts say nothing more."""
        for ticket in list(self.tickets.values()):
            lifetime = GRANTED_LIFETIME_MS if ticket.granted else WAITING_LIFETIME_MS
            if now - ticket.heard_ms > lifetime:
                del self.tickets[ticket.request_id]

    def grant(self, now: float) -> list[Ticket]:
        """Return the requests that are to be sent now, in order."""
        self._drain(now)
        waiting = [t for t in self.tickets.values() if not t.granted]
        granted = []
        while waiting and self._has_room():
            ticket = self._choose(waiting, now)
            if ticket is None:
                break
            waiting.remove(ticket)
            ticket.granted = True
            ticket.heard_ms = now
            self._count_reading(ticket)
            granted.append(ticket)
        return granted

    def _choose(self, waiting: list[Ticket], now: float) -> Ticket | None:
        """Return the request to be read next, None if the first in rank must wait."""
        if len(waiting) == 1:
            first = waiting[0]
            return None if self._find_pause_ms(first, now) > 0 else first
        ranked = sorted(waiting, key=lambda t: self._rank(t, now))
        is_held = self._find_pause_ms(ranked[0], now) > 0
        passing = self._choose_passing(ranked, is_held, now)
        if passing is not None:
            return passing
        return None if is_held else ranked[0]

    def _choose_passing(
        self, ranked: list[Ticket], is_held: bool, now: float
    ) -> Ticket | None:
        """Return a request that may pass those before it and makes none of them late.

        It is more pressed for time than the first, or that must wait for the pauses of
        streams.
        """
        first_latest_ms = self._find_latest_ms(ranked[0])
        slack_ms = float("inf")
        ahead_ms = self._count_reading_ms(self._unread)
        for ticket, following in pairwise(ranked):
            spare_ms = (self._find_latest_ms(ticket) - ticket.asked_ms) * PASSING_SHARE
            slack_ms = min(slack_ms, ticket.asked_ms + spare_ms - now - ahead_ms)
            ahead_ms += self._count_reading_ms(self.count_unread(ticket))
            if slack_ms <= 0:
                return None
            reading_ms = self._count_reading_ms(self.count_unread(following))
            is_pressed = is_held or self._find_latest_ms(following) < first_latest_ms
            if not is_pressed or reading_ms >= slack_ms:
                continue
            if self._find_pause_ms(following, now) <= 0:
                return following
        return None

    def _find_latest_ms(self, ticket: Ticket) -> float:
        """Return when a prompt must be read next to be in time."""
        if ticket.target_ms <= 0:
            return float("-inf")
        reading_ms = self._count_reading_ms(self.count_unread(ticket))
        return ticket.asked_ms + ticket.target_ms - reading_ms

    def find_next_ms(self, now: float) -> float:
        """Return the time until room may come by reading alone, in ms."""
        reading_ms = max(self._count_reading_ms(self._unread) - READ_AHEAD_MS, 0.0)
        waiting = [t for t in self.tickets.values() if not t.granted]
        first = min(waiting, key=lambda t: self._rank(t, now), default=None)
        if first is None:
            return reading_ms
        return max(reading_ms, self._find_pause_ms(first, now))

    def _find_pause_ms(self, ticket: Ticket, now: float) -> float:
        """Return how long a prompt must wait for the pauses of running streams."""
        gap_ms = min(
            (t.gap_ms for t in self.tickets.values() if t.begun and t.gap_ms > 0),
            default=0.0,
        )
        left = find_reading_budget(self.estimate.pace, gap_ms)
        left -= self.count_unread(ticket)
        for reading in reversed(self._granted):
            if reading.at_ms <= now - gap_ms:
                break
            left -= reading.tokens
            if left < 0:
                # A prompt that is too long by itself waits for a whole pause.
                return reading.at_ms + gap_ms - now
        return 0.0

    def _count_reading_ms(self, tokens: float) -> float:
        return tokens / self.estimate.pace.read_rate

    def estimate_wait(self, ticket: Ticket, now: float) -> float:
        """Return how long a request may have to wait for its grant, in ms.

        Requests that come later and are read sooner take a part of the engine.
        """
        rank = self._rank(ticket, now)
        ahead = sum(
            self.count_unread(other)
            for other in self.tickets.values()
            if not other.granted and self._rank(other, now) < rank
        )
        alone_ms = self._count_reading_ms(ahead + self._unread)
        return alone_ms / (1.0 - self._measure_overtaken(ticket, now))

    def _measure_overtaken(self, ticket: Ticket, now: float) -> float:
        """Return the share of the reading that goes to later, sooner read requests."""
        while self._arrivals and self._arrivals[0].at_ms < now - ARRIVALS_MS:
            self._arrivals.popleft()
        unread = self.count_unread(ticket)
        sooner = sum(
            other.unread
            for other in self._arrivals
            if (other.priority, other.unread) < (ticket.priority, unread)
        )
        passed_ms = max(min(now - self._began_ms, ARRIVALS_MS), MIN_ARRIVALS_MS)
        return min(self._count_reading_ms(sooner) / passed_ms, MAX_OVERTAKEN)

    def _note_arrival(self, ticket: Ticket) -> None:
        unread = self.count_unread(ticket)
        arrival = Arrival(ticket.heard_ms, ticket.priority, unread)
        self._arrivals.append(arrival)
        self._began_ms = min(self._began_ms, ticket.heard_ms)

    def has_waiting(self) -> bool:
        """Tell whether a request waits for its grant."""
        return any(not ticket.granted for ticket in self.tickets.values())

    def _has_room(self) -> bool:
        granted = [t for t in self.tickets.values() if t.granted]
        unbegun = sum(t.unread for t in granted if not t.begun)
        # What is begun has been read, so less is left than reading time tells.
        self._unread = min(self._unread, float(unbegun))
        return (
            self._count_reading_ms(self._unread) <= READ_AHEAD_MS
            and self._count_reading_ms(unbegun) <= MAX_UNBEGUN_MS
            and len(granted) < self.slots + SPARE_GRANTS
        )

    def _rank(self, ticket: Ticket, now: float) -> tuple[int, float]:
        """Return what orders requests, the first to be read being the least."""
        reading_ms = self._count_reading_ms(self.count_unread(ticket))
        return ticket.priority, reading_ms - AGE_SHARE * (now - ticket.asked_ms)

    def _drain(self, now: float) -> None:
        passed = max(now - self._at_ms, 0.0)
        read = passed * self.estimate.pace.read_rate
        self._unread = max(self._unread - read, 0.0)
        self._at_ms = now

    def count_unread(self, ticket: Ticket) -> int:
        """Return the tokens of a prompt that the engine does not cache."""
        unread = ticket.tokens
        for part in ticket.shared:
            if part.name not in self._cache:
                break
            unread -= part.tokens
        return unread

    def _count_reading(self, ticket: Ticket) -> None:
        ticket.unread = self.count_unread(ticket)
        ticket.granted_ms = ticket.heard_ms
        if not ticket.begun:
            self._unread += ticket.unread
            self._granted.append(
                Reading(ticket.heard_ms, ticket.request_id, ticket.unread)
            )
            while self._granted[0].at_ms < ticket.heard_ms - READING_LIFETIME_MS:
                self._granted.popleft()
        self._remember(ticket.shared)

    def _remember(self, parts: Iterable[PromptPart]) -> None:
        for part in parts:
            self._cached += part.tokens - self._cache.get(part.name, 0)
            self._cache[part.name] = part.tokens
            self._cache.move_to_end(part.name)
        while self._cached > self._cache_tokens and self._cache:
            _, tokens = self._cache.popitem(last=False)
            self._cached -= tokens
