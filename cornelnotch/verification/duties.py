"""Model of two hosts that claim the duties and report one window of usage.

The hosts have counted different totals, and the window has ended. The first host may
be suspended, also between the connect and the first byte of a call. The store may be
restored once from any older copy. A call that was sent may be executed at any time, so
the invariants are about calls sent. The claims, their tokens and leases, and the choice
of what to write and to send are the production code of a host.
"""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from minicheck import Protocol

from cornelnotch.duties.claims import (
    TOKENS_PER_TIMELINE,
    ClaimTracker,
    ObservedLog,
    StoredClaim,
)
from cornelnotch.duties.models import UsageWindow
from cornelnotch.duties.windows import ReportLedger, WindowTiming, WrittenWindow

__all__ = ["DutyMutant", "create_duty_protocol"]

LEASE_STEPS = 2
STEP_MS = 1000.0
LEASE_MS = LEASE_STEPS * STEP_MS
# The time of the current step; ages are counted back from it.
NOW_MS = 100_000.0
TIMING = WindowTiming(5000.0, 10_000.0)
WINDOW = 100
WALL_MS = TIMING.find_end_ms(WINDOW) + TIMING.settle_ms
HOSTS = ("first", "second")
BOOT_MS = 1
NONE = -1


class DutyMutant(StrEnum):
    """Protocol variant: unmodified (`NONE`) or with the described fault."""

    NONE = "none"
    NO_CHECK = "the claim is not checked before the first byte of a call"
    NO_TIMELINE = "tokens do not contain the timeline"
    STOPPING_CLOCK = "the lease is measured by a clock that stops"
    SENT_UNWRITTEN = "content is sent before it is written"
    WRITTEN_ANEW = "a new holder writes a window anew"


class Entry(NamedTuple):
    """A record: a claim with its token, or with token `NONE` a window's content."""

    host: int
    token: int
    skip_through: int
    content: int
    timeline: int


class Host(NamedTuple):
    """State of a host; ages are in steps from now.

    `content` is what it knows to be written, in timeline `written`. `ready` is the
    token of a call whose connection is open.
    """

    end: int = 0
    claim: Entry | None = None
    timeline: int = 1
    age: int = 0
    own: Entry | None = None
    lease_age: int = LEASE_STEPS
    content: int = NONE
    written: int = NONE
    ready: int = NONE


class Call(NamedTuple):
    """A call that was sent."""

    host: int
    token: int
    content: int


class State(NamedTuple):
    """State of the system; `unordered` is set once an older holder acts again."""

    log: tuple[Entry, ...]
    timeline: int
    hosts: tuple[Host, Host]
    calls: tuple[Call, ...]
    suspended: bool
    suspensions: int
    claims: int
    unordered: bool


def _create_claim(entry: Entry) -> StoredClaim:
    return StoredClaim(
        HOSTS[entry.host], BOOT_MS, entry.token, entry.timeline, entry.skip_through
    )


def _create_tracker(host: Host, index: int) -> ClaimTracker:
    """Return the production state of a host."""
    tracker = ClaimTracker(HOSTS[index], BOOT_MS, LEASE_MS, 0.0)
    claim = _create_claim(host.claim) if host.claim else None
    observed_ms = NOW_MS - host.age * STEP_MS
    tracker.observe(ObservedLog(claim, host.timeline, host.end), observed_ms)
    if host.own is not None:
        sent_ms = NOW_MS - host.lease_age * STEP_MS
        tracker.note_claimed(_create_claim(host.own), host.end, sent_ms, observed_ms)
    return tracker


def _create_ledger(host: Host) -> ReportLedger:
    ledger = ReportLedger(TIMING)
    assert host.own is not None
    if host.content != NONE:
        usage = UsageWindow(WINDOW, {"acme": host.content})
        ledger.load([WrittenWindow(usage, host.written)], WINDOW - 1, host.written)
    ledger.load([], host.own.skip_through, host.own.timeline)
    if host.written == host.own.timeline and host.content != NONE:
        ledger.note_written(usage, host.written)
    return ledger


