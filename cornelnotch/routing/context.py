"""Components shared by all requests of a host, and the error that ends a request."""

import asyncio
from dataclasses import dataclass

from cornelnotch.claims import ClaimClient
from cornelnotch.kernel import Clock, EventLog
from cornelnotch.observation import NodeMetrics
from cornelnotch.routing.budget import RetryBudget
from cornelnotch.routing.fleet import FleetView
from cornelnotch.routing.permits import PermitClient
from cornelnotch.routing.responses import Problem
from cornelnotch.routing.upstreams import EngineUpstream, ServiceUpstream

__all__ = ["FlowContext", "RequestFailedError"]


@dataclass(frozen=True, slots=True)
class FlowContext:
    """Components shared by all requests of a host.

    `stopping` is set shortly before the process ends.
    """

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
    stopping: asyncio.Event


class RequestFailedError(Exception):
    """Error that ends a request with the problem reported to the caller."""

    def __init__(self, problem: Problem) -> None:
        super().__init__(problem.message)
        self.problem = problem
