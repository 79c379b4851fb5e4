"""Define what a shard holds and what it decides; all times in local ms."""

from dataclasses import dataclass, field

from cornelnotch.wire.messages import Occupancy

__all__ = [
    "ClassRule",
    "Grant",
    "Pause",
    "Refusal",
    "Running",
    "ServerRule",
    "ShardRule",
    "Waiting",
    "WorkspaceRule",
]


@dataclass(frozen=True, slots=True)
class ClassRule:
    """Hold the targets and the rank of a class."""

    name: str
    tier: int
    first_token_ms: float | None
    whole_ms: float | None
    longest_wait_ms: float
    floor: float


@dataclass(frozen=True, slots=True)
class ServerRule:
    """Hold what the configuration says of a server."""

    name: str
    address: str
    slots: int
    leaving: bool


@dataclass(frozen=True, slots=True)
class WorkspaceRule:
    """Hold the limits of a workspace within one shard."""

    requests_per_second: float | None
    burst: int
    concurrent: int | None


@dataclass(frozen=True, slots=True)
class ShardRule:
    """Hold everything that the configuration says of a shard."""

    name: str
    discipline: str
    balancer: str
    preemptible: bool
    queue_per_slot: float
    expected_ms: float
    classes: dict[str, ClassRule]
    servers: dict[str, ServerRule]
    workspaces: dict[str, WorkspaceRule]


@dataclass(slots=True)
class Waiting:
    """Hold a request that waits.

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
class Running:
    """Hold a request that was granted a place on a server.

    A displaced request keeps its stream, but the engine lets a higher tier go
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
    """Bind a request to a server, with the rule that chose it."""

    request_id: str
    holder: str
    server: str
    address: str
    queued_ms: float
    reason: str


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refuse a request and name what held the places at that moment."""

    request_id: str
    holder: str
    reason: str
    retry_after_ms: float
    occupancy: tuple[Occupancy, ...] = field(default=())


@dataclass(frozen=True, slots=True)
class Pause:
    """Tell a holder whether its request waits in the engine."""

    request_id: str
    holder: str
    paused: bool


Effect = Grant | Refusal | Pause
