"""Model of a host that stops while callers use its connections.

Callers send requests, whole or in parts, at any moment before the connections close.
Servers run and answer what they are sent at any later time, or fail. The process may be
paused while it drains. The end of the drain and the decision what may be sent to a
server are the production code of a host.

A server may fall silent once within a request and go on. The host may then send a
stream to another server as well: the first of the two to send the next event goes on,
and the other one is closed. The other server may take any time, as it may fall silent
too; while the host drains, its production code decides whether to try it. Events and
closes arrive at once.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple

from minicheck import Protocol

from cornelnotch.gateway.drain import Drain
from cornelnotch.gateway.models import Route, WorkKind
from cornelnotch.kernel.clock import ManualClock

__all__ = ["Call", "StopMutant", "create_stop_protocol"]

STEP_MS = 500.0
GRACE_STEPS = 8
# Steps until all requests must have ended.
END_STEPS = 7
# Steps for which callers use an address that the directory no longer lists.
CACHED_STEPS = 3
# Steps for which closed connections wait for their callers to read.
CLOSE_STEPS = 1
# Factor on the bound of a late request that it is assured of.
LATE_FACTOR = 1.25
MAX_AGE = GRACE_STEPS + 2
# Servers that ran a request to its end; more are not counted.
MAX_ENDS = 2
NOT_STARTED = -1


class StopMutant(StrEnum):
    """Protocol variant: unmodified (`NONE`) or with the described fault."""

    NONE = "none"
    REFUSE_SOON = "every request is refused once the drain has started"
    NO_ESTIMATE = "requests are sent until the end"
    NO_FACTOR = "estimates of late requests count without their factor"
    LATE_AS_USUAL = "late requests are decided on like those in the first steps"
    LATE_BY_NOW = "requests that wait become late"
    LONGEST_SEEN = "past durations count as a bound of late requests"
    ONE_DECISION = "the decision on arrival is not repeated before sending"
    NO_LIMIT = "no request is ended at the end of the drain"
    OLD_LIMIT = "the limit of requests from before the drain is not lowered"
    REFUSE_ALL = "requests that may have run are refused at the end"
    NO_CLOSE = "requests are sent after the connections have closed"
    NO_WAIT = "the process ends without waiting for current requests"
    NO_FLUSH = "the process ends without waiting for callers to read"
    NO_MARGIN = "the drain lasts for the whole grace period"
    PAUSED_CLOCK = "the clock of the drain stops during a pause"
    NO_ALLOWANCE = "late requests are sent without time for a silence"
    MOVE_SOON = "a stream is moved whenever its server is silent"
    MOVE_SILENT = "a silent server is closed before another one has begun"
    KEEP_BOTH = "the slower of two servers is not closed"
    FORGET_BACKUP = "a request that its first server declines counts as not sent"


class Stage(StrEnum):
    """State of a request at the host."""

    UNSENT = "unsent"
    KERNEL = "bytes in the kernel"
    HEAD = "head half read"
    BODY = "body half read"
    WAITING = "waiting for admission or a retry"
    SENT = "sent to a server"
    STREAM = "response begun"
    WRITTEN = "response written"
    DELIVERED = "response read by the caller"
    RESET = "stream reset"
    UNREAD = "connection closed before the request was read"
    CUT = "connection closed without an answer"


class Backup(StrEnum):
    """State of the other server to which a stream of a silent one is sent."""

    NONE = "none"
    SENT = "sent"
    RUNNING = "running"


class Answer(StrEnum):
    """Final response to a request."""

    NONE = "none"
    RESULT = "result"
    REFUSAL = "refusal"
    UNKNOWN = "unknown"


class Phase(StrEnum):
    """State of the host."""

    SERVING = "serving"
    DRAINING = "draining"
    CLOSED = "closed"
    STOPPED = "stopped"


HANDLED = frozenset({Stage.BODY, Stage.WAITING, Stage.SENT, Stage.STREAM})
READ = HANDLED | {Stage.HEAD}
FINAL = frozenset({Stage.DELIVERED, Stage.RESET, Stage.UNREAD, Stage.CUT})


@dataclass(frozen=True, slots=True)
class Call:
    """Kind of a request; it ends within `limit` steps of its last dispatch.

    `usual` is the duration of similar requests in steps, None if unknown. A request
    may take longer than all before it: only `bound` holds, None if there is none. A
    server may fall silent for `silence` steps.
    """

    kind: WorkKind
    usual: float | None
    bound: float | None
    limit: int = 2 * GRACE_STEPS
    silence: int = 0

    def create_route(self) -> Route:
        """Return a route for requests of this kind."""
        timeout_ms = self.limit * STEP_MS
        return Route("r", "h", "/", self.kind, timeout_ms, 0.0, 1, 0, ())

    def estimate_ms(self, share: float) -> float | None:
        """Return the time in ms that a share of requests does not exceed."""
        return None if self.usual is None else self.usual * STEP_MS

    def find_bound_ms(self) -> float | None:
        """Return the most time that a request takes, in ms."""
        return None if self.bound is None else self.bound * STEP_MS

    def get_needed_steps(self, came_late: bool, time: int) -> float:
        """Return the time left with which a request must be served at `time`."""
        silence = self.silence if came_late else 0
        return min(self.get_assured_steps(came_late, time) + silence, self.limit)

    def get_assured_steps(self, came_late: bool, time: int) -> float:
        """Return the duration that a server may take if it gets a request at `time`.

        The time for which it falls silent is not counted.
        """
        if came_late:
            steps = self.limit if self.bound is None else self.bound * LATE_FACTOR
        elif self.usual is not None:
            steps = self.usual
        else:
            steps = self.limit if time >= CACHED_STEPS else 0.0
        return min(steps, self.limit)


class Request(NamedTuple):
    """State of a request.

    `age` counts the steps since it was sent to a server, or since its response was
    written. It must not be cut off before it is `assured` steps old. A server may run
    it while it is `in_flight`. `ran` and `may_have_run` are the truth and what the host
    knows. It `came_late` if the host received it when callers were expected no more.

    The server is `silent` for so many further steps. `backup` is the other server of
    its stream, `has_stray` whether a server was left running, and `ends` the number of
    servers that ran it to its end. A server that fell silent in time ends it at `due`,
    unless the request `is_moved`.
    """

    stage: Stage = Stage.UNSENT
    answer: Answer = Answer.NONE
    age: int = 0
    assured: float = 0.0
    in_flight: bool = False
    ran: bool = False
    may_have_run: bool = False
    is_old: bool = False
    came_late: bool = False
    is_accepted: bool = False
    is_late: bool = False
    silent: int = 0
    was_silent: bool = False
    backup: Backup = Backup.NONE
    has_stray: bool = False
    ends: int = 0
    due: float = 0.0
    is_moved: bool = False


class State(NamedTuple):
    """State of the system; `time` and `closed` are steps since the signal."""

    phase: Phase
    time: int
    paused: int
    closed: int
    requests: tuple[Request, ...]
    sent_late: bool
    cut_early: bool
    refused_early: bool
    cut_moved: bool


class Moment(NamedTuple):
    """Values of a state on which the drain of the host depends."""

    time: int
    paused: int
    closed: int


class StopTransitions:
    """Transition system of the protocol or of one of its mutants."""

    def __init__(
        self, mutant: StopMutant, calls: tuple[Call, ...], max_pause: int
    ) -> None:
        self._mutant = mutant
        self._calls = calls
        self._routes = [call.create_route() for call in calls]
        self._max_pause = max_pause
        self._ended: dict[Moment, bool] = {}

    def list_steps(self, values: tuple) -> list[tuple[str, tuple]]:
        """Return all transitions that are enabled in a state."""
        state = State(*values)
        steps = [*self._iterate_host_steps(state)]
        for index, request in enumerate(state.requests):
            steps += self._iterate_caller_steps(state, index, request)
            steps += self._iterate_server_steps(state, index, request)
            steps += self._iterate_silence_steps(state, index, request)
            steps += self._iterate_backup_steps(state, index, request)
            if state.phase is not Phase.STOPPED:
                steps += self._iterate_request_steps(state, index, request)
        return [(name, tuple(after)) for name, after in steps]

    def _create_drain(self, state: State) -> Drain:
        clock = ManualClock()
        drain = Drain(clock)
        if state.time == NOT_STARTED:
            return drain
        cached_ms = CACHED_STEPS * STEP_MS
        if self._mutant is StopMutant.LATE_AS_USUAL:
            cached_ms = GRACE_STEPS * STEP_MS
        drain.start(GRACE_STEPS * STEP_MS, cached_ms)
        if self._mutant is StopMutant.NO_MARGIN:
            drain.end_ms = GRACE_STEPS * STEP_MS
        time = state.time
        if self._mutant is StopMutant.PAUSED_CLOCK:
            time -= state.paused
        if state.closed != NOT_STARTED and self._mutant is not StopMutant.NO_CLOSE:
            clock.advance(state.closed * STEP_MS)
            drain.close()
            clock.advance((time - state.closed) * STEP_MS)
        else:
            clock.advance(time * STEP_MS)
        return drain

    def _has_ended(self, state: State) -> bool:
        moment = Moment(state.time, state.paused, state.closed)
        ended = self._ended.get(moment)
        if ended is None:
            ended = self._create_drain(state).measure_left_ms() <= 0.0
            self._ended[moment] = ended
        return ended

    def _iterate_host_steps(self, state: State) -> Iterator[tuple[str, State]]:
        if state.phase is Phase.SERVING:
            requests = tuple(
                r._replace(is_old=r.stage in READ and self._tracks_age())
                for r in state.requests
            )
            started = state._replace(phase=Phase.DRAINING, time=0, requests=requests)
            yield "signal", started
        if state.phase is Phase.DRAINING and self._may_close(state):
            yield "close", state._replace(phase=Phase.CLOSED, closed=state.time)
        if state.phase is Phase.CLOSED and self._may_exit(state):
            yield "exit", self._exit(state)
        is_stopping = state.phase in {Phase.DRAINING, Phase.CLOSED}
        if is_stopping and not self._must_act(state):
            yield "advance", self._advance(state, 1)
        if state.phase is Phase.DRAINING:
            for steps in range(1, self._max_pause - state.paused + 1):
                if state.time + steps <= END_STEPS:
                    paused = state._replace(paused=state.paused + steps)
                    yield f"pause-{steps}", self._advance(paused, steps)

    def _tracks_age(self) -> bool:
        return self._mutant is StopMutant.OLD_LIMIT

    def _may_close(self, state: State) -> bool:
        is_idle = not any(r.stage in HANDLED for r in state.requests)
        return self._has_ended(state) or (state.time >= CACHED_STEPS and is_idle)

    def _may_exit(self, state: State) -> bool:
        waited = state.time - state.closed >= CLOSE_STEPS
        is_open = any(r.stage in READ for r in state.requests)
        is_unread = any(r.stage is Stage.WRITTEN for r in state.requests)
        if self._mutant is StopMutant.NO_WAIT:
            is_open = False
        if self._mutant is StopMutant.NO_FLUSH:
            is_unread = False
        return waited or not (is_open or is_unread)

    def _must_act(self, state: State) -> bool:
        """Return whether the host acts before time goes on."""
        if state.phase is Phase.CLOSED and self._may_exit(state):
            return True
        if state.phase is Phase.DRAINING and self._has_ended(state):
            return True
        steps = (
            name
            for index, request in enumerate(state.requests)
            for name, _ in self._iterate_request_steps(state, index, request)
        )
        return any(name.startswith(("end-", "expire-", "refuse-")) for name in steps)

    @staticmethod
    def _advance(state: State, steps: int) -> State:
        requests = tuple(
            r._replace(age=min(r.age + steps, MAX_AGE), silent=max(r.silent - steps, 0))
            if r.stage in {Stage.SENT, Stage.STREAM, Stage.WRITTEN}
            else r
            for r in state.requests
        )
        if state.phase is Phase.CLOSED:
            requests = tuple(
                r._replace(stage=Stage.UNREAD) if r.stage is Stage.KERNEL else r
                for r in requests
            )
        time = min(state.time + steps, GRACE_STEPS + 2)
        return state._replace(time=time, requests=requests)

    def _exit(self, state: State) -> State:
        requests = []
        for request in state.requests:
            stage = request.stage
            if stage in READ:
                stage = Stage.CUT
            elif stage is Stage.WRITTEN:
                stage = Stage.DELIVERED if request.age >= CLOSE_STEPS else Stage.CUT
            elif stage in {Stage.KERNEL, Stage.UNSENT}:
                stage = Stage.UNREAD
            requests.append(request._replace(stage=stage, age=0))
        return state._replace(phase=Phase.STOPPED, requests=tuple(requests))

    def _iterate_caller_steps(
        self, state: State, index: int, request: Request
    ) -> Iterator[tuple[str, State]]:
        is_open = state.phase in {Phase.SERVING, Phase.DRAINING}
        if request.stage is Stage.UNSENT and is_open:
            yield f"call-{index}", self._move(state, index, Stage.KERNEL)
        if request.stage is Stage.WRITTEN:
            yield f"read-{index}", self._move(state, index, Stage.DELIVERED)
        if request.stage is Stage.HEAD:
            yield f"more-{index}", self._move(state, index, Stage.BODY)
        if request.stage is Stage.BODY:
            yield f"rest-{index}", self._receive(state, index)

    def _iterate_server_steps(
        self, state: State, index: int, request: Request
    ) -> Iterator[tuple[str, State]]:
        if request.in_flight and not request.ran:
            yield f"run-{index}", self._set(state, index, request._replace(ran=True))
        if state.phase is Phase.STOPPED or request.stage not in {
            Stage.SENT,
            Stage.STREAM,
        }:
            return
        if not request.silent:
            yield from self._iterate_event_steps(state, index, request)
        if self._calls[index].kind is not WorkKind.ONCE:
            yield f"fail-{index}", self._set(state, index, self._fail(request))

    def _iterate_event_steps(
        self, state: State, index: int, request: Request
    ) -> Iterator[tuple[str, State]]:
        """Yield what the server sends that is not silent."""
        done = self._close_slower(request)._replace(ran=True)
        if request.stage is Stage.SENT and self._calls[index].kind is WorkKind.STREAM:
            begun = done._replace(stage=Stage.STREAM)
            yield f"begin-{index}", self._set(state, index, begun)
        else:
            ended = done._replace(ends=min(done.ends + 1, MAX_ENDS))
            yield f"respond-{index}", self._answer(state, index, ended, Answer.RESULT)
        if request.stage is Stage.STREAM and request.backup is not Backup.NONE:
            yield f"event-{index}", self._set(state, index, done)
        if request.stage is Stage.SENT and not request.ran:
            yield f"decline-{index}", self._set(state, index, self._decline(request))
        if request.is_moved and self._mutant is StopMutant.MOVE_SILENT:
            declined = request._replace(stage=Stage.WAITING, age=0)
            yield f"moved-decline-{index}", self._set(state, index, declined)

    def _iterate_silence_steps(
        self, state: State, index: int, request: Request
    ) -> Iterator[tuple[str, State]]:
        """Yield silences of the server, and what the host does during one."""
        is_sent = request.stage in {Stage.SENT, Stage.STREAM}
        if state.phase is Phase.STOPPED or not is_sent:
            return
        call = self._calls[index]
        if not request.was_silent:
            for steps in range(1, call.silence + 1):
                silent = self._fall_silent(state, index, request, steps)
                yield f"silence-{steps}-{index}", self._set(state, index, silent)
        can_hedge = call.kind is WorkKind.STREAM and self._may_move(state, index)
        if request.silent and request.backup is Backup.NONE and can_hedge:
            if self._mutant is StopMutant.MOVE_SILENT:
                hedged = self._move_silent(state, index, request)
            else:
                hedged = request._replace(backup=Backup.SENT)
            yield f"hedge-{index}", self._set(state, index, hedged)

    def _iterate_backup_steps(
        self, state: State, index: int, request: Request
    ) -> Iterator[tuple[str, State]]:
        """Yield what the other server of a stream does."""
        if request.has_stray:
            ends = min(request.ends + 1, MAX_ENDS)
            ended = request._replace(has_stray=False, ends=ends)
            yield f"stray-{index}", self._set(state, index, ended)
        if request.backup is Backup.SENT:
            running = request._replace(backup=Backup.RUNNING)
            yield f"backup-run-{index}", self._set(state, index, running)
            declined = request._replace(backup=Backup.NONE)
            yield f"backup-decline-{index}", self._set(state, index, declined)
        if request.backup is not Backup.NONE:
            begun = self._close_slower(request)._replace(
                stage=Stage.STREAM, silent=0, ran=True, is_moved=True
            )
            yield f"backup-begin-{index}", self._set(state, index, begun)
            lost = request._replace(
                backup=Backup.NONE,
                may_have_run=True,
                ran=request.ran or request.backup is Backup.RUNNING,
            )
            yield f"backup-fail-{index}", self._set(state, index, lost)

    def _close_slower(self, request: Request) -> Request:
        """Return a request one of whose servers has sent its next event."""
        if request.backup is Backup.NONE:
            return request
        stray = self._mutant is StopMutant.KEEP_BOTH
        return request._replace(backup=Backup.NONE, has_stray=stray)

    def _fall_silent(
        self, state: State, index: int, request: Request, steps: int
    ) -> Request:
        """Return a request whose server falls silent and goes on after `steps`."""
        silent = request._replace(silent=steps, was_silent=True)
        if request.age >= request.assured:
            return silent
        ends = min(request.assured + steps, self._calls[index].limit)
        return silent._replace(
            assured=ends if request.is_late else request.assured,
            due=state.time - request.age + ends,
        )

    def _move_silent(self, state: State, index: int, request: Request) -> Request:
        """Return a request that another server starts anew."""
        assured = self._calls[index].get_assured_steps(
            state.time >= CACHED_STEPS, state.time
        )
        return request._replace(
            age=0,
            assured=assured if request.due else 0.0,
            may_have_run=True,
            silent=0,
            is_moved=True,
        )

    @staticmethod
    def _use_backup(request: Request) -> Request:
        """Return a request that only the other server has; nothing is assured of it."""
        ran = request.ran or request.backup is Backup.RUNNING
        return request._replace(
            age=0,
            assured=0.0,
            silent=0,
            backup=Backup.NONE,
            ran=ran,
            is_late=False,
            due=0.0,
        )

    def _fail(self, request: Request) -> Request:
        if request.backup is not Backup.NONE:
            return self._use_backup(request)._replace(may_have_run=True)
        return request._replace(
            stage=Stage.WAITING, may_have_run=True, age=0, silent=0, due=0.0
        )

    def _decline(self, request: Request) -> Request:
        waiting = request._replace(stage=Stage.WAITING, age=0)
        if request.backup is Backup.NONE:
            return waiting._replace(in_flight=False)
        if self._mutant is StopMutant.FORGET_BACKUP:
            return waiting._replace(backup=Backup.NONE)
        return self._use_backup(request)

    def _iterate_request_steps(
        self, state: State, index: int, request: Request
    ) -> Iterator[tuple[str, State]]:
        """Yield what the host does with one request."""
        if request.stage is Stage.KERNEL:
            yield f"head-{index}", self._move(state, index, Stage.HEAD)
            yield f"body-{index}", self._move(state, index, Stage.BODY)
            yield f"whole-{index}", self._receive(state, index)
        has_ended = self._has_ended(state)
        if request.stage is Stage.HEAD and state.phase is Phase.CLOSED:
            yield f"refuse-{index}", self._answer(state, index, request, Answer.REFUSAL)
        if request.stage in HANDLED and has_ended and self._is_limited(request):
            yield f"end-{index}", self._end(state, index, request)
        if request.stage is Stage.WAITING:
            if self._may_send(state, index, request):
                yield f"send-{index}", self._send(state, index, request)
            elif not request.may_have_run:
                yield f"refuse-{index}", self._refuse(state, index, request)
        expired = request.age >= self._calls[index].limit
        if request.stage in {Stage.SENT, Stage.STREAM} and expired:
            yield f"expire-{index}", self._give_up(state, index, request)

    def _is_limited(self, request: Request) -> bool:
        if self._mutant is StopMutant.NO_LIMIT:
            return False
        return not request.is_old

    def _receive(self, state: State, index: int) -> State:
        request = state.requests[index]._replace(
            stage=Stage.WAITING, came_late=state.time >= CACHED_STEPS
        )
        state = self._set(state, index, request)
        if self._mutant is StopMutant.ONE_DECISION:
            request = request._replace(is_accepted=self._can_end(state, index))
        return self._set(state, index, request)

    def _may_move(self, state: State, index: int) -> bool:
        """Return whether a stream may leave its silent server, a sound one."""
        if self._mutant in {StopMutant.MOVE_SILENT, StopMutant.MOVE_SOON}:
            return not self._has_ended(state)
        drain = self._create_drain(state)
        if not drain.has_started:
            return True
        call = self._calls[index]
        silence_ms = call.silence * STEP_MS
        return drain.may_move(
            self._routes[index],
            call.estimate_ms,
            call.limit * STEP_MS,
            silence_ms,
            silence_ms,
        )

    def _can_end(self, state: State, index: int) -> bool:
        drain = self._create_drain(state)
        if not drain.has_started:
            return True
        call = self._calls[index]
        bound: Callable[[], float | None] = call.find_bound_ms
        if self._mutant is StopMutant.NO_FACTOR:
            bound = self._find_bound_without_factor(call)
        if self._mutant is StopMutant.LONGEST_SEEN:
            bound = self._find_longest_seen(call)
        silence_ms = call.silence * STEP_MS
        if self._mutant is StopMutant.NO_ALLOWANCE:
            silence_ms = 0.0
        limit_ms = call.limit * STEP_MS
        received_ms = None if state.requests[index].came_late else -STEP_MS
        if self._mutant is StopMutant.LATE_BY_NOW:
            received_ms = None
        return drain.can_end(
            self._routes[index],
            call.estimate_ms,
            bound,
            limit_ms,
            silence_ms,
            received_ms,
        )

    @staticmethod
    def _find_bound_without_factor(call: Call) -> Callable[[], float | None]:
        def find_bound_ms() -> float | None:
            bound_ms = call.find_bound_ms()
            return None if bound_ms is None else bound_ms / LATE_FACTOR

        return find_bound_ms

    @staticmethod
    def _find_longest_seen(call: Call) -> Callable[[], float | None]:
        return lambda: call.estimate_ms(1.0)

    def _may_send(self, state: State, index: int, request: Request) -> bool:
        has_ended = self._has_ended(state)
        if request.may_have_run:
            return not has_ended
        if self._mutant is StopMutant.REFUSE_SOON:
            return state.phase is Phase.SERVING
        if self._mutant is StopMutant.NO_ESTIMATE:
            return not has_ended
        if self._mutant is StopMutant.ONE_DECISION and request.is_accepted:
            return not has_ended
        return self._can_end(state, index)

    def _refuse(self, state: State, index: int, request: Request) -> State:
        needed = self._calls[index].get_needed_steps(request.came_late, state.time)
        could_end = END_STEPS - state.time >= needed
        early = state.phase is Phase.DRAINING and could_end
        state = state._replace(refused_early=state.refused_early or early)
        return self._answer(state, index, request, Answer.REFUSAL)

    def _send(self, state: State, index: int, request: Request) -> State:
        assured = 0.0
        if state.phase is not Phase.SERVING and not request.may_have_run:
            assured = self._calls[index].get_assured_steps(
                request.came_late, state.time
            )
        sent = request._replace(
            stage=Stage.SENT,
            age=0,
            assured=assured,
            in_flight=True,
            is_late=assured > 0.0 and request.came_late,
            was_silent=False,
            is_moved=False,
            due=0.0,
        )
        is_closed = state.phase in {Phase.CLOSED, Phase.STOPPED}
        state = state._replace(sent_late=state.sent_late or is_closed)
        return self._set(state, index, sent)

    def _end(self, state: State, index: int, request: Request) -> State:
        """Return the state after the end of the drain has ended a request."""
        is_sent = request.stage in {Stage.SENT, Stage.STREAM}
        early = is_sent and request.age < request.assured
        has_timed_out = request.age >= self._calls[index].limit
        is_running = early or (is_sent and not has_timed_out)
        is_at_work = is_running or request.stage is Stage.WAITING
        in_time = 0.0 < request.due <= state.time
        moved = request.is_moved and is_at_work and in_time
        state = state._replace(
            cut_early=state.cut_early or early, cut_moved=state.cut_moved or moved
        )
        return self._give_up(state, index, request)

    def _give_up(self, state: State, index: int, request: Request) -> State:
        if request.stage is Stage.STREAM:
            return self._move(state, index, Stage.RESET)
        may_have_run = request.may_have_run or request.stage is Stage.SENT
        if may_have_run and self._mutant is not StopMutant.REFUSE_ALL:
            return self._answer(state, index, request, Answer.UNKNOWN)
        return self._answer(state, index, request, Answer.REFUSAL)

    def _answer(
        self, state: State, index: int, request: Request, answer: Answer
    ) -> State:
        written = request._replace(stage=Stage.WRITTEN, answer=answer, age=0)
        return self._set(state, index, written)

    def _move(self, state: State, index: int, stage: Stage) -> State:
        return self._set(state, index, state.requests[index]._replace(stage=stage))

    @staticmethod
    def _set(state: State, index: int, request: Request) -> State:
        if request.stage in FINAL | {Stage.WRITTEN}:
            request = request._replace(
                assured=0.0,
                may_have_run=False,
                is_old=False,
                came_late=False,
                is_accepted=False,
                is_late=False,
                silent=0,
                was_silent=False,
                backup=Backup.NONE,
                due=0.0,
                is_moved=False,
            )
        if request.stage in FINAL:
            request = request._replace(age=0)
        requests = list(state.requests)
        requests[index] = request
        return state._replace(requests=tuple(requests))


def _is_refusal_true(values: dict) -> bool:
    return not any(r.answer is Answer.REFUSAL and r.ran for r in values["requests"])


def create_stop_protocol(
    mutant: StopMutant = StopMutant.NONE,
    calls: tuple[Call, ...] = (Call(WorkKind.ONCE, 1.0, 2.0),),
    max_pause: int = 0,
) -> Protocol:
    """Return the protocol, or a mutant that violates an invariant.

    Each caller sends one request. The process is paused for `max_pause` steps in total.
    """
    system = StopTransitions(mutant, calls, max_pause)
    initial = State(
        phase=Phase.SERVING,
        time=NOT_STARTED,
        paused=0,
        closed=NOT_STARTED,
        requests=(Request(),) * len(calls),
        sent_late=False,
        cut_early=False,
        refused_early=False,
        cut_moved=False,
    )
    return Protocol(
        name=f"stops: {mutant.value}",
        candidate=False,
        fields=State._fields,
        initial=tuple(initial),
        transitions=system.list_steps,
        invariants={
            "nothing_sent_after_close": lambda s: not s["sent_late"],
            "served_if_it_can_end": lambda s: not s["refused_early"],
            "not_cut_within_estimate": lambda s: not s["cut_early"],
            "not_cut_by_a_move": lambda s: not s["cut_moved"],
            "ends_at_one_server": lambda s: all(r.ends <= 1 for r in s["requests"]),
            "read_is_answered": lambda s: all(
                r.stage is not Stage.CUT for r in s["requests"]
            ),
            "refusal_is_true": _is_refusal_true,
            "ends_within_grace": lambda s: (
                s["phase"] is Phase.STOPPED or s["time"] <= GRACE_STEPS
            ),
        },
    )
