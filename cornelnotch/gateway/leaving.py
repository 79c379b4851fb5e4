"""Tell other hosts which servers said that they leave."""

from collections.abc import Callable

from cornelnotch.gateway.parts import GatewayParts
from cornelnotch.gateway.spreading import Spreader
from cornelnotch.kernel.events import Event
from cornelnotch.wire import PeerNetwork
from cornelnotch.wire.messages import ServerLeaving

__all__ = ["LeavingNews"]


class LeavingNews:
    """Own the exchange of servers' own words; each is told once."""

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

    def tell(self, server: str, boot_ms: int) -> None:
        """Tell every host what a server said here."""
        self._pass_on(server, boot_ms, self._list_hosts())

    def _pass_on(self, server: str, boot_ms: int, names: list[str]) -> None:
        self._spreader.spread(names, lambda rest: ServerLeaving(server, boot_ms, rest))

    def _receive(self, sender: str, news: ServerLeaving) -> None:
        self._pass_on(news.server, news.boot_ms, news.targets)
        if self._parts.pool.note_leaving(news.server, news.boot_ms):
            self._parts.events.record(
                Event.SERVER_SAID_LEAVING,
                server=news.server,
                boot_ms=news.boot_ms,
                told_by=sender,
            )
