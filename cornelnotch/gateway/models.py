"""Data classes of routes, workspaces, servers and caller requests."""

from dataclasses import dataclass, field
from enum import StrEnum

from cornelnotch.wire.messages import PromptPart

__all__ = [
    "Autoscaling",
    "CallerLimits",
    "CallerRequest",
    "Engine",
    "PromptPart",
    "Route",
    "RoutingTable",
    "ServerRecord",
    "Service",
    "ServiceShare",
    "WorkKind",
    "Workspace",
]

Headers = list[tuple[bytes, bytes]]


class WorkKind(StrEnum):
    """Whether work may be repeated: REPEATABLE, at most ONCE, or a STREAM."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Weighted share of a service in the requests of a route."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Mapping from paths of one host name to services; times are in ms."""

    name: str
    host: str
    prefix: str
    kind: WorkKind
    timeout_ms: float
    target_ms: float
    attempts: int
    priority: int
    shares: tuple[ServiceShare, ...]
    is_anonymous: bool = False
    resumable: bool = False
    target_itl_ms: float = 0.0

    @property
    def may_repeat(self) -> bool:
        """Return whether a request may run more than once."""
        is_stream = self.kind is WorkKind.STREAM
        return self.kind is WorkKind.REPEATABLE or (is_stream and self.resumable)


@dataclass(frozen=True, slots=True)
class Engine:
    """Properties of a service's engines; `cache_tokens` is the KV cache size of each.

    `accepts_copies` is set if an engine stores KV cache copies of others' runs. Engines
    copy cached tokens of `kv_token_bytes` each over links of `link_mbps` megabits per
    second; 0 means that it is not known.
    """

    cache_tokens: int
    accepts_copies: bool = False
    kv_token_bytes: float = 0.0
    link_mbps: float = 0.0


@dataclass(frozen=True, slots=True)
class Autoscaling:
    """Bounds and prices of the servers that may be ordered for a service.

    `minimum` and `maximum` count the servers of each domain. A server second costs the
    domain's price, of a spot server `spot_price` times it. Domains that are not in
    `domain_prices` keep the servers that they have; None prices all domains alike.
    """

    minimum: int
    maximum: int
    boot_ms: float
    spot_price: float
    domain_prices: dict[str, float] | None = None

    def find_price(self, domain: str) -> float | None:
        """Return the price of an on-demand server second, None if it is not known."""
        return 1.0 if self.domain_prices is None else self.domain_prices.get(domain)


@dataclass(frozen=True, slots=True)
class Service:
    """Group of interchangeable servers."""

    name: str
    engine: Engine | None = None
    autoscaling: Autoscaling | None = None


@dataclass(frozen=True, slots=True)
class Workspace:
    """A customer; `priority` overrides the priority of a route."""

    name: str
    priority: int | None = None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and the duration of what one caller sends."""

    header_bytes: int = 32768
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: float = 5000.0
    idle_timeout_ms: float = 60_000.0


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """One version of routes, services and workspaces.

    `workspaces` is indexed by API key; None means that no request needs a key.
    `problems` describe the parts of the configuration that are not in force.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, Service]
    workspaces: dict[str, Workspace] | None
    limits: CallerLimits = CallerLimits()
    problems: tuple[str, ...] = ()

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of `path`."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def list_itl_targets(self) -> dict[str, list[float]]:
        """Return the target inter-token gaps of the routes of each service, in ms."""
        gaps: dict[str, list[float]] = {}
        for routes in self.routes.values():
            for route in routes:
                for share in route.shares:
                    gaps.setdefault(share.service, []).append(route.target_itl_ms)
        return gaps

    def list_stream_targets(self, service: str) -> list[float]:
        """Return the targets of the streaming routes of a service, in ms."""
        return [
            route.target_ms
            for routes in self.routes.values()
            for route in routes
            if route.kind is WorkKind.STREAM
            and any(share.service == service for share in route.shares)
        ]

    def find_longest_stream_ms(self) -> float:
        """Return the longest timeout of routes whose streams may be resumed, in ms."""
        routes = (route for found in self.routes.values() for route in found)
        return max((r.timeout_ms for r in routes if r.resumable), default=0.0)

    def find_workspace(self, key: str) -> Workspace | None:
        """Return the workspace that owns the API key `key`."""
        return (self.workspaces or {}).get(key)


@dataclass(frozen=True, slots=True)
class ServerRecord:
    """Platform record of one server.

    `write_count` counts the entries that the server has written since its boot.
    `software` is the version of its software. The platform may take a `reclaimable`
    server back; a leaving server stops `leaves_ms` after its entry, 0 if unknown.
    """

    name: str
    service: str
    address: str
    domain: str
    slots: int
    leaving: bool = False
    boot_ms: int = 0
    write_count: int = field(default=0, compare=False)
    software: str = ""
    reclaimable: bool = False
    leaves_ms: float = field(default=0.0, compare=False)


@dataclass(slots=True)
class CallerRequest:
    """One request of a caller; `headers` are the headers to forward.

    `output_tokens` is the most that it lets a server generate, or 0 if it names none.
    `fingerprints` are the same for requests that only differ in their ids.
    `resumed_id` names the request whose stream this one resumes, if it resumes one.
    `passed_by` is the host that passed it on, if it came from a host, and
    `attempts_left` the number of servers that it may still be sent to then.
    `least_version` is the version of that host's configuration.
    """

    request_id: str
    method: str
    target: str
    host: str
    path: str
    headers: Headers
    key: str = ""
    deadline_ms: float = 0.0
    last_event_id: str = ""
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    body: bytes = field(default=b"", repr=False)
    fingerprints: tuple[str, ...] = ()
    resumed_id: str = ""
    passed_by: str = ""
    attempts_left: int = 0
    least_version: int = 0

    def list_shared_parts(self) -> tuple[str, ...]:
        """Return the names of the prompt parts that other requests may have too."""
        return tuple(part.name for part in self.prompt[:-1])

    def list_crash_parts(self) -> tuple[str, ...]:
        """Return what may be blamed for crashes: shared parts and fingerprints."""
        return self.list_shared_parts() + self.fingerprints
