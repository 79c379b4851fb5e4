"""Run host processes against stand-ins, and record what those see.

A script of a case starts hosts with the command of the deploy file, and the packages of
its build. The store, the servers and the clients are stand-ins in the process of the
script, on loopback addresses and the real clock.
"""

import asyncio
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path

import h11
import orjson

from cornelnotch.exceptions import CornelnotchError
from cornelnotch.standins.store import StoreStandin
from cornelnotch.testing.ports import find_free_port
from cornelnotch.web import Exchange, HttpClient, HttpServer

__all__ = [
    "HOST",
    "KEY",
    "Answer",
    "CannotRunError",
    "Case",
    "HostProcess",
    "Server",
    "run_case",
]

REPOSITORY = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HOST = "desk.example"
KEY = "key-of-the-lab"
TENANT = "lab"
ZONE = "north-a"
HEARTBEAT_S = 1.2
READY_S = 30.0
MAX_BODY_BYTES = 4 * 1024 * 1024
LISTENERS = ("callers", "readiness", "directory", "peers", "metrics")
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
# The limits that `fleetbench wire` shows.
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": MAX_BODY_BYTES,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
SETTINGS = """[host]
name = {name}
domain = north-a
region = north
[listen]
callers = {callers}
readiness = {readiness}
directory = {directory}
peers = {peers}
metrics = {metrics}
seeds = {seeds}
[store]
address = {store}
[bounds]
grace_s = 8
retry_share = 0.2
retry_window_s = 10
retry_extra = {retry_extra}
memory_mb = {memory_mb}
[regions]
north-a = north
"""


class CannotRunError(Exception):
    """The case could not be set up, which says nothing about the rule."""


@dataclass(frozen=True)
class Answer:
    """What a client got: a status, or 0 and the error that ended the attempt."""

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    error: str = ""


class HostProcess:
    """One process of the system, which the script may kill and start again."""

    def __init__(self, case: "Case", name: str) -> None:
        self.name = name
        self.ports = {listener: find_free_port() for listener in LISTENERS}
        self.process: subprocess.Popen[bytes] | None = None
        self._case = case
        self._folder = case.folder / name
        self._folder.mkdir()
        self._path = self._folder / "host.ini"

    def address(self, listener: str) -> str:
        """Return the address of one of the listeners."""
        return f"{LOOPBACK}:{self.ports[listener]}"

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file with the addresses of seeds."""
        case = self._case
        text = SETTINGS.format(
            name=self.name,
            seeds=",".join(seeds),
            store=case.store_address,
            retry_extra=case.retry_extra,
            memory_mb=case.memory_mb,
            **{listener: self.address(listener) for listener in LISTENERS},
        )
        self._path.write_text(text)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        roles = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]
        program, *arguments = roles["router"]["run"].split()
        if program == "python3":
            program = sys.executable
        passed = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in passed if name in os.environ}
        environment["CORNELNOTCH_NODE_FILE"] = str(self._path)
        environment["PYTHONPATH"] = str(REPOSITORY / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with (self._folder / "host.log").open("ab") as output:
            self.process = subprocess.Popen(
                [program, *arguments],
                cwd=REPOSITORY,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self._case.processes.append(self.process)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, which takes effect at once."""
        self.send_signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def is_running(self) -> bool:
        """Return whether the process has not ended."""
        return self.process is not None and self.process.poll() is None

    async def is_ready(self) -> bool:
        """Return whether the host says that it is ready."""
        answer = await self._case.ask(self.address("readiness"), "GET", "/readyz")
        return answer.status == 200

    def read_log(self) -> list[dict[str, object]]:
        """Return the lines that the host has logged."""
        found = []
        for line in (self._folder / "host.log").read_bytes().splitlines():
            with suppress(orjson.JSONDecodeError):
                found.append(orjson.loads(line))
        return found


