"""Fleets of simulated domains."""

from cornelnotch.gateway.models import Autoscaling
from cornelnotch.scaling.models import DomainFleet, KindCount, ServiceNeed

__all__ = ["BOUNDS", "PRICES", "create_fleets", "create_need"]

PRICES = {"a1": 0.8, "a2": 1.0, "a3": 1.25, "b1": 0.9, "b2": 1.0, "b3": 1.1}
BOUNDS = Autoscaling(1, 10, 4000.0, 0.18, PRICES)


def create_fleets(on_demand, spot=0, unavailable=(), prices=None):
    """Return fleets with the same numbers of servers in each domain."""
    return [
        DomainFleet(
            domain,
            domain[0],
            price,
            KindCount(on_demand, on_demand),
            KindCount(0, 0) if domain in unavailable else KindCount(spot, spot),
            domain not in unavailable,
        )
        for domain, price in (PRICES if prices is None else prices).items()
    ]


def create_need(full, secure=None, lasting=None):
    secure = full if secure is None else secure
    return ServiceNeed(full, secure, secure / 2 if lasting is None else lasting)
