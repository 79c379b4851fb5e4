"""Keep a stream at the software version that began it."""

from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.models import CallerRequest, Route, ServerRecord, WorkKind
from cornelnotch.gateway.servers import ServerView
from cornelnotch.gateway.stream_origins import StreamOrigin, create_origin
from cornelnotch.kernel.events import Event

__all__ = ["StreamContinuation"]


class StreamContinuation:
    """Where one stream began, and the servers at which it may go on."""

    def __init__(
        self, context: GatewayContext, request: CallerRequest, route: Route
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._is_resumable = route.kind is WorkKind.STREAM and route.resumable
        self.origin: StreamOrigin | None = None

    def must_find_origin(self) -> bool:
        """Return whether the caller resumes a stream that began in another request."""
        is_resumed = self._request.resumed_id or self._request.last_event_id
        return self._is_resumable and bool(is_resumed)

    async def find_origin(self, service: str) -> str:
        """Find out where a resumed stream began; return the service to go on at.

        That is `service` unless the route also leads to the one that began the stream.
        """
        resumed_id = self._request.resumed_id
        source = "own"
        origin = self._context.origins.find(resumed_id)
        if origin is None:
            source = "other-host"
            origin = await self._context.ask_origin(resumed_id, service)
        self.origin = origin
        self._context.events.record(
            Event.STREAM_ORIGIN,
            request_id=self._request.request_id,
            resumes=resumed_id,
            software=None if origin is None else origin.software,
            source="" if origin is None else source,
        )
        services = {share.service for share in self._route.shares}
        is_routed = origin is not None and origin.service in services
        return origin.service if origin is not None and is_routed else service

    def note_event(self, record: ServerRecord) -> None:
        """Note that a server's event is sent to the caller."""
        if self.origin is not None:
            return
        self.origin = create_origin(record)
        if self._is_resumable and not self.must_find_origin():
            now = self._context.clock.read()
            self._context.origins.add(self._request.request_id, self.origin, now)
            self._context.report_origin(self._request.request_id, self.origin)

    def list_usable(self, service: str, now: float) -> list[ServerView]:
        """Return the usable servers at which the stream may begin or go on."""
        software = None if self.origin is None else self.origin.software
        return self._context.pool.list_usable(service, now, software)
