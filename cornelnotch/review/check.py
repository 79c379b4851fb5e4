"""Find entries of a configuration that never match or contradict each other; no I/O."""

from collections.abc import Iterable, Iterator

from cornelnotch.gateway.body_memory import BODY_SHARE, BYTES_PER_MB
from cornelnotch.gateway.models import WorkKind
from cornelnotch.review.models import (
    Finding,
    ReviewedConfiguration,
    ReviewedRoute,
    ReviewedService,
)

__all__ = ["SMALLEST_MEMORY_MB", "check_configuration"]

# Memory of the smallest host that deployments use.
SMALLEST_MEMORY_MB = 200.0


def check_configuration(
    configuration: ReviewedConfiguration,
    memory_mb: float = SMALLEST_MEMORY_MB,
    in_force: ReviewedConfiguration | None = None,
) -> list[Finding]:
    """Return what is wrong with a configuration for hosts with `memory_mb`."""
    return [
        *_check_version(configuration, in_force),
        *_check_names(configuration),
        *_check_shadowed(configuration.routes),
        *(f for route in configuration.routes for f in _check_route(route)),
        *_check_shares(configuration),
        *(f for service in configuration.services for f in _check_service(service)),
        *_check_keys(configuration),
        *_check_limits(configuration, memory_mb),
    ]


def _check_version(
    configuration: ReviewedConfiguration, in_force: ReviewedConfiguration | None
) -> Iterator[Finding]:
    if in_force is None or configuration.version > in_force.version:
        return
    yield Finding(
        "version",
        f"version {configuration.version} is not above {in_force.version}, the version"
        " in force, so hosts ignore it",
        f"write {in_force.version + 1} or more",
    )


def _check_names(configuration: ReviewedConfiguration) -> Iterator[Finding]:
    groups = (
        ("route", configuration.routes),
        ("service", configuration.services),
        ("workspace", configuration.workspaces or ()),
    )
    for word, entries in groups:
        first: dict[str, str] = {}
        for entry in entries:
            if not entry.name:
                yield Finding(entry.path, f"the {word} has no name", "name it")
            elif entry.name in first:
                yield Finding(
                    entry.path,
                    f"the {word} {entry.name!r} stands at {first[entry.name]} already",
                    "rename or remove one of them",
                )
            first.setdefault(entry.name, entry.path)


def _check_shadowed(routes: Iterable[ReviewedRoute]) -> Iterator[Finding]:
    first: dict[tuple[str, str], ReviewedRoute] = {}
    for route in routes:
        known = first.setdefault((route.host, route.prefix), route)
        if known is not route:
            yield Finding(
                route.path,
                f"the route {route.name!r} never matches: {known.name!r} at"
                f" {known.path} has the same host name and prefix {route.prefix!r}",
                "change the prefix or remove one of them",
            )


def _check_route(route: ReviewedRoute) -> Iterator[Finding]:
    name = f"the route {route.name!r}"
    if not route.host or any(c in route.host for c in " /:"):
        yield Finding(
            route.path,
            f"{name} never matches: no request has the host name {route.host!r}",
            "write a host name without port and path",
        )
    if not route.prefix.startswith("/"):
        yield Finding(
            route.path,
            f"{name} never matches: no path begins with {route.prefix!r}",
            "begin the prefix with /",
        )
    if route.kind is None:
        yield Finding(
            route.path,
            f"{name} has an unknown type, so hosts never repeat its requests",
            "write one of the types of the platform",
        )
    if route.timeout_ms <= 0:
        yield Finding(
            route.path, f"{name} has no time to answer", "write a timeout above 0 ms"
        )
    yield from _check_targets(route, name)
    if route.attempts < 1:
        yield Finding(
            route.path,
            f"{name} allows {route.attempts} attempts; hosts make one",
            "write 1 or more",
        )
    if route.kind is WorkKind.ONCE and route.attempts > 1:
        yield Finding(
            route.path,
            f"{name} allows {route.attempts} attempts, but its requests run at most"
            " once, so only those that certainly did not run are repeated",
            "write 1 attempt, or a type that may be repeated",
        )


def _check_targets(route: ReviewedRoute, name: str) -> Iterator[Finding]:
    targets = (
        ("target", route.target_ms),
        ("target between tokens", route.target_itl_ms),
    )
    for word, target_ms in targets:
        if 0 < route.timeout_ms < target_ms:
            yield Finding(
                route.path,
                f"{name} has a timeout of {route.timeout_ms:g} ms below its {word} of"
                f" {target_ms:g} ms",
                "raise the timeout or lower the target",
            )
        if target_ms < 0:
            yield Finding(
                route.path, f"{name} has a negative {word}", "write 0 or more ms"
            )


def _check_shares(configuration: ReviewedConfiguration) -> Iterator[Finding]:
    services = {service.name for service in configuration.services}
    for route in configuration.routes:
        for share in route.shares:
            if share.service not in services:
                yield Finding(
                    route.path,
                    f"the route {route.name!r} names the service {share.service!r},"
                    " which is not listed",
                    "list the service or correct its name",
                )
            if share.weight <= 0:
                yield Finding(
                    route.path,
                    f"the service {share.service!r} of the route {route.name!r} gets no"
                    f" requests, as its weight is {share.weight:g}",
                    "write a weight above 0 or remove it",
                )


def _check_service(service: ReviewedService) -> Iterator[Finding]:
    least, most = service.least, service.most
    if least is not None and most is not None and least > most:
        yield Finding(
            service.path,
            f"the service {service.name!r} has at least {least:g} but at most"
            f" {most:g} servers per failure domain",
            "lower the minimum or raise the maximum",
        )
    if service.engine is not None and service.engine.cache_tokens <= 0:
        yield Finding(
            service.path,
            f"the engines of the service {service.name!r} have no cache memory",
            "write the number of tokens that an engine caches",
        )


def _check_keys(configuration: ReviewedConfiguration) -> Iterator[Finding]:
    holders: dict[str, str] = {}
    for workspace in configuration.workspaces or ():
        if not workspace.keys:
            yield Finding(
                workspace.path,
                f"the workspace {workspace.name!r} has no key, so no request is its",
                "give it a key or remove it",
            )
        for index, key in enumerate(workspace.keys):
            holder = holders.setdefault(key, workspace.name)
            if holder != workspace.name:
                yield Finding(
                    workspace.path,
                    f"key {index} of the workspace {workspace.name!r} is also a key of"
                    f" {holder!r}, to which its requests no longer count",
                    "remove the key from one of them",
                )


def _check_limits(
    configuration: ReviewedConfiguration, memory_mb: float
) -> Iterator[Finding]:
    limits = configuration.limits
    path = configuration.limits_path
    usable_bytes = int(memory_mb * BYTES_PER_MB * BODY_SHARE)
    if limits.body_bytes > usable_bytes:
        yield Finding(
            path,
            f"a body may have {limits.body_bytes} bytes, but a host with {memory_mb:g}"
            f" MB has {usable_bytes} for all bodies",
            "lower the limit or give the hosts more memory",
        )
    amounts = (
        ("body", limits.body_bytes, "bytes"),
        ("header section", limits.header_bytes, "bytes"),
        ("time for the header section", limits.header_timeout_ms, "ms"),
        ("idle time of a connection", limits.idle_timeout_ms, "ms"),
    )
    for word, amount, unit in amounts:
        if amount <= 0:
            yield Finding(
                path,
                f"the limit of the {word} is {amount:g}, so no request is served",
                f"write a number of {unit} above 0",
            )
