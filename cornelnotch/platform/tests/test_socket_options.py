"""Test that a whole host sets no time limit on any socket, at any time."""

import asyncio
import gc
import socket
from typing import Any

import pytest

from cornelnotch.gateway.host import GatewayHost
from cornelnotch.gateway.tests.conftest import (
    wait_until,
)
from cornelnotch.gateway.tests.versioned_hosts import VersionedHosts
from cornelnotch.platform import program
from cornelnotch.testing.ports import find_free_port

TIME_LIMITS = {
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE),
    (socket.SOL_SOCKET, socket.SO_RCVTIMEO),
    (socket.SOL_SOCKET, socket.SO_SNDTIMEO),
}


@pytest.fixture
def time_limits(monkeypatch):
    """Return the list of all time limits that are set from now on."""
    found = []
    set_option = socket.socket.setsockopt

    def note(connection, level, option, *value):
        if (level, option) in TIME_LIMITS:
            found.append((level, option, *value))
        return set_option(connection, level, option, *value)

    monkeypatch.setattr(socket.socket, "setsockopt", note)
    return found


class Output:
    """The part of the output of log lines that a host uses."""

    dropped = 0


class WholeHosts(VersionedHosts):
    """Two hosts with all their listeners, as the program runs them."""

    def __init__(self):
        super().__init__(hosts=2, versions=("v1", "v1"))
        self.tasks = []

    async def start_hosts(self):
        for settings in self.settings_by_host:
            settings.listen.metrics = f"127.0.0.1:{find_free_port()}"
        output: Any = Output()
        self.tasks = [
            asyncio.create_task(program.serve_host(settings, output))
            for settings in self.settings_by_host
        ]
        await wait_until(self.is_ready)

    def is_ready(self):
        return len(self.hosts) == self.host_count and all(
            host.is_ready()
            and len(host.context.hosts) == self.host_count
            and len(host.context.pool.servers) == len(self.engines)
            for host in self.hosts
        )

    async def use_all_sockets(self):
        """Have streams resumed at the other host, and call all other listeners."""
        for host in range(self.host_count):
            request_id, begun = await self.begin(host)
            answer = await self.resume(1 - host, request_id, begun)
            assert answer.is_whole(begun.numbers[-1] + 1)
            for _ in range(2):
                assert (await self.send_to(host, self.create_id())).is_whole()
        for settings in self.settings_by_host:
            listen = settings.listen
            for address in (listen.readiness, listen.metrics, listen.directory):
                response = await self.client.request(address, "GET", "/readyz")
                await response.read()

    async def stop(self):
        for host in self.hosts:
            host.stopped.set()
        await asyncio.gather(*self.tasks)
        await super().stop()


def test_a_host_sets_no_time_limit_on_a_socket(monkeypatch, time_limits):
    hosts = WholeHosts()

    class NotedHost(GatewayHost):
        async def start(self):
            hosts.hosts.append(self)
            await super().start()

    monkeypatch.setattr(program, "GatewayHost", NotedHost)
    monkeypatch.setattr(gc, "freeze", lambda: None)
    monkeypatch.setattr(gc, "set_threshold", lambda threshold: None)

    async def scenario():
        await hosts.start()
        try:
            await hosts.use_all_sockets()
        finally:
            await hosts.stop()

    asyncio.run(scenario())
    assert time_limits == []
