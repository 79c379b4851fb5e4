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
    """Name how a wait ended: GRANTED, ALONE without an answer, LOST or HOPELESS.

    LOST means that the engine is no longer to be used, HOPELESS that the caller
    would leave before its turn.
    """

    GRANTED = "granted"
    ALONE = "alone"
    LOST = "lost"
    HOPELESS = "hopeless"


@dataclass(slots=True)
class Claim:
    """Hold what this host has told of one request at one engine; times in ms."""

    request_id: str
    shared: list[PromptPart]
    own_tokens: int
    keeper: str
    view: ServerView
    flight: Flight
    arrived_ms: float = 0.0
    patience_ms: float = float("inf")
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
        self._claims: dict[str, Claim] = {}
        self._keepers: dict[str, str] = {}
        self._silent: dict[str, float] = {}
        peers.subscribe(TurnGrant, self._receive_grant)
        peers.subscribe(TurnWait, self._receive_wait)

    def forget_keepers(self) -> None:
        """Choose keepers anew, as hosts came or went."""
        self._keepers.clear()

    async def wait(
        self,
        request: CallerRequest,
        view: ServerView,
        flight: Flight,
        arrived_ms: float,
        patience_ms: float,
    ) -> Turn:
        """Wait until the request may be sent; `end` must follow in any case.

        Its caller has waited since `arrived_ms`, maybe for another engine before, and
        leaves after `patience_ms`.
        """
        claim = self._open_claim(request, view, flight)
        claim.arrived_ms = arrived_ms
        claim.patience_ms = patience_ms
        if self._is_silent(claim.keeper):
            return self._go_alone(claim)
        self._ask(claim, "waiting")
        while True:
            try:
                async with asyncio.timeout(ASK_MS / 1000.0):
                    await claim.decided.wait()
                if not self._is_listed(view):
                    return Turn.LOST
                return Turn.GRANTED if claim.granted else Turn.HOPELESS
            except TimeoutError:
                turn = self._look_again(claim)
                if turn is not None:
                    return turn

    def begin(self, flight: Flight) -> None:
        """Tell that the engine has read the prompt."""
        claim = self._claims.get(flight.request_id)
        if claim is not None:
            claim.begun = True
            self._ask(claim, "begun")

    def end(self, flight: Flight) -> None:
        """Tell that the request has ended or was given up."""
        claim = self._claims.pop(flight.request_id, None)
        if claim is not None:
            self._send_end(claim)

    async def run(self) -> None:
        """Tell keepers again what runs, until cancelled."""
        while True:
            await self._clock.sleep(ASK_MS)
            now = self._clock.read()
            for claim in list(self._claims.values()):
                if claim.granted:
                    self._tell(claim, now)

    def _tell(self, claim: Claim, now: float) -> None:
        if self._change_keeper(claim) or now - claim.told_ms >= TELL_MS:
            self._ask(claim, "begun" if claim.begun else "sent")

    def _open_claim(
        self,
        request: CallerRequest,
        view: ServerView,
        flight: Flight,
    ) -> Claim:
        now = self._clock.read()
        shared = list(request.prompt[:-1])
        own = request.prompt_tokens - sum(part.tokens for part in shared)
        keeper = self._find_keeper(view)
        name = request.request_id
        claim = Claim(name, shared, max(own, 0), keeper, view, flight)
        claim.heard_ms = claim.told_ms = now
        self._claims[name] = claim
        return claim

    def _look_again(self, claim: Claim) -> Turn | None:
        """Return how the wait ended, or ask once more."""
        now = self._clock.read()
        if not self._is_listed(claim.view) or now < claim.view.ejected_until_ms:
            return Turn.LOST
        if self._change_keeper(claim):
            claim.heard_ms = now
        elif self._is_silent(claim.keeper):
            return self._go_alone(claim)
        elif now - claim.heard_ms >= SILENT_MS:
            self._silent[claim.keeper] = now
            return self._go_alone(claim)
        self._ask(claim, "waiting")
        return None

    def _change_keeper(self, claim: Claim) -> bool:
        """Turn to the keeper of now; tell whether it is another one."""
        keeper = self._find_keeper(claim.view)
        if keeper == claim.keeper:
            return False
        self._send_end(claim)
        claim.keeper = keeper
        return True

    def _send_end(self, claim: Claim) -> None:
        end = TurnEnd(claim.request_id, claim.view.record.name)
        self._peers.send(claim.keeper, end)

    def _go_alone(self, claim: Claim) -> Turn:
        """Send without an answer; the keeper learns of it if it is there."""
        claim.granted = True
        self._ask(claim, "sent")
        return Turn.ALONE

    def _ask(self, claim: Claim, stage: TurnStage) -> None:
        now = self._clock.read()
        claim.told_ms = now
        ask = TurnAsk(
            claim.request_id,
            claim.view.record.name,
            claim.flight.priority,
            claim.shared,
            claim.own_tokens,
            round(now - claim.arrived_ms, 1),
            stage,
        )
        self._peers.send(claim.keeper, ask)

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
        claim = self._hear(sender, grant.request_id, grant.server)
        if claim is not None:
            claim.flight.prefill_tokens = grant.unread
            claim.granted = True
            claim.decided.set()

    def _receive_wait(self, sender: str, wait: TurnWait) -> None:
        claim = self._hear(sender, wait.request_id, wait.server)
        if claim is not None:
            claim.flight.prefill_tokens = wait.unread
            claim.flight.wait_ms = wait.wait_ms
            left_ms = claim.patience_ms - (claim.heard_ms - claim.arrived_ms)
            if is_hopeless(wait.wait_ms, left_ms) and not claim.granted:
                claim.decided.set()

    def _hear(self, sender: str, request_id: str, server: str) -> Claim | None:
        self._silent.pop(sender, None)
        claim = self._claims.get(request_id)
        if claim is None or claim.view.record.name != server:
            return None
        claim.heard_ms = self._clock.read()
        return claim
