"""Data classes of demand, fleets and orders of servers."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = [
    "DomainFleet",
    "DomainPlan",
    "EngineSupply",
    "KindCount",
    "OrderKey",
    "ServerKind",
    "ServerOrder",
    "ServiceNeed",
    "Work",
]


class ServerKind(StrEnum):
    """Whether servers are kept until released, or may be taken back."""

    ON_DEMAND = "on-demand"
    SPOT = "spot"


@dataclass(frozen=True, slots=True)
class Work:
    """What callers ask for per second; `served_ms` is the mean time of a request.

    `served_ms` is 0 if no request has been served.
    """

    requests: float = 0.0
    prefill_tokens: float = 0.0
    output_tokens: float = 0.0
    served_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class EngineSupply:
    """What one server does: prompt tokens per ms, ms per output token, slots, memory.

    `prefill_rate` is 0 for servers that generate no tokens, and `memory_tokens` 0 if
    its size is not known.
    """

    prefill_rate: float
    token_ms: float
    slots: int
    memory_tokens: int = 0


@dataclass(frozen=True, slots=True)
class ServiceNeed:
    """Servers that the callers of one region need.

    `full` keeps room for bursts. `secure` must keep serving while others are exchanged.
    `lasting` must be left when one domain loses all its spot servers.
    """

    full: float
    secure: float
    lasting: float


@dataclass(frozen=True, slots=True)
class KindCount:
    """Servers of one kind in one domain: serving, and expected once orders are done."""

    serving: int
    level: int

    @property
    def kept(self) -> int:
        """Return how many of the serving ones no order takes away."""
        return min(self.serving, self.level)


@dataclass(frozen=True, slots=True)
class DomainFleet:
    """Servers of a service in one domain; without a price they stay as they are."""

    domain: str
    region: str
    price: float | None
    on_demand: KindCount
    spot: KindCount
    spot_available: bool = True

    def get(self, kind: ServerKind) -> KindCount:
        """Return the servers of a kind."""
        return self.spot if kind is ServerKind.SPOT else self.on_demand


@dataclass(frozen=True, slots=True)
class DomainPlan:
    """Numbers of servers to order in one domain."""

    domain: str
    on_demand: int
    spot: int

    def get(self, kind: ServerKind) -> int:
        """Return the number of a kind."""
        return self.spot if kind is ServerKind.SPOT else self.on_demand


@dataclass(frozen=True, slots=True)
class OrderKey:
    """What one order sets: the number of servers of a kind in a domain."""

    service: str
    domain: str
    kind: ServerKind


@dataclass(frozen=True, slots=True)
class ServerOrder:
    """Order of an absolute number of servers, replacing earlier orders of its key."""

    key: OrderKey
    count: int
