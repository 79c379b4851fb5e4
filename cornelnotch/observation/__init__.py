"""Metrics, attainment of objectives and traces of routing decisions."""

from cornelnotch.observation.decisions import Decision, DecisionLog, Trace
from cornelnotch.observation.metrics import NodeMetrics
from cornelnotch.observation.windows import AttainmentWindows

__all__ = [
    "AttainmentWindows",
    "Decision",
    "DecisionLog",
    "NodeMetrics",
    "Trace",
]
