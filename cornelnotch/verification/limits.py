"""Model of hosts that spend the rate limit of a server one after the other.

The first controller is suspended or wrongly replaced, and may become the controller
again. Hosts and controllers learn of each change within a bounded time, in any order.
Requests and grants are delayed or lost. The start of spending and the expiry of grants
are the production code of a host.
"""

from collections.abc import Iterator
from enum import StrEnum
from typing import NamedTuple

from minicheck import Protocol

from cornelnotch.gateway.limit_control import LimitControl, is_grant_current

__all__ = ["LimitMutant", "create_limit_protocol"]

SERVER = "server"
STEP_MS = 500.0
# Steps within which a change of the controller is known everywhere.
DETECTION_STEPS = 3
# Ages in steps above which nothing depends on them.
MAX_CHANGE_AGE = 5
MAX_CHECK_AGE = 3
MAX_REQUEST_AGE = 2
MAX_USE_AGE = 1
NOT_STARTED = -1
# The time of the current step; ages are counted back from it.
NOW_MS = 100_000.0


class LimitMutant(StrEnum):
    """Protocol variant: unmodified (`NONE`) or with the described fault."""

    NONE = "none"
    NO_TAKEOVER_DELAY = "a new controller grants at once"
    NO_RELEASE = "a replaced controller goes on where it left off"
    NO_EXPIRY = "grants do not expire"


class Controller(NamedTuple):
    """State of a controller; ages and `start` are in steps from now.

    `sees` is the controller that it knows of. `start` is the number of steps until it
    spends the limit.
    """

    sees: int
    changed: int = MAX_CHANGE_AGE
    checked: int = 0
    start: int = NOT_STARTED


class Request(NamedTuple):
    """A host, and its request for a grant or the grant that it gets.

    `asked` is the age of the request in steps, -1 without one.
    """

    sees: int = 0
    receiver: int = 0
    asked: int = -1
    granted: bool = False


class State(NamedTuple):
    """State of the system; `both` is set once two controllers spent the limit at once.

    A grant of `spender` was last used `since_use` steps ago.
    `since_change` counts the steps since the owner of the limit changed, `since_thaw`
    those since the end of the suspension.
    """

    owner: int
    replacements: int
    since_change: int
    since_thaw: int
    frozen: bool
    freezes: int
    controllers: tuple[Controller, Controller]
    requests: tuple[Request, Request]
    spender: int
    since_use: int
    both: bool


def _create_control(controller: Controller) -> LimitControl:
    control = LimitControl(
        NOW_MS - controller.changed * STEP_MS,
        NOW_MS - controller.checked * STEP_MS,
        frozenset({str(controller.sees)}),
    )
    if controller.start != NOT_STARTED:
        control.starts_ms[SERVER] = NOW_MS + controller.start * STEP_MS
    return control


def _count_steps(since_ms: float, limit: int) -> int:
    return min(round((NOW_MS - since_ms) / STEP_MS), limit)


def _read_control(controller: Controller, control: LimitControl) -> Controller:
    start_ms = control.starts_ms.get(SERVER)
    start = NOT_STARTED
    changed = _count_steps(control.changed_ms, MAX_CHANGE_AGE)
    if start_ms is not None:
        start = max(round((start_ms - NOW_MS) / STEP_MS), 0)
        # The time of the change matters only until the start is fixed.
        changed = MAX_CHANGE_AGE
    return controller._replace(
        changed=changed,
        checked=_count_steps(control.checked_ms, MAX_CHECK_AGE),
        start=start,
    )


