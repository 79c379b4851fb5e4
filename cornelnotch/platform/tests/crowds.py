"""Send what crowds of untrusted clients send to a real host process."""

import asyncio
import os
import resource
import socket
import sys
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import h11
import orjson

from cornelnotch.gateway.tests.conftest import (
    HOST_NAME,
    create_configuration,
    create_entry,
    wait_until,
)
from cornelnotch.standins.store import StoreStandin
from cornelnotch.standins.upstream import UpstreamStandin
from cornelnotch.testing.ports import find_free_port
from cornelnotch.web import HttpClient

ADDRESS = "127.0.0.1"
BYTES_PER_MB = 1_000_000
BYTES_PER_KB = 1024
READY_S = 30.0
# Time for which a crowd sends; what the host does not read by then stays unsent.
SEND_S = 4.0
ORDINARY_S = 8.0
ORDINARY_PAUSE_S = 0.3
ORDINARY_HEADERS = [
    ("host", HOST_NAME),
    ("x-attempt-id", "ordinary"),
    ("x-deadline-ms", "3000"),
]
SETTINGS = """
[host]
name = host-1
domain = north-a
region = north
[listen]
callers = 127.0.0.1:{callers}
readiness = 127.0.0.1:{readiness}
directory = 127.0.0.1:{directory}
peers = 127.0.0.1:{peers}
metrics = 127.0.0.1:{metrics}
[store]
address = {store}
[bounds]
memory_mb = {memory_mb}
[regions]
north-a = north
"""
PORTS = ("callers", "readiness", "directory", "peers", "metrics")
# Without it, a route refuses a request before it reads the body.
ATTEMPT = "x-attempt-id: crowd"
MAX_BODY_BYTES = 4 * 1024 * 1024
PIECE_BYTES = 65536


@dataclass(frozen=True)
class Target:
    """A listener and the path to which a crowd sends."""

    listener: str
    path: str


TARGETS = {
    "route": Target("callers", "/open/x"),
    "no-route": Target("callers", "/nowhere/x"),
    "readiness": Target("readiness", "/readyz"),
    "directory": Target("directory", "/resolution?name=app.example&region=north"),
    "metrics": Target("metrics", "/metrics"),
    "peers": Target("peers", "/"),
}


def build_head(method, target, *fields):
    lines = [f"{method} {target.path} HTTP/1.1", f"host: {HOST_NAME}", *fields]
    return "\r\n".join([*lines, "", ""]).encode()


def build_pipelined(target):
    return build_head("GET", target, "x-attempt-id: p") * 4000


def build_short_fields(target):
    fields = [f"a{number}: b" for number in range(1400)]
    return build_head("POST", target, ATTEMPT, *fields, "content-length: 100")


def build_unfinished_body(target, size):
    return build_head("POST", target, ATTEMPT, f"content-length: {size}") + b"x" * (
        size - 7
    )


def build_body_in_small_chunks(target):
    head = build_head("POST", target, ATTEMPT, "transfer-encoding: chunked")
    return head + b"1\r\nx\r\n" * 60_000


def build_half_head(target):
    return build_head("GET", target)[:-2] + b"x-long: " + b"y" * 15_000


def build_body_over_limit(target):
    size = 4 * MAX_BODY_BYTES
    return build_head("POST", target, ATTEMPT, f"content-length: {size}") + b"x" * size


def build_chunks_over_limit(target):
    head = build_head("POST", target, ATTEMPT, "transfer-encoding: chunked")
    return head + (b"%x\r\n" % PIECE_BYTES + b"x" * PIECE_BYTES + b"\r\n") * 256


def build_unfinished_frame(target):
    size = 8 * 1024 * 1024
    return size.to_bytes(4, "big") + b"x" * (size - 7)


class Crowd:
    """Clients that send the same bytes and read no response; all stay connected."""

    def __init__(self, port, size, data):
        self._port, self._size, self._data = port, size, data
        self._sockets = []

    async def send(self):
        """Send until everything is sent or the host reads no more."""
        tasks = [asyncio.create_task(self._send_one()) for _ in range(self._size)]
        _, pending = await asyncio.wait(tasks, timeout=SEND_S)
        for task in pending:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _send_one(self):
        loop = asyncio.get_running_loop()
        client = socket.socket()
        client.setblocking(False)
        self._sockets.append(client)
        with suppress(OSError):
            await loop.sock_connect(client, (ADDRESS, self._port))
            if self._data:
                await loop.sock_sendall(client, self._data)

    def close(self):
        for client in self._sockets:
            client.close()


class CrowdedHost:
    """A host process, the store and the server that it uses."""

    def __init__(
        self, folder, memory_mb, descriptors=None, limits=None, timeout_ms=None
    ):
        self.ports = {name: find_free_port() for name in PORTS}
        self.store = StoreStandin()
        self.server = UpstreamStandin("desk-1")
        self.client = HttpClient()
        self._folder = folder
        self._memory_mb = memory_mb
        self._descriptors = descriptors
        self._limits = limits or {}
        self._timeout_ms = timeout_ms
        self.process: Any = None

    async def start(self):
        await self.store.start()
        await self.server.start()
        configuration = create_configuration(limits=self._limits)
        for route in configuration["routes"]:
            route["timeout_ms"] = self._timeout_ms or route["timeout_ms"]
        value = orjson.dumps(configuration)
        self.store.topics["keyed.op"].write("config", value)
        entry = orjson.dumps(create_entry(self.server, "desk"))
        self.store.topics["keyed.servers"].write("desk-1", entry)
        path = self._folder / "host.ini"
        text = SETTINGS.format(
            store=self.store.address, memory_mb=self._memory_mb, **self.ports
        )
        path.write_text(text)
        with (self._folder / "host.log").open("wb") as output:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "cornelnotch.platform",
                env={**os.environ, "CORNELNOTCH_NODE_FILE": str(path)},
                stdout=output,
                stderr=output,
                preexec_fn=self._limit_descriptors,
            )
        await wait_until(lambda: self._is_answered("readiness", "/readyz"), READY_S)

    def _limit_descriptors(self):
        if self._descriptors is not None:
            limits = (self._descriptors, self._descriptors)
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    async def _is_answered(self, listener, path):
        try:
            async with asyncio.timeout(ORDINARY_S):
                address = f"{ADDRESS}:{self.ports[listener]}"
                head = h11.Request(method="GET", target=path, headers=ORDINARY_HEADERS)
                response = await self.client.send(address, head, b"", fresh=True)
                await response.read()
        except Exception:
            return False
        return response.status == 200

    async def is_ordinary_answered(self, listener, path):
        """Return whether an ordinary request is answered, repeated if refused."""

        async def ask():
            if await self._is_answered(listener, path):
                return True
            await asyncio.sleep(ORDINARY_PAUSE_S)
            return False

        try:
            async with asyncio.timeout(ORDINARY_S):
                await wait_until(ask, ORDINARY_S)
        except TimeoutError:
            return False
        return True

    def is_alive(self):
        return self.process.returncode is None

    def find_most_mb(self):
        """Return the most memory that the process has had resident, in MB."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in text.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * BYTES_PER_KB / BYTES_PER_MB

    def count_descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def stop(self):
        self.client.close()
        if self.process is not None:
            if self.is_alive():
                self.process.kill()
            await self.process.wait()
        await self.server.stop()
        await self.store.stop()


@asynccontextmanager
async def run_crowded_host(
    folder, memory_mb, descriptors=None, limits=None, timeout_ms=None
):
    host = CrowdedHost(folder, memory_mb, descriptors, limits, timeout_ms)
    try:
        await host.start()
        yield host
    finally:
        await host.stop()
