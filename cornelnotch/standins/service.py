"""Simulated service that counts its executions in a ledger."""

from collections import Counter
from dataclasses import asdict, dataclass

import orjson

from cornelnotch.kernel import Clock
from cornelnotch.web import Exchange, HttpServer

__all__ = ["ServiceProfile", "ServiceStandin"]

MAX_BODY_BYTES = 1024 * 1024


@dataclass(slots=True)
class ServiceProfile:
    """Speed and faults of a service; times are in ms."""

    work_ms: float = 10.0
    lose_answers: bool = False
    frozen_ms: float = 0.0


class ServiceStandin:
    """Simulated service that counts executions by the reference of the call."""

    def __init__(
        self, name: str, clock: Clock, profile: ServiceProfile | None = None
    ) -> None:
        self.name = name
        self.profile = profile or ServiceProfile()
        self.server = HttpServer(self._handle)
        self.ledger: Counter[str] = Counter()
        self._clock = clock

    async def start(self, address: str, port: int) -> None:
        """Start to listen."""
        await self.server.start(address, port)

    async def stop(self) -> None:
        """Stop immediately."""
        await self.server.stop()

    async def _handle(self, exchange: Exchange) -> None:
        body = await exchange.read_body(MAX_BODY_BYTES)
        if exchange.path == "/ledger":
            await exchange.respond_json(200, dict(self.ledger))
            return
        if exchange.path == "/faults":
            for name, value in orjson.loads(body or b"{}").items():
                setattr(self.profile, name, value)
            await exchange.respond_json(200, asdict(self.profile))
            return
        if exchange.path == "/load":
            await exchange.respond_json(200, {"running": 0, "waiting": 0})
            return
        await self._execute(exchange, body)

    async def _execute(self, exchange: Exchange, body: bytes) -> None:
        reference = orjson.loads(body or b"{}").get("reference", exchange.path)
        self.ledger[reference] += 1
        await self._clock.sleep(self.profile.work_ms + self.profile.frozen_ms)
        if self.profile.lose_answers:
            exchange.abort()
            return
        await exchange.respond_json(
            200,
            {"booked": reference, "by": self.name},
            {"x-request-id": exchange.headers.get("x-request-id", "")},
        )
