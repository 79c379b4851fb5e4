"""Model of hosts that remember at which software version a stream began.

A caller resumes one stream while two versions of a service come and go, hosts are
killed and start again, and the log of origins is read and appended to. The decision
about an unknown stream is the production code of a host.
"""

from enum import StrEnum
from typing import NamedTuple

from minicheck import Protocol

from cornelnotch.gateway.software_history import SoftwareHistory
from cornelnotch.gateway.stream_origins import StreamOrigin

__all__ = ["OriginMutant", "create_origin_protocol"]

SERVICE = "llm"
VERSIONS = (0, 1)
NO_STREAM = -1
NEVER = -100
# How long a caller may resume a stream, in steps of time.
LIFETIME = 2


class OriginMutant(StrEnum):
    """Protocol variant: unmodified (`NONE`) or with the described fault."""

    NONE = "none"
    ANY_VERSION = "an unknown stream goes on anywhere"
    NO_SPAN = "versions before the start of a host do not count"
    NO_VERSIONS = "the log does not name the versions that served"
    LATE_VERSIONS = "a new version is not in the log at once"


class Host(NamedTuple):
    """A host; `seen` is when each version was last seen, `since` the known span.

    The stream is `unsaved` if the host has not appended it to the log.
    """

    is_alive: bool = True
    since: int = NEVER
    seen: tuple[int, int] = (NEVER, NEVER)
    knows: bool = False
    unsaved: bool = False


class Log(NamedTuple):
    """What the log of origins holds."""

    is_empty: bool = True
    has_stream: bool = False
    seen: tuple[bool, bool] = (False, False)
    known: int = 0


class State(NamedTuple):
    """State of the system; the stream began at `version` in step `begun`."""

    now: int
    served: tuple[bool, bool]
    version: int
    begun: int
    hosts: tuple[Host, Host]
    log: Log
    kills: int
    joined: bool


def _create_history(host: Host) -> SoftwareHistory:
    history = SoftwareHistory(host.since)
    for version in VERSIONS:
        if host.seen[version] > NEVER:
            history.note(StreamOrigin(SERVICE, str(version)), host.seen[version])
    return history


