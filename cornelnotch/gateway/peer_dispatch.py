"""Pass a request on to another host, as this one is cut off from its servers.

The other host handles it like a request of a caller: it places it, counts it against
its budgets and tells truly whether it ran. It passes it on no further.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import h11
import orjson

from cornelnotch.exceptions import (
    UpstreamError,
    UpstreamStalledError,
    UpstreamUnreachableError,
)
from cornelnotch.gateway.dispatch import DispatchOutcome, UpstreamResponse, has_events
from cornelnotch.gateway.forwarding import MAX_BUFFERED_BYTES, forward_body
from cornelnotch.gateway.header_codec import PeerOptions
from cornelnotch.gateway.models import WorkKind
from cornelnotch.gateway.peer_links import choose_peer
from cornelnotch.gateway.response_ends import confirm_end
from cornelnotch.gateway.retry_policy import may_send_again
from cornelnotch.gateway.server_links import PROBE_INTERVAL_MS
from cornelnotch.gateway.timeouts import find_max_gap_s
from cornelnotch.kernel.events import Event
from cornelnotch.membership import Member
from cornelnotch.web import HttpResponse, Reachability

if TYPE_CHECKING:
    from cornelnotch.gateway.flow import RequestFlow

__all__ = ["CUT_OFF", "PeerDispatch"]

CUT_OFF = "cut-off"
# Hosts that one request is passed on to, one after another.
MAX_PEERS = 3
# Statuses with which a host says that it did not run a request.
NOT_RUN_STATUSES = frozenset({401, 404, 408, 421, 429, 503})
# Reasons of refusals for which another host may serve the request.
OWN_REASONS = frozenset(
    {
        CUT_OFF,
        "host-leaving",
        "no-configuration",
        "no-route",
        "no-servers",
        "not-sent",
        "old-configuration",
        "unknown-key",
    }
)
# A host that sends nothing for this many times the gap after which it would itself seek
# another server is unresponsive.
STALL_GAPS = 3.0


def read_reason(body: bytes) -> str:
    """Return the reason in the body of a host's refusal, or an empty string."""
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError:
        return ""
    reason = content.get("error") if isinstance(content, dict) else None
    return reason if isinstance(reason, str) else ""


