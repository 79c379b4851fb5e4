"""Find the other hosts in the platform's store if no seed answers."""

import random
from collections.abc import Callable
from contextlib import suppress

from cornelnotch.exceptions import LogUnavailableError
from cornelnotch.gateway.host_registry import HostRegistry
from cornelnotch.kernel.clock import Clock
from cornelnotch.kernel.events import Event, EventLog
from cornelnotch.membership import Prober

__all__ = ["HostDiscovery"]

# Hosts that start together register spread over this time.
REGISTRATION_SPREAD_MS = 2000.0
# Period at which a host that knows no other reads the list.
READ_PERIOD_MS = 2000.0
# Jitter lengthens the period by up to this share.
JITTER_SHARE = 0.5


class HostDiscovery:
    """Registration of one host, and its search for others while it knows none."""

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        registry: HostRegistry,
        prober: Prober,
        address: str,
        get_timeline: Callable[[], int],
        generator: random.Random,
    ) -> None:
        self._clock = clock
        self._events = events
        self._registry = registry
        self._prober = prober
        self._address = address
        self._get_timeline = get_timeline
        self._generator = generator
        self._registered_in: int | None = None

    async def run(self) -> None:
        """Register, and search for other hosts, until cancelled."""
        await self._clock.sleep(self._generator.uniform(0.0, REGISTRATION_SPREAD_MS))
        while True:
            with suppress(LogUnavailableError):
                await self._register()
            with suppress(LogUnavailableError):
                await self._search()
            jitter = 1.0 + JITTER_SHARE * self._generator.random()
            await self._clock.sleep(READ_PERIOD_MS * jitter)

    async def _register(self) -> None:
        """List this host, also after the store was restored from an older copy."""
        timeline = self._get_timeline()
        if timeline == self._registered_in:
            return
        await self._registry.register_host(self._prober.table.name, self._address)
        self._registered_in = timeline

    async def _search(self) -> None:
        if not self._prober.is_alone():
            return
        addresses = await self._registry.list_host_addresses()
        others = tuple(x for x in addresses if x != self._address)
        if self._prober.is_alone() and self._prober.set_listed_seeds(others):
            self._events.record(Event.HOSTS_LISTED, addresses=others)
