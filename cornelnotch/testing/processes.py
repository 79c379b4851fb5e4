"""Run hosts and stand-in servers as separate processes on the loopback interface."""

import asyncio
import os
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path

import orjson

from cornelnotch.configuration import Change, encode_record
from cornelnotch.configuration.follower import CONFIGURATION_STREAM
from cornelnotch.exceptions import UpstreamError
from cornelnotch.kernel import create_clock, create_identifier
from cornelnotch.load import Caller, CallerOptions
from cornelnotch.testing.ports import ADDRESS, find_free_port
from cornelnotch.web import HttpClient

__all__ = ["HostProcess", "ProcessFleet"]

START_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.03


@dataclass(slots=True)
class HostProcess:
    """Running process and its addresses."""

    name: str
    process: asyncio.subprocess.Process
    http: str
    peer: str = ""
    place: str = ""
    log: Path | None = None


@dataclass(slots=True)
class ProcessFleet:
    """Processes of one test; stops only processes that it started."""

    folder: Path
    platform: HostProcess | None = None
    hosts: dict[str, HostProcess] = field(default_factory=dict)
    servers: dict[str, HostProcess] = field(default_factory=dict)
    client: HttpClient = field(default_factory=HttpClient)
    settings: str = ""
    membership: str = ""
    log_address: str = ""
    callers: list[Caller] = field(default_factory=list)

    async def _start(self, name: str, http: str, *arguments: str) -> HostProcess:
        path = self.folder / f"{name}.log"
        with path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cornelnotch",
                *arguments,
                stdout=log,
                stderr=log,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )
        return HostProcess(name, process, http, log=path)

    async def start_platform(self, *options: str) -> HostProcess:
        """Start a stand-in for the platform."""
        http = f"{ADDRESS}:{find_free_port()}"
        self.platform = await self._start(
            "platform", http, "standin", "platform", "--address", http, *options
        )
        self.log_address = http
        await self.wait_answer(http, "/faults")
        return self.platform

    async def start_engine(self, name: str, *options: str) -> HostProcess:
        """Start a stand-in for an engine."""
        return await self._start_server("engine", name, options)

    async def start_service(self, name: str, *options: str) -> HostProcess:
        """Start a stand-in for a service."""
        return await self._start_server("service", name, options)

    async def _start_server(
        self, kind: str, name: str, options: tuple[str, ...]
    ) -> HostProcess:
        existing = self.servers.get(name)
        http = existing.http if existing else f"{ADDRESS}:{find_free_port()}"
        server = await self._start(
            name, http, "standin", kind, "--name", name, "--address", http, *options
        )
        self.servers[name] = server
        await self.wait_answer(http, "/load")
        return server

    async def start_host(
        self,
        name: str,
        place: str = "taipei-a",
        log: str = "",
        advertised: str = "",
        peer: str = "",
    ) -> HostProcess:
        """Start a node and register it in the platform's host list."""
        http = f"{ADDRESS}:{find_free_port()}"
        peer = peer or f"{ADDRESS}:{find_free_port()}"
        advertised_address = advertised or peer
        seeds = ", ".join(h.peer for h in self.hosts.values() if h.peer)
        path = self.folder / f"{name}.ini"
        path.write_text(
            f"[node]\nname = {name}\nplace = {place}\nhttp = {http}\npeer = {peer}\n"
            f"peer_advertised = {advertised_address}\n"
            f"[platform]\nlog = {log or self.log_address}\n"
            f"hosts = {log or self.log_address}\n"
            f"{self.settings}[membership]\nseeds = {seeds}\n{self.membership}"
        )
        host = await self._start(name, http, "node", str(path))
        host.peer = advertised_address
        host.place = place
        self.hosts[name] = host
        await self.list_host(host, "live")
        await self.wait_answer(http, "/healthz")
        return host

    async def list_host(self, host: HostProcess, state: str) -> None:
        """Set the state of a router host in the platform's host list."""
        entry = {
            "name": host.name,
            "role": "router",
            "state": state,
            "http": host.http,
            "peer": host.peer,
            "place": host.place,
        }
        assert self.platform is not None
        try:
            await self.client.request_json(self.platform.http, "POST", "/hosts", entry)
        except UpstreamError:
            # The platform may be unavailable; the test registers the host later.
            return

    async def list_server(self, name: str, state: str) -> None:
        """Set the state of an upstream server in the platform's host list."""
        entry = {"name": name, "role": "server", "state": state}
        assert self.platform is not None
        await self.client.request_json(self.platform.http, "POST", "/hosts", entry)

    async def set_faults(self, address: str, **faults: object) -> None:
        """Configure the faults that a stand-in injects."""
        await self.client.request_json(address, "POST", "/faults", faults)

    async def publish(self, text: str, base: int = 1_000_000) -> int:
        """Append a configuration change and return its offset."""
        assert self.platform is not None
        change = Change(create_identifier(), base, text, "test")
        answer = await self.client.request(
            self.platform.http,
            "POST",
            f"/streams/{CONFIGURATION_STREAM}/records",
            {},
            encode_record(change),
        )
        content = await answer.read_json()
        assert isinstance(content, dict)
        return int(content["offset"])

    async def wait_answer(self, address: str, target: str) -> object:
        """Poll an address until it responds with status 200 and return the content."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    status, content = await self.client.request_json(
                        address, "GET", target, timeout_ms=500
                    )
                    if status == 200:
                        return content
                except UpstreamError:
                    pass
                await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_ready(self, version: int = 0, members: int | None = None) -> None:
        """Wait until every host has applied `version` and sees all members alive."""
        count = len(self.hosts) if members is None else members
        async with asyncio.timeout(START_TIMEOUT_S):
            for host in list(self.hosts.values()):
                while not await self._is_ready(host, version, count):  # noqa: ASYNC110
                    await asyncio.sleep(POLL_INTERVAL_S)

    async def _is_ready(self, host: HostProcess, version: int, count: int) -> bool:
        status = await self.read_status(host)
        states = status.get("members", {})
        alive = sum(1 for state in states.values() if state == "alive")
        return (
            bool(status.get("ready"))
            and status["version"] >= version
            and alive >= count
        )

    async def read_status(self, host: HostProcess) -> dict:
        """Return a host's status, or an empty dict if it does not respond."""
        try:
            _, content = await self.client.request_json(
                host.http, "GET", "/status", timeout_ms=1000
            )
        except UpstreamError:
            return {}
        return content if isinstance(content, dict) else {}

    async def read_ledger(self, name: str) -> dict[str, int]:
        """Return how many times a service executed each call, by reference."""
        server = self.servers[name]
        _, content = await self.client.request_json(server.http, "GET", "/ledger")
        assert isinstance(content, dict)
        return content

    async def explain(self, request_id: str) -> dict:
        """Return the decision trace of a request from the host named in its id."""
        host = self.hosts[request_id.partition(".")[0]]
        _, content = await self.client.request_json(
            host.http, "GET", f"/v1/explain/{request_id}"
        )
        assert isinstance(content, dict)
        return content

    def create_caller(self, workspace: str = "heelmark", **options: object) -> Caller:
        """Return a caller that can get entry addresses from every host."""
        seeds = [host.http for host in self.hosts.values()]
        settings = CallerOptions(workspace, **options)  # type: ignore[arg-type]
        caller = Caller(seeds, settings, create_clock())
        self.callers.append(caller)
        return caller

    def send_signal(self, host: HostProcess, number: signal.Signals) -> None:
        """Send a signal to a process unless it has exited."""
        if host.process.returncode is None:
            host.process.send_signal(number)

    async def stop(self) -> None:
        """Stop all processes that this fleet started."""
        for caller in self.callers:
            caller.close()
        processes = [*self.hosts.values(), *self.servers.values()]
        if self.platform is not None:
            processes.append(self.platform)
        for host in processes:
            if host.process.returncode is None:
                host.process.send_signal(signal.SIGCONT)
                host.process.kill()
        for host in processes:
            await host.process.wait()
        self.client.close()


def dump_json(content: object) -> str:
    """Return indented JSON."""
    return orjson.dumps(content, option=orjson.OPT_INDENT_2).decode()
