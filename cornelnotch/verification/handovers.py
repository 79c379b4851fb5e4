"""Model of a stream that is passed on from its silent server to the one with its copy.

What servers send arrives in order at any later time, what the host sends within a step.
Who may go on, and for how long two have the stream, is production code.
"""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from minicheck import Protocol

from cornelnotch.runs import MAX_OVERLAP_S, RequestRuns

__all__ = ["HandoverMutant", "create_handover_protocol"]

STEP_S = 0.1
TIMER_STEPS = round(MAX_OVERLAP_S / STEP_S)
# Steps for which the first server may still work once the second one has begun.
MAX_STEPS = 4
MAX_EVENTS = 2
FIRST, SECOND = "first", "second"


class HandoverMutant(StrEnum):
    """Protocol variant: unmodified (`NONE`) or with the described fault."""

    NONE = "none"
    RACE = "the server that sends first goes on"
    NO_TIMER = "the first server is closed only once the second one has answered"
    GO_BACK = "the first server goes on after the second one broke"
    NO_CHECK = "the stream is sent on although its server has sent since"
    NO_GIVE_BACK = "a refusal does not give the stream back"
    DRAIN_BACK = "a host that drains goes back to the first server after a claim"


class Stage(StrEnum):
    """Whose events the caller gets, and what the search has come to."""

    FIRST = "first server, no search yet"
    SEARCH = "first server, a search runs"
    CLAIMED = "the second server was sent the stream"
    KEPT = "first server, no copy is left"
    SECOND = "second server"
    ENDED = "the response has ended, or the caller left"


class Server(NamedTuple):
    """A server; `sent` has not reached the host yet, nor has its close if `closing`."""

    works: bool = False
    sent: tuple[str, ...] = ()
    events: int = 0
    closing: bool = False
    closed: bool = False

    def send(self, message: str) -> "Server":
        """Return the server after it sent a message; only events are not the last."""
        is_event = message == "event"
        sent = self.sent if self.closed else (*self.sent, message)
        return self._replace(works=is_event, sent=sent, events=self.events + is_event)

    def close(self) -> "Server":
        """Return the server after the host has closed the connection to it."""
        if self.closed:
            return self
        return self._replace(closing=True, closed=True, sent=())


class State(NamedTuple):
    """State of the system; times are in steps.

    The host is `sending` an event of the first server and has `forwarded` some. The
    second server goes on `after` some, unless what it was sent is `arriving` yet.
    `joined` is set if the caller gets an event of the first server while the second may
    have the stream, or one twice; `lost` if it is cut as the second refused in time.
    """

    first: Server = Server(works=True)
    second: Server = Server()
    stage: Stage = Stage.FIRST
    holders: tuple[str, ...] = (FIRST,)
    arriving: bool = False
    sending: bool = False
    forwarded: int = 0
    after: int = 0
    timer: int = 0
    overlap: int = 0
    draining: bool = False
    joined: bool = False
    lost: bool = False


def _set_server(state: State, name: str, server: Server) -> State:
    if name == FIRST:
        return state._replace(first=server)
    return state._replace(second=server)


def _end(state: State) -> State:
    first, second = state.first.close(), state.second.close()
    return state._replace(stage=Stage.ENDED, first=first, second=second, sending=False)


