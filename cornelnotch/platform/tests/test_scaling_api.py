"""Test the calls that order servers against a simulated platform."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from cornelnotch.duties.models import CallOutcome, Claim
from cornelnotch.platform import duty_api
from cornelnotch.platform.scaling_api import PlatformScalingApi
from cornelnotch.scaling.models import OrderKey, ServerKind, ServerOrder
from cornelnotch.standins.scaling import PlacedOrder, ScalingStandin
from cornelnotch.standins.store import StoreStandin
from cornelnotch.web import HttpClient

CLAIM = Claim("host-1", 12, 1)
ORDER = ServerOrder(OrderKey("llm", "a1", ServerKind.ON_DEMAND), 3)
SPOT = ServerOrder(OrderKey("llm", "a1", ServerKind.SPOT), 2)


@asynccontextmanager
async def run_platform():
    platform = ScalingStandin(StoreStandin())
    client = HttpClient()
    await platform.start()
    try:
        yield platform, PlatformScalingApi(platform.address, client)
    finally:
        client.close()
        await platform.stop()


def test_orders_have_the_fields_and_headers_of_the_platform():
    async def place_both():
        async with run_platform() as (platform, api):
            for order in (ORDER, SPOT):
                outcome = await api.place_order(CLAIM, order, lambda: True)
                assert outcome is CallOutcome.ACCEPTED
            return platform.orders

    assert asyncio.run(place_both()) == [
        PlacedOrder("host-1", 12, "llm", "a1", 3, False),
        PlacedOrder("host-1", 12, "llm", "a1", 2, True),
    ]


def test_an_order_under_a_lapsed_claim_is_not_sent():
    # A host that was suspended after the connect must not act on its old claim.
    async def place():
        async with run_platform() as (platform, api):
            outcome = await api.place_order(CLAIM, ORDER, lambda: False)
            return outcome, platform.orders

    assert asyncio.run(place()) == (CallOutcome.UNANSWERED, [])


def test_a_lower_token_and_a_busy_api_are_told():
    async def place():
        async with run_platform() as (platform, api):
            platform.accept_token("llm", "a1", 13)
            assert await api.place_order(CLAIM, ORDER, bool) is CallOutcome.UNANSWERED
            outcomes = [await api.place_order(CLAIM, ORDER, lambda: True)]
            platform.fault = "busy"
            outcomes.append(await api.place_order(CLAIM, ORDER, lambda: True))
            return outcomes

    assert asyncio.run(place()) == [CallOutcome.CONFLICT, CallOutcome.BUSY]


def test_spot_servers_that_are_not_to_be_had_are_a_conflict():
    async def place():
        async with run_platform() as (platform, api):
            platform.without_spot.add("a1")
            return await api.place_order(CLAIM, SPOT, lambda: True)

    assert asyncio.run(place()) is CallOutcome.CONFLICT


@pytest.mark.parametrize("late_s", [0.0, 0.3])
def test_a_silent_api_and_a_late_one_are_unanswered(monkeypatch, late_s):
    monkeypatch.setattr(duty_api, "CALL_TIMEOUT_S", 0.1)

    async def place():
        async with run_platform() as (platform, api):
            platform.fault = "" if late_s else "silent"
            platform.late_s = late_s
            outcome = await api.place_order(CLAIM, ORDER, lambda: True)
            await asyncio.sleep(late_s + 0.05)
            return outcome, len(platform.executed)

    executed = 1 if late_s else 0
    assert asyncio.run(place()) == (CallOutcome.UNANSWERED, executed)


def test_an_unreachable_api_is_unanswered():
    async def place():
        client = HttpClient()
        api = PlatformScalingApi("127.0.0.1:1", client)
        return await api.place_order(CLAIM, ORDER, lambda: True)

    assert asyncio.run(place()) is CallOutcome.UNANSWERED
