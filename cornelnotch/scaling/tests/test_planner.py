"""Test the planned numbers of servers; each test names its load or failure."""

from hypothesis import given, settings, strategies as st

from cornelnotch.gateway.models import Autoscaling
from cornelnotch.scaling.models import DomainFleet, KindCount, ServiceNeed
from cornelnotch.scaling.planner import plan_domains, plan_targets
from cornelnotch.scaling.tests.fleets import BOUNDS, PRICES, create_fleets, create_need

PLANS = settings(derandomize=True, deadline=None, max_examples=400, database=None)


def count(plans):
    return sum(plan.on_demand + plan.spot for plan in plans)


def find(plans, domain):
    return next(plan for plan in plans if plan.domain == domain)


def test_a_fleet_of_on_demand_servers_is_replaced_by_spot_servers():
    needs = {"a": create_need(20, 15), "b": create_need(20, 15)}
    targets = plan_targets(BOUNDS, create_fleets(7), needs)
    assert count(targets) == 40
    assert sum(plan.spot for plan in targets) == 40


def test_on_demand_servers_stay_until_spot_servers_serve():
    # 42 serve, 36 must; the spot servers that are ordered count only once they serve.
    needs = {"a": create_need(20, 18), "b": create_need(20, 18)}
    plans = plan_domains(BOUNDS, create_fleets(7), needs, may_reduce=True)
    assert sum(plan.on_demand for plan in plans) == 36
    assert sum(plan.spot for plan in plans) > 0
    ready = plan_domains(BOUNDS, create_fleets(6, 4), needs, may_reduce=True)
    assert sum(plan.on_demand for plan in ready) <= 18


def test_rising_load_adds_servers_at_once():
    needs = {"a": create_need(25), "b": create_need(25)}
    plans = plan_domains(BOUNDS, create_fleets(0, 4), needs, may_reduce=False)
    assert count(plans) >= 50


def test_falling_load_releases_the_most_expensive_servers_first():
    needs = {"a": create_need(12), "b": create_need(12)}
    plans = plan_domains(BOUNDS, create_fleets(5), needs, may_reduce=True)
    assert find(plans, "a3").on_demand == 0
    assert sum(plan.on_demand for plan in plans) == 24


def test_nothing_is_released_without_full_knowledge():
    needs = {"a": create_need(2), "b": create_need(0)}
    plans = plan_domains(BOUNDS, create_fleets(4, 4), needs, may_reduce=False)
    assert all(plan.on_demand >= 4 and plan.spot >= 4 for plan in plans)


def test_a_reclaimed_domain_is_replaced_while_no_spot_servers_are_to_be_had():
    # All spot servers of a1 are gone and none are to be had there.
    needs = {"a": create_need(21), "b": create_need(21)}
    fleets = create_fleets(0, 7, unavailable={"a1"})
    plans = plan_domains(BOUNDS, fleets, needs, may_reduce=True)
    assert count(plans) >= 42
    assert find(plans, "a1").spot == 0


def test_with_no_spot_servers_anywhere_on_demand_servers_take_over():
    needs = {"a": create_need(21), "b": create_need(21)}
    fleets = create_fleets(2, 0, unavailable=set(PRICES))
    plans = plan_domains(BOUNDS, fleets, needs, may_reduce=True)
    assert sum(plan.on_demand for plan in plans) >= 42


def test_each_region_gets_what_its_callers_need():
    needs = {"a": create_need(24), "b": create_need(6)}
    plans = plan_targets(BOUNDS, create_fleets(0), needs)
    assert count(p for p in plans if p.domain.startswith("a")) == 24


def test_what_has_no_room_in_a_region_goes_to_another_one():
    needs = {"a": create_need(40), "b": create_need(6)}
    plans = plan_targets(BOUNDS, create_fleets(0), needs)
    assert count(p for p in plans if p.domain.startswith("a")) == 30
    assert count(plans) == 46


def test_cheap_domains_get_more_spot_servers_but_not_most():
    plans = plan_targets(BOUNDS, create_fleets(0), {"a": create_need(12)})
    assert find(plans, "a1").spot >= find(plans, "a3").spot
    assert max(plan.spot for plan in plans) <= 6


