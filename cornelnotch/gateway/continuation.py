"""Keep a stream at the software version that began it."""

from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.models import CallerRequest, Route, ServerRecord
from cornelnotch.gateway.servers import ServerView
from cornelnotch.gateway.stream_origins import StreamOrigin, create_origin

__all__ = ["StreamContinuation"]


class StreamContinuation:
    """Where one stream began, and the servers at which it may go on."""

    def __init__(
        self, context: GatewayContext, request: CallerRequest, route: Route
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self.origin: StreamOrigin | None = None

    def note_event(self, record: ServerRecord) -> None:
        """Note that a server's event is sent to the caller."""
        if self.origin is None:
            self.origin = create_origin(record)

    def list_usable(self, service: str, now: float) -> list[ServerView]:
        """Return the usable servers at which the stream may begin or go on."""
        software = None if self.origin is None else self.origin.software
        return self._context.pool.list_usable(service, now, software)
