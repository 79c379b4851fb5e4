"""Describe the state of a shard in refusals and decision traces."""

from collections.abc import Iterable

from cornelnotch.balancing.servers import ServerState
from cornelnotch.queueing.disciplines import Discipline
from cornelnotch.queueing.models import RunningRequest
from cornelnotch.wire.messages import ClassOccupancy

__all__ = ["describe_occupancy", "describe_servers"]


def _describe_server(server: ServerState, now: float) -> str:
    if server.leaving:
        return "leaving"
    if now < server.ejected_until_ms:
        return f"rests {server.ejected_until_ms - now:.0f} ms after a failure"
    health = "slow, " if server.slow else ""
    health += "recovering, " if server.failures else ""
    free = server.count_free(now)
    return f"{health}{server.busy} of {server.slots} slots busy, {free} usable"


def describe_servers(servers: dict[str, ServerState], now: float) -> dict[str, str]:
    """Return the state of each server at `now`, by server name."""
    return {name: _describe_server(server, now) for name, server in servers.items()}


def describe_occupancy(
    running: Iterable[RunningRequest], discipline: Discipline
) -> tuple[ClassOccupancy, ...]:
    """Return the running and queued requests of each class."""
    waiting: dict[tuple[str, int], int] = {}
    held: dict[tuple[str, int], int] = {}
    for request in running:
        if not request.displaced:
            key = (request.class_name, request.tier)
            held[key] = held.get(key, 0) + 1
    for item in discipline.list_waiting():
        key = (item.class_name, item.tier)
        waiting[key] = waiting.get(key, 0) + 1
    return tuple(
        ClassOccupancy(
            name,
            tier,
            waiting.get((name, tier), 0),
            held.get((name, tier), 0),
            discipline.get_floor_places(name),
        )
        for name, tier in sorted(waiting.keys() | held.keys())
    )
