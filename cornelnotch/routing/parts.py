"""Hold what every request of a host shares, and how a request ends early."""

from dataclasses import dataclass

from cornelnotch.claims import ClaimClient
from cornelnotch.kernel import Clock, EventLog
from cornelnotch.observation import NodeMetrics
from cornelnotch.routing.budget import RetryBudget
from cornelnotch.routing.fleet import FleetView
from cornelnotch.routing.permits import PermitClient
from cornelnotch.routing.replies import Problem
from cornelnotch.routing.upstreams import EngineUpstream, ServiceUpstream

__all__ = ["FlowError", "FlowParts"]


@dataclass(frozen=True, slots=True)
class FlowParts:
    """Hold what every request of a host shares."""

    fleet: FleetView
    permits: PermitClient
    claims: ClaimClient
    engines: EngineUpstream
    services: ServiceUpstream
    metrics: NodeMetrics
    budget: RetryBudget
    clock: Clock
    events: EventLog
    retention_ms: float


class FlowError(Exception):
    """End a request with the problem that the caller is told."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.message)
        self.problem = problem
