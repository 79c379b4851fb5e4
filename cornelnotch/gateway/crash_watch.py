"""Detect servers that crash, and the prompts that were being served there."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.kernel.events import Event, EventLog
from cornelnotch.observation.metrics import NodeMetrics
from cornelnotch.web import HttpClient, Reachability

__all__ = ["CrashWatch", "ServerLife"]

REMEMBERED_LIVES = 256
MAX_LOGGED_NAMES = 8


@dataclass(frozen=True, slots=True)
class ServerLife:
    """One process of a server, from its start to its end."""

    server: str
    boot_ms: int


@dataclass(slots=True)
class BrokenServer:
    """A server of which responses broke off; `crashed` is set once that is certain."""

    crashed: bool = False
    probe: asyncio.Task[Reachability] | None = field(default=None, repr=False)


class CrashWatch:
    """Tell crashed servers from closed connections.

    A server has crashed if a response breaks off and it then refuses connections. One
    that is leaving, or that a partition cuts off, has not.
    """

    def __init__(
        self,
        client: HttpClient,
        events: EventLog,
        metrics: NodeMetrics,
        record_crash: Callable[[ServerLife, list[InFlightRequest]], None],
        is_cut_off: Callable[[str], Awaitable[bool]],
    ) -> None:
        self._client = client
        self._events = events
        self._metrics = metrics
        self._record_crash = record_crash
        self._is_cut_off = is_cut_off
        self._broken: OrderedDict[ServerLife, BrokenServer] = OrderedDict()

    async def note_break(self, view: ServerView, request: InFlightRequest) -> bool:
        """Record that a response broke off; return whether its server has crashed."""
        if view.leaving:
            return False
        life = ServerLife(view.record.name, view.record.boot_ms)
        broken = self._broken.setdefault(life, BrokenServer())
        self._broken.move_to_end(life)
        while len(self._broken) > REMEMBERED_LIVES:
            self._broken.popitem(last=False)
        riders = [r for r in view.in_flight.values() if r.transmitted]
        was_crashed = broken.crashed
        if not was_crashed:
            refuses = await self._refuses(view.record.address, broken)
            broken.crashed = refuses and not await self._is_cut_off(view.record.service)
        if not broken.crashed:
            return False
        if not was_crashed:
            self._log_crash(life, riders)
        self._record_crash(life, [request, *riders])
        return True

    async def _refuses(self, address: str, broken: BrokenServer) -> bool:
        if broken.probe is None:
            broken.probe = asyncio.create_task(self._client.probe(address))
        try:
            return await asyncio.shield(broken.probe) is Reachability.REFUSED
        finally:
            if broken.probe is not None and broken.probe.done():
                broken.probe = None

    def _log_crash(self, life: ServerLife, riders: list[InFlightRequest]) -> None:
        parts = sorted({part for rider in riders for part in rider.shared_parts})
        first = riders[:MAX_LOGGED_NAMES]
        self._metrics.count_server_crash()
        self._events.record(
            Event.SERVER_CRASHED,
            server=life.server,
            boot_ms=life.boot_ms,
            requests=len(riders),
            parts=len(parts),
            first_parts=parts[:MAX_LOGGED_NAMES],
            first_requests=[rider.request_id for rider in first],
            first_fingerprints=["".join(rider.fingerprints[-1:]) for rider in first],
        )