class HandoverTransitions:
    """Transition system of the protocol or of one of its mutants."""

    def __init__(self, mutant: HandoverMutant) -> None:
        self._mutant = mutant

    def list_steps(self, values: tuple) -> list[tuple[str, tuple]]:
        """Return all transitions that are enabled in a state."""
        state = State(*values)
        parts = (self._iterate_servers, self._iterate_time, self._iterate_host)
        return [(n, tuple(after)) for part in parts for n, after in part(state)]

    def _iterate_servers(self, state: State) -> Iterator[tuple[str, State]]:
        if state.arriving:
            began = state._replace(arriving=False)
            yield "begin", began._replace(second=state.second._replace(works=True))
            yield "refuse", began._replace(second=state.second.send("refusal"))
        for name, server in ((FIRST, state.first), (SECOND, state.second)):
            for message in ("event", "end", "break") if server.works else ():
                if message != "event" or server.events < MAX_EVENTS:
                    after = server.send(message)
                    yield f"{name}-{message}", _set_server(state, name, after)
            if server.closing and not (name == SECOND and state.arriving):
                closed = server._replace(closing=False, works=False)
                yield f"{name}-closed", _set_server(state, name, closed)

    def _iterate_time(self, state: State) -> Iterator[tuple[str, State]]:
        has_timer = self._mutant not in {HandoverMutant.NO_TIMER, HandoverMutant.RACE}
        is_due = state.stage is Stage.CLAIMED and state.timer >= TIMER_STEPS
        if has_timer and is_due and not state.first.closed:
            yield "timer", state._replace(first=state.first.close())
        elif not (state.arriving or state.first.closing or state.second.closing):
            both = state.first.works and state.second.works
            timer = state.timer + (state.stage is Stage.CLAIMED)
            yield (
                "advance",
                state._replace(
                    timer=min(timer, TIMER_STEPS),
                    overlap=min(state.overlap + both, MAX_STEPS + 1),
                ),
            )

    def _iterate_host(self, state: State) -> Iterator[tuple[str, State]]:
        if state.stage is Stage.ENDED:
            return
        yield "leave", _end(state)
        if not state.draining:
            yield "drain", state._replace(draining=True)
        if state.stage is Stage.FIRST:
            yield "search", state._replace(stage=Stage.SEARCH, after=state.forwarded)
        if state.stage is Stage.SEARCH:
            yield "claim", self._claim(state)
        if state.stage in {Stage.CLAIMED, Stage.SECOND} and state.second.sent:
            yield "read-second", self._read_second(state)
        if state.sending:
            yield (
                "forward",
                state._replace(
                    sending=False,
                    forwarded=state.forwarded + 1,
                    joined=state.joined or SECOND in state.holders,
                ),
            )
        elif state.first.sent and (
            state.stage is not Stage.CLAIMED or self._mutant is HandoverMutant.RACE
        ):
            yield "read-first", self._read_first(state)

    def _claim(self, state: State) -> State:
        """Return the state after the first byte to the second server, if it is sent."""
        has_sent = state.sending or state.forwarded != state.after
        is_checked = self._mutant is not HandoverMutant.NO_CHECK
        if (has_sent and is_checked) or state.draining:
            return state._replace(stage=Stage.KEPT)
        return state._replace(
            stage=Stage.CLAIMED,
            holders=(FIRST, SECOND),
            arriving=True,
            joined=state.joined or state.forwarded != state.after,
        )

    def _read_second(self, state: State) -> State:
        message, *rest = state.second.sent
        if state.stage is Stage.CLAIMED and message in {"refusal", "break"}:
            return self._return(state, message == "refusal")
        if message != "event":
            return _end(state)
        if self._mutant is HandoverMutant.DRAIN_BACK and state.draining:
            return state._replace(stage=Stage.KEPT, second=state.second.close())
        return state._replace(
            stage=Stage.SECOND,
            first=state.first.close(),
            second=state.second._replace(sent=tuple(rest)),
        )

    def _return(self, state: State, is_refusal: bool) -> State:
        """Return the state after the second server has refused or broken."""
        runs = RequestRuns(may_repeat=False)
        for holder in state.holders:
            runs.claim(holder, copied=holder == SECOND)
        holders = state.holders
        if is_refusal and self._mutant is not HandoverMutant.NO_GIVE_BACK:
            runs.release(SECOND)
            holders = (FIRST,)
        may_go_on = runs.may_go_on(FIRST) or self._mutant is HandoverMutant.GO_BACK
        if may_go_on and not state.first.closed:
            second = state.second.close()
            return state._replace(stage=Stage.KEPT, second=second, holders=holders)
        return _end(state)._replace(lost=is_refusal and not state.first.closed)

    def _read_first(self, state: State) -> State:
        message, *rest = state.first.sent
        if state.stage is Stage.CLAIMED:
            state = state._replace(stage=Stage.KEPT, second=state.second.close())
        if message != "event":
            return _end(state)
        first = state.first._replace(sent=tuple(rest))
        return state._replace(sending=True, first=first)


def create_handover_protocol(mutant: HandoverMutant = HandoverMutant.NONE) -> Protocol:
    """Return the protocol, or a mutant that violates an invariant."""
    return Protocol(
        name=f"handovers: {mutant.value}",
        candidate=False,
        fields=State._fields,
        initial=tuple(State()),
        transitions=HandoverTransitions(mutant).list_steps,
        invariants={
            "one_server": lambda s: s["overlap"] < MAX_STEPS,
            "not_joined": lambda s: not s["joined"],
            "goes_on_if_refused": lambda s: not s["lost"],
        },
    )