def _find_claim(log: tuple[Entry, ...]) -> Entry | None:
    return next((e for e in reversed(log) if e.token != NONE), None)


def _find_content(log: tuple[Entry, ...]) -> Entry | None:
    return next((e for e in reversed(log) if e.token == NONE), None)


class DutyTransitions:
    """Transition system of the protocol or of one of its mutants."""

    def __init__(
        self, mutant: DutyMutant, claims: int, suspensions: int, restorations: int
    ) -> None:
        self._mutant = mutant
        self._claims = claims
        self._suspensions = suspensions
        self._timelines = 1 + restorations

    def list_steps(self, values: tuple) -> list[tuple[str, tuple]]:
        """Return all transitions that are enabled in a state."""
        state = State(*values)
        return [(name, tuple(after)) for name, after in self._iterate_steps(state)]

    def _iterate_steps(self, state: State) -> Iterator[tuple[str, State]]:
        yield "advance", self._advance(state)
        if state.suspended:
            yield "resume", state._replace(suspended=False)
        elif state.suspensions < self._suspensions:
            suspensions = state.suspensions + 1
            yield "suspend", state._replace(suspended=True, suspensions=suspensions)
        if state.timeline < self._timelines:
            for size in range(len(state.log) + 1):
                yield (
                    f"restore-{size}",
                    state._replace(log=state.log[:size], timeline=state.timeline + 1),
                )
        for index in range(2):
            if index or not state.suspended:
                yield from self._iterate_host_steps(state, index)

    def _advance(self, state: State) -> State:
        hosts = list(state.hosts)
        for index, host in enumerate(hosts):
            is_stopped = index == 0 and state.suspended
            if is_stopped and self._mutant is DutyMutant.STOPPING_CLOCK:
                continue
            hosts[index] = host._replace(
                age=min(host.age + 1, LEASE_STEPS),
                lease_age=min(host.lease_age + 1, LEASE_STEPS),
            )
        return state._replace(hosts=(hosts[0], hosts[1]))

    def _iterate_host_steps(
        self, state: State, index: int
    ) -> Iterator[tuple[str, State]]:
        host = state.hosts[index]
        known = (host.end, host.timeline)
        if known != (len(state.log), state.timeline):
            yield f"read-{index}", self._read(state, index)
        tracker = _create_tracker(host, index)
        if tracker.may_claim(0, True, NOW_MS) and state.claims < self._claims:
            yield f"claim-{index}", self._claim(state, index, tracker)
        if host.own is None:
            return
        if _create_ledger(host).find_next(WALL_MS) == WINDOW:
            yield f"write-{index}", self._write(state, index)
        current = tracker.find_current(NOW_MS)
        if self._may_report(host) and current is not None and host.ready == NONE:
            ready = host._replace(ready=current.token)
            yield f"connect-{index}", self._set_host(state, index, ready)
        if host.ready != NONE:
            yield f"send-{index}", self._send(state, index, tracker)

    def _may_report(self, host: Host) -> bool:
        if self._mutant is DutyMutant.SENT_UNWRITTEN:
            return True
        return _create_ledger(host).find_unreported(WALL_MS) is not None

    def _read(self, state: State, index: int) -> State:
        host = state.hosts[index]
        claim = _find_claim(state.log)
        stored = _create_claim(claim) if claim else None
        tracker = _create_tracker(host, index)
        tracker.observe(ObservedLog(stored, state.timeline, len(state.log)), NOW_MS)
        host = host._replace(
            end=len(state.log),
            claim=claim,
            timeline=state.timeline,
            age=0,
            own=host.own if tracker.own is not None else None,
        )
        return self._set_host(state, index, host)

    def _claim(self, state: State, index: int, tracker: ClaimTracker) -> State:
        """Return the state after a conditional write of a claim, and a read."""
        host = state.hosts[index]
        if host.end != len(state.log):
            return self._set_host(state, index, host._replace(age=0))
        # Both hosts first see the second timeline after the window has ended.
        skip = WINDOW - 1 if host.timeline == 1 else WINDOW
        stored = tracker.create_claim(skip, 0.0)
        token = stored.token
        if self._mutant is DutyMutant.NO_TIMELINE:
            token -= host.timeline * TOKENS_PER_TIMELINE
            token = max(token, host.claim.token + 1 if host.claim else 1)
        entry = Entry(index, token, stored.skip_through, NONE, host.timeline)
        log = (*state.log, entry)
        state = state._replace(log=log, claims=state.claims + 1)
        if state.timeline != host.timeline:
            return self._set_host(state, index, host._replace(age=0))
        host = self._load(state, host._replace(own=entry, claim=entry))
        host = host._replace(end=len(log), age=0, lease_age=0)
        return self._set_host(state, index, host)

    def _load(self, state: State, host: Host) -> Host:
        """Return a new holder after it has read what others have written."""
        found = _find_content(state.log)
        assert host.own is not None
        if found is None or self._mutant is DutyMutant.WRITTEN_ANEW:
            return host
        usage = UsageWindow(WINDOW, {"acme": found.content})
        ledger = _create_ledger(host)
        ledger.load(
            [WrittenWindow(usage, found.timeline)],
            host.own.skip_through,
            host.own.timeline,
        )
        known = ledger.find_unreported(WALL_MS)
        if known is None:
            return host
        return host._replace(content=known.counts["acme"], written=host.timeline)

    def _write(self, state: State, index: int) -> State:
        """Return the state after a conditional write of the window's content."""
        host = state.hosts[index]
        if host.end != len(state.log):
            return self._read(state, index)
        content = index if host.content == NONE else host.content
        entry = Entry(index, NONE, NONE, content, host.timeline)
        state = state._replace(log=(*state.log, entry))
        if state.timeline != host.timeline:
            return self._set_host(state, index, host._replace(own=None, age=0))
        host = host._replace(
            end=len(state.log),
            age=0,
            lease_age=0,
            content=content,
            written=host.timeline,
        )
        return self._set_host(state, index, host)

    def _send(self, state: State, index: int, tracker: ClaimTracker) -> State:
        """Return the state after the first byte of a call, if it is sent."""
        host = state.hosts[index]
        current = tracker.find_current(NOW_MS)
        is_current = current is not None and current.token == host.ready
        if not is_current and self._mutant is not DutyMutant.NO_CHECK:
            return self._set_host(state, index, host._replace(ready=NONE))
        content = index if host.content == NONE else host.content
        call = Call(index, host.ready, content)
        highest = max((c.token for c in state.calls), default=0)
        state = state._replace(
            calls=tuple(sorted({*state.calls, call})),
            unordered=state.unordered or call.token < highest,
        )
        return self._set_host(state, index, host._replace(ready=NONE))

    @staticmethod
    def _set_host(state: State, index: int, host: Host) -> State:
        hosts = list(state.hosts)
        hosts[index] = host
        return state._replace(hosts=(hosts[0], hosts[1]))


