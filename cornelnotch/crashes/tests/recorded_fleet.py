"""Simulate hosts that keep the evidence of crashes in a store, in virtual time."""

import asyncio

from cornelnotch.crashes.keeper import CrashKeeper
from cornelnotch.crashes.log import CrashLog, StoredPosition
from cornelnotch.exceptions import LogUnavailableError
from cornelnotch.gateway.tests.crashing_fleet import CrashingFleet


class RecordedCrashes(CrashLog):
    """The store's record; `is_down` makes it unavailable, `restore` sets it back.

    `writes` are the times of all writes.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.records = []
        self.is_down = False
        self.timeline = 0
        self.reads = 0
        self.writes_s: list[float] = []

    def restore(self, size):
        del self.records[size:]
        self.timeline += 1

    async def read_crashes(self):
        self.reads += 1
        await self._respond()
        newest = self.records[-1] if self.records else None
        return StoredPosition(newest, len(self.records))

    async def write_crashes(self, crashes, at):
        await self._respond()
        if at != len(self.records):
            return None
        self.writes_s.append(asyncio.get_running_loop().time())
        self.records.append(crashes)
        return len(self.records)

    async def _respond(self):
        await self.fleet.delay()
        if self.is_down:
            raise LogUnavailableError("down", "wait")


class RecordedFleet(CrashingFleet):
    """Hosts that keep the evidence of crashes in a store."""

    def __init__(self, hosts, servers, seed=0):
        self.log = RecordedCrashes(self)
        super().__init__(hosts, servers, seed)

    def create_host(self, name, domain):
        host = super().create_host(name, domain)
        keeper = CrashKeeper(
            host.context, host.plan, self.log, lambda: self.log.timeline
        )
        host.tasks.append(asyncio.create_task(keeper.run()))
        return host

    async def restart_together(self, down_s, spared=0):
        """Kill all hosts but some at the same moment, and start them again."""
        names = sorted(self.hosts)[spared:]
        await asyncio.gather(*(self.restart(name, down_s) for name in names))
