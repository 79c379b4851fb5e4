"""Test the shares of cost saved and of callers served in a fluid computation.

The deployments: 45 engines in 6 domains, a third of their capacity in use on average,
bursts of 2.3 times, servers that boot for 4 s, days of a minute.
"""

import dataclasses

import pytest

from cornelnotch.gateway.engine_estimates import PRIOR_RATES
from cornelnotch.scaling.tests.fluid_fleet import FluidFleet

DAY_S = 60
LOAD = 1 / 3
BURST = 2.3
# Shares of callers that get nothing; lost callers cost far more than idle servers.
SERVED_SHARE = 0.99
URGENT_SHARE = 0.95
# A third of the on-demand servers of a day, exchanged for spot servers at 0.18.
SAVED_SHARE = 0.27


def steady(second):
    return LOAD


def with_bursts(second):
    return LOAD * BURST if 15 <= second < 21 or 40 <= second < 46 else LOAD * 0.85


def rising(second):
    return LOAD * (0.5 + second / DAY_S)


def falling(second):
    return LOAD * (1.5 - second / DAY_S)


LOADS = [steady, with_bursts, rising, falling]


@pytest.mark.parametrize("load", LOADS)
def test_a_day_costs_less_and_serves_its_callers(load):
    result = FluidFleet().run(DAY_S, load)
    assert result.served_share >= SERVED_SHARE
    assert result.saved_share >= SAVED_SHARE


@pytest.mark.parametrize("at_s", [20, 32, 41])
@pytest.mark.parametrize("domain", ["a1", "b2"])
def test_a_reclaimed_domain_hardly_loses_callers(domain, at_s):
    fleet = FluidFleet()
    result = fleet.run(DAY_S, with_bursts, {at_s: lambda: fleet.reclaim(domain)})
    assert result.urgent_share >= URGENT_SHARE
    assert result.served_share >= SERVED_SHARE


def test_orders_that_are_executed_late_lose_no_callers():
    # Every third order is not answered and executed 3 s later, after newer ones.
    result = FluidFleet(lost_every=3).run(DAY_S, with_bursts)
    assert result.served_share >= SERVED_SHARE


def test_an_api_that_accepts_one_call_a_second_is_enough():
    result = FluidFleet(calls_per_s=1.0).run(DAY_S, with_bursts)
    assert result.served_share >= SERVED_SHARE
    assert result.saved_share >= 0.2


def test_leases_that_end_between_two_writes_hold_nothing_up(monkeypatch):
    # The holder renews its claim once asked for it: one look in six finds none.
    fleet = FluidFleet()
    claim, looks = fleet.holder.claim, iter(range(10**6))
    monkeypatch.setattr(
        fleet.holder, "find_claim", lambda: claim if next(looks) % 6 else None
    )
    result = fleet.run(DAY_S, steady)
    assert result.served_share >= SERVED_SHARE
    assert result.saved_share >= SAVED_SHARE


def forget_rates(fleet):
    fleet.context.engine_rates.get_average = lambda name: PRIOR_RATES


def stop_listing(fleet):
    read_ms = fleet.clock.read()
    fleet.context.find_listed_ms = lambda: read_ms


def miss_hosts(fleet):
    fleet.context.count_known_hosts = lambda: 3


def lose_claim(fleet):
    fleet.holder.claim = None


HOLDS = [forget_rates, stop_listing, miss_hosts, lose_claim]


@pytest.mark.parametrize("lose_knowledge", HOLDS)
def test_nothing_is_released_without_full_knowledge(lose_knowledge):
    # Demand falls to a fifth, which the holder must not act upon.
    fleet = FluidFleet()
    fleet.run(3, steady)
    lose_knowledge(fleet)
    fleet.run(57, lambda second: LOAD / 5)
    assert sum(server.released_ms < float("inf") for server in fleet.servers) == 0


def test_a_service_without_requests_keeps_one_server_after_a_while():
    fleet = FluidFleet(maximum=10)
    fleet.bounds = dataclasses.replace(fleet.bounds, minimum=0)
    service = dataclasses.replace(
        fleet.context.table.services["llm"], autoscaling=fleet.bounds
    )
    fleet.context.table.services["llm"] = service
    fleet.run(25, lambda second: 0.0)
    assert all(server.released_ms == float("inf") for server in fleet.servers)
    fleet.run(60, lambda second: 0.0)
    assert sum(server.released_ms == float("inf") for server in fleet.servers) == 1


def test_a_fleet_at_its_bound_still_exchanges_servers():
    result = FluidFleet(maximum=8).run(DAY_S, steady)
    assert result.served_share >= SERVED_SHARE
    assert result.saved_share >= SAVED_SHARE


def test_a_burst_beyond_the_room_is_followed():
    # Demand triples for 20 s; what is lost is lost in the boot of more servers.
    def load(second):
        return LOAD * 3.2 if second >= 30 else LOAD * 0.5

    fleet = FluidFleet(maximum=12)
    fleet.run(36, load)
    result = fleet.run(14, lambda second: LOAD * 3.2)
    assert result.urgent_share == pytest.approx(1.0)
    assert result.served_share >= 0.95
