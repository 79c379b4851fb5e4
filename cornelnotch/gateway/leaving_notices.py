"""Broadcast the leaving notices of servers to other hosts."""

from collections.abc import Callable

from cornelnotch.gateway.broadcast import Broadcaster
from cornelnotch.gateway.context import GatewayContext
from cornelnotch.kernel.events import Event
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import ServerLeaving

__all__ = ["LeavingNotices"]


class LeavingNotices:
    """Exchange of leaving notices between hosts; each is broadcast once."""

    def __init__(
        self,
        context: GatewayContext,
        peers: PeerNetwork,
        broadcaster: Broadcaster,
        list_hosts: Callable[[], list[str]],
    ) -> None:
        self._context = context
        self._broadcaster = broadcaster
        self._list_hosts = list_hosts
        peers.subscribe(ServerLeaving, self._receive)

    def broadcast(self, server: str, boot_ms: int) -> None:
        """Broadcast a leaving notice that this host received from a server."""
        self._send(server, boot_ms, self._list_hosts())

    def _send(self, server: str, boot_ms: int, names: list[str]) -> None:
        self._broadcaster.broadcast(
            names, lambda targets: ServerLeaving(server, boot_ms, targets)
        )

    def _receive(self, sender: str, notice: ServerLeaving) -> None:
        self._send(notice.server, notice.boot_ms, notice.targets)
        if self._context.pool.mark_leaving(notice.server, notice.boot_ms):
            self._context.events.record(
                Event.SERVER_SAID_LEAVING,
                server=notice.server,
                boot_ms=notice.boot_ms,
                told_by=sender,
            )
