"""Where one request may run, and whether it may be sent once more."""

from cornelnotch.runs.handover import MAX_OVERLAP_S, Handover
from cornelnotch.runs.request_runs import RequestRuns

__all__ = ["MAX_OVERLAP_S", "Handover", "RequestRuns"]
