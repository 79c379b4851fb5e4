"""Model of hosts that follow a store which is restored from an older backup.

The operator writes versions of one key and rewrites the newest if it is missing. The
store is restored to any earlier state, in the next timeline. Two hosts read, exchange
gossip, restart, and receive one store response or gossip message late. The views are
the production code of a host.
"""

from enum import StrEnum
from typing import NamedTuple

from minicheck import Protocol

from cornelnotch.gateway.records import KeyedView, Record, RecordPage

__all__ = ["RestorationMutant", "create_restoration_protocol"]

KEY = "config"
MAX_VERSION = 2
NO_VERSION = 0


class RestorationMutant(StrEnum):
    """Protocol variant: unmodified (`NONE`) or with the described fault."""

    NONE = "none"
    NO_TIMELINE = "order by offset alone"
    NO_HOLD = "forget what the copy lacks"
    COPY_FIRST = "hold what the copy had rather than what was held"
    OLD_NEWS = "take news of an older timeline"
    OLD_ANSWER = "take an answer that was under way at the restoration"
    ANY_VERSION = "bring any version into force that is listed"


class Host(NamedTuple):
    """View of a host and its version in force; 0 means none."""

    timeline: int = -1
    head: int = -1
    listed: int = NO_VERSION
    listed_at: int = 0
    held: int = NO_VERSION
    in_force: int = NO_VERSION


class Message(NamedTuple):
    """Store response or gossip message in flight.

    `start` is -1 for a complete listing. `began` is the timeline in which the receiver
    sent its request, and -1 for gossip.
    """

    receiver: int
    is_answer: bool
    began: int
    timeline: int
    start: int
    end: int
    records: tuple[tuple[int, int], ...]
    held: int


class State(NamedTuple):
    """State of the system; `log` contains the versions in the current timeline."""

    timeline: int
    log: tuple[int, ...]
    newest: int
    hosts: tuple[Host, Host]
    message: Message | None
    restarts: int
    went_down: bool
    forgot: bool


def _list_newest(log: tuple[int, ...]) -> tuple[tuple[int, int], ...]:
    return ((len(log) - 1, log[-1]),) if log else ()


def _create_view(host: Host) -> KeyedView:
    view = KeyedView(host.head, {}, host.timeline)
    if host.listed:
        view.records[KEY] = Record(KEY, b"%d" % host.listed, host.listed_at)
    if host.held:
        view.older_records[KEY] = Record(KEY, b"%d" % host.held, 0)
    return view


def _read_version(records: dict[str, Record]) -> int:
    record = records.get(KEY)
    return int(record.value) if record is not None else NO_VERSION


