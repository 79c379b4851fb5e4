"""Choose the server of a request."""

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
