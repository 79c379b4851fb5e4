"""Detect servers that become unresponsive while streams run there.

A server that loses power or its network resets no connections, so a request sent on an
open connection hangs until its caller gives up. The running streams reveal the failure
sooner, since an engine generates an event for each of them in every step.
"""

from cornelnotch.gateway.parts import GatewayParts
from cornelnotch.gateway.servers import ServerView
from cornelnotch.kernel.events import Event

__all__ = ["SilenceWatch", "find_silence_limit_ms", "is_silent"]

PERIOD_MS = 100.0
# A check this late means that the host itself was suspended.
LATE_MS = 3 * PERIOD_MS
# A healthy server does not exceed its longest recent gap by this factor.
GAP_FACTOR = 3.0
MIN_SILENCE_MS = 500.0


def find_silence_limit_ms(view: ServerView) -> float:
    """Return the time in ms without events after which a server counts as silent."""
    if not view.longest_pause_ms:
        return float("inf")
    return max(GAP_FACTOR * view.longest_pause_ms, MIN_SILENCE_MS)


def is_silent(view: ServerView, now: float) -> bool:
    """Return whether a server with running streams exceeds its silence limit."""
    last_heard_ms = view.find_heard_ms()
    return last_heard_ms is not None and now - last_heard_ms > find_silence_limit_ms(
        view
    )


class SilenceWatch:
    """Check periodically all servers at which this host has running streams."""

    def __init__(self, parts: GatewayParts) -> None:
        self._parts = parts
        self._checked_ms = parts.clock.read()
        self._resumed_ms = self._checked_ms

    async def run(self) -> None:
        """Check all servers periodically until cancelled."""
        while True:
            await self._parts.clock.sleep(PERIOD_MS)
            self.check()

    def check(self) -> None:
        """Eject the servers that exceed their silence limit."""
        now = self._parts.clock.read()
        if now - self._checked_ms > LATE_MS:
            self._resumed_ms = now
        self._checked_ms = now
        for view in self._parts.pool.servers.values():
            if view.flights and now >= view.ejected_until_ms:
                self._check_server(view, now)

    def _check_server(self, view: ServerView, now: float) -> None:
        last_heard_ms = view.find_heard_ms()
        if last_heard_ms is None:
            return
        silent_ms = now - max(last_heard_ms, self._resumed_ms)
        limit_ms = find_silence_limit_ms(view)
        if silent_ms <= limit_ms:
            return
        view.fail(now)
        # The next request then has to connect, and fails before it is sent.
        self._parts.client.drop_idle(view.record.address)
        self._parts.events.record(
            Event.SERVER_SILENT,
            server=view.record.name,
            silent_ms=round(silent_ms, 1),
            limit_ms=round(limit_ms, 1),
            failures=view.failures,
        )
