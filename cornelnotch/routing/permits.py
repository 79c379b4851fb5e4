"""Acquire permits from dispatchers and release them."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from cornelnotch.configuration import ShardPlan, find_shards
from cornelnotch.kernel import Clock, rank_owners
from cornelnotch.routing.fleet import FleetView
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import (
    HeldPermit,
    HeldPermits,
    PermitAsk,
    PermitCancel,
    PermitFirstToken,
    PermitGrant,
    PermitPreemption,
    PermitQueued,
    PermitRedirect,
    PermitRefusal,
    PermitRelease,
)

__all__ = ["PermitClient", "PermitReport", "PermitRequest"]

ACK_TIMEOUT_MS = 400.0
REFRESH_MS = 1000.0
HELD_CHECK_MS = 1000.0
FULL_REPORT_PERIODS = 10
OUTDATED_CONFIGURATION_WAIT_MS = 100.0
NO_SERVER_RETRY_MS = 1000.0
SHARD_CHOICES = 2

Reply = PermitGrant | PermitRefusal | PermitRedirect | PermitQueued


@dataclass(slots=True)
class PermitRequest:
    """Request for a permit; times are local ms."""

    request_id: str
    class_name: str
    tier: int
    pool: str
    workspace: str
    affinity: str
    arrived_ms: float
    deadline_ms: float
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class PermitReport:
    """Outcome and durations observed by the holder of a permit."""

    outcome: str
    elapsed_ms: float
    first_token_ms: float = 0.0
    between_tokens_ms: float = 0.0
    tokens: int = 0


@dataclass(slots=True)
class HeldEntry:
    """Permit in use, with its pause listener and the dispatchers that count it."""

    request: PermitRequest
    grant: PermitGrant
    listener: Callable[[bool], None] | None = None
    reported_to: set[str] = field(default_factory=set)


class PermitClient:
    """Client that acquires and holds the permits of one host."""

    def __init__(self, fleet: FleetView, peers: PeerNetwork, clock: Clock) -> None:
        self._fleet = fleet
        self._peers = peers
        self._clock = clock
        self._pending: dict[str, asyncio.Queue[Reply]] = {}
        self._held: dict[str, HeldEntry] = {}
        self._backlogs: dict[str, float] = {}
        self._reported_boots: dict[str, str] = {}
        for kind in (PermitGrant, PermitRefusal, PermitRedirect, PermitQueued):
            peers.subscribe(kind, self._receive)
        peers.subscribe(PermitPreemption, self._receive_pause)
        # A new dispatcher would otherwise grant slots that are in use.
        fleet.subscribe(lambda: self._report_held(False))

    def count_held(self) -> int:
        """Return the number of permits in use."""
        return len(self._held)

    async def acquire(
        self, request: PermitRequest
    ) -> Result[PermitGrant, PermitRefusal]:
        """Return a grant, or the refusal that ends the request."""
        local, remote = find_shards(self._fleet.plans, request.pool, self._fleet.region)
        result: Result[PermitGrant, PermitRefusal] = Failure(
            self._create_no_server_refusal(request)
        )
        for plans in (local, remote):
            if not plans:
                continue
            result = await self._acquire_from(
                self._choose_shard(plans, request), request
            )
            if isinstance(result, Success):
                return result
            if result.failure().reason != "no-server":
                return result
        return result

    def _choose_shard(self, plans: list[ShardPlan], request: PermitRequest) -> str:
        """Return the shard with the shorter backlog of the two the prefix hashes to."""
        names = [plan.name for plan in plans]
        choices = rank_owners(request.affinity or request.request_id, names)[
            :SHARD_CHOICES
        ]
        return min(choices, key=lambda name: self._backlogs.get(name, 0.0))

    async def _acquire_from(
        self, shard: str, request: PermitRequest
    ) -> Result[PermitGrant, PermitRefusal]:
        replies: asyncio.Queue[Reply] = asyncio.Queue()
        self._pending[request.request_id] = replies
        settled = False
        asked: str | None = None
        try:
            timeouts = 0
            moves = 0
            while self._clock.read() < request.deadline_ms:
                target = self._choose_dispatcher(shard, timeouts)
                if target is None:
                    break
                if asked is not None and asked != target:
                    self._peers.send(asked, PermitCancel(request.request_id, shard))
                asked = target
                hops = timeouts + moves
                reply = await self._ask(shard, request, target, hops, replies)
                if isinstance(reply, PermitGrant):
                    settled = True
                    self._held[request.request_id] = HeldEntry(request, reply)
                    return Success(reply)
                if isinstance(reply, PermitRefusal):
                    if reply.reason != "configuration-behind":
                        settled = True
                        return Failure(reply)
                    await self._clock.sleep(OUTDATED_CONFIGURATION_WAIT_MS)
                # PermitRedirect names no successor: this host's own ranking does.
                # Any dispatcher accepts a PermitAsk with hops > 0.
                moves += isinstance(reply, PermitRedirect)
                timeouts += reply is None
            return Failure(self._create_deadline_refusal(shard, request))
        finally:
            del self._pending[request.request_id]
            if not settled and asked is not None:
                self._peers.send(asked, PermitCancel(request.request_id, shard))

    def _choose_dispatcher(self, shard: str, timeouts: int) -> str | None:
        """Return the preferred dispatcher, or a lower-ranked one after timeouts."""
        if shard not in self._fleet.plans:
            return None
        ranking = self._fleet.rank_dispatchers(shard)
        return ranking[timeouts % len(ranking)] if ranking else None

    async def _ask(
        self,
        shard: str,
        request: PermitRequest,
        target: str,
        hops: int,
        replies: asyncio.Queue[Reply],
    ) -> Reply | None:
        """Send one PermitAsk and return the reply.

        Return PermitQueued if the request waits and must be asked for again, and
        None if the dispatcher did not reply.
        """
        now = self._clock.read()
        ask = PermitAsk(
            request.request_id,
            self._fleet.name,
            shard,
            request.class_name,
            request.tier,
            request.workspace,
            request.affinity,
            now - request.arrived_ms,
            request.deadline_ms - now,
            sorted(request.excluded),
            hops,
        )
        self._peers.send(target, ask)
        wait_ms = ACK_TIMEOUT_MS
        queued: PermitQueued | None = None
        while True:
            left_ms = request.deadline_ms - self._clock.read()
            try:
                async with asyncio.timeout(max(min(wait_ms, left_ms), 0.0) / 1000.0):
                    reply = await replies.get()
            except TimeoutError:
                return queued
            if not isinstance(reply, PermitQueued):
                return reply
            # A queued request repeats its PermitAsk after REFRESH_MS, to detect that
            # its dispatcher has failed.
            queued = reply
            wait_ms = REFRESH_MS

    def _receive(self, sender: str, reply: Reply) -> None:
        if isinstance(reply, PermitGrant | PermitRefusal | PermitQueued):
            self._backlogs[reply.shard] = reply.backlog_ms
        replies = self._pending.get(reply.request_id)
        if replies is not None:
            replies.put_nowait(reply)
            return
        if isinstance(reply, PermitGrant):
            self._release_unused(reply)

    def _release_unused(self, grant: PermitGrant) -> None:
        held = self._held.get(grant.request_id)
        if held is not None and held.grant.dispatcher == grant.dispatcher:
            return
        finish = PermitRelease(
            grant.request_id, grant.shard, grant.server, "unused", 0.0, 0.0, 0.0, 0
        )
        self._peers.send(grant.dispatcher, finish)

    def _receive_pause(self, sender: str, pause: PermitPreemption) -> None:
        held = self._held.get(pause.request_id)
        if held is not None and held.listener is not None:
            held.listener(pause.paused)

    def set_pause_listener(
        self, grant: PermitGrant, listener: Callable[[bool], None]
    ) -> None:
        """Call `listener` when the request is paused or resumed in its engine."""
        held = self._held.get(grant.request_id)
        if held is not None:
            held.listener = listener

    def report_first_token(self, grant: PermitGrant, elapsed_ms: float) -> None:
        """Report the time to first token to the dispatcher."""
        message = PermitFirstToken(grant.request_id, grant.shard, elapsed_ms)
        self._peers.send(grant.dispatcher, message)

    def release(self, grant: PermitGrant, report: PermitReport) -> None:
        """Release a permit and report its outcome and durations."""
        held = self._held.pop(grant.request_id, None)
        finish = PermitRelease(
            grant.request_id,
            grant.shard,
            grant.server,
            report.outcome,
            report.elapsed_ms,
            report.first_token_ms,
            report.between_tokens_ms,
            report.tokens,
        )
        receivers = {grant.dispatcher}
        # Without the message, a host that owned the shard in between would count
        # the permit forever.
        receivers |= held.reported_to if held is not None else set()
        current = self._choose_dispatcher(grant.shard, 0)
        if current is not None:
            receivers.add(current)
        for receiver in receivers:
            self._peers.send(receiver, finish)

    async def run_held_reports(self) -> None:
        """Report the permits of this host to dispatchers until cancelled."""
        period = 0
        while True:
            await self._clock.sleep(HELD_CHECK_MS)
            period += 1
            self._report_held(period % FULL_REPORT_PERIODS == 0)

    def _report_held(self, everything: bool) -> None:
        """Report to new dispatchers, and to known ones only if `everything` is true."""
        by_shard: dict[str, list[HeldPermit]] = {}
        for entry in self._held.values():
            permit = HeldPermit(
                entry.request.request_id,
                entry.grant.server,
                entry.request.class_name,
                entry.request.tier,
                entry.request.workspace,
            )
            by_shard.setdefault(entry.grant.shard, []).append(permit)
        # A dispatcher whose permits have all been released gets one empty report.
        for shard in by_shard.keys() | self._reported_boots.keys():
            target = self._choose_dispatcher(shard, 0)
            if target is None:
                continue
            boot = f"{target}/{self._fleet.find_incarnation(target)}"
            if boot == self._reported_boots.get(shard) and not everything:
                continue
            permits = by_shard.get(shard, [])
            for permit in permits:
                self._held[permit.request_id].reported_to.add(target)
            self._peers.send(target, HeldPermits(self._fleet.name, shard, permits))
            if permits:
                self._reported_boots[shard] = boot
            else:
                self._reported_boots.pop(shard, None)

    def _create_no_server_refusal(self, request: PermitRequest) -> PermitRefusal:
        return PermitRefusal(
            request.request_id, request.pool, "no-server", NO_SERVER_RETRY_MS, [], 0.0
        )

    def _create_deadline_refusal(
        self, shard: str, request: PermitRequest
    ) -> PermitRefusal:
        return PermitRefusal(
            request.request_id, shard, "deadline", NO_SERVER_RETRY_MS, [], 0.0
        )