def _has_one_content(calls: tuple[Call, ...]) -> bool:
    return len({call.content for call in calls}) <= 1


def _has_one_host_for_each_token(calls: tuple[Call, ...]) -> bool:
    hosts: dict[int, set[int]] = {}
    for call in calls:
        hosts.setdefault(call.token, set()).add(call.host)
    return all(len(found) == 1 for found in hosts.values())


def create_duty_protocol(
    mutant: DutyMutant = DutyMutant.NONE,
    claims: int = 3,
    suspensions: int = 1,
    restorations: int = 1,
) -> Protocol:
    """Return the protocol, or a mutant that violates an invariant.

    The hosts claim up to `claims` times in all, the first is suspended `suspensions`
    times, and the store is restored `restorations` times.
    """
    system = DutyTransitions(mutant, claims, suspensions, restorations)
    initial = State((), 1, (Host(), Host()), (), False, 0, 0, False)
    return Protocol(
        name=f"duties: {mutant.value}",
        candidate=False,
        fields=State._fields,
        initial=tuple(initial),
        transitions=system.list_steps,
        invariants={
            "one_content": lambda s: _has_one_content(s["calls"]),
            "one_host_for_each_token": lambda s: _has_one_host_for_each_token(
                s["calls"]
            ),
            "ordered": lambda s: not s["unordered"],
        },
    )
