"""Model of at-most-once execution with two hosts, one key and an unreliable log.

The key is created at time 0. An append may be committed at any later time or never,
its reply may be lost, a host may pause between any two steps, and the log trims
records that are older than its retention. The ledger and the key age check are the
production code of a node.
"""

from enum import StrEnum
from typing import NamedTuple

from minicheck import Protocol

from cornelnotch.claims import (
    ClaimLedger,
    ClaimOperation,
    KeyAge,
    OperationKind,
    check_key_age,
)

__all__ = ["ClaimMutant", "create_claim_protocol"]

KEY = "key"
RETENTION = 2
HORIZON = 1
END_OF_TIME = 3
MAX_SENDS = (2, 1)
FIRST_HOST = 0
RETRY_HOST = 1


class ClaimMutant(StrEnum):
    """Protocol variant: unmodified (`NONE`) or with the described fault."""

    NONE = "none"
    NO_READ_BACK = "dispatch before the claim is read back"
    EARLY_AGE = "judge the key's age before the append"
    RUN_AFTER_RELEASE = "dispatch after a release was begun"
    EARLY_NOT_RUN = "say not-run before the release is in the log"


class Phase(StrEnum):
    """Progress of a host's attempt."""

    IDLE = "idle"
    SENT = "sent"
    WON = "won"
    READY = "ready"
    LOST = "lost"
    RAN = "ran"
    RELEASING = "releasing"
    RELEASED = "released"


class LogRecord(NamedTuple):
    """Record of the log."""

    kind: str
    host: int
    time: int


class State(NamedTuple):
    """State of the modelled system."""

    time: int
    log: tuple[LogRecord, ...]
    in_flight: tuple[tuple[str, int], ...]
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


def _has_visible_record(state: State, kind: str, host: int) -> bool:
    return any(
        e.kind == kind and e.host == host and state.time - e.time <= RETENTION
        for e in state.log
    )


def _is_usable(state: State) -> bool:
    return check_key_age(0, state.time, HORIZON, 0) is KeyAge.USABLE


def _set_phase(state: State, host: int, phase: Phase) -> State:
    phases = list(state.phases)
    phases[host] = phase
    return state._replace(phases=(phases[0], phases[1]))


def _send_append(state: State, kind: str, host: int) -> State:
    in_flight = tuple(sorted([*state.in_flight, (kind, host)]))
    return state._replace(in_flight=in_flight)


def _count_send(state: State, host: int) -> State:
    sends = list(state.sends)
    sends[host] += 1
    return state._replace(sends=(sends[0], sends[1]))


def _reply_not_run(state: State, host: int) -> State:
    """Record whether a `not-run` reply is false.

    The reply of a superseded first attempt reaches no caller.
    """
    reaches_caller = host == RETRY_HOST or state.phases[RETRY_HOST] is Phase.IDLE
    return state._replace(
        false_answer=state.false_answer or (reaches_caller and state.runs > 0)
    )


def _trim(state: State) -> State:
    """Remove records that are older than the retention."""
    retained = tuple(e for e in state.log if state.time - e.time <= RETENTION)
    return state._replace(log=retained)


class ClaimTransitions:
    """Transition system of the claim protocol or of one of its mutants."""

    def __init__(self, mutant: ClaimMutant) -> None:
        self._mutant = mutant

    def list_steps(self, values: tuple) -> list[tuple[str, tuple]]:
        """Return all transitions that are enabled in a state."""
        state = State(*values)
        steps: list[tuple[str, State]] = []
        if state.time < END_OF_TIME:
            steps.append(("pass", state._replace(time=state.time + 1)))
        steps += self._list_log_steps(state)
        for host in (FIRST_HOST, RETRY_HOST):
            steps += self._list_host_steps(state, host)
        return [(name, tuple(_trim(after))) for name, after in steps]

    def _list_log_steps(self, state: State) -> list[tuple[str, State]]:
        steps = []
        for index, (kind, host) in enumerate(state.in_flight):
            rest = state.in_flight[:index] + state.in_flight[index + 1 :]
            committed = (*state.log, LogRecord(kind, host, state.time))
            steps.append(
                (f"land-{kind}", state._replace(in_flight=rest, log=committed))
            )
        return steps

    def _list_host_steps(self, state: State, host: int) -> list[tuple[str, State]]:
        phase = state.phases[host]
        steps: list[tuple[str, State]] = []
        if phase is Phase.IDLE:
            steps += self._start(state, host)
        elif phase is Phase.SENT:
            steps += self._read_back(state, host)
        elif phase is Phase.WON:
            may_proceed = self._mutant is ClaimMutant.EARLY_AGE or _is_usable(state)
            if may_proceed:
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
        sent = _count_send(_send_append(state, "claim", host), host)
        phase = Phase.SENT
        if self._mutant is ClaimMutant.NO_READ_BACK:
            phase = Phase.READY
        return [("claim", _set_phase(sent, host, phase))]

    def _read_back(self, state: State, host: int) -> list[tuple[str, State]]:
        steps = []
        if state.sends[host] < MAX_SENDS[host]:
            retried = _count_send(_send_append(state, "claim", host), host)
            steps.append(("claim-again", retried))
        if _has_visible_record(state, "claim", host):
            claim = _read_ledger(state).find_claim(KEY)
            won = claim is not None and claim.attempt == str(host)
            phase = Phase.WON if won else Phase.LOST
            steps.append(("read-back", _set_phase(state, host, phase)))
        return steps

    @staticmethod
    def _run(state: State, host: int) -> tuple[str, State]:
        ran = state._replace(runs=min(state.runs + 1, 2))
        return ("run", _set_phase(ran, host, Phase.RAN))

    def _give_up(self, state: State, host: int) -> tuple[str, State]:
        after = _set_phase(_send_append(state, "release", host), host, Phase.RELEASING)
        if host == FIRST_HOST or self._mutant is ClaimMutant.EARLY_NOT_RUN:
            after = _reply_not_run(after, host)
        return ("give-up", after)

    def _finish_release(self, state: State, host: int) -> list[tuple[str, State]]:
        steps = []
        if _has_visible_record(state, "release", host):
            # `not-run` holds for the key only if no other attempt has claimed it.
            claimed = _read_ledger(state).find_claim(KEY)
            after = _set_phase(state, host, Phase.RELEASED)
            if claimed is None and _is_usable(state):
                after = _reply_not_run(after, host)
            steps.append(("released", after))
        if self._mutant is ClaimMutant.RUN_AFTER_RELEASE:
            steps.append(self._run(state, host))
        return steps


def create_claim_protocol(mutant: ClaimMutant = ClaimMutant.NONE) -> Protocol:
    """Return the claim protocol, or a mutant that violates an invariant."""
    initial = State(0, (), (), (Phase.IDLE, Phase.IDLE), (0, 0), 0, False)
    return Protocol(
        name=f"claims: {mutant.value}",
        candidate=False,
        fields=State._fields,
        initial=tuple(initial),
        transitions=ClaimTransitions(mutant).list_steps,
        invariants={
            "at_most_once": lambda s: s["runs"] <= 1,
            "not_run_is_true": lambda s: not s["false_answer"],
        },
    )
