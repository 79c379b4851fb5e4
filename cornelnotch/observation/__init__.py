"""Metrics, attainment of objectives and traces of routing decisions."""

from cornelnotch.observation.metrics import NodeMetrics
from cornelnotch.observation.traces import Decision, Trace, TraceStore
from cornelnotch.observation.windows import AttainmentWindows

__all__ = [
    "AttainmentWindows",
    "Decision",
    "NodeMetrics",
    "Trace",
    "TraceStore",
]
