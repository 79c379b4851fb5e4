"""Handle requests of callers: find the route, authenticate and dispatch."""

import asyncio
from typing import cast

from cornelnotch.exceptions import (
    CallerDisconnectedError,
    HostMemoryError,
    RequestError,
)
from cornelnotch.gateway.body_memory import HeldBody
from cornelnotch.gateway.context import NO_VERSION, GatewayContext
from cornelnotch.gateway.drain import choose_drain_retry_after_ms
from cornelnotch.gateway.flow import HOST_LEAVING, RequestFlow
from cornelnotch.gateway.models import CallerRequest, Route
from cornelnotch.gateway.retry_after import choose_retry_after_ms
from cornelnotch.kernel.events import Event
from cornelnotch.web import Exchange

__all__ = ["Frontend"]

STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503
OLD_CONFIGURATION = "old-configuration"
HOST_MEMORY = "host-memory"


class Frontend:
    """Handle all caller requests of one host."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self.active = 0
        self._flows: set[RequestFlow] = set()
        self._receiving: set[asyncio.Timeout] = set()

    async def handle(self, exchange: Exchange) -> None:
        """Handle one HTTP exchange."""
        self.active += 1
        try:
            await self._route(exchange)
        except RequestError as error:
            if exchange.response_started:
                raise CallerDisconnectedError(
                    "the request failed after its response had started",
                    "retry the request",
                ) from error
            self._context.events.record(
                Event.REQUEST_MALFORMED, kind=error.kind, path=exchange.path
            )
            await self._context.refuse(exchange, None, error.status, str(error), None)
        finally:
            self.active -= 1

    async def _route(self, exchange: Exchange) -> None:
        context = self._context
        arrived_ms = context.clock.read()
        request = context.header_codec.read_request(
            exchange.method, exchange.target, exchange.raw_headers
        )
        if not await context.startup.wait():
            await self._refuse_not_ready(exchange, request, arrived_ms)
            return
        table = context.table
        if table.version < request.least_version:
            # Its caller may have seen the effect of the newer version.
            left_ms = request.deadline_ms
            retry_ms = context.startup.choose_retry_after_ms(left_ms)
            await self._refuse(
                exchange, request, STATUS_UNAVAILABLE, OLD_CONFIGURATION, retry_ms
            )
            return
        route = table.find_route(request.host, request.path)
        if route is None:
            await self._refuse(exchange, request, STATUS_NOT_FOUND, "no-route")
            return
        workspace = table.find_workspace(request.key) if request.key else None
        if (
            workspace is None
            and table.workspaces is not None
            and not route.is_anonymous
        ):
            await self._refuse(exchange, request, STATUS_UNAUTHORIZED, "unknown-key")
            return
        body = context.bodies.hold()
        buffered = context.unread.wrap(exchange)
        try:
            if await self._receive_body(exchange, request, route, body):
                # It has all that a flow uses of an exchange.
                response = cast(Exchange, buffered)
                flow = RequestFlow(
                    context, response, request, route, workspace, arrived_ms
                )
                await self._run(flow)
        finally:
            buffered.close()
            request.body = b""
            body.release()

    async def _run(self, flow: RequestFlow) -> None:
        """Serve a request that has been received."""
        context, request, workspace = self._context, flow.request, flow.workspace
        context.events.record(
            Event.REQUEST_ROUTED,
            request_id=request.request_id,
            route=flow.route.name,
            service=flow.service,
            workspace=workspace.name if workspace else "",
            priority=flow.urgency.priority,
            rank=flow.rank,
            deadline_ms=request.deadline_ms,
            resumes=request.resumed_id,
            version=context.table.version,
        )
        if not flow.peer_dispatch.is_cut_off():
            # Otherwise it counts at the host that sends it to a server.
            context.find_retry_budget(flow.service).record_request(flow.arrived_ms)
        self._flows.add(flow)
        demand = context.demand
        if not request.passed_by:
            # Otherwise it counts at the host that its caller sent it to.
            demand.record_arrival(flow.service, flow.urgency.priority, request)
        try:
            await flow.run()
            if not request.passed_by:
                self._record_end(flow)
        except CallerDisconnectedError:
            if flow.exchange.disconnected.is_set():
                flow.record_event(Event.CALLER_LEFT, ran=flow.dispatches.ran)
            raise
        finally:
            self._flows.discard(flow)

    def _record_end(self, flow: RequestFlow) -> None:
        """Record in the demand whether a request was served, and how long it took."""
        demand, service = self._context.demand, flow.service
        if flow.exchange.status == STATUS_UNAVAILABLE:
            demand.record_refusal(service, flow.urgency.priority)
            return
        duration_ms = self._context.clock.read() - flow.arrived_ms
        demand.record_served(service, flow.urgency.priority, duration_ms)

    def limit_requests(self) -> None:
        """Give every request its final response before the host stops."""
        end_ms = self._context.drain.end_ms
        for flow in self._flows:
            flow.limit_to(end_ms)
        for limit in self._receiving:
            if not limit.expired():
                limit.reschedule(self._find_receipt_end_s())

    def _find_receipt_end_s(self) -> float | None:
        """Return the loop time at which bodies must have arrived, None for never."""
        if not self._context.drain.has_started:
            return None
        left_ms = max(self._context.drain.measure_left_ms(), 0.0)
        return asyncio.get_running_loop().time() + left_ms / 1000.0

    async def _receive_body(
        self, exchange: Exchange, request: CallerRequest, route: Route, body: HeldBody
    ) -> bool:
        """Read the body; refuse the request and return False if that is not possible.

        The host may stop before the body has arrived, or have no memory for it.
        """
        left_ms = request.deadline_ms or route.timeout_ms
        try:
            if await self._read_body(exchange, request, body):
                return True
            await self._refuse_leaving(exchange, request, left_ms)
        except HostMemoryError:
            context = self._context
            retry_ms = choose_retry_after_ms(0.0, left_ms, context.generator)
            await self._refuse(
                exchange, request, STATUS_UNAVAILABLE, HOST_MEMORY, round(retry_ms)
            )
        return False

    async def _read_body(
        self, exchange: Exchange, request: CallerRequest, body: HeldBody
    ) -> bool:
        """Read the body; return False if the host stops before it has arrived."""
        limit_bytes = self._context.table.limits.body_bytes
        limit = asyncio.timeout_at(self._find_receipt_end_s())
        self._receiving.add(limit)
        try:
            async with limit:
                request.body = await exchange.read_body(limit_bytes, body.add)
        except TimeoutError:
            return False
        finally:
            self._receiving.discard(limit)
        return True

    async def _refuse_leaving(
        self, exchange: Exchange, request: CallerRequest, left_ms: float
    ) -> None:
        context = self._context
        retry_ms = choose_drain_retry_after_ms(
            bool(context.hosts), left_ms, context.generator
        )
        await self._refuse(
            exchange, request, STATUS_UNAVAILABLE, HOST_LEAVING, round(retry_ms, 1)
        )

    async def _refuse_not_ready(
        self, exchange: Exchange, request: CallerRequest, arrived_ms: float
    ) -> None:
        is_configured = self._context.table.version != NO_VERSION
        reason = "no-servers" if is_configured else "no-configuration"
        waited_ms = self._context.clock.read() - arrived_ms
        left_ms = max(request.deadline_ms - waited_ms, 0.0)
        if self._context.drain.has_started:
            # A host that has just started may know no other yet.
            retry_ms = choose_drain_retry_after_ms(
                True, left_ms, self._context.generator
            )
        else:
            retry_ms = self._context.startup.choose_retry_after_ms(left_ms)
        await self._refuse(exchange, request, STATUS_UNAVAILABLE, reason, retry_ms)

    async def _refuse(
        self,
        exchange: Exchange,
        request: CallerRequest,
        status: int,
        reason: str,
        retry_ms: float | None = None,
    ) -> None:
        self._context.events.record(
            Event.REQUEST_REFUSED,
            request_id=request.request_id,
            status=status,
            reason=reason,
            version=self._context.table.version,
            retry_after_ms=retry_ms,
        )
        await self._context.refuse(exchange, request, status, reason, retry_ms)
