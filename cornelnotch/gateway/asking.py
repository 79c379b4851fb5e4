"""Ask for a turn at an engine, and go ahead when nobody answers."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from cornelnotch.gateway.models import CallerRequest, PromptPart
from cornelnotch.gateway.returning import is_hopeless
from cornelnotch.gateway.servers import Flight, ServerView
from cornelnotch.kernel.clock import Clock
from cornelnotch.kernel.hashing import select_owner
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    TurnAsk,
    TurnEnd,
    TurnGrant,
    TurnStage,
    TurnWait,
)

__all__ = ["Turn", "TurnClient"]

# Waiting hosts ask again this often; answers also tell how long it may take.
ASK_MS = 200.0
# What runs is told again, so that a keeper that is new learns of it.
TELL_MS = 1500.0
# A keeper answers within a round trip between regions; after this it is silent.
SILENT_MS = 400.0
# After a silence nobody waits for that keeper for so long.
DISTRUST_MS = 2000.0


class Turn(StrEnum):
    """Name how a wait ended.

    ALONE is a grant without an answer. LOST means that the engine is no longer to be
    used, BETTER that another one is likely to serve the request sooner, HOPELESS that
    the caller would leave before its turn.
    """

    GRANTED = "granted"
    ALONE = "alone"
    LOST = "lost"
    BETTER = "better"
    HOPELESS = "hopeless"


@dataclass(slots=True)
class TurnState:
    """Hold what this host has told of one request at one engine; times in ms."""

    request_id: str
    shared: list[PromptPart]
    own_tokens: int
    keeper: str
    view: ServerView
    flight: Flight
    arrived_ms: float = 0.0
    patience_ms: float = float("inf")
    gap_ms: float = 0.0
    target_ms: float = 0.0
    is_better_elsewhere: Callable[[], bool] = lambda: False
    heard_ms: float = 0.0
    told_ms: float = 0.0
    begun: bool = False
    granted: bool = False
    decided: asyncio.Event = field(default_factory=asyncio.Event)


class TurnClient:
    """Own the requests of this host that wait for engines or run there."""

    def __init__(
        self,
        peers: PeerNetwork,
        clock: Clock,
        list_hosts: Callable[[ServerView], list[str]],
        is_listed: Callable[[ServerView], bool],
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._list_hosts = list_hosts
        self._is_listed = is_listed
        self._states: dict[str, TurnState] = {}
        self._keepers: dict[str, str] = {}
        self._silent: dict[str, float] = {}
        peers.subscribe(TurnGrant, self._receive_grant)
        peers.subscribe(TurnWait, self._receive_wait)

    def forget_keepers(self) -> None:
        """Choose keepers anew, as hosts came or went."""
        self._keepers.clear()
        self._silent = {k: t for k, t in self._silent.items() if self._is_silent(k)}

    async def wait(
        self,
        request: CallerRequest,
        view: ServerView,
        flight: Flight,
        arrived_ms: float,
        patience_ms: float,
        gap_ms: float = 0.0,
        target_ms: float = 0.0,
        is_better_elsewhere: Callable[[], bool] = lambda: False,
    ) -> Turn:
        """Wait until the request may be sent; `end` must follow in any case.

        Its caller has waited since `arrived_ms`, maybe for another engine before, and
        leaves after `patience_ms`; it accepts pauses of `gap_ms` and wants its first
        piece within `target_ms`. While it waits, `is_better_elsewhere` is asked whether
        another engine is clearly better by now.
        """
        state = self._open_state(request, view, flight)
        state.is_better_elsewhere = is_better_elsewhere
        state.gap_ms = gap_ms
        state.target_ms = target_ms
        state.arrived_ms = arrived_ms
        state.patience_ms = patience_ms
        if self._is_silent(state.keeper):
            return self._go_alone(state)
        self._ask(state, "waiting")
        while True:
            try:
                async with asyncio.timeout(ASK_MS / 1000.0):
                    await state.decided.wait()
                if not self._is_listed(view):
                    return Turn.LOST
                return Turn.GRANTED if state.granted else Turn.HOPELESS
            except TimeoutError:
                turn = self._look_again(state)
                if turn is not None:
                    return turn

    def begin(self, flight: Flight) -> None:
        """Tell that the engine has read the prompt."""
        state = self._states.get(flight.request_id)
        if state is not None:
            state.begun = True
            self._ask(state, "begun")

    def end(self, flight: Flight) -> None:
        """Tell that the request has ended or was given up."""
        state = self._states.pop(flight.request_id, None)
        if state is not None:
            self._send_end(state)

    async def run(self) -> None:
        """Tell keepers again what runs, until cancelled."""
        while True:
            await self._clock.sleep(ASK_MS)
            now = self._clock.read()
            for state in list(self._states.values()):
                if state.granted:
                    self._tell(state, now)

    def _tell(self, state: TurnState, now: float) -> None:
        if self._change_keeper(state) or now - state.told_ms >= TELL_MS:
            self._ask(state, "begun" if state.begun else "sent")

    def _open_state(
        self,
        request: CallerRequest,
        view: ServerView,
        flight: Flight,
    ) -> TurnState:
        now = self._clock.read()
        shared = list(request.prompt[:-1])
        own = request.prompt_tokens - sum(part.tokens for part in shared)
        keeper = self._find_keeper(view)
        name = request.request_id
        state = TurnState(name, shared, max(own, 0), keeper, view, flight)
        state.heard_ms = state.told_ms = now
        self._states[name] = state
        return state

    def _look_again(self, state: TurnState) -> Turn | None:
        """Return how the wait ended, or ask once more."""
        now = self._clock.read()
        if not self._is_listed(state.view) or now < state.view.ejected_until_ms:
            return Turn.LOST
        if self._change_keeper(state):
            state.heard_ms = now
        elif self._is_silent(state.keeper):
            return self._go_alone(state)
        elif now - state.heard_ms >= SILENT_MS:
            self._silent[state.keeper] = now
            return self._go_alone(state)
        if state.is_better_elsewhere():
            return Turn.BETTER
        self._ask(state, "waiting")
        return None

    def _change_keeper(self, state: TurnState) -> bool:
        """Turn to the keeper of now; tell whether it is another one."""
        keeper = self._find_keeper(state.view)
        if keeper == state.keeper:
            return False
        self._send_end(state)
        state.keeper = keeper
        return True

    def _send_end(self, state: TurnState) -> None:
        progress = state.flight.take_progress()
        end = TurnEnd(state.request_id, state.view.record.name, progress)
        self._peers.send(state.keeper, end)

    def _go_alone(self, state: TurnState) -> Turn:
        """Send without an answer; the keeper learns of it if it is there."""
        state.granted = True
        self._ask(state, "sent")
        return Turn.ALONE

    def _ask(self, state: TurnState, stage: TurnStage) -> None:
        now = self._clock.read()
        state.told_ms = now
        ask = TurnAsk(
            state.request_id,
            state.view.record.name,
            state.flight.priority,
            state.shared,
            state.own_tokens,
            round(now - state.arrived_ms, 1),
            stage,
            state.gap_ms,
            state.flight.take_progress(),
            state.target_ms,
        )
        self._peers.send(state.keeper, ask)

    def _is_silent(self, keeper: str) -> bool:
        """Tell whether a keeper did not answer lately."""
        now = self._clock.read()
        return now - self._silent.get(keeper, float("-inf")) < DISTRUST_MS

    def _find_keeper(self, view: ServerView) -> str:
        """Return the host that keeps the turns at an engine."""
        name = view.record.name
        keeper = self._keepers.get(name)
        if keeper is None:
            hosts = self._list_hosts(view)
            keeper = select_owner(f"turns {name}", hosts) or self._peers.name
            self._keepers[name] = keeper
        return keeper

    def _receive_grant(self, sender: str, grant: TurnGrant) -> None:
        state = self._hear(sender, grant.request_id, grant.server)
        if state is not None:
            state.flight.prefill_tokens = grant.unread
            state.granted = True
            state.decided.set()

    def _receive_wait(self, sender: str, wait: TurnWait) -> None:
        state = self._hear(sender, wait.request_id, wait.server)
        if state is not None:
            state.flight.prefill_tokens = wait.unread
            state.flight.wait_ms = wait.wait_ms
            left_ms = state.patience_ms - (state.heard_ms - state.arrived_ms)
            if is_hopeless(wait.wait_ms, left_ms) and not state.granted:
                state.decided.set()

    def _hear(self, sender: str, request_id: str, server: str) -> TurnState | None:
        self._silent.pop(sender, None)
        state = self._states.get(request_id)
        if state is None or state.view.record.name != server:
            return None
        state.heard_ms = self._clock.read()
        return state
