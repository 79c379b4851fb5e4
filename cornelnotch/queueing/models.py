"""Data model of a shard: its configuration, its requests and its decisions.

All times are ms of the local monotonic clock.
"""

from dataclasses import dataclass, field

from cornelnotch.wire.messages import ClassOccupancy

__all__ = [
    "ClassConfig",
    "Grant",
    "PreemptionNotice",
    "QueuedRequest",
    "Refusal",
    "RunningRequest",
    "ServerConfig",
    "ShardConfig",
    "WorkspaceLimits",
]


@dataclass(frozen=True, slots=True)
class ClassConfig:
    """Targets and priority of a service class."""

    name: str
    tier: int
    first_token_ms: float | None
    whole_ms: float | None
    longest_wait_ms: float
    floor: float


@dataclass(frozen=True, slots=True)
class ServerConfig:
    """Configuration of a server."""

    name: str
    address: str
    slots: int
    leaving: bool


@dataclass(frozen=True, slots=True)
class WorkspaceLimits:
    """Rate and concurrency limits of a workspace within one shard."""

    requests_per_second: float | None
    burst: int
    concurrent: int | None


@dataclass(frozen=True, slots=True)
class ShardConfig:
    """Configuration of a shard."""

    name: str
    discipline: str
    balancer: str
    preemptible: bool
    queue_per_slot: float
    expected_ms: float
    classes: dict[str, ClassConfig]
    servers: dict[str, ServerConfig]
    workspaces: dict[str, WorkspaceLimits]


@dataclass(slots=True)
class QueuedRequest:
    """Queued request.

    It misses its target if it starts after `target_start_ms`, and its deadline if
    it starts after `deadline_start_ms`.
    """

    request_id: str
    holder: str
    class_name: str
    tier: int
    workspace: str
    affinity: str
    arrived_ms: float
    target_start_ms: float
    deadline_start_ms: float
    order: int
    excluded: frozenset[str] = frozenset()
    late: bool = False


@dataclass(slots=True)
class RunningRequest:
    """Request that was granted a slot on a server.

    A displaced request keeps its stream, but the engine serves a higher tier
    first, so it does not count against the server's slots.
    """

    request_id: str
    holder: str
    class_name: str
    tier: int
    workspace: str
    server: str
    granted_ms: float
    order: int
    displaced: bool = False
    displaced_ms: float = 0.0
    first_token_seen: bool = False


@dataclass(frozen=True, slots=True)
class Grant:
    """Assignment of a request to a server, with the rule that chose it."""

    request_id: str
    holder: str
    server: str
    address: str
    queued_ms: float
    reason: str


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refusal of a request, with the classes that occupied the shard at that time."""

    request_id: str
    holder: str
    reason: str
    retry_after_ms: float
    occupancy: tuple[ClassOccupancy, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class PreemptionNotice:
    """Notification that a request was paused or resumed in the engine.

    It is sent to the holder, the host that forwards the request.
    """

    request_id: str
    holder: str
    paused: bool


Effect = Grant | Refusal | PreemptionNotice