class PeerDispatch:
    """Dispatches of one request to other hosts."""

    def __init__(self, flow: RequestFlow) -> None:
        self._flow = flow
        self._tried: set[str] = set()

    def is_cut_off(self) -> bool:
        """Return whether this host reaches no server of the request's service."""
        return self._flow.context.links.is_cut_off(self._flow.service)

    def is_possible(self) -> bool:
        """Return whether the request may be passed on to a further host."""
        return bool(self._list_candidates())

    def may_help(self) -> bool:
        """Return whether another host may reach a server where this one did not.

        It would find the same servers overloaded, or at their rate limits.
        """
        flow = self._flow
        was_unsent = flow.last_outcome is DispatchOutcome.NOT_SENT
        is_full = flow.overloaded or flow.unadmitted
        return was_unsent and not is_full and self.is_possible()

    def _list_candidates(self) -> list[Member]:
        if self._flow.request.passed_by or len(self._tried) >= MAX_PEERS:
            return []
        members = self._flow.context.list_linked_hosts(self._flow.service)
        return [member for member in members if member.name not in self._tried]

    async def run(self) -> bool:
        """Pass the request on; return whether the caller has its final response."""
        flow = self._flow
        settings, generator = flow.context.settings, flow.context.generator
        member = choose_peer(
            self._list_candidates(), settings.host.domain, settings.regions, generator
        )
        if member is None:
            await self._give_up()
            return True
        self._tried.add(member.name)
        attempts = max(flow.route.attempts - flow.dispatches.ran, 1)
        response = await self._open(member, attempts)
        flow.dispatches.count(response.outcome)
        if response.outcome is DispatchOutcome.REFUSED:
            flow.dispatcher.runs.release(member.name)
        flow.record_event(
            Event.REQUEST_PASSED_ON,
            host=member.name,
            fate=response.outcome.value,
            reason=response.reason,
        )
        try:
            return await self._conclude(response, member, attempts)
        except BaseException:
            response.close()
            raise

    async def _give_up(self) -> None:
        """Give the caller the final response, as no host is left."""
        flow = self._flow
        if flow.dispatches.ran or flow.exchange.response_started:
            failed = UpstreamResponse(DispatchOutcome.BROKEN, CUT_OFF)
            await flow.finish_failed(failed)
        else:
            await flow.refuse_with_retry(PROBE_INTERVAL_MS, CUT_OFF)

    async def _open(self, member: Member, attempts: int) -> UpstreamResponse:
        flow = self._flow
        request = flow.request
        options = PeerOptions(
            flow.context.settings.host.name,
            flow.deadline_ms - flow.context.clock.read(),
            attempts,
            flow.context.table.version,
            flow.splitter.last_event_id,
        )
        headers = flow.context.header_codec.create_peer_headers(request, options)
        headers.append((b"content-length", str(len(request.body)).encode()))
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        # A pooled connection may be dead, which leaves it open whether the work ran.
        fresh = not flow.route.may_repeat
        sending = asyncio.Event()
        runs = flow.dispatcher.runs

        def note_sending() -> None:
            runs.claim(member.name)
            sending.set()

        try:
            http_response = await flow.context.client.send(
                member.http, head, request.body, fresh, note_sending
            )
        except UpstreamUnreachableError as error:
            return UpstreamResponse(DispatchOutcome.NOT_SENT, error.problem)
        except UpstreamError as error:
            return UpstreamResponse(DispatchOutcome.BROKEN, error.problem)
        except BaseException:
            flow.dispatches.ran += sending.is_set()
            raise
        return self._classify(http_response)

    def _classify(self, http_response: HttpResponse) -> UpstreamResponse:
        """Classify a response by its head; a signed one is that of a server."""
        codec = self._flow.context.header_codec
        head = codec.read_response(http_response.status, http_response.raw_headers)
        if head.request_id != self._flow.request.request_id:
            http_response.close()
            return UpstreamResponse(
                DispatchOutcome.BROKEN, "the response belongs to another request", head
            )
        outcome = DispatchOutcome.FAILED
        if head.signed:
            outcome = DispatchOutcome.DONE
        elif head.status in NOT_RUN_STATUSES:
            outcome = DispatchOutcome.REFUSED
        return UpstreamResponse(outcome, f"status {head.status}", head, http_response)

    async def _conclude(
        self, response: UpstreamResponse, member: Member, attempts: int
    ) -> bool:
        """Return whether the caller has its final response."""
        if response.outcome is DispatchOutcome.NOT_SENT:
            return False
        try:
            if response.outcome is DispatchOutcome.DONE:
                await self._forward(response)
                return True
            if response.outcome is not DispatchOutcome.BROKEN:
                return await self._pass_refusal(response)
            failed = response
        except UpstreamError as error:
            response.close()
            failed = UpstreamResponse(DispatchOutcome.BROKEN, error.problem)
            is_done = response.outcome is DispatchOutcome.DONE
            if is_done and await self._has_given_up(member, error):
                self._flow.dispatches.ran += attempts - 1
        return await self._conclude_broken(failed)

    async def _has_given_up(self, member: Member, error: UpstreamError) -> bool:
        """Return whether a host may have broken off a response after its last attempt.

        One that was killed, or that stands still, has not.
        """
        if isinstance(error, UpstreamStalledError):
            return False
        reached = await self._flow.context.client.probe(member.http)
        return reached is Reachability.ACCEPTED

    async def _conclude_broken(self, failed: UpstreamResponse) -> bool:
        flow = self._flow
        now = flow.context.clock.read()
        may_resume = flow.route.resumable or not flow.exchange.response_started
        if (
            may_resume
            and may_send_again(flow.route, flow.dispatches, failed.outcome)
            and flow.context.find_retry_budget(flow.service).try_acquire(now)
        ):
            flow.splitter.restart()
            return False
        await flow.finish_failed(failed)
        return True

    async def _pass_refusal(self, response: UpstreamResponse) -> bool:
        """Pass on the final refusal of a host, unless another may serve the request."""
        assert response.head is not None
        body = await response.read_start(MAX_BUFFERED_BYTES)
        reason = read_reason(body)
        if response.outcome is DispatchOutcome.REFUSED and reason in OWN_REASONS:
            return False
        if self._flow.exchange.response_started:
            await self._flow.finish_failed(response)
            return True
        status, retry_ms = response.head.status, response.head.backoff_ms
        if self._flow.dispatches.ran and response.outcome is DispatchOutcome.REFUSED:
            # Another dispatch of the request may have run.
            status, retry_ms = 502, 0.0
        await self._flow.refuse(status, reason or "passed-on", retry_ms or None)
        return True

    async def _forward(self, response: UpstreamResponse) -> None:
        """Forward a server's response; raise UpstreamError if it is cut off."""
        flow = self._flow
        assert response.head is not None
        is_stream = flow.route.kind is WorkKind.STREAM
        status = response.head.status
        first_ms = flow.context.clock.read()
        if has_events(flow.route, response):
            await self._forward_stream(response, status)
        elif flow.exchange.response_started:
            raise UpstreamError(f"status {status} on resume", "retry the request")
        else:
            buffered_bytes = 0 if is_stream else MAX_BUFFERED_BYTES
            await forward_body(response, flow.exchange, buffered_bytes)
        flow.finish(status, first_ms, passed_on=True)

    async def _forward_stream(self, response: UpstreamResponse, status: int) -> None:
        flow = self._flow
        if not flow.exchange.response_started:
            flow.timing.note_begun()
            await flow.exchange.start(status, response.headers)
        while data := await self._read(response):
            complete = flow.splitter.feed(data)
            if complete:
                await flow.send_events(complete)
            flow.splitter.check()
        await confirm_end(response, flow.splitter)
        remainder = flow.splitter.take_remainder()
        if remainder:
            await flow.exchange.send(remainder)
        await flow.exchange.finish()

    async def _read(self, response: UpstreamResponse) -> bytes:
        stall_s = STALL_GAPS * find_max_gap_s(self._flow.route)
        try:
            async with asyncio.timeout(stall_s if self._flow.route.resumable else None):
                return await response.read_chunk()
        except TimeoutError as error:
            raise UpstreamStalledError(
                f"no event for {stall_s} s", "resume at another host"
            ) from error
