"""Specify at-most-once execution: two hosts, one key, a log that loses and delays.

The key is made at time 0. An append may land at any later time or never, its
answer may be lost, a host may pause between any two steps, and the log trims
records that are older than its retention. The fold and the age rule are the
node's own.
"""

from enum import StrEnum
from typing import NamedTuple

from minicheck import Protocol

from cornelnotch.claims import (
    ClaimLedger,
    ClaimOperation,
    KeyAge,
    OperationKind,
    judge_key_age,
)

__all__ = ["ClaimMutant", "create_claim_protocol"]

KEY = "key"
RETENTION = 2
HORIZON = 1
END_OF_TIME = 3
MAX_SENDS = (2, 1)
FIRST = 0
REPEAT = 1


class ClaimMutant(StrEnum):
    """Name the mechanism that a mutant lacks."""

    NONE = "none"
    NO_READ_BACK = "dispatch before the claim is read back"
    EARLY_AGE = "judge the key's age before the append"
    RUN_AFTER_RELEASE = "dispatch after a release was begun"
    EARLY_NOT_RUN = "say not-run before the release is in the log"


class Phase(StrEnum):
    """Name what a host does with its attempt."""

    IDLE = "idle"
    SENT = "sent"
    WON = "won"
    READY = "ready"
    LOST = "lost"
    RAN = "ran"
    RELEASING = "releasing"
    RELEASED = "released"


class Entry(NamedTuple):
    """Hold one record of the log."""

    kind: str
    host: int
    time: int


class State(NamedTuple):
    """Hold one state of the system."""

    time: int
    log: tuple[Entry, ...]
    flying: tuple[tuple[str, int], ...]
    phases: tuple[Phase, Phase]
    sends: tuple[int, int]
    runs: int
    false_answer: bool


def _read_ledger(state: State) -> ClaimLedger:
    ledger = ClaimLedger()
    for offset, entry in enumerate(state.log):
        if state.time - entry.time > RETENTION:
            continue
        kind = OperationKind(entry.kind)
        operation = ClaimOperation(kind, KEY, str(entry.host))
        ledger.apply(operation, offset, 0, float(entry.time))
    return ledger


def _sees(state: State, kind: str, host: int) -> bool:
    return any(
        e.kind == kind and e.host == host and state.time - e.time <= RETENTION
        for e in state.log
    )


def _is_usable(state: State) -> bool:
    return judge_key_age(0, state.time, HORIZON, 0) is KeyAge.USABLE


def _set_phase(state: State, host: int, phase: Phase) -> State:
    phases = list(state.phases)
    phases[host] = phase
    return state._replace(phases=(phases[0], phases[1]))


def _send(state: State, kind: str, host: int) -> State:
    flying = tuple(sorted([*state.flying, (kind, host)]))
    return state._replace(flying=flying)


def _count_send(state: State, host: int) -> State:
    sends = list(state.sends)
    sends[host] += 1
    return state._replace(sends=(sends[0], sends[1]))


def _answer_not_run(state: State, host: int) -> State:
    """Note whether `not-run` is false; a superseded first attempt tells nobody."""
    heard = host == REPEAT or state.phases[REPEAT] is Phase.IDLE
    return state._replace(false_answer=state.false_answer or (heard and state.runs > 0))


def _trim(state: State) -> State:
    """Drop records past retention, which no host can read any more."""
    kept = tuple(e for e in state.log if state.time - e.time <= RETENTION)
    return state._replace(log=kept)


