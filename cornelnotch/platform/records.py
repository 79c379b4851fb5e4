"""Decode the records written to the store by operators and servers."""

import msgspec

from cornelnotch.exceptions import ConfigurationError, MalformedInputError
from cornelnotch.gateway.models import (
    CallerLimits,
    Engine,
    Route,
    RoutingTable,
    ServerRecord,
    Service,
    ServiceShare,
    WorkKind,
    Workspace,
)
from cornelnotch.kernel.parsing import (
    Amount,
    Count,
    Integer,
    decode,
    is_header_value,
    is_ipv4_address,
    parse_port,
)

__all__ = ["decode_server", "decode_table"]

WORK_KINDS = {
    "idempotent": WorkKind.REPEATABLE,
    "non_idempotent": WorkKind.ONCE,
    "streaming": WorkKind.STREAM,
}
STATE_LEAVING = "draining"
STATE_READY = "ready"


class SplitModel(msgspec.Struct):
    """Schema of one weighted service of a route."""

    service: str
    weight: Amount


class RouteModel(msgspec.Struct):
    """Schema of a route; `route_type` states whether its work may be repeated."""

    name: str
    hostname: str
    path_prefix: str
    route_type: str
    timeout_ms: Amount
    target_latency_ms: Amount = 0.0
    priority: Integer = 5
    service: str = ""
    traffic_split: list[SplitModel] = []
    max_attempts: Integer = 1
    anonymous: bool = False
    stream_resume: bool = False
    target_itl_ms: Amount = 0.0


class EngineModel(msgspec.Struct):
    """Schema of the inference engine settings of a service."""

    kv_capacity: Integer = 0
    backups: bool = False
    kv_token_bytes: Amount = 0.0
    link_mbps: Amount = 0.0


class ServiceModel(msgspec.Struct):
    """Schema of a service."""

    name: str
    engine: EngineModel | None = None


class TenantModel(msgspec.Struct):
    """Schema of a workspace, which the platform calls a tenant."""

    name: str
    api_keys: list[str] = []
    priority: Integer | None = None


class LimitsModel(msgspec.Struct):
    """Schema of the limits on requests from callers."""

    max_header_bytes: Integer = 32768
    max_body_bytes: Integer = 4 * 1024 * 1024
    header_timeout_ms: Amount = 5000.0
    idle_timeout_ms: Amount = 60_000.0


class ConfigModel(msgspec.Struct):
    """Schema of the complete configuration."""

    version: Integer
    routes: list[RouteModel] = []
    services: list[ServiceModel] = []
    tenants: list[TenantModel] | None = None
    limits: LimitsModel = msgspec.field(default_factory=LimitsModel)


class ServerModel(msgspec.Struct):
    """Schema of a server entry; other writers may omit fields or change types."""

    service: str
    address: str
    zone: str
    version: str
    capacity: Integer
    state: str
    warmup_left_ms: Amount
    sequence: Integer
    born: Count = 0


_config_decoder = msgspec.json.Decoder(ConfigModel)
_server_decoder = msgspec.json.Decoder(ServerModel)


def decode_table(value: bytes) -> RoutingTable:
    """Return the routing table in `value`; raise ConfigurationError if malformed."""
    try:
        model = decode(_config_decoder, value)
    except MalformedInputError as error:
        raise ConfigurationError(
            f"malformed operator configuration: {error.problem}",
            "write a valid configuration",
        ) from error
    routes: dict[str, list[Route]] = {}
    for entry in model.routes:
        routes.setdefault(entry.hostname.lower(), []).append(_create_route(entry))
    return RoutingTable(
        model.version,
        {
            host: tuple(sorted(items, key=lambda r: -len(r.prefix)))
            for host, items in routes.items()
        },
        {entry.name: _create_service(entry) for entry in model.services},
        _index_workspaces_by_key(model.tenants),
        CallerLimits(
            model.limits.max_header_bytes,
            model.limits.max_body_bytes,
            model.limits.header_timeout_ms,
            model.limits.idle_timeout_ms,
        ),
    )


def _create_route(model: RouteModel) -> Route:
    split = tuple(ServiceShare(s.service, s.weight) for s in model.traffic_split)
    return Route(
        model.name,
        model.hostname.lower(),
        model.path_prefix,
        # A request to a route of an unknown type must not be repeated.
        WORK_KINDS.get(model.route_type, WorkKind.ONCE),
        model.timeout_ms,
        model.target_latency_ms,
        max(model.max_attempts, 1),
        model.priority,
        split or (ServiceShare(model.service, 1.0),),
        model.anonymous,
        model.stream_resume,
        model.target_itl_ms,
    )


def _create_service(model: ServiceModel) -> Service:
    engine = None
    if model.engine is not None:
        engine = Engine(
            model.engine.kv_capacity,
            model.engine.backups,
            max(model.engine.kv_token_bytes, 0.0),
            max(model.engine.link_mbps, 0.0),
        )
    return Service(model.name, engine)


def _index_workspaces_by_key(
    models: list[TenantModel] | None,
) -> dict[str, Workspace] | None:
    if models is None:
        return None
    for model in models:
        if model.name and not is_header_value(model.name):
            raise ConfigurationError(
                f"the name {model.name!r} of a workspace fits no header",
                "write it in Latin-1 without control characters",
            )
    return {
        key: Workspace(model.name, model.priority)
        for model in models
        for key in model.api_keys
    }


def decode_server(name: str, value: bytes) -> ServerRecord | None:
    """Return the server in `value`, or None if its state does not allow its use.

    Raise MalformedInputError if the entry is malformed.
    """
    model = decode(_server_decoder, value)
    if not is_header_value(name):
        raise MalformedInputError(f"the name {name!r} fits no header")
    if not _has_valid_address(model):
        raise MalformedInputError(f"the address {model.address[:80]!r} is malformed")
    if model.state not in {STATE_READY, STATE_LEAVING}:
        return None
    return ServerRecord(
        name,
        model.service,
        model.address,
        model.zone,
        max(model.capacity, 1),
        model.state == STATE_LEAVING,
        model.born,
        model.sequence,
        model.version,
    )


def _has_valid_address(model: ServerModel) -> bool:
    host, _, port = model.address.rpartition(":")
    return is_ipv4_address(host) and bool(parse_port(port))
