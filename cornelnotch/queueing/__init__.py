"""Queue requests by tier and deadline and bind them late to servers."""

from cornelnotch.queueing.disciplines import Discipline
from cornelnotch.queueing.estimates import DurationEstimator
from cornelnotch.queueing.models import (
    ClassRule,
    Grant,
    Pause,
    Refusal,
    ServerRule,
    ShardRule,
    Waiting,
)
from cornelnotch.queueing.shard import Shard, create_shard

__all__ = [
    "ClassRule",
    "Discipline",
    "DurationEstimator",
    "Grant",
    "Pause",
    "Refusal",
    "ServerRule",
    "Shard",
    "ShardRule",
    "Waiting",
    "create_shard",
]