def test_spot_servers_that_cost_more_are_not_ordered():
    bounds = Autoscaling(1, 10, 4000.0, 1.5, PRICES)
    plans = plan_targets(bounds, create_fleets(0), {"a": create_need(12)})
    assert sum(plan.spot for plan in plans) == 0


def test_a_domain_without_a_price_is_left_as_it_is():
    prices = {**PRICES, "a1": None}
    fleets = create_fleets(4, prices=prices)
    plans = plan_domains(BOUNDS, fleets, {"a": create_need(12)}, may_reduce=True)
    assert "a1" not in {plan.domain for plan in plans}


kinds = st.builds(KindCount, st.integers(0, 6), st.integers(0, 6))
shares = st.floats(0.1, 1.0)


@st.composite
def deployments(draw):
    minimum = draw(st.integers(0, 3))
    bounds = Autoscaling(minimum, draw(st.integers(max(minimum, 1), 12)), 4000.0, 0.18)
    fleets = [
        DomainFleet(
            f"{region}{number}",
            region,
            draw(st.sampled_from([0.8, 1.0, 1.25])),
            draw(kinds),
            draw(kinds),
            draw(st.booleans()),
        )
        for region in "ab"
        for number in range(draw(st.integers(1, 3)))
    ]
    needs = {}
    for region in "ab":
        full = draw(st.floats(0.0, 40.0))
        secure = full * draw(shares)
        needs[region] = ServiceNeed(full, secure, secure * draw(shares))
    return bounds, fleets, needs


@PLANS
@given(deployments())
def test_targets_are_within_the_bounds(deployment):
    bounds, fleets, needs = deployment
    plans = plan_targets(bounds, fleets, needs)
    assert len(plans) == len(fleets)
    for plan in plans:
        assert bounds.minimum <= plan.on_demand + plan.spot <= bounds.maximum


@PLANS
@given(deployments())
def test_the_loss_of_one_domain_leaves_the_lasting_need(deployment):
    bounds, fleets, needs = deployment
    plans = plan_targets(bounds, fleets, needs)
    total = count(plans)
    lasting = sum(need.lasting for need in needs.values())
    for plan in plans:
        # Where the bounds allow no more servers, all that are left are on-demand ones.
        assert total - plan.spot >= min(lasting, total)


@PLANS
@given(deployments(), st.booleans())
def test_orders_keep_to_the_bounds_and_to_what_serves(deployment, may_reduce):
    bounds, fleets, needs = deployment
    plans = plan_domains(bounds, fleets, needs, may_reduce)
    secure = sum(need.secure for need in needs.values())
    kept_before = sum(f.on_demand.kept + f.spot.kept for f in fleets)
    kept = 0
    for plan, fleet in zip(plans, fleets, strict=True):
        before = fleet.on_demand.level + fleet.spot.level
        ordered = plan.on_demand + plan.spot
        assert ordered >= min(before, bounds.minimum)
        held = sum(max(c.serving, c.level) for c in (fleet.on_demand, fleet.spot))
        assert ordered <= max(before, bounds.maximum)
        assert ordered >= bounds.minimum or held >= bounds.minimum
        if not may_reduce:
            assert plan.on_demand >= fleet.on_demand.level
            assert plan.spot >= fleet.spot.level
        kept += min(fleet.on_demand.kept, plan.on_demand)
        kept += min(fleet.spot.kept, plan.spot)
    assert kept >= min(secure, kept_before)


def test_spot_servers_cover_the_loss_of_a_domain_with_more_of_them():
    """Guard against on-demand servers that stay where a few more spot ones suffice.

    The load is steady, so that no room for bursts is left to release.
    """
    fleets = [
        DomainFleet(name, "r", 1.0, KindCount(3, 3), KindCount(0, 0))
        for name in "abcdef"
    ]
    need = ServiceNeed(18.0, 18.0, 18.0)
    plans = plan_targets(Autoscaling(0, 10, 4000.0, 0.18, None), fleets, {"r": need})
    spot = sum(plan.spot for plan in plans)
    on_demand = sum(plan.on_demand for plan in plans)
    assert on_demand + 0.18 * spot < 0.4 * 18
    assert on_demand + spot - max(plan.spot for plan in plans) >= 18
