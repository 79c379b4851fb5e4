"""Detect that this host has lost its links to all servers of a service.

A dispatch that could not be sent raises a suspicion. A few servers of the service are
then probed at once. If none of them accepts a connection, this host is cut off from the
service, until a server accepts a connection again. The servers are down if no other
host reaches one either.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Sequence

from cornelnotch.gateway.servers import ServerPool, ServerView
from cornelnotch.kernel.clock import Clock
from cornelnotch.kernel.events import Event, EventLog
from cornelnotch.web import HttpClient, Reachability

__all__ = ["PROBE_INTERVAL_MS", "ServerLinks"]

# Servers that a round probes; all of a large service need not be asked.
MAX_PROBED = 6
PROBE_INTERVAL_MS = 400.0


class ServerLinks:
    """Services whose servers this host reaches, as far as probes have shown."""

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        client: HttpClient,
        pool: ServerPool,
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._events = events
        self._client = client
        self._pool = pool
        self._generator = generator
        self._suspected: set[str] = set()
        self._cut_off: dict[str, float] = {}
        self._wake = asyncio.Event()
        self._rounds: dict[str, asyncio.Task[bool]] = {}
        self._asked: dict[str, asyncio.Task[bool]] = {}
        self._answers: dict[str, asyncio.Task[bool]] = {}
        self.announce: Callable[[], None] = lambda: None
        self.has_others: Callable[[], bool] = lambda: False
        self.ask_others: Callable[[str], Coroutine[None, None, bool]] = self._ask_nobody

    @staticmethod
    async def _ask_nobody(service: str) -> bool:
        return False

    def list_cut_off(self) -> list[str]:
        """Return the services that this host cannot reach."""
        return sorted(self._cut_off)

    def is_cut_off(self, service: str) -> bool:
        """Return whether no server of a service accepts connections of this host."""
        return service in self._cut_off

    def suspect(self, service: str) -> None:
        """Have the links to a service probed, as a server could not be reached."""
        if service not in self._suspected:
            self._suspected.add(service)
            self._wake.set()

    async def run(self) -> None:
        """Probe suspected services until cancelled."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._suspected:
                services = sorted(self._suspected)
                await asyncio.gather(*(self._recheck(service) for service in services))
                await self._clock.sleep(PROBE_INTERVAL_MS)

    async def _recheck(self, service: str) -> None:
        """Probe a suspected service, and note if no host reaches it.

        A host that is alone goes on trying, as nobody else can serve its callers.
        """
        if await self._probe_once(service):
            return
        if service in self._cut_off:
            self._forget_failures(service)
            return
        others_reach = await self._ask_once(service)
        if others_reach or self.has_others():
            self._note_cut_off(service, others_reach)

    async def check(self, service: str) -> bool:
        """Probe servers of a service; return whether only the links to it are lost."""
        if await self._probe_once(service):
            return False
        others_reach = await self._ask_once(service)
        if others_reach:
            self._note_cut_off(service, others_reach=True)
        return others_reach

    async def _probe_once(self, service: str) -> bool:
        """Return whether this host reaches a service, by one round at a time."""
        return await self._share(self._rounds, service, self._run_round)

    async def _ask_once(self, service: str) -> bool:
        """Return whether others reach a service; they are asked once at a time."""
        return await self._share(self._asked, service, self.ask_others)

    @staticmethod
    async def _share(
        tasks: dict[str, asyncio.Task[bool]],
        service: str,
        find: Callable[[str], Coroutine[None, None, bool]],
    ) -> bool:
        """Return what `find` finds; calls meanwhile wait for the same result."""
        task = tasks.get(service)
        if task is None or task.done():
            task = asyncio.create_task(find(service))
            tasks[service] = task
        return await asyncio.shield(task)

    async def _run_round(self, service: str) -> bool:
        probed = self._sample(service)
        if not probed or await self.reach_any(probed):
            self._suspected.discard(service)
            self._note_reached(service)
            return True
        self.suspect(service)
        return False

    async def reach_any(self, views: Sequence[ServerView]) -> bool:
        """Return whether one of the servers accepts a connection."""
        probes = [
            asyncio.create_task(self._client.probe(view.record.address))
            for view in views
        ]
        try:
            for probe in asyncio.as_completed(probes):
                if await probe is Reachability.ACCEPTED:
                    return True
            return False
        finally:
            for task in probes:
                task.cancel()

    async def reaches(self, service: str) -> bool:
        """Return whether this host reaches a server of a service."""
        return await self._share(self._answers, service, self._reach_sample)

    async def _reach_sample(self, service: str) -> bool:
        return await self.reach_any(self._sample(service))

    def _sample(self, service: str) -> list[ServerView]:
        views = self._pool.list_ready(service)
        return self._generator.sample(views, min(len(views), MAX_PROBED))

    def _note_cut_off(self, service: str, others_reach: bool) -> None:
        self._forget_failures(service)
        if service in self._cut_off:
            return
        self._cut_off[service] = self._clock.read()
        self._events.record(
            Event.SERVICE_CUT_OFF,
            service=service,
            others_reach=others_reach,
        )
        self.announce()

    def _note_reached(self, service: str) -> None:
        began_ms = self._cut_off.pop(service, None)
        if began_ms is None:
            return
        self._forget_failures(service)
        self._events.record(
            Event.SERVICE_REACHED,
            service=service,
            after_ms=round(self._clock.read() - began_ms, 1),
        )
        self.announce()

    def _forget_failures(self, service: str) -> None:
        """Forget failures, which were those of the links and not of the servers."""
        for view in self._pool.list_ready(service):
            view.forget_failures()
