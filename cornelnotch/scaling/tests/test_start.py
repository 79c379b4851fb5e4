"""Test autoscaling of a host against a simulated platform, store and servers."""

import asyncio
import sys
from contextlib import asynccontextmanager

import pytest

from cornelnotch.gateway.settings import DutiesSection
from cornelnotch.gateway.tests.conftest import (
    Deployment,
    create_configuration,
    wait_until,
)
from cornelnotch.platform.program import run_scaling
from cornelnotch.scaling import controller, orders
from cornelnotch.scaling.tests.fake_holder import FakeHolder
from cornelnotch.standins.scaling import ScalingStandin

BLOCK = {"min": 1, "max": 6, "boot_s": 0.2, "zone_prices": {"north-a": 1.0}}


@pytest.fixture(autouse=True)
def quick_decisions(monkeypatch):
    """Shorten times that are long beside those of a test."""
    monkeypatch.setattr(controller, "TICK_MS", 50.0)
    monkeypatch.setattr(controller, "MIN_HISTORY_MS", 1500.0)
    monkeypatch.setattr(orders, "REDUCE_HOLD_MS", 200.0)
    monkeypatch.setattr(orders, "RECLAIMED_PAUSE_MS", 1000.0)
    monkeypatch.setattr(orders, "SHOWN_MARGIN_MS", 500.0)


class ScaledDeployment:
    """A deployment whose service `desk` is scaled by one host."""

    def __init__(self, deployment, platform, holder):
        self.deployment = deployment
        self.platform = platform
        self.holder = holder
        self.callers = set()

    def load(self, callers):
        """Let a number of callers send one request after the other."""
        for _ in range(callers):
            self.callers.add(asyncio.ensure_future(self._call()))

    async def _call(self):
        while True:
            response = await self.deployment.send("/read/x")
            await response.read()

    def count(self, spot):
        return self.platform.count("desk", "north-a", spot)

    def count_listed(self):
        servers = self.deployment.host.context.pool.servers.values()
        return sum(v.record.service == "desk" and not v.leaving for v in servers)

    async def stop_load(self):
        for caller in self.callers:
            caller.cancel()
        await asyncio.gather(*self.callers, return_exceptions=True)
        self.callers.clear()


@asynccontextmanager
async def run_scaled(block=BLOCK, servers=3, window_s=1.0, names="autoscaling"):
    deployment = Deployment()
    await deployment.start()
    platform = ScalingStandin(deployment.store)
    await platform.start()
    holder = FakeHolder()
    scaled = ScaledDeployment(deployment, platform, holder)
    try:
        for server in deployment.desks:
            deployment.drop_server(server)
        await platform.add("desk", "north-a", servers)
        await wait_until(lambda: scaled.count_listed() == servers)
        deployment.settings.duties = DutiesSection(
            platform.address, names, fenced=True, window_s=window_s
        )
        services = [{"name": "desk", "autoscaling": block}, {"name": "llm"}]
        if block is None:
            services[0].pop("autoscaling")
        deployment.configure(create_configuration(2, services=services))
        host = deployment.host
        await wait_until(lambda: host.context.table.version == 2)
        host.tasks.start("scaling start", run_scaling(host, holder))
        yield scaled
    finally:
        await scaled.stop_load()
        await deployment.stop()
        await platform.stop()


def test_idle_servers_are_released_and_others_replaced_by_spot_servers():
    async def scale():
        async with run_scaled() as scaled:
            scaled.load(2)
            await wait_until(lambda: scaled.count(False) < 3, 15.0)
            assert scaled.count(False) + scaled.count(True) >= 1
            await wait_until(lambda: scaled.platform.executed, 5.0)

    asyncio.run(scale())


def test_no_server_is_released_in_the_first_window_of_a_holder():
    async def scale():
        async with run_scaled(window_s=60.0) as scaled:
            scaled.load(2)
            await asyncio.sleep(3.0)
            assert scaled.count(False) == 3

    asyncio.run(scale())


def test_no_server_is_released_while_half_the_hosts_do_not_report():
    async def scale():
        async with run_scaled() as scaled:
            scaled.deployment.host.context.unreachable_hosts = 1
            scaled.deployment.host.context.set_hosts = lambda *arguments: None
            scaled.load(2)
            await asyncio.sleep(4.0)
            assert scaled.count(False) == 3

    asyncio.run(scale())


def test_without_the_claim_nothing_is_ordered():
    async def scale():
        async with run_scaled() as scaled:
            scaled.holder.claim = None
            scaled.load(2)
            await asyncio.sleep(3.0)
            assert scaled.platform.orders == []

    asyncio.run(scale())


def test_a_higher_token_ends_the_orders_of_the_older_one():
    async def scale():
        async with run_scaled({**BLOCK, "min": 5, "spot_price": 2.0}) as scaled:
            scaled.platform.accept_token("desk", "north-a", 2)
            await wait_until(lambda: scaled.holder.conflicts, 5.0)
            assert len(scaled.platform.orders) == 1
            await asyncio.sleep(0.5)
            assert len(scaled.platform.orders) == 1

    asyncio.run(scale())


def test_callers_are_served_while_the_api_is_silent():
    async def scale():
        async with run_scaled({**BLOCK, "min": 5}) as scaled:
            scaled.platform.fault = "silent"
            scaled.load(2)
            await wait_until(lambda: scaled.platform.orders, 5.0)
            response = await scaled.deployment.send("/read/x")
            await response.read()
            assert response.status == 200
            scaled.platform.fault = ""
            await wait_until(lambda: scaled.count_listed() >= 5, 10.0)

    asyncio.run(scale())


def test_reclaimed_spot_servers_are_replaced_and_counted():
    async def scale():
        async with run_scaled({**BLOCK, "min": 4}) as scaled:
            await scaled.platform.add("desk", "north-a", 1, True)
            scaled.load(1)
            await wait_until(lambda: scaled.count_listed() >= 4, 10.0)
            scaled.platform.reclaim("desk", "north-a")
            await wait_until(lambda: scaled.count_listed() < 4, 5.0)
            await wait_until(lambda: scaled.count(False) >= 4, 10.0)
            metrics = scaled.deployment.host.render_metrics().decode()
            assert "cornelnotch_reclaimed_servers_total" in metrics

    asyncio.run(scale())


@pytest.mark.parametrize(("block", "names"), [(None, "autoscaling"), (BLOCK, "")])
def test_hosts_that_scale_nothing_count_nothing(block, names):
    async def scale():
        async with run_scaled(block, names=names) as scaled:
            await asyncio.sleep(0.3)
            context = scaled.deployment.host.context
            assert type(context.demand).__name__ == "UnrecordedDemand"
            assert scaled.platform.orders == []

    asyncio.run(scale())


def test_the_program_does_not_import_autoscaling():
    code = (
        "import sys, cornelnotch.platform.program;"
        "sys.exit(any(n.startswith('cornelnotch.scaling') for n in sys.modules))"
    )

    async def run():
        process = await asyncio.create_subprocess_exec(sys.executable, "-c", code)
        return await process.wait()

    assert asyncio.run(run()) == 0
