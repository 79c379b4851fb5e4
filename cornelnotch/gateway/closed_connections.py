"""Report the connections that a host closes to keep within its machine."""

from cornelnotch.kernel.clock import Clock
from cornelnotch.kernel.events import Event, EventLog
from cornelnotch.observation.metrics import NodeMetrics

__all__ = ["ClosedConnections"]

# Crowds have thousands of connections closed at once.
LOG_INTERVAL_MS = 1000.0


class ClosedConnections:
    """Count closed connections, and log at most one line a second for each reason."""

    def __init__(self, clock: Clock, events: EventLog, metrics: NodeMetrics) -> None:
        self._clock = clock
        self._events = events
        self._metrics = metrics
        self._logged_ms: dict[str, float] = {}
        self._unlogged: dict[str, int] = {}

    def note(self, listener: str, reason: str) -> None:
        """Count a connection of `listener` that was closed for `reason`."""
        self._metrics.count_closed_connection(listener, reason)
        count = self._unlogged.get(reason, 0) + 1
        now = self._clock.read()
        if now - self._logged_ms.get(reason, float("-inf")) < LOG_INTERVAL_MS:
            self._unlogged[reason] = count
            return
        self._logged_ms[reason] = now
        self._unlogged[reason] = 0
        self._events.record(
            Event.CONNECTIONS_CLOSED, reason=reason, listener=listener, count=count
        )
