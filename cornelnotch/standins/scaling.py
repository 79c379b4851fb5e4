"""Simulated part of the platform that accepts orders of servers and reclaims them."""

import asyncio
from collections import defaultdict
from collections.abc import Coroutine
from dataclasses import dataclass, field

import orjson

from cornelnotch.standins.store import StoreStandin
from cornelnotch.standins.upstream import UpstreamStandin
from cornelnotch.web import Exchange, HttpServer

__all__ = ["PlacedOrder", "ScalingStandin"]

STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409
STATUS_BUSY = 429
SCALING_PATH = "/scaling"
MAX_ORDER_BYTES = 4096
DRAINING = "draining"


@dataclass(frozen=True, slots=True)
class PlacedOrder:
    """An order as it arrived."""

    holder: str
    token: int
    service: str
    domain: str
    count: int
    spot: bool


@dataclass(slots=True)
class ScalingStandin:
    """Orders of simulated servers, whose entries it writes to a simulated store.

    With the `fault` `busy` it answers 429, with `silent` nothing; it executes an order
    `late_s` after its arrival, and answers nothing then unless that is 0. Spot servers
    of the domains in `without_spot` are not to be had.
    """

    store: StoreStandin
    boot_s: float = 0.2
    notice_s: float = 0.2
    fault: str = ""
    late_s: float = 0.0
    orders: list[PlacedOrder] = field(default_factory=list)
    executed: list[PlacedOrder] = field(default_factory=list)
    without_spot: set[str] = field(default_factory=set)
    upstreams: dict[str, UpstreamStandin] = field(default_factory=dict)
    _servers: dict[tuple[str, str, bool], list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _tokens: dict[tuple[str, str], int] = field(default_factory=dict)
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)
    _listed: set[str] = field(default_factory=set)
    _created: int = 0
    server: HttpServer = field(init=False)

    def __post_init__(self) -> None:
        self.server = HttpServer(self._handle)

    @property
    def address(self) -> str:
        """Return the address of the API."""
        return f"127.0.0.1:{self.server.port}"

    async def start(self) -> None:
        """Open the listener on a free port."""
        await self.server.start("127.0.0.1", 0)

    async def stop(self) -> None:
        """Close the listener and drop what is under way."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for name in self._listed & self.upstreams.keys():
            await self.upstreams[name].stop()
        await self.server.stop()

    def count(self, service: str, domain: str, spot: bool) -> int:
        """Return the number of servers that serve or boot."""
        return len(self._servers[service, domain, spot])

    async def add(
        self, service: str, domain: str, count: int, spot: bool = False
    ) -> None:
        """Start servers and list them at once."""
        for _ in range(count):
            name = self._create(service, domain, spot)
            await self.upstreams[name].start()
            self._write(name, service, domain, spot)

    def reclaim(self, service: str, domain: str) -> None:
        """Take all spot servers of a domain back after the notice."""
        self.without_spot.add(domain)
        for name in list(self._servers[service, domain, True]):
            self._release(name, service, domain, True)

    def accept_token(self, service: str, domain: str, token: int) -> bool:
        """Return whether no higher token was seen, and note this one."""
        if token < self._tokens.get((service, domain), 0):
            return False
        self._tokens[service, domain] = token
        return True

    async def _handle(self, exchange: Exchange) -> None:
        if exchange.path != SCALING_PATH:
            await exchange.respond_json(STATUS_NOT_FOUND, {})
            return
        content = orjson.loads(await exchange.read_body(MAX_ORDER_BYTES))
        order = PlacedOrder(
            exchange.headers["x-duty-holder"],
            int(exchange.headers["x-fencing-token"]),
            content["service"],
            content["zone"],
            content["desired"],
            content.get("spot", False),
        )
        self.orders.append(order)
        if self.fault == "busy":
            await exchange.respond_json(STATUS_BUSY, {})
        elif self.fault == "silent":
            await self._stay_silent(exchange)
        elif self.late_s:
            self._start(self._execute_late(order))
            await self._stay_silent(exchange)
        else:
            accepted = self._execute(order)
            status = STATUS_OK if accepted else STATUS_CONFLICT
            await exchange.respond_json(status, {})

    @staticmethod
    async def _stay_silent(exchange: Exchange) -> None:
        await exchange.disconnected.wait()
        exchange.abort()

    async def _execute_late(self, order: PlacedOrder) -> None:
        await asyncio.sleep(self.late_s)
        self._execute(order)

    def _execute(self, order: PlacedOrder) -> bool:
        """Execute an order; return False if it is refused."""
        if not self.accept_token(order.service, order.domain, order.token):
            return False
        names = self._servers[order.service, order.domain, order.spot]
        added = order.count - len(names)
        if order.spot and added > 0 and order.domain in self.without_spot:
            return False
        self.executed.append(order)
        for name in names[order.count :]:
            self._release(name, order.service, order.domain, order.spot)
        for _ in range(added):
            name = self._create(order.service, order.domain, order.spot)
            self._start(self._boot(name, order))
        return True

    async def _boot(self, name: str, order: PlacedOrder) -> None:
        await asyncio.sleep(self.boot_s)
        if name in self._servers[order.service, order.domain, order.spot]:
            await self.upstreams[name].start()
            self._write(name, order.service, order.domain, order.spot)

    def _create(self, service: str, domain: str, spot: bool) -> str:
        self._created += 1
        name = f"i-{self._created}"
        self._servers[service, domain, spot].append(name)
        self.upstreams[name] = UpstreamStandin(name)
        return name

    def _release(self, name: str, service: str, domain: str, spot: bool) -> None:
        self._servers[service, domain, spot].remove(name)
        if name not in self._listed:
            return
        self._write(name, service, domain, spot, DRAINING)
        self._start(self._remove(name))

    async def _remove(self, name: str) -> None:
        await asyncio.sleep(self.notice_s)
        self.store.topics["keyed.servers"].write(name, b"")
        await self.upstreams.pop(name).stop()

    def _write(
        self, name: str, service: str, domain: str, spot: bool, state: str = "ready"
    ) -> None:
        self._listed.add(name)
        entry: dict[str, object] = {
            "service": service,
            "address": self.upstreams[name].address,
            "zone": domain,
            "version": "v1",
            "capacity": 8,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": 1,
        }
        if spot:
            entry["spot"] = True
        if state == DRAINING:
            entry["leaves_ms"] = self.notice_s * 1000.0
        self.store.topics["keyed.servers"].write(name, orjson.dumps(entry))

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
