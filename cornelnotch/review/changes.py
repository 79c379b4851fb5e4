"""Describe how a configuration differs from the one in force; no I/O."""

from collections.abc import Iterator

from cornelnotch.gateway.models import CallerLimits, Engine
from cornelnotch.review.models import (
    Change,
    ReviewedConfiguration,
    ReviewedRoute,
    ReviewedService,
    ReviewedWorkspace,
)

__all__ = ["describe_changes"]


def describe_changes(
    in_force: ReviewedConfiguration, following: ReviewedConfiguration
) -> list[Change]:
    """Return the differences, in the order of the new configuration."""
    return [
        *_describe_hosts(in_force, following),
        *_describe_routes(in_force, following),
        *_describe_services(in_force, following),
        *_describe_workspaces(in_force, following),
        *_describe_limits(in_force.limits, following.limits),
    ]


def _describe_value(word: str, old: object, new: object, unit: str = "") -> str:
    shown = f" {unit}" if unit else ""
    return f"{word} {_show(old)}{shown}, now {_show(new)}{shown}"


def _show(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    return f"{value:g}" if isinstance(value, float) else str(value)


def _describe_hosts(
    in_force: ReviewedConfiguration, following: ReviewedConfiguration
) -> Iterator[Change]:
    remaining = {route.host for route in following.routes}
    for host in sorted({route.host for route in in_force.routes} - remaining):
        yield Change(
            f"host name {host}", "no route is left; its requests get status 404"
        )


def _describe_routes(
    in_force: ReviewedConfiguration, following: ReviewedConfiguration
) -> Iterator[Change]:
    old_routes = {route.name: route for route in in_force.routes}
    for route in following.routes:
        old = old_routes.pop(route.name, None)
        subject = f"route {route.name}"
        if old is None:
            yield Change(subject, f"new, for {route.host}{route.prefix}")
            continue
        for text in _compare_routes(old, route):
            yield Change(subject, text)
    for old in old_routes.values():
        yield Change(f"route {old.name}", f"removed, was {old.host}{old.prefix}")


def _compare_routes(old: ReviewedRoute, new: ReviewedRoute) -> Iterator[str]:
    pairs = (
        ("host name", old.host, new.host, ""),
        ("prefix", old.prefix, new.prefix, ""),
        ("type", old.kind, new.kind, ""),
        ("timeout", old.timeout_ms, new.timeout_ms, "ms"),
        ("target", old.target_ms, new.target_ms, "ms"),
        ("target between tokens", old.target_itl_ms, new.target_itl_ms, "ms"),
        ("attempts", old.attempts, new.attempts, ""),
        ("priority", old.priority, new.priority, ""),
        ("without key", old.is_anonymous, new.is_anonymous, ""),
        ("resumable", old.resumable, new.resumable, ""),
    )
    for word, before, after, unit in pairs:
        if before != after:
            yield _describe_value(word, before, after, unit)
    before_shares, after_shares = _show_shares(old), _show_shares(new)
    if before_shares != after_shares:
        yield _describe_value("services", before_shares, after_shares)


def _show_shares(route: ReviewedRoute) -> str:
    """Return the services of a route with their shares in percent."""
    total = sum(max(share.weight, 0.0) for share in route.shares)
    return ", ".join(
        f"{share.service} {max(share.weight, 0.0) / total:.1%}"
        if total > 0
        else share.service
        for share in route.shares
    )


def _describe_services(
    in_force: ReviewedConfiguration, following: ReviewedConfiguration
) -> Iterator[Change]:
    old_services = {service.name: service for service in in_force.services}
    for service in following.services:
        old = old_services.pop(service.name, None)
        subject = f"service {service.name}"
        if old is None:
            yield Change(subject, "new")
            continue
        for text in _compare_services(old, service):
            yield Change(subject, text)
    for name in old_services:
        yield Change(f"service {name}", "removed")


def _compare_services(old: ReviewedService, new: ReviewedService) -> Iterator[str]:
    bounds = (
        ("fewest servers", old.least, new.least),
        ("most servers", old.most, new.most),
    )
    for word, before, after in bounds:
        if before != after:
            yield _describe_value(word, before, after, "per failure domain")
    if (old.engine is None) != (new.engine is None):
        yield _describe_value("engines", old.engine is not None, new.engine is not None)
    elif old.engine is not None and new.engine is not None:
        yield from _compare_engines(old.engine, new.engine)


def _compare_engines(old: Engine, new: Engine) -> Iterator[str]:
    pairs = (
        ("cache memory", old.cache_tokens, new.cache_tokens, "tokens"),
        ("copies of streams", old.accepts_copies, new.accepts_copies, ""),
        ("cached token", old.kv_token_bytes, new.kv_token_bytes, "bytes"),
        ("link between engines", old.link_mbps, new.link_mbps, "Mbit/s"),
    )
    for word, before, after, unit in pairs:
        if before != after:
            yield _describe_value(word, before, after, unit)


def _describe_workspaces(
    in_force: ReviewedConfiguration, following: ReviewedConfiguration
) -> Iterator[Change]:
    if (in_force.workspaces is None) != (following.workspaces is None):
        needed = following.workspaces is not None
        yield Change("workspaces", "keys are now " + ("needed" if needed else "unused"))
    old_workspaces = {w.name: w for w in in_force.workspaces or ()}
    for workspace in following.workspaces or ():
        old = old_workspaces.pop(workspace.name, None)
        subject = f"workspace {workspace.name}"
        if old is None:
            yield Change(subject, f"new, with {len(workspace.keys)} keys")
            continue
        for text in _compare_workspaces(old, workspace):
            yield Change(subject, text)
    for name in old_workspaces:
        yield Change(f"workspace {name}", "removed; its keys are refused")


def _compare_workspaces(
    old: ReviewedWorkspace, new: ReviewedWorkspace
) -> Iterator[str]:
    """Yield the differences; keys are secret, so only their number is stated."""
    added = len(set(new.keys) - set(old.keys))
    removed = len(set(old.keys) - set(new.keys))
    if added:
        yield f"{added} keys more"
    if removed:
        yield f"{removed} keys are refused from now on"
    if old.priority != new.priority:
        yield _describe_value("priority", old.priority, new.priority)


def _describe_limits(old: CallerLimits, new: CallerLimits) -> Iterator[Change]:
    pairs = (
        ("body", old.body_bytes, new.body_bytes, "bytes"),
        ("header section", old.header_bytes, new.header_bytes, "bytes"),
        (
            "time for the header section",
            old.header_timeout_ms,
            new.header_timeout_ms,
            "ms",
        ),
        (
            "idle time of a connection",
            old.idle_timeout_ms,
            new.idle_timeout_ms,
            "ms",
        ),
    )
    for word, before, after, unit in pairs:
        if before != after:
            yield Change("limits", _describe_value(word, before, after, unit))
