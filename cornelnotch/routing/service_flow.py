"""Forward requests to plain services."""

from cornelnotch.exceptions import UpstreamError, UpstreamUnreachableError
from cornelnotch.routing.context import RequestFailedError
from cornelnotch.routing.flow import RequestFlow
from cornelnotch.routing.permits import PermitReport
from cornelnotch.routing.responses import Outcome, create_response_headers
from cornelnotch.routing.upstreams import ServiceAnswer
from cornelnotch.wire.messages import PermitGrant

__all__ = ["ServiceFlow"]


class ServiceFlow(RequestFlow):
    """Call a plain service and forward its complete response."""

    async def forward(self) -> None:
        """Call until there is a response or a retry is not allowed."""
        while True:
            grant = await self.acquire()
            answer = await self._dispatch(grant)
            if isinstance(answer, ServiceAnswer):
                await self._finish(answer)
                return
            if not self.should_retry(answer, grant):
                raise RequestFailedError(self.create_failure_problem(answer))

    async def _dispatch(self, grant: PermitGrant) -> ServiceAnswer | UpstreamError:
        clock = self.context.clock
        started_ms = clock.read()
        outcome = "cancelled"
        before = self.dispatched
        self.dispatched = True
        try:
            answer = await self.context.services.call(
                grant.address,
                self.request.method,
                self._create_target(),
                self._create_headers(),
                self.request.body,
                not self.once,
                self.get_remaining_ms(),
            )
            outcome = "done"
            return answer
        except UpstreamUnreachableError as error:
            # No byte was sent, so the request does not count as dispatched.
            self.dispatched = before
            outcome = error.kind
            return error
        except UpstreamError as error:
            outcome = error.kind
            return error
        finally:
            report = PermitReport(outcome, clock.read() - started_ms)
            self.release(grant, report)

    def _create_target(self) -> str:
        """Return the path without the router's prefix."""
        prefix = f"/v1/services/{self.request.service}"
        return self.request.target.removeprefix(prefix) or "/"

    def _create_headers(self) -> dict[str, str]:
        headers = dict(self.request.headers)
        headers["x-request-id"] = self.request.request_id
        headers["x-priority"] = str(self.selection.tier)
        if self.request.key is not None:
            headers["idempotency-key"] = self.request.key
        return headers

    async def _finish(self, answer: ServiceAnswer) -> None:
        self.store_outcome(answer.status, answer.content_type, answer.body)
        whole_ms = self.context.clock.read() - self.trace.arrived_ms
        target = self.selection.service_class.whole_ms
        attained = answer.status < 500 and (target is None or whole_ms <= target)
        headers = create_response_headers(self.request.request_id, Outcome.RAN)
        headers["content-type"] = answer.content_type
        self.finish_well(attained, status=answer.status, whole_ms=round(whole_ms, 1))
        await self.exchange.respond(answer.status, headers, answer.body)
