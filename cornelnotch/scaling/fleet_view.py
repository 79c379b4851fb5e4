"""Describe the servers of a service by domain and kind; no I/O."""

from collections.abc import Callable, Iterable, Mapping

from cornelnotch.gateway.models import Autoscaling, ServerRecord
from cornelnotch.scaling.models import (
    DomainFleet,
    KindCount,
    OrderKey,
    ServerKind,
)

__all__ = ["count_serving", "find_kind", "list_fleets", "measure_cost"]


def find_kind(record: ServerRecord) -> ServerKind:
    """Return the kind of a server."""
    return ServerKind.SPOT if record.reclaimable else ServerKind.ON_DEMAND


def count_serving(records: Iterable[ServerRecord], key: OrderKey) -> int:
    """Return how many servers of a kind are there and stay."""
    return sum(
        record.service == key.service
        and record.domain == key.domain
        and find_kind(record) is key.kind
        and not record.leaving
        for record in records
    )


def list_fleets(
    service: str,
    bounds: Autoscaling,
    records: Iterable[ServerRecord],
    regions: Mapping[str, str],
    find_level: Callable[[OrderKey, int], int],
    is_spot_available: Callable[[str, str], bool],
) -> list[DomainFleet]:
    """Return the fleet of each domain in which a service runs or has a price.

    `find_level` returns the number of servers once orders are executed.
    """
    known = [record for record in records if record.service == service]
    domains = {record.domain for record in known}
    domains |= {name for name in bounds.domain_prices or {} if name in regions}
    fleets = []
    for domain in sorted(domains):
        counts = {}
        for kind in ServerKind:
            key = OrderKey(service, domain, kind)
            serving = count_serving(known, key)
            counts[kind] = KindCount(serving, find_level(key, serving))
        fleets.append(
            DomainFleet(
                domain,
                regions.get(domain, domain),
                bounds.find_price(domain),
                counts[ServerKind.ON_DEMAND],
                counts[ServerKind.SPOT],
                is_spot_available(service, domain),
            )
        )
    return fleets


def measure_cost(bounds: Autoscaling, records: Iterable[ServerRecord]) -> float:
    """Return the price of all servers of a service per second, leaving ones too."""
    cost = 0.0
    for record in records:
        price = bounds.find_price(record.domain) or 0.0
        cost += price * (bounds.spot_price if record.reclaimable else 1.0)
    return cost
