"""Load balancers: the adaptive one, and two simple ones for comparison."""

import itertools
from abc import ABC, abstractmethod

from cornelnotch.balancing.servers import ServerState
from cornelnotch.kernel import register_plugin
from cornelnotch.queueing.models import QueuedRequest

__all__ = [
    "AdaptiveBalancer",
    "Balancer",
    "LeastInFlightBalancer",
    "RoundRobinBalancer",
]

AFFINITY_BONUS = 0.25


class Balancer(ABC):
    """Base class of load balancers.

    `binds_late` is whether a request waits in the queue until a server has a free
    slot. Otherwise it is assigned on arrival, even to a busy server.
    """

    binds_late = True

    @abstractmethod
    def choose(
        self, servers: list[ServerState], item: QueuedRequest, now: float
    ) -> ServerState | None:
        """Return a server, or None if the request must wait."""


@register_plugin("balancer", "adaptive")
class AdaptiveBalancer(Balancer):
    """Balancer that prefers free, fast servers that cache the request's prefix."""

    def choose(
        self, servers: list[ServerState], item: QueuedRequest, now: float
    ) -> ServerState | None:
        """Return the free server with the lowest score, which is the best."""
        free = [server for server in servers if server.count_free(now) > 0]
        preferred = [server for server in free if server.name not in item.excluded]
        return min(
            preferred or free,
            key=lambda server: (self._score(server, item), server.name),
            default=None,
        )

    @staticmethod
    def _score(server: ServerState, item: QueuedRequest) -> float:
        """Return the load, raised if unhealthy and lowered for a cached prefix."""
        score = (server.busy + server.external) / server.slots
        if server.slow or server.failures:
            score += 1.0
        if item.affinity and item.affinity in server.affinity:
            score -= AFFINITY_BONUS
        return score


@register_plugin("balancer", "round-robin")
class RoundRobinBalancer(Balancer):
    """Balancer that cycles through servers regardless of load, for comparison."""

    binds_late = False

    def __init__(self) -> None:
        self._turns = itertools.count()

    def choose(
        self, servers: list[ServerState], item: QueuedRequest, now: float
    ) -> ServerState | None:
        """Return the next server."""
        usable = [server for server in servers if not server.leaving]
        return usable[next(self._turns) % len(usable)] if usable else None


@register_plugin("balancer", "least-in-flight")
class LeastInFlightBalancer(Balancer):
    """Balancer that chooses the server with the fewest busy slots, for comparison.

    It assigns requests to a server even if all its slots are busy.
    """

    binds_late = False

    def choose(
        self, servers: list[ServerState], item: QueuedRequest, now: float
    ) -> ServerState | None:
        """Return the server on which this dispatcher occupies the fewest slots."""
        usable = [server for server in servers if not server.leaving]
        return min(usable, key=lambda s: (s.busy, s.name), default=None)
