"""Model of configuration replication with races, snapshots, trimming and peers.

Three changes are appended in any order, a writer prepares a snapshot and may
pause before appending it, the log trims records that a snapshot covers, and a new
host bootstraps from the log or from a peer. Folding records and choosing a snapshot
use the production code of a node.
"""

from enum import StrEnum
from typing import NamedTuple

from minicheck import Protocol

from cornelnotch.configuration import (
    Change,
    ConfigurationState,
    apply_record,
    choose_snapshot,
    create_snapshot,
    encode_record,
    restore_snapshot,
)

__all__ = ["ConfigurationMutant", "create_configuration_protocol"]

MAX_SNAPSHOTS = 2
EXISTING_HOST = 0
NEW_HOST = 1
CHANGES = (
    Change("one", -1, "[place a]\nregion = x\n"),
    Change("two", -1, "[place a]\nregion = y\n"),
    Change("three", -1, "[place b]\nregion = z\n"),
)


class ConfigurationMutant(StrEnum):
    """Protocol variant: unmodified (`NONE`) or with the described fault."""

    NONE = "none"
    NEWEST_SNAPSHOT = "take the snapshot that stands last in the log"
    NO_BASE = "accept a change whose base is outdated"
    ANY_PEER = "adopt a peer's state even when it is behind"


class Host(NamedTuple):
    """Configuration of a host up to log offset `covers`, which is -1 initially."""

    covers: int
    version: int
    content: tuple[tuple[str, str], ...]


class State(NamedTuple):
    """State of the modelled system.

    A log record holds the number of a change, or the offset that a snapshot covers.
    """

    log: tuple[tuple[str, int], ...]
    trimmed: int
    prepared: int
    snapshots: int
    hosts: tuple[Host, Host]
    went_down: bool


def _summarize_state(state: ConfigurationState) -> Host:
    content = tuple(sorted((n, s.values["region"]) for n, s in state.sections.items()))
    return Host(state.covers, state.version, content)


