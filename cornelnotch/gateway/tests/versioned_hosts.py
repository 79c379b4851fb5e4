"""Run several hosts over real sockets, and servers of two software versions."""

import asyncio
import itertools
import re
from contextlib import suppress
from dataclasses import dataclass

from cornelnotch.gateway.tests.conftest import (
    HOST_NAME,
    KEY,
    Deployment,
    create_configuration,
    create_host,
    create_settings,
    wait_until,
)
from cornelnotch.standins.upstream import UpstreamStandin

EVENTS = 12
EVENT_MS = 20.0
TIMEOUT_S = 4.0
PIECE = re.compile(rb"data: piece (\d+)(v\d+)\n\n")


@dataclass(frozen=True)
class Answer:
    """The status of a response, and its events as numbers and versions."""

    status: int
    pieces: list[tuple[int, str]]

    @property
    def versions(self):
        return {version for _, version in self.pieces}

    @property
    def numbers(self):
        return [number for number, _ in self.pieces]

    def is_whole(self, first=1):
        return self.status == 200 and self.numbers == list(range(first, EVENTS + 1))


def parse_answer(data):
    status = int(data.split(b" ", 2)[1]) if data.startswith(b"HTTP/1.1 ") else 0
    found = PIECE.findall(data)
    return Answer(status, [(int(number), text.decode()) for number, text in found])


class VersionedHosts(Deployment):
    """Hosts, and two engines of each of two software versions."""

    def __init__(self, hosts=1, versions=("v1", "v1", "v2", "v2")):
        super().__init__()
        self.desks = []
        self.engines = [
            UpstreamStandin(f"llm-{n}", events=EVENTS, software=version)
            for n, version in enumerate(versions)
        ]
        for engine in self.engines:
            engine.faults.event_ms = EVENT_MS
            engine.boot_ms = 1
        self.host_count = hosts
        self.hosts = []
        self.settings_by_host = []
        self._ids = itertools.count()

    async def start(self):
        await self.store.start()
        for engine in self.engines:
            await engine.start()
            self.list_engine(engine)
        self.configure(create_configuration())
        for number in range(self.host_count):
            seeds = self.settings_by_host[0].listen.peers if number else ""
            settings = create_settings(self.store, f"host-{number + 1}", seeds=seeds)
            self.settings_by_host.append(settings)
        await self.start_hosts()

    async def start_hosts(self):
        self.hosts = [create_host(settings) for settings in self.settings_by_host]
        for host in self.hosts:
            await host.start()
        listed = sum(1 for engine in self.engines if engine.name in self.list_names())
        await wait_until(
            lambda: all(
                host.is_ready()
                and len(host.context.hosts) == self.host_count
                and len(host.context.pool.servers) == listed
                for host in self.hosts
            )
        )

    async def kill_hosts(self):
        """Stop all hosts at once, without a chance to tell anything."""
        for host in self.hosts:
            await host.tasks.stop()
        for host in self.hosts:
            await host.stop()

    async def restart_hosts(self):
        await self.kill_hosts()
        await self.start_hosts()

    def list_names(self):
        return self.store.topics["keyed.servers"].list_newest()

    def list_engine(self, engine, **fields):
        fields = {"version": engine.software, "born": engine.boot_ms, **fields}
        self.list_server(engine, "llm", **fields)

    async def restart_engine(self, engine, software):
        """Start an engine again under its name and address, as another version."""
        port = engine.server.port
        await engine.stop()
        engine.software = software
        engine.boot_ms += 1
        await engine.server.start("127.0.0.1", port)

    async def drop_engines(self, software):
        for engine in self.engines:
            if engine.software == software:
                self.drop_server(engine)
                await engine.stop()
        await wait_until(
            lambda: all(
                view.record.software != software
                for host in self.hosts
                if not host.stopped.is_set()
                for view in host.context.pool.servers.values()
            )
        )

    def create_id(self):
        return f"a{next(self._ids)}"

    async def connect(self, host):
        address, _, port = self.settings_by_host[host].listen.callers.rpartition(":")
        return await asyncio.open_connection(address, int(port))

    async def send_to(self, host, request_id, stop_after=None, **headers):
        """Send a request and return its answer.

        With `stop_after`, the caller leaves after that number of events.
        """
        # Different prompts spread the streams over all engines.
        fields = {
            "host": HOST_NAME,
            "x-attempt-id": request_id,
            "x-key": KEY,
            "x-deadline-ms": "3500",
            "connection": "close",
            "x-prompt-prefix": f"{request_id}:3000,own-{request_id}:20",
            "x-token-usage": "3020,20",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        lines = ["GET /stream/1 HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        data = b""
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(TIMEOUT_S):
                reader, writer = await self.connect(host)
                try:
                    writer.write("\r\n".join([*lines, "", ""]).encode())
                    while chunk := await reader.read(4096):
                        data += chunk
                        if stop_after and len(PIECE.findall(data)) >= stop_after:
                            break
                finally:
                    writer.transport.abort()
        return parse_answer(data)

    async def begin(self, host, events=3):
        """Begin a stream and leave it; return its id and the events received."""
        request_id = self.create_id()
        return request_id, await self.send_to(host, request_id, stop_after=events)

    async def resume(self, host, resumed_id, begun):
        """Take up a stream after the last event received."""
        last = begun.numbers[-1]
        return await self.send_to(
            host, self.create_id(), last_event_id=str(last), resumes=resumed_id
        )

    async def stop(self):
        self.client.close()
        for host in self.hosts:
            await host.stop()
        for server in self.engines:
            await server.stop()
        await self.store.stop()
