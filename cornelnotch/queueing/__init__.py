"""Queue requests by tier and deadline, with late binding to servers."""

from cornelnotch.queueing.disciplines import Discipline, QueueChoice
from cornelnotch.queueing.estimates import DurationEstimator
from cornelnotch.queueing.fifo import FifoDiscipline
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
from cornelnotch.queueing.tiered import TieredDiscipline

__all__ = [
    "ClassRule",
    "Discipline",
    "DurationEstimator",
    "FifoDiscipline",
    "Grant",
    "Pause",
    "QueueChoice",
    "Refusal",
    "ServerRule",
    "Shard",
    "ShardRule",
    "TieredDiscipline",
    "Waiting",
    "create_shard",
]
