"""Broadcast the leaving notices of servers to other hosts."""

from collections.abc import Callable

from cornelnotch.gateway.parts import GatewayParts
from cornelnotch.gateway.spreading import Spreader
from cornelnotch.kernel.events import Event
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import ServerLeaving

__all__ = ["LeavingBroadcast"]


class LeavingBroadcast:
    """Exchange of leaving notices between hosts; each is broadcast once."""

    def __init__(
        self,
        parts: GatewayParts,
        peers: PeerNetwork,
        spreader: Spreader,
        list_hosts: Callable[[], list[str]],
    ) -> None:
        self._parts = parts
        self._spreader = spreader
        self._list_hosts = list_hosts
        peers.subscribe(ServerLeaving, self._receive)

    def broadcast(self, server: str, boot_ms: int) -> None:
        """Broadcast a leaving notice that this host received from a server."""
        self._send(server, boot_ms, self._list_hosts())

    def _send(self, server: str, boot_ms: int, names: list[str]) -> None:
        self._spreader.spread(names, lambda rest: ServerLeaving(server, boot_ms, rest))

    def _receive(self, sender: str, notice: ServerLeaving) -> None:
        self._send(notice.server, notice.boot_ms, notice.targets)
        if self._parts.pool.note_leaving(notice.server, notice.boot_ms):
            self._parts.events.record(
                Event.SERVER_SAID_LEAVING,
                server=notice.server,
                boot_ms=notice.boot_ms,
                told_by=sender,
            )
