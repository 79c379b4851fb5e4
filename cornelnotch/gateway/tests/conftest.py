"""Run a gateway host in the test process against simulated servers and a store."""

import asyncio
import inspect
from contextlib import asynccontextmanager

import h11
import orjson

from cornelnotch.gateway.host import GatewayHost
from cornelnotch.gateway.settings import (
    BoundsSection,
    HostSection,
    HostSettings,
    ListenSection,
    StoreSection,
)
from cornelnotch.kernel import create_clock, create_event_log
from cornelnotch.platform.decoder import PlatformDecoder
from cornelnotch.platform.header_codec import PlatformHeaderCodec
from cornelnotch.platform.identity import PlatformServerIdentity
from cornelnotch.platform.store import PlatformStore
from cornelnotch.standins.store import StoreStandin
from cornelnotch.standins.upstream import UpstreamStandin
from cornelnotch.testing.ports import find_free_port
from cornelnotch.web import HttpClient

HOST_NAME = "app.example"
KEY = "key-1"
WAIT_S = 5.0
LONG_TIMEOUT_MS = 9000


def create_route(name, prefix, kind, service, **fields):
    return {
        "name": name,
        "hostname": HOST_NAME,
        "path_prefix": prefix,
        "route_type": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **fields,
    }


def create_configuration(version=1, **fields):
    return {
        "version": version,
        "routes": [
            create_route("read", "/read/", "idempotent", "desk"),
            create_route("book", "/book/", "non_idempotent", "desk"),
            create_route("chat", "/stream/", "streaming", "llm", stream_resume=True),
            create_route("draft", "/stream/draft/", "streaming", "llm"),
            create_route("open", "/open/", "idempotent", "desk", anonymous=True),
        ],
        "services": [{"name": "desk"}, {"name": "llm"}],
        "tenants": [{"name": "acme", "api_keys": [KEY]}],
        **fields,
    }


def create_entry(server, service, **fields):
    return {
        "service": service,
        "address": server.address,
        "zone": "north-a",
        "version": "v1",
        "capacity": 8,
        "state": "ready",
        "warmup_left_ms": 0,
        "sequence": 1,
        **fields,
    }


def create_settings(store, name="host-1", **listen):
    ports = [f"127.0.0.1:{find_free_port()}" for _ in range(4)]
    return HostSettings(
        HostSection(name, "north-a", "north"),
        ListenSection(*ports, **listen),
        StoreSection(store.address),
        BoundsSection(grace_s=6.0, retry_extra=100.0),
        {"north-a": "north"},
    )


def create_host(settings, client=None):
    store = PlatformStore(settings.store.address, HttpClient())
    client = client or HttpClient()
    return GatewayHost(
        settings,
        create_clock(),
        create_event_log(settings.host.name),
        PlatformHeaderCodec(),
        store,
        PlatformDecoder(),
        client,
        store,
        PlatformServerIdentity(client),
        store,
        store,
    )


async def raise_timeouts(deployment, timeout_ms=LONG_TIMEOUT_MS):
    """Let requests run longer than the grace periods of tests."""
    configuration = create_configuration(2)
    for route in configuration["routes"]:
        route["timeout_ms"] = timeout_ms
    deployment.configure(configuration)
    await wait_until(lambda: deployment.host.context.table.version == 2)


async def wait_until(condition, wait_s=WAIT_S):
    """Wait until `condition`, a function or coroutine function, is true."""
    deadline = asyncio.get_running_loop().time() + wait_s
    while asyncio.get_running_loop().time() < deadline:
        found = condition()
        if inspect.isawaitable(found):
            found = await found
        if found:
            return
        await asyncio.sleep(0.01)
    raise TimeoutError("the condition did not become true in time")


class Deployment:
    """A store, two servers of each of two services, and one gateway host."""

    def __init__(self):
        self.store = StoreStandin()
        self.desks = [UpstreamStandin("desk-1"), UpstreamStandin("desk-2")]
        self.engines = [UpstreamStandin("llm-1"), UpstreamStandin("llm-2")]
        self.client = HttpClient()

    async def start(self):
        await self.store.start()
        for server in self.desks + self.engines:
            await server.start()
        for server in self.desks:
            self.list_server(server, "desk")
        for server in self.engines:
            self.list_server(server, "llm")
        self.configure(create_configuration())
        self.settings = create_settings(self.store)
        self.host = create_host(self.settings)
        await self.host.start()
        await wait_until(lambda: self.host.is_ready() and self.count_servers() == 4)

    def count_servers(self):
        return len(self.host.context.pool.servers)

    def configure(self, content):
        self.store.topics["keyed.op"].write("config", orjson.dumps(content))

    def list_server(self, server, service, **fields):
        entry = create_entry(server, service, **fields)
        self.store.topics["keyed.servers"].write(server.name, orjson.dumps(entry))

    def drop_server(self, server):
        self.store.topics["keyed.servers"].write(server.name, b"")

    async def send(self, path, method="GET", body=b"", address="", **headers):
        pairs = {
            "host": HOST_NAME,
            "x-attempt-id": "a1",
            "x-key": KEY,
            "x-deadline-ms": "3000",
        }
        pairs.update({k.replace("_", "-"): v for k, v in headers.items()})
        pairs["content-length"] = str(len(body))
        head = h11.Request(
            method=method, target=path, headers=[(k, v) for k, v in pairs.items() if v]
        )
        callers = address or self.settings.listen.callers
        return await self.client.send(callers, head, body)

    async def stop(self):
        self.client.close()
        await self.host.stop()
        for server in self.desks + self.engines:
            await server.stop()
        await self.store.stop()


@asynccontextmanager
async def run_deployment():
    deployment = Deployment()
    await deployment.start()
    try:
        yield deployment
    finally:
        await deployment.stop()


@asynccontextmanager
async def run_second_host(deployment):
    seeds = deployment.settings.listen.peers
    host = create_host(create_settings(deployment.store, "host-2", seeds=seeds))
    await host.start()
    try:
        await wait_until(lambda: len(host.context.hosts) == 2)
        await wait_until(lambda: len(host.context.pool.servers) == 4)
        await wait_until(lambda: len(deployment.host.context.hosts) == 2)
        yield host
    finally:
        await host.stop()
