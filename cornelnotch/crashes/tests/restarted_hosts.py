"""Run hosts that are killed together while they learn what crashes their servers."""

import asyncio
import itertools
from typing import Any

from cornelnotch.gateway.tests.conftest import create_host, wait_until
from cornelnotch.gateway.tests.crashing_hosts import (
    DOWN_S,
    CrashingHosts,
    CrashingUpstream,
    Request,
)

BAD_PART = "bad"
HOSTS = 3
# Time in which hosts tell each other of a crash, and one of them writes it down.
LEARNING_S = 1.0

_numbers = itertools.count()


def create_with_part():
    """Return a request that has nothing but the bad part in common with others."""
    number = next(_numbers)
    prompt = f"aa:100,{BAD_PART}:50,own{number}:20"
    return Request(f"/stream/{number}", b"text %d" % number, prompt)


def create_repeated():
    """Return the request that crashes servers, which is always the same."""
    return Request("/stream/7?x=1", b"deadly text", "aa:100,own:20")


def create_sound():
    """Return a request that shares a part of its prompt with those that crash."""
    number = next(_numbers)
    return Request(f"/stream/{number}", b"sound", f"aa:100,own{number}:20")


class PartCrashingUpstream(CrashingUpstream):
    """A server that a part of a prompt crashes, or the repeated request."""

    def is_deadly(self):
        prompt = self.received_headers[-1].get("x-prompt-prefix", "")
        return f"{BAD_PART}:" in prompt or super().is_deadly()


class RestartedHosts(CrashingHosts):
    """Hosts that restart, and servers that a part or a request crashes."""

    server_type = PartCrashingUpstream

    def __init__(self):
        super().__init__(create_repeated(), HOSTS)

    async def wait_until_joined(self):
        """Wait until each host knows all hosts, and all servers since their start."""
        await super().wait_until_joined()
        engines: list[Any] = self.engines
        boots = {server.name: server.boots for server in engines}
        for host in self.list_hosts():
            await wait_until(lambda host=host: self._list_boots(host) == boots)

    @staticmethod
    def _list_boots(host):
        servers = host.context.pool.servers
        return {name: view.record.boot_ms for name, view in servers.items()}

    async def send_deadly(self, create):
        """Send a deadly request to each host; return how many servers crash."""
        crashes = len(self.crashes_s)
        for host in self.list_hosts():
            await self._send_one(host, create())
        return len(self.crashes_s) - crashes

    async def learn(self, create, crashes):
        """Send deadly requests until so many servers have crashed."""
        hosts = itertools.cycle(self.list_hosts())
        while len(self.crashes_s) < crashes:
            await self._send_one(next(hosts), create())

    async def _send_one(self, host, request):
        crashes = len(self.crashes_s)
        await self.send_to(host, request)
        if len(self.crashes_s) > crashes:
            await asyncio.sleep(max(DOWN_S, LEARNING_S))
            await self.wait_until_joined()

    async def restart(self, hosts):
        """Kill hosts at the same moment, and start them again."""
        for host in hosts:
            await host.stop()
        restarted = [create_host(host.settings) for host in hosts]
        replaced = dict(zip(hosts, restarted, strict=True))
        self.host = replaced.get(self.host, self.host)
        self.others = [replaced.get(host, host) for host in self.others]
        for host in restarted:
            await host.start()
        await wait_until(lambda: all(host.is_ready() for host in restarted))
        await self.wait_until_joined()
        await asyncio.sleep(LEARNING_S)

    def find_collector(self):
        """Return the host that collects what all hosts know of crashes."""
        first = self.host.plan.list_readers(self.host.clock.read())[0]
        return next(h for h in self.list_hosts() if h.settings.host.name == first)

    async def count_served(self, requests):
        """Return how many sound requests are served, sent to the hosts in turn."""
        hosts = itertools.cycle(self.list_hosts())
        sent = [self.send_to(next(hosts), create_sound()) for _ in range(requests)]
        return (await asyncio.gather(*sent)).count(200)
