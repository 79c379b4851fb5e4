"""Log the events of one request."""

from cornelnotch.gateway.context import GatewayContext
from cornelnotch.kernel.events import Event

__all__ = ["RequestLog"]


class RequestLog:
    """Log of one request; lines name its id and the time since its arrival."""

    def __init__(
        self, context: GatewayContext, request_id: str, arrived_ms: float
    ) -> None:
        self._context = context
        self._request_id = request_id
        self._arrived_ms = arrived_ms

    def record(self, event: Event, **fields: object) -> None:
        """Log an event of the request."""
        after_ms = round(self._context.clock.read() - self._arrived_ms, 1)
        self._context.events.record(
            event, request_id=self._request_id, after_ms=after_ms, **fields
        )