class OriginTransitions:
    """Transition system of the protocol or of one of its mutants."""

    def __init__(self, mutant: OriginMutant, steps: int, kills: int) -> None:
        self._mutant = mutant
        self._steps = steps
        self._kills = kills

    def list_steps(self, values: tuple) -> list[tuple[str, tuple]]:
        """Return all transitions that are enabled in a state."""
        state = State(*values)
        steps = [*self._list_changes(state), *self._list_kills(state)]
        for index, host in enumerate(state.hosts):
            if host.is_alive:
                steps += self._list_host_steps(state, index)
            else:
                steps.append(("start", self._start(state, index)))
        return [(name, tuple(self._observe(after))) for name, after in steps]

    @staticmethod
    def _observe(state: State) -> State:
        """Let all hosts see the versions that serve, and forget what is too old."""
        first_ms = state.now - LIFETIME
        hosts = []
        for host in state.hosts:
            seen = [
                state.now if is_served and host.is_alive else seen
                for is_served, seen in zip(state.served, host.seen, strict=True)
            ]
            seen = [at if at >= first_ms else NEVER for at in seen]
            since = host.since if host.since > first_ms else NEVER
            hosts.append(host._replace(since=since, seen=(seen[0], seen[1])))
        return state._replace(hosts=(hosts[0], hosts[1]))

    def _list_changes(self, state: State) -> list[tuple[str, State]]:
        steps = []
        if state.now < self._steps:
            steps.append(("wait", state._replace(now=state.now + 1)))
        if state.served == (True, False):
            steps.append(("release", state._replace(served=(True, True))))
        if state.served == (True, True):
            steps.append(("finish", state._replace(served=(False, True))))
            steps.append(("roll-back", state._replace(served=(True, False))))
        return steps

    def _list_kills(self, state: State) -> list[tuple[str, State]]:
        if state.kills >= self._kills:
            return []
        first, second = state.hosts
        dead = Host(is_alive=False)
        killed = [(dead, dead), (dead, second), (first, dead)]
        return [
            ("kill", state._replace(hosts=hosts, kills=state.kills + 1))
            for hosts in killed
        ]

    def _list_host_steps(self, state: State, index: int) -> list[tuple[str, State]]:
        host = state.hosts[index]
        steps = [
            ("append", self._append(state, index)),
            # The store drops its history.
            ("forget", state._replace(log=Log(is_empty=False))),
        ]
        if state.version == NO_STREAM:
            steps += [
                ("begin", self._begin(state, index, version))
                for version in VERSIONS
                if state.served[version]
            ]
            return steps
        if host.knows:
            steps.append(("report", self._report(state)))
        if state.now - state.begun < LIFETIME:
            steps.append(("resume", self._resume(state, index)))
        return steps

    def _begin(self, state: State, index: int, version: int) -> State:
        hosts = list(state.hosts)
        hosts[index] = hosts[index]._replace(knows=True, unsaved=True)
        begun = state._replace(
            version=version, begun=state.now, hosts=(hosts[0], hosts[1])
        )
        is_new = not state.log.seen[version]
        if is_new and self._mutant is not OriginMutant.LATE_VERSIONS:
            return self._append(begun, index)
        return begun

    @staticmethod
    def _report(state: State) -> State:
        hosts = [
            host._replace(knows=True, unsaved=host.unsaved or not host.knows)
            if host.is_alive
            else host
            for host in state.hosts
        ]
        return state._replace(hosts=(hosts[0], hosts[1]))

    def _append(self, state: State, index: int) -> State:
        host = state.hosts[index]
        recent = _create_history(host).list_since(state.now - LIFETIME)
        seen = tuple(StreamOrigin(SERVICE, str(v)) in recent for v in VERSIONS)
        if self._mutant is OriginMutant.NO_VERSIONS:
            seen = (False, False)
        log = Log(
            False,
            state.log.has_stream or host.unsaved,
            (seen[0], seen[1]),
            min(state.now - host.since, LIFETIME),
        )
        hosts = list(state.hosts)
        hosts[index] = host._replace(unsaved=False)
        return state._replace(log=log, hosts=(hosts[0], hosts[1]))

    def _start(self, state: State, index: int) -> State:
        """Start a host, which reads the log."""
        log = state.log
        known = -NEVER if log.is_empty else log.known
        if self._mutant is OriginMutant.NO_SPAN:
            known = LIFETIME
        seen = tuple(state.now if is_seen else NEVER for is_seen in log.seen)
        host = Host(True, state.now - known, (seen[0], seen[1]), log.has_stream)
        hosts = list(state.hosts)
        hosts[index] = host
        return state._replace(hosts=(hosts[0], hosts[1]))

    def _resume(self, state: State, index: int) -> State:
        if any(host.knows for host in state.hosts if host.is_alive):
            return state
        if self._mutant is OriginMutant.ANY_VERSION:
            return state._replace(joined=True)
        history = _create_history(state.hosts[index])
        history.confirm(state.now)
        only = history.find_only(SERVICE, state.now - LIFETIME, state.now)
        is_joined = only is not None and only.software != str(state.version)
        return state._replace(joined=state.joined or is_joined)


def create_origin_protocol(
    mutant: OriginMutant = OriginMutant.NONE, steps: int = 3, kills: int = 1
) -> Protocol:
    """Return the protocol, or a mutant that violates an invariant.

    Time goes on for `steps` steps, and hosts are killed `kills` times, alone or both.
    """
    system = OriginTransitions(mutant, steps, kills)
    hosts = (Host(), Host())
    initial = State(0, (True, False), NO_STREAM, NEVER, hosts, Log(), 0, False)
    return Protocol(
        name=f"origins: {mutant.value}",
        candidate=False,
        fields=State._fields,
        initial=tuple(system._observe(initial)),
        transitions=system.list_steps,
        invariants={"not_joined": lambda s: not s["joined"]},
    )
