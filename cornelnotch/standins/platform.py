"""Simulated platform with log service, host list and faults."""

import asyncio
from dataclasses import asdict, dataclass, field

import orjson

from cornelnotch.kernel import Clock
from cornelnotch.logservice.base import HostEntry
from cornelnotch.web import Exchange, HttpServer

__all__ = ["PlatformFaults", "PlatformStandin"]

MAX_RECORD_BYTES = 1024 * 1024
MAX_PAGE_RECORDS = 512
POLL_MS = 5.0


@dataclass(slots=True)
class PlatformFaults:
    """Faults and limits of the platform; times are in ms."""

    down: bool = False
    slow_ms: float = 0.0
    lose_answers: bool = False
    appends_per_second: float = 400.0
    retention_ms: float = 3_600_000.0
    host_list_lag_ms: float = 0.0


@dataclass(slots=True)
class Stream:
    """Records of one stream."""

    earliest: int = 0
    bodies: list[str] = field(default_factory=list)
    times: list[float] = field(default_factory=list)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    def trim(self, before_ms: float) -> None:
        """Remove the records written before `before_ms`."""
        count = 0
        while count < len(self.times) and self.times[count] < before_ms:
            count += 1
        if count:
            del self.times[:count]
            del self.bodies[:count]
            self.earliest += count


class PlatformStandin:
    """Simulated platform that keeps streams and the host list in memory."""

    def __init__(self, clock: Clock, faults: PlatformFaults | None = None) -> None:
        self.faults = faults or PlatformFaults()
        self.server = HttpServer(self._handle)
        self.appends = 0
        self._clock = clock
        self._streams: dict[str, Stream] = {}
        self._hosts: dict[str, HostEntry] = {}
        self._host_history: list[tuple[float, dict[str, HostEntry]]] = [(0.0, {})]
        self._next_append_ms = 0.0

    async def start(self, address: str, port: int) -> None:
        """Start to listen."""
        await self.server.start(address, port)

    async def stop(self) -> None:
        """Stop listening."""
        await self.server.stop()

    def list_host(self, entry: HostEntry) -> None:
        """Add or update a host; the change is visible after `host_list_lag_ms`."""
        self._hosts[entry.name] = entry
        self._host_history.append((self._clock.read(), dict(self._hosts)))

    async def _handle(self, exchange: Exchange) -> None:
        body = await exchange.read_body(MAX_RECORD_BYTES)
        parts = exchange.path.strip("/").split("/")
        if parts == ["faults"]:
            await self._change_faults(exchange, body)
            return
        if self.faults.down:
            exchange.abort()
            return
        if self.faults.slow_ms:
            await self._clock.sleep(self.faults.slow_ms)
        if parts == ["hosts"]:
            await self._answer_hosts(exchange, body)
        elif len(parts) == 3 and parts[0] == "streams":
            await self._answer_stream(exchange, parts[1], body)
        else:
            await exchange.respond_json(404, {"error": "unknown path"})

    async def _change_faults(self, exchange: Exchange, body: bytes) -> None:
        for name, value in orjson.loads(body or b"{}").items():
            setattr(self.faults, name, value)
        await exchange.respond_json(200, asdict(self.faults))

    async def _answer_hosts(self, exchange: Exchange, body: bytes) -> None:
        if exchange.method == "POST":
            self.list_host(HostEntry(**orjson.loads(body)))
        limit = self._clock.read() - self.faults.host_list_lag_ms
        visible = [hosts for time_ms, hosts in self._host_history if time_ms <= limit]
        hosts = visible[-1] if visible else {}
        tag = f'"{len(visible)}"'
        if exchange.headers.get("if-none-match") == tag:
            await exchange.respond(304, {"etag": tag}, b"")
            return
        content = {"hosts": [asdict(entry) for entry in hosts.values()]}
        await exchange.respond_json(200, content, {"etag": tag})

    async def _answer_stream(self, exchange: Exchange, name: str, body: bytes) -> None:
        stream = self._streams.setdefault(name, Stream())
        stream.trim(self._clock.read_wall() - self.faults.retention_ms)
        if exchange.method == "POST":
            await self._append(exchange, stream, body)
        else:
            await self._read(exchange, stream)

    async def _append(self, exchange: Exchange, stream: Stream, body: bytes) -> None:
        now = self._clock.read()
        interval = 1000.0 / self.faults.appends_per_second
        self._next_append_ms = max(self._next_append_ms, now) + interval
        await self._clock.sleep(self._next_append_ms - interval - now)
        if self.faults.down:
            exchange.abort()
            return
        stream.bodies.append(body.decode())
        stream.times.append(self._clock.read_wall())
        self.appends += 1
        offset = stream.earliest + len(stream.bodies) - 1
        stream.grown.set()
        stream.grown = asyncio.Event()
        if self.faults.lose_answers:
            exchange.abort()
            return
        await exchange.respond_json(200, {"offset": offset})

    async def _read(self, exchange: Exchange, stream: Stream) -> None:
        start = int(exchange.query.get("from", "0"))
        wait_ms = float(exchange.query.get("wait_ms", "0"))
        if start < stream.earliest:
            await exchange.respond_json(410, {"earliest": stream.earliest})
            return
        if wait_ms and start >= stream.earliest + len(stream.bodies):
            try:
                async with asyncio.timeout(wait_ms / 1000.0):
                    await stream.grown.wait()
            except TimeoutError:
                pass
        if self.faults.down:
            exchange.abort()
            return
        first = max(start - stream.earliest, 0)
        records = [
            {"offset": stream.earliest + i, "time_ms": stream.times[i], "body": body}
            for i, body in enumerate(
                stream.bodies[first : first + MAX_PAGE_RECORDS], first
            )
        ]
        end = stream.earliest + len(stream.bodies)
        await exchange.respond_json(
            200, {"records": records, "earliest": stream.earliest, "end": end}
        )
