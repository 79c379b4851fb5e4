"""Request admission to a server, and proceed if its controller does not answer.

The controller of a server is the host that is selected by hash of the server's name. A
request does not proceed without an answer if the server has a rate limit.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from cornelnotch.gateway.limit_control import is_grant_current
from cornelnotch.gateway.models import CallerRequest, PromptPart
from cornelnotch.gateway.placement import GrantedPrompt
from cornelnotch.gateway.rate_limits import RateLimit
from cornelnotch.gateway.retry_after import is_infeasible
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.kernel.clock import Clock
from cornelnotch.kernel.hashing import select_owner
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    AdmissionEnd,
    AdmissionGrant,
    AdmissionQueued,
    AdmissionRequest,
    AdmissionStage,
)

__all__ = ["SENT_RESULTS", "AdmissionClient", "AdmissionResult"]

# Period at which waiting requests are sent again; answers carry a wait estimate.
ASK_PERIOD_MS = 200.0
# Running requests are reported again so that a new controller learns of them.
REPORT_PERIOD_MS = 1500.0
# A controller answers within one round trip between regions; after this time it counts
# as unresponsive.
ANSWER_TIMEOUT_MS = 400.0
# How long requests do not wait for an unresponsive controller.
UNRESPONSIVE_MS = 2000.0


class AdmissionResult(StrEnum):
    """Outcome of a wait for admission.

    UNANSWERED means that the controller did not answer and the request proceeds
    without a grant, DIRECT that the engine has room enough for it to do without one.
    ENGINE_LOST means that the engine must no longer be used, BETTER_ENGINE that another
    one is likely to serve the request sooner, INFEASIBLE that the caller would leave
    before the request is admitted. RATE_LIMITED means that the controller did not
    answer and the server has a rate limit, which no host may use up by itself.
    HOST_LEAVING means that this host stops before the request could end.
    """

    GRANTED = "granted"
    UNANSWERED = "alone"
    DIRECT = "direct"
    ENGINE_LOST = "lost"
    BETTER_ENGINE = "better"
    INFEASIBLE = "hopeless"
    RATE_LIMITED = "limited"
    HOST_LEAVING = "leaving"


# Results after which the prompt is sent.
SENT_RESULTS = frozenset(
    {AdmissionResult.GRANTED, AdmissionResult.UNANSWERED, AdmissionResult.DIRECT}
)


@dataclass(frozen=True, slots=True)
class AdmissionKey:
    """One request at one server; a stream may wait for a second server meanwhile."""

    request_id: str
    server: str


@dataclass(slots=True)
class AdmissionState:
    """Admission state of one request at one engine; times in ms."""

    request_id: str
    shared: list[PromptPart]
    own_tokens: int
    expected_tokens: int
    controller: str
    view: ServerView
    in_flight: InFlightRequest
    arrived_ms: float = 0.0
    wait_limit_ms: float = float("inf")
    gap_ms: float = 0.0
    target_ms: float = 0.0
    has_better_server: Callable[[], bool] = lambda: False
    can_end: Callable[[], bool] = lambda: True
    answered_ms: float = 0.0
    sent_ms: float = 0.0
    prefilled: bool = False
    granted: bool = False
    granted_waited_ms: float = 0.0
    decision: AdmissionResult | None = None
    decided: asyncio.Event = field(default_factory=asyncio.Event)


class AdmissionClient:
    """Requests of this host that wait for admission to engines or run there."""

    def __init__(
        self,
        peers: PeerNetwork,
        clock: Clock,
        list_hosts: Callable[[ServerView], list[str]],
        is_listed: Callable[[ServerView], bool],
        find_limit: Callable[[ServerView], RateLimit | None] = lambda view: None,
        generator: random.Random | None = None,
        list_brittle: Callable[[], list[ServerView]] = list,
        may_send_directly: Callable[
            [ServerView, InFlightRequest, float], bool
        ] = lambda view, in_flight, target_ms: False,
        record_grant: Callable[[ServerView, GrantedPrompt, float], None] = (
            lambda view, prompt, now: None
        ),
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._list_hosts = list_hosts
        self._is_listed = is_listed
        self._find_limit = find_limit
        self._list_brittle = list_brittle
        self._may_send_directly = may_send_directly
        self._record_grant = record_grant
        self._generator = generator or random.Random(peers.name)
        self._states: dict[AdmissionKey, AdmissionState] = {}
        self._controllers: dict[str, str] = {}
        self._silent_since_ms: dict[str, float] = {}
        peers.subscribe(AdmissionGrant, self._receive_grant)
        peers.subscribe(AdmissionQueued, self._receive_wait)

    def reset_controllers(self) -> None:
        """Clear the cached controllers after a change of the set of hosts."""
        self._controllers.clear()
        self._silent_since_ms = {
            k: t for k, t in self._silent_since_ms.items() if self._is_unresponsive(k)
        }

    async def wait_for_admission(
        self,
        request: CallerRequest,
        view: ServerView,
        in_flight: InFlightRequest,
        arrived_ms: float,
        wait_limit_ms: float,
        gap_ms: float = 0.0,
        target_ms: float = 0.0,
        has_better_server: Callable[[], bool] = lambda: False,
        can_end: Callable[[], bool] = lambda: True,
    ) -> AdmissionResult:
        """Wait until the request may be sent; always call `report_end` afterwards.

        The caller has waited since `arrived_ms`, possibly for another engine, and
        leaves after `wait_limit_ms`. It accepts inter-token gaps of up to `gap_ms` and
        expects the first token within `target_ms`. During the wait, `has_better_server`
        is polled for whether another engine is clearly better, and `can_end` for
        whether the request can still end before this host stops.
        """
        state = self._open_state(request, view, in_flight)
        state.has_better_server = has_better_server
        state.can_end = can_end
        state.gap_ms = gap_ms
        state.target_ms = target_ms
        state.arrived_ms = arrived_ms
        state.wait_limit_ms = wait_limit_ms
        if self._is_unresponsive(state.controller):
            result = self._proceed_unanswered(state)
            self._note_result(state, result)
            return result
        if self._may_proceed_directly(state):
            self._note_result(state, AdmissionResult.DIRECT)
            return self._proceed(state, AdmissionResult.DIRECT)
        self._send_ask(state, "waiting")
        while True:
            try:
                async with asyncio.timeout(ASK_PERIOD_MS / 1000.0):
                    await state.decided.wait()
                concluded = self._conclude(state)
            except TimeoutError:
                concluded = self._recheck(state)
            if concluded is not None:
                self._note_result(state, concluded)
                return concluded

    def _note_result(self, state: AdmissionState, result: AdmissionResult) -> None:
        """Record a prompt that is sent now."""
        if result not in SENT_RESULTS:
            return
        prompt = GrantedPrompt(
            state.shared,
            state.own_tokens,
            state.expected_tokens,
            state.in_flight.prefill_tokens,
        )
        self._record_grant(state.view, prompt, self._clock.read())

    def _conclude(self, state: AdmissionState) -> AdmissionResult | None:
        """Return the outcome that an answer decided, or None to ask again."""
        state.decided.clear()
        if not self._is_listed(state.view):
            return AdmissionResult.ENGINE_LOST
        if not state.granted:
            return state.decision
        if self._find_limit(state.view) is None or self._is_current(state):
            return AdmissionResult.GRANTED
        state.granted = False
        self._send_end(state)
        self._send_ask(state, "waiting")
        return None

    def _is_current(self, state: AdmissionState) -> bool:
        """Return whether a grant has not expired, by the time of the ask it answers."""
        asked_ms = state.arrived_ms + state.granted_waited_ms
        return is_grant_current(asked_ms, self._clock.read())

    def report_prefilled(self, in_flight: InFlightRequest) -> None:
        """Report that the engine has finished the prefill."""
        state = self._states.get(AdmissionKey(in_flight.request_id, in_flight.server))
        if state is not None:
            state.prefilled = True
            self._send_ask(state, "begun")

    def report_end(self, in_flight: InFlightRequest) -> None:
        """Report that the request has ended or was cancelled."""
        key = AdmissionKey(in_flight.request_id, in_flight.server)
        state = self._states.pop(key, None)
        if state is not None:
            self._send_end(state)

    async def run_reports(self) -> None:
        """Report running requests to their controllers until cancelled."""
        while True:
            await self._clock.sleep(ASK_PERIOD_MS)
            now = self._clock.read()
            self._report_unadmitted()
            for state in list(self._states.values()):
                if state.granted:
                    self._report(state, now)

    def _report_unadmitted(self) -> None:
        """Report the requests that were sent to servers before they were brittle."""
        for view in self._list_brittle():
            for in_flight in list(view.in_flight.values()):
                key = AdmissionKey(in_flight.request_id, view.record.name)
                if in_flight.sent and key not in self._states:
                    state = self._add_state(key, view, in_flight)
                    state.granted = True
                    state.prefilled = in_flight.first_ms > 0
                    self._send_ask(state, "begun" if state.prefilled else "sent")

    def _report(self, state: AdmissionState, now: float) -> None:
        if self._update_controller(state) or now - state.sent_ms >= REPORT_PERIOD_MS:
            self._send_ask(state, "begun" if state.prefilled else "sent")

    def _open_state(
        self,
        request: CallerRequest,
        view: ServerView,
        in_flight: InFlightRequest,
    ) -> AdmissionState:
        key = AdmissionKey(request.request_id, view.record.name)
        state = self._add_state(key, view, in_flight)
        state.shared = list(request.prompt[:-1])
        own = request.prompt_tokens - sum(part.tokens for part in state.shared)
        state.own_tokens = max(own, 0)
        return state

    def _add_state(
        self, key: AdmissionKey, view: ServerView, in_flight: InFlightRequest
    ) -> AdmissionState:
        now = self._clock.read()
        controller = self.find_controller(view)
        expected = in_flight.prefill_tokens
        state = AdmissionState(
            key.request_id, [], 0, expected, controller, view, in_flight
        )
        state.arrived_ms = state.answered_ms = state.sent_ms = now
        in_flight.server = key.server
        self._states[key] = state
        return state

    def _recheck(self, state: AdmissionState) -> AdmissionResult | None:
        """Return the outcome of the wait, or send the request for admission again."""
        now = self._clock.read()
        if not self._is_listed(state.view) or now < state.view.ejected_until_ms:
            return AdmissionResult.ENGINE_LOST
        if self._update_controller(state):
            state.answered_ms = now
        elif self._is_unresponsive(state.controller):
            return self._proceed_unanswered(state)
        elif now - state.answered_ms >= ANSWER_TIMEOUT_MS:
            self._silent_since_ms[state.controller] = now
            return self._proceed_unanswered(state)
        if not state.can_end():
            return AdmissionResult.HOST_LEAVING
        if state.has_better_server():
            return AdmissionResult.BETTER_ENGINE
        self._send_ask(state, "waiting")
        return None

    def _update_controller(self, state: AdmissionState) -> bool:
        """Switch to the current controller; return whether it has changed."""
        controller = self.find_controller(state.view)
        if controller == state.controller:
            return False
        self._send_end(state)
        state.controller = controller
        return True

    def _send_end(self, state: AdmissionState) -> None:
        progress = state.in_flight.take_progress()
        end = AdmissionEnd(
            state.request_id,
            state.view.record.name,
            progress,
            state.in_flight.rejected,
            state.in_flight.sent and not state.in_flight.ended,
        )
        self._peers.send(state.controller, end)

    def _proceed_unanswered(self, state: AdmissionState) -> AdmissionResult:
        """Proceed without an answer, unless the server has a rate limit."""
        if self._find_limit(state.view) is not None:
            return AdmissionResult.RATE_LIMITED
        return self._proceed(state, AdmissionResult.UNANSWERED)

    def _may_proceed_directly(self, state: AdmissionState) -> bool:
        """Return whether the engine takes the request without a grant."""
        if self._find_limit(state.view) is not None:
            return False
        return self._may_send_directly(state.view, state.in_flight, state.target_ms)

    def _proceed(
        self, state: AdmissionState, result: AdmissionResult
    ) -> AdmissionResult:
        """Tell the controller that the request is sent without a grant."""
        state.granted = True
        self._send_ask(state, "sent")
        return result

    def _send_ask(self, state: AdmissionState, stage: AdmissionStage) -> None:
        now = self._clock.read()
        state.sent_ms = now
        limit = self._find_limit(state.view)
        ask = AdmissionRequest(
            state.request_id,
            state.view.record.name,
            state.in_flight.priority,
            state.shared,
            state.own_tokens,
            round(now - state.arrived_ms, 1),
            stage,
            state.gap_ms,
            state.in_flight.take_progress(),
            state.target_ms,
            limit.create_notice(now) if limit is not None else None,
        )
        self._peers.send(state.controller, ask)

    def _is_unresponsive(self, controller: str) -> bool:
        """Return whether a controller recently failed to answer."""
        now = self._clock.read()
        return (
            now - self._silent_since_ms.get(controller, float("-inf")) < UNRESPONSIVE_MS
        )

    def find_controller(self, view: ServerView) -> str:
        """Return the host that controls admission to a server."""
        name = view.record.name
        controller = self._controllers.get(name)
        if controller is None:
            hosts = self._list_hosts(view)
            controller = select_owner(f"turns {name}", hosts) or self._peers.name
            self._controllers[name] = controller
        return controller

    def _receive_grant(self, sender: str, grant: AdmissionGrant) -> None:
        state = self._note_answer(sender, grant.request_id, grant.server)
        if state is None or not self._is_from_controller(state, sender):
            return
        state.in_flight.prefill_tokens = grant.unread
        state.granted = True
        state.granted_waited_ms = grant.waited_ms
        limit = self._find_limit(state.view)
        if limit is not None:
            state.view.expect_permit(limit.interval_ms, self._clock.read())
        state.decided.set()

    def _receive_wait(self, sender: str, wait: AdmissionQueued) -> None:
        state = self._note_answer(sender, wait.request_id, wait.server)
        if state is None or not self._is_from_controller(state, sender):
            return
        state.in_flight.prefill_tokens = wait.unread
        state.in_flight.wait_ms = wait.wait_ms
        if state.granted:
            return
        limit = self._find_limit(state.view)
        if limit is not None:
            self._spread_next_ask(state, limit, wait.wait_ms)
            if state.has_better_server():
                self._decide(state, AdmissionResult.BETTER_ENGINE)
                return
        left_ms = state.wait_limit_ms - (state.answered_ms - state.arrived_ms)
        if is_infeasible(wait.wait_ms, left_ms):
            self._decide(state, AdmissionResult.INFEASIBLE)

    def _spread_next_ask(
        self, state: AdmissionState, limit: RateLimit, wait_ms: float
    ) -> None:
        """Make hosts that were told of the same wait ask again at different times."""
        hosts = len(self._list_hosts(state.view))
        spread_ms = self._generator.random() * hosts * limit.interval_ms
        state.view.expect_permit(wait_ms + spread_ms, self._clock.read())

    @staticmethod
    def _decide(state: AdmissionState, decision: AdmissionResult) -> None:
        state.decision = decision
        state.decided.set()

    def _is_from_controller(self, state: AdmissionState, sender: str) -> bool:
        """Return whether an answer may count; only one host spends a rate limit."""
        return self._find_limit(state.view) is None or sender == state.controller

    def _note_answer(
        self, sender: str, request_id: str, server: str
    ) -> AdmissionState | None:
        self._silent_since_ms.pop(sender, None)
        state = self._states.get(AdmissionKey(request_id, server))
        if state is None:
            return None
        state.answered_ms = self._clock.read()
        return state