class RestorationTransitions:
    """Transition system of the protocol or of one of its mutants."""

    def __init__(
        self, mutant: RestorationMutant, timelines: int, restarts: int
    ) -> None:
        self._mutant = mutant
        self._timelines = timelines
        self._restarts = restarts

    def list_steps(self, values: tuple) -> list[tuple[str, tuple]]:
        """Return all transitions that are enabled in a state."""
        state = State(*values)
        steps = [*self._list_writes(state), *self._list_restorations(state)]
        for index in range(len(state.hosts)):
            steps += self._list_host_steps(state, index)
        if state.message is not None:
            steps.append(("deliver", self._deliver(state, state.message)))
        return [(name, tuple(after)) for name, after in steps]

    @staticmethod
    def _list_writes(state: State) -> list[tuple[str, State]]:
        steps = []
        if state.newest and state.newest not in state.log:
            rewritten = state._replace(log=(*state.log, state.newest))
            steps.append(("write-again", rewritten))
        elif state.newest < MAX_VERSION:
            version = state.newest + 1
            log = (*state.log, version)
            steps.append(("write", state._replace(log=log, newest=version)))
        return steps

    def _list_restorations(self, state: State) -> list[tuple[str, State]]:
        if state.timeline >= self._timelines:
            return []
        return [
            ("restore", state._replace(timeline=state.timeline + 1, log=state.log[:n]))
            for n in range(len(state.log))
        ]

    def _list_host_steps(self, state: State, index: int) -> list[tuple[str, State]]:
        host = state.hosts[index]
        response = self._create_response(state, index)
        steps = [("read", self._deliver(state, response))]
        if state.message is None:
            steps.append(("ask", state._replace(message=response)))
            if host.head >= 0:
                gossip = self._create_gossip(host, 1 - index)
                steps.append(("tell", state._replace(message=gossip)))
        if state.restarts < self._restarts and host != Host():
            steps.append(("restart", self._restart(state, index)))
        return steps

    @staticmethod
    def _restart(state: State, index: int) -> State:
        hosts = list(state.hosts)
        hosts[index] = Host()
        message = state.message
        if message is not None and message.is_answer and message.receiver == index:
            message = None
        return state._replace(
            hosts=(hosts[0], hosts[1]), message=message, restarts=state.restarts + 1
        )

    def _create_response(self, state: State, index: int) -> Message:
        host = state.hosts[index]
        size = len(state.log)
        start = host.head
        records = _list_newest(state.log)
        if 0 <= start <= size:
            records = tuple(enumerate(state.log))[start:]
        elif start > size:
            # The store responds that it does not have the offset.
            start = -1
        return Message(
            index, True, host.timeline, state.timeline, start, size, records, NO_VERSION
        )

    @staticmethod
    def _create_gossip(host: Host, receiver: int) -> Message:
        records = ((host.listed_at, host.listed),) if host.listed else ()
        return Message(
            receiver, False, -1, host.timeline, -1, host.head, records, host.held
        )

    def _deliver(self, state: State, message: Message) -> State:
        before = state.hosts[message.receiver]
        view = _create_view(before)
        self._apply_message(view, message)
        after = self._bring_into_force(before, view)
        hosts = list(state.hosts)
        hosts[message.receiver] = after
        known = max(after.listed, after.held)
        delivered = state.message if message is not state.message else None
        return state._replace(
            hosts=(hosts[0], hosts[1]),
            message=delivered,
            went_down=state.went_down or after.in_force < before.in_force,
            forgot=state.forgot or known < after.in_force,
        )

    def _apply_message(self, view: KeyedView, message: Message) -> None:
        """Apply a store response or gossip message as a host does."""
        mutant = self._mutant
        if mutant is not RestorationMutant.NO_TIMELINE:
            is_outdated = message.timeline < view.timeline
            is_accepted = mutant is RestorationMutant.OLD_NEWS and not message.is_answer
            if is_outdated and not is_accepted:
                return
            self._enter_timeline(view, message.timeline)
        timeline_changed = message.is_answer and message.began != view.timeline
        if (
            timeline_changed
            and message.start >= 0
            and mutant is not RestorationMutant.OLD_ANSWER
        ):
            return
        if not message.is_answer and message.end < view.head:
            return
        if message.held:
            view.add_older_records([Record(KEY, b"%d" % message.held, 0)])
        records = [Record(KEY, b"%d" % v, at) for at, v in message.records]
        page = RecordPage(records, message.end, message.end)
        if message.start < 0:
            view.replace(page)
        else:
            view.apply(page)

    def _enter_timeline(self, view: KeyedView, timeline: int) -> None:
        held = dict(view.older_records)
        listed = dict(view.records)
        entered = view.enter_timeline(timeline)
        if entered and self._mutant is RestorationMutant.NO_HOLD:
            view.older_records = {}
        if entered and self._mutant is RestorationMutant.COPY_FIRST:
            view.older_records = {**held, **listed}

    def _bring_into_force(self, before: Host, view: KeyedView) -> Host:
        listed = _read_version(view.records)
        held = _read_version(view.older_records)
        if listed >= held:
            held = NO_VERSION
        in_force = max(before.in_force, listed, held)
        if self._mutant is RestorationMutant.ANY_VERSION:
            in_force = listed or in_force
        record = view.records.get(KEY)
        at = record.offset if record is not None else 0
        return Host(view.timeline, view.head, listed, at, held, in_force)


def _lists_last_version(values: dict) -> bool:
    """Return whether every host that has read the whole log lists the last version."""
    log = values["log"]
    newest = log[-1] if log else NO_VERSION
    return all(
        host.listed == newest
        for host in values["hosts"]
        if host.timeline == values["timeline"] and host.head == len(log)
    )


def create_restoration_protocol(
    mutant: RestorationMutant = RestorationMutant.NONE,
    timelines: int = 2,
    restarts: int = 1,
) -> Protocol:
    """Return the protocol, or a mutant that violates an invariant.

    The store starts in timeline 1, and each restoration begins the next one, up to
    timeline `timelines`. `restarts` limits the total restarts of both hosts.
    """
    system = RestorationTransitions(mutant, timelines, restarts)
    initial = State(1, (), NO_VERSION, (Host(), Host()), None, 0, False, False)
    return Protocol(
        name=f"restoration: {mutant.value}",
        candidate=False,
        fields=State._fields,
        initial=tuple(initial),
        transitions=system.list_steps,
        invariants={
            "never_reverts": lambda s: not s["went_down"],
            "never_forgets": lambda s: not s["forgot"],
            "misses_nothing": _lists_last_version,
        },
    )
