"""Queue requests by tier and deadline, with late binding to servers."""

from cornelnotch.queueing.disciplines import Discipline, QueueChoice
from cornelnotch.queueing.estimates import DurationEstimator
from cornelnotch.queueing.fifo import FifoDiscipline
from cornelnotch.queueing.models import (
    ClassConfig,
    Grant,
    PreemptionNotice,
    QueuedRequest,
    Refusal,
    ServerConfig,
    ShardConfig,
)
from cornelnotch.queueing.shard import Shard, create_shard
from cornelnotch.queueing.tiered import TieredDiscipline

__all__ = [
    "ClassConfig",
    "Discipline",
    "DurationEstimator",
    "FifoDiscipline",
    "Grant",
    "PreemptionNotice",
    "QueueChoice",
    "QueuedRequest",
    "Refusal",
    "ServerConfig",
    "Shard",
    "ShardConfig",
    "TieredDiscipline",
    "create_shard",
]