class ConfigurationTransitions:
    """Transition system of the protocol or of one of its mutants."""

    def __init__(self, mutant: ConfigurationMutant) -> None:
        self._mutant = mutant
        self._folds: dict[tuple, ConfigurationState] = {}

    def fold(self, log: tuple[tuple[str, int], ...]) -> ConfigurationState:
        """Return the reference state after all records of a log."""
        if not log:
            return ConfigurationState()
        cached = self._folds.get(log)
        if cached is None:
            before = self.fold(log[:-1])
            cached = self._fold_next(before, len(log) - 1, log)
            self._folds[log] = cached
        return cached

    def _fold_next(
        self, state: ConfigurationState, offset: int, log: tuple[tuple[str, int], ...]
    ) -> ConfigurationState:
        kind, number = log[offset]
        if kind == "snapshot":
            return apply_record(state, offset, b"{}").state
        change = CHANGES[number]
        if self._mutant is ConfigurationMutant.NO_BASE and offset % 2:
            # The mutant skips the base check at odd offsets, so whether an outdated
            # change is accepted depends on its position in the log.
            change = Change(change.change_id, state.version, change.text)
        return apply_record(state, offset, encode_record(change)).state

    def list_steps(self, values: tuple) -> list[tuple[str, tuple]]:
        """Return all transitions that are enabled in a state."""
        state = State(*values)
        steps = [*self._list_appends(state), *self._list_snapshots(state)]
        trimmed = state.trimmed
        covered = any(
            kind == "snapshot" and number >= trimmed
            for kind, number in state.log[trimmed + 1 :]
        )
        if covered:
            steps.append(("trim", state._replace(trimmed=trimmed + 1)))
        steps += self._list_reads(state)
        steps += self._list_peer_transfers(state)
        return [(name, tuple(after)) for name, after in steps]

    def _list_appends(self, state: State) -> list[tuple[str, State]]:
        steps = []
        for number in range(len(CHANGES)):
            if ("change", number) not in state.log:
                log = (*state.log, ("change", number))
                steps.append(("append", state._replace(log=log)))
        return steps

    def _list_snapshots(self, state: State) -> list[tuple[str, State]]:
        covers = state.hosts[EXISTING_HOST].covers
        if state.prepared < 0 <= covers and state.snapshots < MAX_SNAPSHOTS:
            after = state._replace(prepared=covers, snapshots=state.snapshots + 1)
            return [("prepare", after)]
        if state.prepared < 0:
            return []
        steps = []
        log = (*state.log, ("snapshot", state.prepared))
        steps.append(("append-snapshot", state._replace(log=log, prepared=-1)))
        if state.snapshots < MAX_SNAPSHOTS and covers > state.prepared:
            # Another host appends a newer snapshot while this writer is paused.
            newer = (*state.log, ("snapshot", covers))
            after = state._replace(log=newer, snapshots=state.snapshots + 1)
            steps.append(("overtake-snapshot", after))
        return steps

    def _list_reads(self, state: State) -> list[tuple[str, State]]:
        steps = []
        for index, host in enumerate(state.hosts):
            position = host.covers + 1
            if position >= len(state.log):
                continue
            if position >= state.trimmed:
                after = _summarize_state(self._read_next(host, position, state))
                steps.append(("read", self._set_host(state, index, after)))
            else:
                recovered = self._recover(state)
                if recovered is not None:
                    after = _summarize_state(recovered)
                    steps.append(("recover", self._set_host(state, index, after)))
        return steps

    def _read_next(self, host: Host, position: int, state: State) -> ConfigurationState:
        before = self.fold(state.log[:position])
        if host != _summarize_state(before):
            # The host diverged earlier, which the invariants have reported already.
            return before
        return self._fold_next(before, position, state.log)

    def _recover(self, state: State) -> ConfigurationState | None:
        snapshots = [
            create_snapshot(self.fold(state.log[: number + 1]))
            for kind, number in state.log[state.trimmed :]
            if kind == "snapshot"
        ]
        if self._mutant is ConfigurationMutant.NEWEST_SNAPSHOT:
            base = restore_snapshot(snapshots[-1]) if snapshots else None
        else:
            base = choose_snapshot(snapshots, state.trimmed)
        if base is None:
            return None
        for offset in range(max(base.covers + 1, state.trimmed), len(state.log)):
            base = self._fold_next(base, offset, state.log)
        return base

    def _list_peer_transfers(self, state: State) -> list[tuple[str, State]]:
        old, new = state.hosts
        steps = []
        if old.covers > new.covers or self._mutant is ConfigurationMutant.ANY_PEER:
            steps.append(("peer", self._set_host(state, NEW_HOST, old)))
        return steps

    @staticmethod
    def _set_host(state: State, index: int, host: Host) -> State:
        hosts = list(state.hosts)
        reverted = host.version < hosts[index].version
        hosts[index] = host
        return state._replace(
            hosts=(hosts[0], hosts[1]), went_down=state.went_down or reverted
        )

    def matches_reference(self, values: dict) -> bool:
        """Return whether each host has the reference state at its offset."""
        return all(
            host == _summarize_state(self.fold(values["log"][: host.covers + 1]))
            for host in values["hosts"]
        )


def create_configuration_protocol(
    mutant: ConfigurationMutant = ConfigurationMutant.NONE,
) -> Protocol:
    """Return the replication protocol, or a mutant that violates an invariant."""
    system = ConfigurationTransitions(mutant)
    empty = _summarize_state(ConfigurationState())
    initial = State((), 0, -1, 0, (empty, empty), False)
    return Protocol(
        name=f"configuration: {mutant.value}",
        candidate=False,
        fields=State._fields,
        initial=tuple(initial),
        transitions=system.list_steps,
        invariants={
            "never_reverts": lambda s: not s["went_down"],
            "same_everywhere": system.matches_reference,
            "one_of_a_race": lambda s: all(
                _is_first_change_in_force(system, s["log"][: host.covers + 1])
                for host in s["hosts"]
            ),
        },
    )


def _is_first_change_in_force(
    system: ConfigurationTransitions, log: tuple[tuple[str, int], ...]
) -> bool:
    """Return whether the first of two concurrent changes in the log is in force."""
    concurrent = [number for kind, number in log if kind == "change" and number < 2]
    if not concurrent:
        return True
    expected = "x" if concurrent[0] == 0 else "y"
    return system.fold(log).sections["place a"].values["region"] == expected