class LimitTransitions:
    """Transition system of the protocol or of one of its mutants."""

    def __init__(self, mutant: LimitMutant, replacements: int, freezes: int) -> None:
        self._mutant = mutant
        self._freezes = freezes
        self._replacements = replacements

    def list_steps(self, values: tuple) -> list[tuple[str, tuple]]:
        """Return all transitions that are enabled in a state."""
        state = State(*values)
        return [(name, tuple(after)) for name, after in self._iterate_steps(state)]

    def _iterate_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if self._may_advance(state):
            yield "advance", self._advance(state)
        if not state.frozen and state.freezes < self._freezes:
            yield "freeze", state._replace(frozen=True, freezes=state.freezes + 1)
        if state.frozen:
            yield "thaw", state._replace(frozen=False, since_thaw=0)
        if state.replacements < self._replacements and self._all_agree(state):
            yield "replace", self._replace(state)
        for index in range(2):
            yield from self._iterate_controller_steps(state, index)
            yield from self._iterate_request_steps(state, index)

    @staticmethod
    def _all_agree(state: State) -> bool:
        """Return whether every running process knows the controller."""
        views = [
            c.sees for i, c in enumerate(state.controllers) if i or not state.frozen
        ]
        views += [request.sees for request in state.requests]
        return all(view == state.owner for view in views)

    def _may_advance(self, state: State) -> bool:
        """Return whether no running process must learn of a change first."""
        if state.since_change < DETECTION_STEPS:
            return True
        first = state.controllers[0]
        if state.since_thaw < DETECTION_STEPS:
            first = first._replace(sees=state.owner)
        settled = state._replace(controllers=(first, state.controllers[1]))
        return self._all_agree(settled)

    def _advance(self, state: State) -> State:
        controllers = [
            self._advance_controller(state, index, controller)
            for index, controller in enumerate(state.controllers)
        ]
        requests = [
            request._replace(
                asked=min(request.asked + 1, MAX_REQUEST_AGE)
                if request.asked >= 0
                else -1,
            )
            for request in state.requests
        ]
        return state._replace(
            since_change=min(state.since_change + 1, DETECTION_STEPS),
            since_thaw=min(state.since_thaw + 1, DETECTION_STEPS),
            since_use=min(state.since_use + 1, MAX_USE_AGE),
            controllers=(controllers[0], controllers[1]),
            requests=(requests[0], requests[1]),
        )

    def _advance_controller(
        self, state: State, index: int, controller: Controller
    ) -> Controller:
        is_frozen = state.frozen and index == 0
        start = controller.start
        aged = controller._replace(
            changed=min(controller.changed + 1, MAX_CHANGE_AGE),
            checked=min(controller.checked + 1, MAX_CHECK_AGE),
            start=max(start - 1, 0) if start != NOT_STARTED else NOT_STARTED,
        )
        if is_frozen:
            return aged
        return self._note_running(aged)

    @staticmethod
    def _note_running(controller: Controller) -> Controller:
        control = _create_control(controller)
        control.note_running(NOW_MS)
        return _read_control(controller, control)

    @staticmethod
    def _replace(state: State) -> State:
        return state._replace(
            owner=1 - state.owner,
            replacements=state.replacements + 1,
            since_change=0,
        )

    def _iterate_controller_steps(
        self, state: State, index: int
    ) -> Iterator[tuple[str, State]]:
        controller = state.controllers[index]
        if state.frozen and index == 0:
            return
        if controller.sees != state.owner:
            learned = self._learn(controller, index, state.owner)
            yield f"learn-{index}", self._set_controller(state, index, learned)

    def _learn(self, controller: Controller, index: int, owner: int) -> Controller:
        controller = self._note_running(controller)
        control = _create_control(controller)
        is_controller = (
            (lambda server: True)
            if self._mutant is LimitMutant.NO_RELEASE
            else (lambda server: owner == index)
        )
        control.set_hosts(frozenset({str(owner)}), is_controller, NOW_MS)
        after = _read_control(controller, control)
        return after._replace(sees=owner)

    def _iterate_request_steps(
        self, state: State, index: int
    ) -> Iterator[tuple[str, State]]:
        request = state.requests[index]
        if request.sees != state.owner:
            learned = request._replace(sees=state.owner)
            yield f"notice-{index}", self._set_request(state, index, learned)
        if request.granted:
            yield f"use-{index}", self._use(state, index)
            return
        asked = request._replace(receiver=request.sees, asked=0)
        yield f"ask-{index}", self._set_request(state, index, asked)
        if request.asked >= 0 and (request.receiver or not state.frozen):
            granted = self._grant(state, index)
            if granted is not None:
                yield f"grant-{index}", granted

    def _grant(self, state: State, index: int) -> State | None:
        """Return the state after a controller grants a request, None if it must not."""
        request = state.requests[index]
        number = request.receiver
        controller = self._note_running(state.controllers[number])
        if controller.sees != number:
            return None
        control = _create_control(controller)
        start_ms = control.find_start_ms(SERVER, NOW_MS)
        controller = _read_control(controller, control)
        state = self._set_controller(state, number, controller)
        if self._mutant is not LimitMutant.NO_TAKEOVER_DELAY and start_ms > NOW_MS:
            return state
        return self._set_request(state, index, request._replace(granted=True))

    def _use(self, state: State, index: int) -> State:
        """Return the state after a host gets a grant, which it uses if it counts."""
        request = state.requests[index]
        after = Request(request.sees)
        state = self._set_request(state, index, after)
        if request.receiver != request.sees:
            return state
        asked_ms = NOW_MS - request.asked * STEP_MS
        is_current = is_grant_current(asked_ms, NOW_MS)
        if not is_current and self._mutant is not LimitMutant.NO_EXPIRY:
            return state
        is_other = request.receiver != state.spender and not state.since_use
        return state._replace(
            spender=request.receiver, since_use=0, both=state.both or is_other
        )

    @staticmethod
    def _set_controller(state: State, index: int, controller: Controller) -> State:
        controllers = list(state.controllers)
        controllers[index] = controller
        return state._replace(controllers=(controllers[0], controllers[1]))

    @staticmethod
    def _set_request(state: State, index: int, request: Request) -> State:
        requests = list(state.requests)
        requests[index] = request
        return state._replace(requests=(requests[0], requests[1]))


def create_limit_protocol(
    mutant: LimitMutant = LimitMutant.NONE, replacements: int = 2, freezes: int = 0
) -> Protocol:
    """Return the protocol, or a mutant that violates an invariant.

    Controller 0 spends the limit at first and is suspended `freezes` times. The
    controller changes `replacements` times.
    """
    system = LimitTransitions(mutant, replacements, freezes)
    controllers = (Controller(0, start=0), Controller(0))
    initial = State(
        owner=0,
        replacements=0,
        since_change=DETECTION_STEPS,
        since_thaw=DETECTION_STEPS,
        frozen=False,
        freezes=0,
        controllers=controllers,
        requests=(Request(), Request()),
        spender=0,
        since_use=MAX_USE_AGE,
        both=False,
    )
    return Protocol(
        name=f"limits: {mutant.value}",
        candidate=False,
        fields=State._fields,
        initial=tuple(initial),
        transitions=system.list_steps,
        invariants={"one_spender": lambda s: not s["both"]},
    )
