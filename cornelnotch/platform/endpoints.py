"""HTTP endpoints of the platform: address resolution, readiness and metrics."""

from collections.abc import Callable

from cornelnotch.gateway.directory import Directory
from cornelnotch.web import Exchange

__all__ = ["MetricsEndpoint", "ReadinessEndpoint", "ResolutionEndpoint"]

RESOLUTION_PATH = "/resolution"
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"
STATUS_OK = 200
STATUS_NOT_FOUND = 404
STATUS_UNAVAILABLE = 503


class ResolutionEndpoint:
    """Endpoint `GET /resolution`: the addresses to which callers connect."""

    def __init__(self, directory: Directory) -> None:
        self._directory = directory

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one request."""
        if exchange.path != RESOLUTION_PATH:
            await exchange.respond_json(STATUS_NOT_FOUND, {"error": "unknown path"})
            return
        choice = self._directory.choose(exchange.query.get("region", ""))
        status = STATUS_OK if choice.addresses else STATUS_UNAVAILABLE
        content = {"addresses": choice.addresses, "ttl_s": choice.lifetime_s}
        await exchange.respond_json(status, content)


class ReadinessEndpoint:
    """Endpoint `GET /readyz`: readiness of this host."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one request."""
        if exchange.path != READY_PATH:
            await exchange.respond_json(STATUS_NOT_FOUND, {"error": "unknown path"})
            return
        ready = self._is_ready()
        status = STATUS_OK if ready else STATUS_UNAVAILABLE
        await exchange.respond_json(status, {"ready": ready})


class MetricsEndpoint:
    """Endpoint `GET /metrics` in the Prometheus text format."""

    def __init__(self, render: Callable[[], bytes]) -> None:
        self._render = render

    async def handle(self, exchange: Exchange) -> None:
        """Respond to one request."""
        if exchange.path != METRICS_PATH:
            await exchange.respond_json(STATUS_NOT_FOUND, {"error": "unknown path"})
            return
        headers = {"content-type": "text/plain; version=0.0.4"}
        await exchange.respond(STATUS_OK, headers, self._render())
