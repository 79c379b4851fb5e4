"""Sample deployments that run in a single process."""

import asyncio
from dataclasses import dataclass, field
from pathlib import Path

from cornelnotch.configuration import Change, encode_record
from cornelnotch.configuration.follower import CONFIGURATION_STREAM
from cornelnotch.kernel import Clock, create_identifier
from cornelnotch.load.generator import FleetAddresses
from cornelnotch.logservice import HostEntry, HttpLogService
from cornelnotch.node import Node, create_node
from cornelnotch.settings import NodeSettings
from cornelnotch.standins.engine import EngineProfile, EngineStandin
from cornelnotch.standins.platform import PlatformStandin
from cornelnotch.standins.service import ServiceProfile, ServiceStandin
from cornelnotch.testing.ports import find_free_port

__all__ = [
    "Deployment",
    "InProcessFleet",
    "create_in_process_fleet",
    "list_deployments",
    "read_deployment_text",
]

ADDRESS = "127.0.0.1"
READY_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class Deployment:
    """Hosts, servers and pools of a deployment, with their failure domains."""

    name: str
    hosts: dict[str, str]
    engines: dict[str, str]
    engine_pool: str
    services: dict[str, str]
    service_pool: str


HEELMARK = Deployment(
    "heelmark",
    {"host-1": "taipei-a", "host-2": "taoyuan-b", "host-3": "taipei-a"},
    {f"cobbler-{n}": "taipei-a" if n % 2 else "taoyuan-b" for n in range(1, 6)},
    "cobbler-assist",
    {f"desk-{n}": "taipei-a" for n in range(1, 4)},
    "counter-desk",
)

GUILD = Deployment(
    "guild",
    {"host-1": "surabaya-a", "host-2": "malang-a", "host-3": "surabaya-a"},
    {f"juru-{n}": "surabaya-a" if n % 2 else "malang-a" for n in range(1, 7)},
    "juru-assist",
    {f"booking-{n}": "surabaya-a" for n in range(1, 4)},
    "juru-booking",
)


def read_deployment_text(name: str) -> str:
    """Return failure domains, classes, pools and selectors of a deployment as INI."""
    path = Path(__file__).parent / "deployments" / f"{name}.ini"
    return path.read_text(encoding="utf-8")


def list_deployments() -> dict[str, Deployment]:
    """Return the deployments of the demo, by name."""
    return {d.name: d for d in (HEELMARK, GUILD)}


@dataclass(slots=True)
class InProcessFleet:
    """Running deployment with hosts and simulated servers in this process."""

    deployment: Deployment
    clock: Clock
    platform: PlatformStandin
    engines: dict[str, EngineStandin] = field(default_factory=dict)
    services: dict[str, ServiceStandin] = field(default_factory=dict)
    nodes: dict[str, Node] = field(default_factory=dict)

    async def start(self) -> FleetAddresses:
        """Start all parts and wait until every host is ready."""
        await self.platform.start(ADDRESS, 0)
        for name in self.deployment.engines:
            profile = EngineProfile(batch=4, token_ms=20.0, prefill_ms=40.0)
            engine = EngineStandin(name, self.clock, profile)
            await engine.start(ADDRESS, 0)
            self.engines[name] = engine
        for name in self.deployment.services:
            service = ServiceStandin(name, self.clock, ServiceProfile(work_ms=20.0))
            await service.start(ADDRESS, 0)
            self.services[name] = service
        log = HttpLogService(self._format_address(self.platform.server.port))
        change = Change(create_identifier(), -1, self.create_text(), "demo")
        await log.append(CONFIGURATION_STREAM, encode_record(change))
        for name, place in self.deployment.hosts.items():
            await self._start_node(name, place)
        await self._wait_ready()
        return self.list_addresses()

    async def _start_node(self, name: str, place: str) -> None:
        platform = self._format_address(self.platform.server.port)
        settings = NodeSettings.model_validate(
            {
                "node": {
                    "name": name,
                    "place": place,
                    "http": self._format_address(find_free_port()),
                    "peer": self._format_address(find_free_port()),
                },
                "platform": {"log": platform, "hosts": platform},
                "timing": {"entry_ttl_ms": 1000},
                "membership": {"period_ms": 200, "listing_ms": 300},
            }
        )
        node = create_node(settings, self.clock)
        await node.start()
        self.nodes[name] = node
        entry = HostEntry(
            name, "router", "live", settings.node.http, settings.node.peer, place
        )
        self.platform.list_host(entry)

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not self._is_fleet_ready():  # noqa: ASYNC110
                await asyncio.sleep(POLL_INTERVAL_S)

    def _is_fleet_ready(self) -> bool:
        return all(self._is_ready(node) for node in self.nodes.values())

    def _is_ready(self, node: Node) -> bool:
        status = node.status.describe()
        alive = [s for s in status.members.values() if s == "alive"]
        return status.ready and len(alive) == len(self.nodes)

    def create_text(self) -> str:
        """Return the configuration of the deployment as INI."""
        deployment = self.deployment
        text = read_deployment_text(deployment.name)
        for name, engine in self.engines.items():
            text += self._create_server(
                name,
                deployment.engine_pool,
                engine.server.port,
                deployment.engines[name],
                engine.profile.batch,
            )
        for name, service in self.services.items():
            text += self._create_server(
                name,
                deployment.service_pool,
                service.server.port,
                deployment.services[name],
                8,
            )
        return text

    def _create_server(
        self, name: str, pool: str, port: int, place: str, slots: int
    ) -> str:
        address = self._format_address(port)
        return (
            f"[server {name}]\npool = {pool}\naddress = {address}\n"
            f"place = {place}\nslots = {slots}\n"
        )

    def list_addresses(self) -> FleetAddresses:
        """Return the addresses of all parts."""
        return FleetAddresses(
            [node.settings.node.http for node in self.nodes.values()],
            self._format_address(self.platform.server.port),
            {n: self._format_address(e.server.port) for n, e in self.engines.items()},
            {n: self._format_address(s.server.port) for n, s in self.services.items()},
        )

    @staticmethod
    def _format_address(port: int) -> str:
        return f"{ADDRESS}:{port}"

    async def stop(self) -> None:
        """Stop all parts."""
        for node in self.nodes.values():
            await node.stop()
        for engine in self.engines.values():
            await engine.stop()
        for service in self.services.values():
            await service.stop()
        await self.platform.stop()


def create_in_process_fleet(name: str, clock: Clock) -> InProcessFleet:
    """Return a fleet of the deployment `name` that has not started yet."""
    return InProcessFleet(list_deployments()[name], clock, PlatformStandin(clock))
