"""Test a host that weighs cached prefixes, with its listeners and simulated servers."""

import asyncio

import pytest

from cornelnotch.gateway.settings import PlacementSection
from cornelnotch.gateway.tests import conftest
from cornelnotch.gateway.tests.conftest import run_deployment
from cornelnotch.prefix.strategy import WeighedStrategy

PROMPT = {"x_token_usage": "20000,10", "x_prompt_prefix": "aa:13300,bb:6700"}


def run_weighed(monkeypatch, scenario):
    create_settings = conftest.create_settings

    def create_weighed(*args, **fields):
        settings = create_settings(*args, **fields)
        settings.placement = PlacementSection("weighed")
        return settings

    async def run():
        async with run_deployment() as deployment:
            await scenario(deployment)

    monkeypatch.setattr(conftest, "create_settings", create_weighed)
    asyncio.run(run())


@pytest.mark.parametrize("count", [4])
def test_prompts_of_one_prefix_reach_one_engine_and_are_counted(monkeypatch, count):
    """Guards against grants that never reach the strategy."""

    async def scenario(d):
        strategy = d.host.context.placer.strategy
        assert isinstance(strategy, WeighedStrategy)
        for number in range(count):
            response = await d.send(
                "/stream/draft/x", "POST", b"b", x_attempt_id=f"a{number}", **PROMPT
            )
            await response.read()
        received = [len(engine.received_headers) for engine in d.engines]
        assert sorted(received) == [0, count]
        totals = strategy.totals
        assert totals.shared_tokens == count * 13_300
        assert totals.held_tokens == (count - 1) * 13_300
        assert b'name="prefix_held_tokens"' in d.host.render_metrics()

    run_weighed(monkeypatch, scenario)


def test_calls_are_served_as_usual(monkeypatch):
    """Guards against estimates of prompts applied to calls."""

    async def scenario(d):
        response = await d.send("/read/x")
        assert (await response.read(), response.status)[1] == 200
        assert d.host.context.placer.strategy.totals.shared_tokens == 0

    run_weighed(monkeypatch, scenario)