class ClaimSystem:
    """Generate the steps of the specification or of one of its mutants."""

    def __init__(self, mutant: ClaimMutant) -> None:
        self._mutant = mutant

    def list_steps(self, values: tuple) -> list[tuple[str, tuple]]:
        """Return every step that may come next."""
        state = State(*values)
        steps: list[tuple[str, State]] = []
        if state.time < END_OF_TIME:
            steps.append(("pass", state._replace(time=state.time + 1)))
        steps += self._list_log_steps(state)
        for host in (FIRST, REPEAT):
            steps += self._list_host_steps(state, host)
        return [(name, tuple(_trim(after))) for name, after in steps]

    def _list_log_steps(self, state: State) -> list[tuple[str, State]]:
        steps = []
        for index, (kind, host) in enumerate(state.flying):
            rest = state.flying[:index] + state.flying[index + 1 :]
            landed = (*state.log, Entry(kind, host, state.time))
            steps.append((f"land-{kind}", state._replace(flying=rest, log=landed)))
        return steps

    def _list_host_steps(self, state: State, host: int) -> list[tuple[str, State]]:
        phase = state.phases[host]
        steps: list[tuple[str, State]] = []
        if phase is Phase.IDLE:
            steps += self._start(state, host)
        elif phase is Phase.SENT:
            steps += self._settle(state, host)
        elif phase is Phase.WON:
            late = self._mutant is ClaimMutant.EARLY_AGE or _is_usable(state)
            if late:
                steps.append(("check-age", _set_phase(state, host, Phase.READY)))
        elif phase is Phase.READY:
            steps.append(self._run(state, host))
        elif phase is Phase.RELEASING:
            steps += self._finish_release(state, host)
        if phase in {Phase.SENT, Phase.WON, Phase.READY}:
            steps.append(self._give_up(state, host))
        return steps

    def _start(self, state: State, host: int) -> list[tuple[str, State]]:
        if not _is_usable(state):
            return []
        sent = _count_send(_send(state, "claim", host), host)
        phase = Phase.SENT
        if self._mutant is ClaimMutant.NO_READ_BACK:
            phase = Phase.READY
        return [("claim", _set_phase(sent, host, phase))]

    def _settle(self, state: State, host: int) -> list[tuple[str, State]]:
        steps = []
        if state.sends[host] < MAX_SENDS[host]:
            again = _count_send(_send(state, "claim", host), host)
            steps.append(("claim-again", again))
        if _sees(state, "claim", host):
            claim = _read_ledger(state).find(KEY)
            won = claim is not None and claim.attempt == str(host)
            phase = Phase.WON if won else Phase.LOST
            steps.append(("read-back", _set_phase(state, host, phase)))
        return steps

    @staticmethod
    def _run(state: State, host: int) -> tuple[str, State]:
        ran = state._replace(runs=min(state.runs + 1, 2))
        return ("run", _set_phase(ran, host, Phase.RAN))

    def _give_up(self, state: State, host: int) -> tuple[str, State]:
        after = _set_phase(_send(state, "release", host), host, Phase.RELEASING)
        if host == FIRST or self._mutant is ClaimMutant.EARLY_NOT_RUN:
            after = _answer_not_run(after, host)
        return ("give-up", after)

    def _finish_release(self, state: State, host: int) -> list[tuple[str, State]]:
        steps = []
        if _sees(state, "release", host):
            # Only an attempt that was first may speak for the whole key.
            claimed = _read_ledger(state).find(KEY)
            after = _set_phase(state, host, Phase.RELEASED)
            if claimed is None and _is_usable(state):
                after = _answer_not_run(after, host)
            steps.append(("released", after))
        if self._mutant is ClaimMutant.RUN_AFTER_RELEASE:
            steps.append(self._run(state, host))
        return steps


def create_claim_protocol(mutant: ClaimMutant = ClaimMutant.NONE) -> Protocol:
    """Return the specification, or a mutant that a check must catch."""
    initial = State(0, (), (), (Phase.IDLE, Phase.IDLE), (0, 0), 0, False)
    return Protocol(
        name=f"claims: {mutant.value}",
        candidate=False,
        fields=State._fields,
        initial=tuple(initial),
        transitions=ClaimSystem(mutant).list_steps,
        invariants={
            "at_most_once": lambda s: s["runs"] <= 1,
            "not_run_is_true": lambda s: not s["false_answer"],
        },
    )
