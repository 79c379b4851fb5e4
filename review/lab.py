"""A small deployment of real processes on loopback addresses, for the cases."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

import orjson

from cornelnotch.standins.store import StoreStandin

LOOPBACK = "127.0.0.1"
HOST_NAME = "cases.example"
KEY = "casekey1"
ROOT = Path(__file__).resolve().parent.parent
LISTENERS = ("front_http", "readiness", "directory_addr", "control_plane")
FIRST_PORT, LAST_PORT = 10_000, 32_000
SETTINGS = """[host]
name = {name}
domain = {zone}
region = {region}

[listen]
callers = {front_http}
readiness = {readiness}
directory = {directory_addr}
peers = {control_plane}
seeds = {seeds}

[store]
address = {store}

[bounds]
grace_s = 8
retry_share = 0.2
retry_window_s = 10
retry_extra = 56

[regions]
taipei-a = north-tw
taoyuan-b = north-tw
kaohsiung-a = south-tw
"""
ZONES = {"taipei-a": "north-tw", "taoyuan-b": "north-tw", "kaohsiung-a": "south-tw"}
READY_S = 30.0
MAX_KEPT_BYTES = 262_144
KEPT_TAIL_BYTES = 16


class CaseError(Exception):
    """The case could not run."""


def create_route(name, kind, timeout_ms, service, **fields):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "hostname": HOST_NAME,
        "path_prefix": f"/{name}/",
        "route_type": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 1000,
        "priority": 1,
        "service": service,
        "max_attempts": 3,
        **fields,
    }


class Lab:
    """Hosts, servers and the store of one case; ends only what it started."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.work = Path(tempfile.mkdtemp(prefix="case-"))
        self.ledger = self.work / "ledger"
        self.store = StoreStandin()
        self.hosts = {}
        self.servers = {}
        self.lines = []
        self.began_s = time.monotonic()
        self._beats = {}
        self._tasks = set()
        self._reserved = []

    def note(self, text, **fields):
        """Add a line to the record."""
        self.note_at(time.monotonic(), text, **fields)

    def note_at(self, at_s, text, **fields):
        """Add a line to the record with a time of its own."""
        listed = " ".join(f"{name}={value}" for name, value in fields.items())
        self.lines.append((at_s, f"{at_s - self.began_s:9.3f} {text} {listed}"))

    def spawn(self, work):
        """Run a coroutine beside the case."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def reserve_port(self):
        """Return a free port outside the range of outgoing connections."""
        while True:
            port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
            try:
                with socket.socket() as probe:
                    # Without the option, this fails where another case has the port.
                    probe.bind((LOOPBACK, port))
                reserved = socket.socket()
                reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                reserved.bind((LOOPBACK, port))
            except OSError:
                continue
            self._reserved.append(reserved)
            return port

    def configure(self, version, routes, services):
        """Write a version of the configuration, as the operator does."""
        content = {
            "version": version,
            "routes": routes,
            "services": [{"name": name} for name in services],
            "tenants": [{"name": "heelmark", "api_keys": [KEY]}],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 1048576,
                "header_timeout_ms": 5000,
                "idle_timeout_ms": 20000,
            },
        }
        self.store.topics["keyed.op"].write("config", orjson.dumps(content))
        self.note("operator writes configuration", version=version)

    async def start_server(self, name, service, capacity=64, zone="taipei-a"):
        """Start a server; it registers itself and beats."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(ROOT / "review" / "server.py"),
            name,
            str(capacity),
            str(self.ledger),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        told = json.loads(await process.stdout.readline())
        self.servers[name] = process
        entry = {
            "service": service,
            "address": f"{LOOPBACK}:{told['port']}",
            "zone": zone,
            "version": "v1",
            "capacity": capacity,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 0,
            "born": told["born"],
        }
        self._beats[name] = entry
        self.spawn(self._beat(name))

    async def _beat(self, name):
        while name in self._beats:
            entry = self._beats[name]
            entry["sequence"] += 1
            self.store.topics["keyed.servers"].write(name, orjson.dumps(entry))
            await asyncio.sleep(1.2)

    async def command(self, name, **attributes):
        """Set attributes of a server."""
        self.note("server is set", server=name, **attributes)
        process = self.servers[name]
        process.stdin.write((json.dumps(attributes) + "\n").encode())
        await process.stdin.drain()

    def plan_host(self, name, zone="taipei-a"):
        """Choose the addresses of a host."""
        ports = {kind: f"{LOOPBACK}:{self.reserve_port()}" for kind in LISTENERS}
        self.hosts[name] = {"name": name, "zone": zone, "process": None, **ports}
        return self.hosts[name]

    def write_settings(self, name, seeds):
        """Write the settings file of a host, as the platform does."""
        host = self.hosts[name]
        path = self.work / f"{name}.ini"
        text = SETTINGS.format(
            **{k: v for k, v in host.items() if k != "process"},
            region=ZONES[host["zone"]],
            seeds=",".join(seeds),
            store=self.store.address,
        )
        path.write_text(text)
        host["path"] = path

    def start_host(self, name):
        """Start the process of a host with the command of the deploy file."""
        host = self.hosts[name]
        log = (self.work / f"{name}.log").open("ab")
        keep = ("PATH", "HOME", "LANG")
        environment = {k: v for k, v in os.environ.items() if k in keep}
        environment["CORNELNOTCH_NODE_FILE"] = str(host["path"])
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        host["process"] = subprocess.Popen(
            ["python3", "-m", "cornelnotch.platform"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.note("host is started", host=name, pid=host["process"].pid)

    def send_signal(self, name, number):
        """Send a signal to the process of a host."""
        self.note("signal", host=name, signal=signal.Signals(number).name)
        self.hosts[name]["process"].send_signal(number)

    async def wait_ready(self, *names):
        """Wait until hosts say that they are ready."""
        end_s = time.monotonic() + READY_S
        for name in names:
            while (await self.ask(self.hosts[name]["readiness"], "/readyz"))[0] != 200:
                if time.monotonic() > end_s:
                    raise CaseError(f"{name} does not become ready")
                await asyncio.sleep(0.05)
            self.note("host is ready", host=name)

    async def ask(self, address, target):
        """Return status and body of a GET of the platform or of a client."""
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    writer.write(
                        f"GET {target} HTTP/1.1\r\nHost: x\r\n"
                        "Connection: close\r\n\r\n".encode()
                    )
                    data = await reader.read()
                finally:
                    writer.transport.abort()
        except (OSError, TimeoutError):
            return 0, b""
        head, _, body = data.partition(b"\r\n\r\n")
        return (int(head.split(b" ")[1]) if head else 0), body

    async def resolve(self, name):
        """Return the addresses that the directory of a host lists."""
        target = f"/resolution?name={HOST_NAME}&region=north-tw&zone=taipei-a"
        status, body = await self.ask(self.hosts[name]["directory_addr"], target)
        return json.loads(body)["addresses"] if status == 200 else []

    def read_ledger(self):
        """Return the steps that the servers noted."""
        if not self.ledger.exists():
            return []
        return [json.loads(line) for line in self.ledger.read_text().splitlines()]

    async def stop(self):
        """End all processes that the case started."""
        for task in list(self._tasks):
            task.cancel()
        self._beats.clear()
        for host in self.hosts.values():
            process = host["process"]
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            if process is not None:
                process.wait()
        for process in self.servers.values():
            if process.returncode is None:
                process.kill()
            await process.wait()
        for reserved in self._reserved:
            reserved.close()
        await self.store.stop()

    def write_record(self, verdict):
        """Write what was sent, answered and run."""
        for step in self.read_ledger():
            details = {k: v for k, v in step.items() if k not in {"t", "step"}}
            self.note_at(step["t"], f"  run: {step['step']}", **details)
        lines = [text for _, text in sorted(self.lines)]
        text = "\n".join([*lines, "", *verdict, ""])
        (self.folder / "record.txt").write_text(text)
        if "CASE_KEEP" not in os.environ:
            shutil.rmtree(self.work, ignore_errors=True)


class Answer:
    """What a client saw of one request; times are monotonic, in seconds."""

    def __init__(self, request_id, sent_s):
        self.request_id = request_id
        self.sent_s = sent_s
        self.status = 0
        self.headers = {}
        self.body = b""
        self.size = 0
        self.whole = False
        self.ended_s = float("inf")
        self.how = "open"

    def describe(self):
        """Return the fields for the record."""
        return {
            "id": self.request_id,
            "status": self.status,
            "whole": self.whole,
            "how": self.how,
            "bytes": self.size,
            "after_s": round(self.ended_s - self.sent_s, 3),
        }


class ClientProtocol(asyncio.Protocol):
    """Receive the answers on one connection."""

    def __init__(self):
        self.data = bytearray()
        self.size = 0
        self.lost = None
        self.arrived = asyncio.Event()

    def data_received(self, data):
        """Keep the start and the end of what comes."""
        self.size += len(data)
        if len(self.data) > MAX_KEPT_BYTES:
            del self.data[-KEPT_TAIL_BYTES:]
            data = data[-KEPT_TAIL_BYTES:]
        self.data += data
        self.arrived.set()

    def connection_lost(self, error):
        """Note that the connection has ended."""
        self.lost = "reset" if error else "closed"
        self.arrived.set()


class Client:
    """One client connection, which it keeps while the host does."""

    def __init__(self, lab, address):
        self.lab = lab
        self.address = address
        self.transport = self.protocol = None

    async def connect(self):
        """Open the connection."""
        host, _, port = self.address.rpartition(":")
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(1.0):
            self.transport, self.protocol = await loop.create_connection(
                ClientProtocol, host, int(port)
            )

    def close(self):
        """Close the connection."""
        if self.transport is not None:
            self.transport.abort()
        self.transport = self.protocol = None

    def is_open(self):
        """Return whether there is a connection that the host has not closed."""
        return self.protocol is not None and self.protocol.lost is None

    async def send(self, request_id, target, deadline_ms, body=b"", **headers):
        """Send a request and return its answer; open a connection if there is none."""
        answer = Answer(request_id, time.monotonic())
        try:
            if not self.is_open():
                await self.connect()
        except (OSError, TimeoutError) as error:
            answer.how = f"not connected: {type(error).__name__}"
            answer.ended_s = time.monotonic()
            self.lab.note_at(answer.ended_s, "client has", **answer.describe())
            return answer
        lines = [
            f"POST {target} HTTP/1.1",
            f"Host: {HOST_NAME}",
            f"X-Attempt-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"X-Key: {KEY}",
            f"Content-Length: {len(body)}",
            *(f"{k.replace('_', '-')}: {v}" for k, v in headers.items()),
        ]
        answer.sent_s = time.monotonic()
        self.lab.note_at(
            answer.sent_s, "client sends", id=request_id, to=self.address, target=target
        )
        self.transport.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        try:
            async with asyncio.timeout(deadline_ms / 1000.0 + 1.0):
                await self._read(answer)
        except TimeoutError:
            answer.how = "no end"
        answer.ended_s = time.monotonic()
        if not answer.whole or answer.headers.get("connection") == "close":
            self.close()
        self.lab.note_at(answer.ended_s, "client has", **answer.describe())
        return answer

    async def _read(self, answer):
        protocol = self.protocol
        while not self._parse(answer, protocol):
            if protocol.lost is not None:
                answer.how = protocol.lost
                return
            protocol.arrived.clear()
            await protocol.arrived.wait()
        answer.how = "answered"
        protocol.data.clear()
        protocol.size = 0

    def _parse(self, answer, protocol):
        """Parse what has arrived; return whether the answer is whole."""
        end = protocol.data.find(b"\r\n\r\n")
        if end < 0:
            return False
        if not answer.status:
            first, *lines = protocol.data[:end].decode("latin-1").split("\r\n")
            answer.status = int(first.split(" ")[1])
            for line in lines:
                name, _, value = line.partition(":")
                answer.headers[name.strip().lower()] = value.strip()
        start = end + 4
        answer.size = protocol.size - start
        if "content-length" in answer.headers:
            answer.whole = answer.size >= int(answer.headers["content-length"])
            answer.body = bytes(protocol.data[start:])
            return answer.whole
        answer.whole = protocol.data.endswith(b"\r\n0\r\n\r\n")
        if answer.whole and len(protocol.data) == protocol.size:
            answer.body = join_chunks(protocol.data, start)
        return answer.whole


def join_chunks(data, start):
    """Return the body that chunks hold."""
    body = b""
    while True:
        end = data.index(b"\r\n", start)
        size = int(data[start:end], 16)
        if not size:
            return body
        body += bytes(data[end + 2 : end + 2 + size])
        start = end + size + 4


def run_case(case, folder):
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    `case` takes the lab and whether there is trouble; it returns whether the rule was
    broken and the lines of the verdict.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        lab = Lab(folder)
        await lab.store.start()
        try:
            async with asyncio.timeout(110.0):
                broken, verdict = await case(lab, trouble)
        except (CaseError, TimeoutError) as error:
            broken, verdict = None, [f"the case could not run: {error!r}"]
        finally:
            await lab.stop()
        code = 2 if broken is None else int(broken)
        verdict = [f"trouble: {trouble}", *verdict, f"exit: {code}"]
        lab.write_record(verdict)
        print("\n".join(verdict))
        return code

    sys.exit(asyncio.run(run()))
