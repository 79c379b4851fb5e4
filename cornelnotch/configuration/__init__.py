"""Derive the current configuration from the records published by operators."""

from cornelnotch.configuration.fold import (
    Change,
    ConfigurationState,
    RecordResult,
    Snapshot,
    apply_record,
    choose_snapshot,
    create_snapshot,
    decode_record,
    encode_record,
    restore_snapshot,
)
from cornelnotch.configuration.models import (
    ClaimSettings,
    Configuration,
    PoolSection,
    SelectorSection,
    ServerSection,
    ServiceClass,
    WorkspaceSection,
    parse_labels,
)
from cornelnotch.configuration.selection import Selection, select_class
from cornelnotch.configuration.shards import ShardPlan, find_shards, plan_shards

__all__ = [
    "Change",
    "ClaimSettings",
    "Configuration",
    "ConfigurationState",
    "PoolSection",
    "RecordResult",
    "Selection",
    "SelectorSection",
    "ServerSection",
    "ServiceClass",
    "ShardPlan",
    "Snapshot",
    "WorkspaceSection",
    "apply_record",
    "choose_snapshot",
    "create_snapshot",
    "decode_record",
    "encode_record",
    "find_shards",
    "parse_labels",
    "plan_shards",
    "restore_snapshot",
    "select_class",
]
