"""Decode the records written to the store by operators and servers."""

import msgspec

from cornelnotch.exceptions import ConfigurationError, MalformedInputError
from cornelnotch.gateway.models import (
    Autoscaling,
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
MS_PER_SECOND = 1000.0
STATE_LEAVING = "draining"
STATE_READY = "ready"
# No deployment has domains of this size; a larger bound is a slip of the pen.
MAX_SERVERS_PER_DOMAIN = 10_000
# Servers that boot for longer could not follow demand at all.
MAX_BOOT_S = 600.0


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


class AutoscalingModel(msgspec.Struct):
    """Schema of the bounds and prices of a service's servers."""

    min: Count
    max: Count
    boot_s: Amount = 4.0
    spot_price: Amount = 0.18
    zone_prices: dict[str, msgspec.Raw] | None = None


class ServiceModel(msgspec.Struct):
    """Schema of a service; its autoscaling is decoded, and ignored, on its own."""

    name: str
    engine: EngineModel | None = None
    autoscaling: msgspec.Raw = msgspec.Raw()


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
    spot: bool | None = None
    leaves_ms: Amount | None = None


_config_decoder = msgspec.json.Decoder(ConfigModel)
_server_decoder = msgspec.json.Decoder(ServerModel)
_autoscaling_decoder = msgspec.json.Decoder(AutoscalingModel | None)
_price_decoder = msgspec.json.Decoder(Amount)


def decode_table(value: bytes) -> RoutingTable:
    """Return the routing table in `value`; raise ConfigurationError if malformed."""
    try:
        model = decode(_config_decoder, value)
    except MalformedInputError as error:
        raise ConfigurationError(
            f"malformed operator configuration: {error.problem}",
            "write a valid configuration",
        ) from error
    problems: list[str] = []
    routes: dict[str, list[Route]] = {}
    for entry in model.routes:
        routes.setdefault(entry.hostname.lower(), []).append(_create_route(entry))
    return RoutingTable(
        model.version,
        {
            host: tuple(sorted(items, key=lambda r: -len(r.prefix)))
            for host, items in routes.items()
        },
        {entry.name: _create_service(entry, problems) for entry in model.services},
        _index_workspaces_by_key(model.tenants),
        CallerLimits(
            model.limits.max_header_bytes,
            model.limits.max_body_bytes,
            model.limits.header_timeout_ms,
            model.limits.idle_timeout_ms,
        ),
        tuple(problems),
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


def _create_service(model: ServiceModel, problems: list[str]) -> Service:
    engine = None
    if model.engine is not None:
        engine = Engine(
            model.engine.kv_capacity,
            model.engine.backups,
            max(model.engine.kv_token_bytes, 0.0),
            max(model.engine.link_mbps, 0.0),
        )
    autoscaling = None
    if model.autoscaling:
        try:
            autoscaling = _create_autoscaling(model, problems)
        except MalformedInputError as error:
            problems.append(
                f"autoscaling of {model.name!r}: {error.problem}; no servers are "
                "ordered for this service; correct the value"
            )
    return Service(model.name, engine, autoscaling)


def _create_autoscaling(
    service: ServiceModel, problems: list[str]
) -> Autoscaling | None:
    """Return the bounds of a service; raise MalformedInputError if unusable."""
    model = decode(_autoscaling_decoder, bytes(service.autoscaling))
    if model is None:
        return None
    if model.min > model.max:
        raise MalformedInputError(f"min {model.min} is above max {model.max}")
    if model.max > MAX_SERVERS_PER_DOMAIN:
        raise MalformedInputError(f"max is above {MAX_SERVERS_PER_DOMAIN}")
    if not 0.0 <= model.boot_s <= MAX_BOOT_S:
        raise MalformedInputError(f"boot_s is not within 0 to {MAX_BOOT_S}")
    if model.spot_price < 0:
        raise MalformedInputError("spot_price is negative")
    prices = None
    if model.zone_prices is not None:
        prices = {
            domain: price
            for domain, raw in model.zone_prices.items()
            if (price := _read_price(service.name, domain, raw, problems)) is not None
        }
    return Autoscaling(
        model.min, model.max, model.boot_s * MS_PER_SECOND, model.spot_price, prices
    )


def _read_price(
    service: str, domain: str, raw: msgspec.Raw, problems: list[str]
) -> float | None:
    """Return the price of a domain, or None and a problem if it is malformed."""
    try:
        price = decode(_price_decoder, bytes(raw))
        if price >= 0:
            return price
        problem = f"price {price} is negative"
    except MalformedInputError as error:
        problem = error.problem
    problems.append(
        f"autoscaling of {service!r} in {domain!r}: {problem}; this domain keeps the "
        "servers that it has; write a price of at least 0"
    )
    return None


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
        bool(model.spot),
        max(model.leaves_ms or 0.0, 0.0),
    )


def _has_valid_address(model: ServerModel) -> bool:
    host, _, port = model.address.rpartition(":")
    return is_ipv4_address(host) and bool(parse_port(port))
