"""Load balancing of requests between servers."""

from cornelnotch.balancing.balancers import (
    AdaptiveBalancer,
    Balancer,
    LeastInFlightBalancer,
    RoundRobinBalancer,
)
from cornelnotch.balancing.servers import ServerState

__all__ = [
    "AdaptiveBalancer",
    "Balancer",
    "LeastInFlightBalancer",
    "RoundRobinBalancer",
    "ServerState",
]
