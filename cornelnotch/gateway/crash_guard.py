"""Keep one request from crashing server after server."""

from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.dispatch import DispatchOutcome, UpstreamResponse
from cornelnotch.gateway.models import CallerRequest
from cornelnotch.gateway.servers import InFlightRequest, ServerView

__all__ = ["CrashGuard"]


class CrashGuard:
    """What the evidence of crashes says about one request."""

    def __init__(self, context: GatewayContext, request: CallerRequest) -> None:
        self._context = context
        self._request = request
        self._is_trial = False
        self.is_suspected = False

    def may_dispatch(self, has_run: bool) -> bool:
        """Return whether the request is not blamed for crashes, or may be tried once.

        `has_run` tells whether a server may have run it.
        """
        if self._is_trial and not has_run:
            return True
        if not self._context.crashes.list_blamed(self._request.list_crash_parts()):
            return True
        self._is_trial = self._context.may_try_blamed(self._request)
        return self._is_trial

    async def note_break(
        self,
        server: ServerView,
        in_flight: InFlightRequest,
        response: UpstreamResponse,
    ) -> bool:
        """Note a response that broke off; return whether the request is suspected."""
        if response.outcome is not DispatchOutcome.BROKEN or response.timed_out:
            return False
        has_crashed = await self._context.crash_watch.note_break(server, in_flight)
        parts = self._request.list_crash_parts()
        if has_crashed and self._context.crashes.is_suspected(parts):
            self.is_suspected = True
            return True
        return False
