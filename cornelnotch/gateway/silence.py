"""Detect servers that become unresponsive while streams run there.

A server that loses power or its network resets no connections, so a request sent on an
open connection hangs until its caller gives up. The running streams reveal the failure
sooner, since an engine generates an event for each of them in every step.
"""

from cornelnotch.gateway.context import GatewayContext
from cornelnotch.gateway.servers import ServerView
from cornelnotch.kernel.events import Event

__all__ = ["SilenceDetector", "find_silence_limit_ms", "is_silent"]

CHECK_INTERVAL_MS = 100.0
# A check this late means that the host itself was suspended.
MAX_CHECK_DELAY_MS = 3 * CHECK_INTERVAL_MS
# A healthy server does not exceed its longest recent gap between arrivals of bytes by
# this factor.
GAP_FACTOR = 3.0
MIN_SILENCE_LIMIT_MS = 500.0


def find_silence_limit_ms(view: ServerView) -> float:
    """Return the time in ms without events after which a server counts as silent."""
    if not view.longest_gap_ms:
        return float("inf")
    return max(GAP_FACTOR * view.longest_gap_ms, MIN_SILENCE_LIMIT_MS)


def is_silent(view: ServerView, now: float) -> bool:
    """Return whether a server with running streams exceeds its silence limit."""
    last_received_ms = view.find_last_received_ms()
    return (
        last_received_ms is not None
        and now - last_received_ms > find_silence_limit_ms(view)
    )


class SilenceDetector:
    """Check periodically all servers at which this host has running streams."""

    def __init__(self, context: GatewayContext) -> None:
        self._context = context
        self._checked_ms = context.clock.read()
        self._resumed_ms = self._checked_ms

    async def run(self) -> None:
        """Check all servers periodically until cancelled."""
        while True:
            await self._context.clock.sleep(CHECK_INTERVAL_MS)
            self.check()

    def check(self) -> None:
        """Eject the servers that exceed their silence limit."""
        now = self._context.clock.read()
        if now - self._checked_ms > MAX_CHECK_DELAY_MS:
            self._resumed_ms = now
        self._checked_ms = now
        for view in self._context.pool.servers.values():
            if view.in_flight and now >= view.ejected_until_ms:
                self._check_server(view, now)

    def _check_server(self, view: ServerView, now: float) -> None:
        last_received_ms = view.find_last_received_ms()
        if last_received_ms is None:
            return
        silent_ms = now - max(last_received_ms, self._resumed_ms)
        limit_ms = find_silence_limit_ms(view)
        if silent_ms <= limit_ms:
            return
        view.record_silence(now)
        self._context.links.suspect(view.record.service)
        # The next request then has to connect, and fails before it is sent.
        self._context.client.close_idle_connections(view.record.address)
        self._context.events.record(
            Event.SERVER_SILENT,
            server=view.record.name,
            silent_ms=round(silent_ms, 1),
            limit_ms=round(limit_ms, 1),
            failures=view.failures,
        )