class Server:
    """A sound server, which cases derive from; it keeps an entry in the store."""

    def __init__(self, case: "Case", name: str, service: str, capacity: int) -> None:
        self.name = name
        self.service = service
        self.capacity = capacity
        self.port = find_free_port()
        self.born = int(time.time() * 1000)
        self.is_up = False
        self.running = 0
        self._case = case
        self._sequence = 0
        self._http: HttpServer | None = None
        self._beating: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return the address that the server listens on."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        """Listen, and write an entry again and again."""
        self._http = HttpServer(self._handle)
        self.is_up = True
        await self._http.start(LOOPBACK, self.port)
        self._beating = asyncio.create_task(self._beat())

    async def crash(self) -> None:
        """End as a killed process does: all connections are cut, new ones refused."""
        self.is_up = False
        if self._beating is not None:
            self._beating.cancel()
        if self._http is not None:
            await self._http.stop()

    async def restart(self) -> None:
        """Start again under the same id, as another life."""
        self.born = max(int(time.time() * 1000), self.born + 1)
        self._sequence = 0
        self.running = 0
        await self.start()

    async def _beat(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def write_entry(self) -> None:
        """Write the entry once."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": ZONE,
            "version": "v1",
            "capacity": self.capacity,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        topic = self._case.store.topics["keyed.servers"]
        topic.write(self.name, orjson.dumps(entry))

    def create_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers of every answer to a request."""
        return {"x-attempt-id": request_id}

    async def _handle(self, exchange: Exchange) -> None:
        if not self.is_up:
            exchange.abort()
            return
        if exchange.path == "/report":
            await exchange.respond_json(200, {"born": self.born})
            return
        if exchange.path == "/healthz":
            await exchange.respond(200, {"x-instance-id": self.name}, b"")
            return
        await exchange.read_body(MAX_BODY_BYTES)
        request_id = exchange.headers.get("x-attempt-id", "")
        headers = self.create_headers(request_id)
        target = exchange.headers.get("x-target-instance", self.name)
        if target != self.name:
            headers["x-instance-id"] = self.name
            await exchange.respond(421, headers, b"")
            return
        await self.serve(exchange, request_id, headers)

    async def serve(
        self, exchange: Exchange, request_id: str, headers: dict[str, str]
    ) -> None:
        """Answer a request; one that finds no place is not executed."""
        if self.running >= self.capacity:
            headers["x-not-executed"] = "1"
            await exchange.respond(503, headers, b"")
            return
        self.running += 1
        try:
            await self.work(exchange, request_id, headers)
        finally:
            self.running -= 1

    async def work(
        self, exchange: Exchange, request_id: str, headers: dict[str, str]
    ) -> None:
        """Run a request."""
        await asyncio.sleep(0.01)
        headers["x-server-signature"] = f"{self.name}.{request_id}"
        await exchange.respond(200, headers, f"{self.name} {request_id}".encode())


class Case:
    """The store, hosts and servers of one case, and its record."""

    def __init__(self, script: str, *, trouble: bool) -> None:
        self.trouble = trouble
        self.folder = Path(tempfile.mkdtemp(prefix="cornelnotch-case-"))
        self.store = StoreStandin()
        self.client = HttpClient()
        self.processes: list[subprocess.Popen[bytes]] = []
        self.hosts: list[HostProcess] = []
        self.servers: list[Server] = []
        self.retry_extra = 56
        self.memory_mb = 300
        self.started_s = time.monotonic()
        self._numbers = count(1)
        self._version = 0
        self._record = (Path(script).resolve().parent / "record.txt").open("w")

    @property
    def store_address(self) -> str:
        """Return the address of the store."""
        return self.store.address

    def now(self) -> float:
        """Return the time since the start of the case, in s."""
        return time.monotonic() - self.started_s

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self._record.write(f"{self.now():9.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write a line to the record and to the output."""
        self.note(text)
        print(f"{self.now():7.1f} s  {text}", flush=True)

    def write_configuration(
        self, routes: list[dict[str, object]], limits: dict[str, int] | None = None
    ) -> None:
        """Write a configuration, as the operator does."""
        self._version += 1
        services = sorted({str(route["service"]) for route in routes})
        content = {
            "version": self._version,
            "routes": routes,
            "services": [{"name": name} for name in services],
            "limits": limits or LIMITS,
            "tenants": [{"name": TENANT, "api_keys": [KEY]}],
        }
        self.store.topics["keyed.op"].write("config", orjson.dumps(content))

    def add_host(self, name: str) -> HostProcess:
        """Add a host, which is not started yet."""
        host = HostProcess(self, name)
        self.hosts.append(host)
        return host

    async def wait_for(
        self, what: str, check: Callable[[], Awaitable[bool]], limit_s: float = READY_S
    ) -> None:
        """Wait until a check holds; raise CannotRunError if it does not in time."""
        end_s = time.monotonic() + limit_s
        while not await check():
            if time.monotonic() > end_s:
                raise CannotRunError(f"waited for {what} in vain")
            await asyncio.sleep(0.1)

    async def wait_until_ready(self, hosts: list[HostProcess]) -> None:
        """Wait until hosts say that they are ready."""

        async def are_ready() -> bool:
            return all([await host.is_ready() for host in hosts])

        await self.wait_for("hosts to be ready", are_ready)

    async def list_addresses(self, host: HostProcess) -> set[str]:
        """Return the addresses to which a host directs clients."""
        target = f"/resolution?name={HOST}&region=north&zone={ZONE}"
        answer = await self.ask(host.address("directory"), "GET", target)
        if answer.status != 200:
            return set()
        return set(orjson.loads(answer.body)["addresses"])

    async def wait_until_joined(self, hosts: list[HostProcess]) -> None:
        """Wait until each host directs clients to all of these hosts."""
        wanted = {host.address("callers") for host in hosts}

        async def have_joined() -> bool:
            return all([await self.list_addresses(h) >= wanted for h in hosts])

        await self.wait_for("hosts to know each other", have_joined)

    async def ask(
        self,
        address: str,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        limit_s: float = 3.0,
    ) -> Answer:
        """Send a request on a new connection, and return what came of it."""
        fields = [("host", HOST), *(headers or {}).items()]
        if body or method not in {"GET", "HEAD"}:
            fields.append(("content-length", str(len(body))))
        head = h11.Request(method=method, target=target, headers=fields)
        try:
            async with asyncio.timeout(limit_s):
                response = await self.client.send(address, head, body, fresh=True)
                try:
                    content = await response.read()
                finally:
                    response.connection.abort()
        except TimeoutError:
            return Answer(0, error="no answer in time")
        except (CornelnotchError, OSError, h11.ProtocolError) as error:
            return Answer(0, error=str(error))
        return Answer(response.status, content, response.headers)

    def create_request_id(self) -> str:
        """Return an id that no other request has."""
        return f"{os.getpid():x}-{next(self._numbers)}"

    async def send(
        self,
        host: HostProcess,
        method: str,
        target: str,
        deadline_ms: int = 3000,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        request_id: str = "",
    ) -> Answer:
        """Send a request of a client to a host, and record it and its answer."""
        request_id = request_id or self.create_request_id()
        merged = {
            "x-attempt-id": request_id,
            "x-deadline-ms": str(deadline_ms),
            "x-key": KEY,
            **(headers or {}),
        }
        self.note(f"sent {request_id} {method} {target} to {host.name}")
        answer = await self.ask(
            host.address("callers"), method, target, merged, body, deadline_ms / 1000.0
        )
        self.note(f"answered {request_id} {answer.status} {answer.error}")
        return answer

    async def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for process in self.processes:
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in self.servers:
            await server.crash()
        self.client.close()
        await self.store.stop()
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def create_route(name: str, kind: str, service: str, **more: object) -> dict:
    """Return a route for the paths below its name."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 225,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "anonymous": False,
        "stream_resume": False,
        "target_itl_ms": 0,
        **more,
    }


def run_case(script: str, play: Callable[[Case], Coroutine[None, None, str]]) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it broke, 2 if it could not run.

    `play` returns in what way the rule was broken, or an empty string.
    """

    async def run() -> int:
        case = Case(script, trouble=os.environ.get("TROUBLE", "1") != "0")
        await case.store.start()
        try:
            broken = await play(case)
        except CannotRunError as error:
            case.say(f"cannot run: {error}")
            return CANNOT_RUN
        else:
            case.say(f"BROKEN: {broken}" if broken else "the rule held")
            return BROKEN if broken else HELD
        finally:
            await case.close()

    sys.exit(asyncio.run(run()))
