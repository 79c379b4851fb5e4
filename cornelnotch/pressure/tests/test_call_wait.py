"""Test how long a call waits at its host for a server that is slow or full."""

import asyncio

import pytest

from cornelnotch.gateway.flow import RequestFlow
from cornelnotch.gateway.tests.conftest import run_deployment
from cornelnotch.kernel.events import Event
from cornelnotch.pressure.call_choice import CallEstimate
from cornelnotch.pressure.call_wait import HoldBounds, find_hold_ms
from cornelnotch.pressure.models import ServerLoad

BOUNDS = HoldBounds(1000.0, 1200.0, 3200.0)


def create_estimate(wait_ms=0.0, work_ms=20.0, pace=1.0, full=False):
    return CallEstimate(wait_ms, work_ms, 6 / work_ms, pace, full)


@pytest.mark.parametrize(
    ("estimate", "holds"),
    [
        (create_estimate(), False),
        (create_estimate(work_ms=50.0, pace=2.5), False),
        # The queue of a server at its usual pace is left to the server.
        (create_estimate(wait_ms=300.0), False),
        # A slow server that still meets the target is used.
        (create_estimate(wait_ms=20.0, work_ms=50.0, pace=2.5), False),
        (create_estimate(wait_ms=150.0, work_ms=50.0, pace=2.5), True),
        (create_estimate(full=True), True),
    ],
)
def test_a_call_waits_only_where_that_serves_its_target(estimate, holds):
    assert (find_hold_ms(estimate, BOUNDS, 1001.0) > 0) == holds


def test_a_call_waits_no_longer_than_half_of_its_time():
    # Estimates may be wrong; a call must not be lost by waiting alone.
    slow = create_estimate(wait_ms=900.0, work_ms=50.0, pace=2.5, full=True)
    now, steps = 1000.0, 0
    while step_ms := find_hold_ms(slow, BOUNDS, now):
        now += step_ms
        steps += 1
    assert now == pytest.approx(1100.0)
    assert steps < 20
    urgent = HoldBounds(1000.0, 1200.0, 1050.0)
    assert find_hold_ms(slow, urgent, 1025.0) == 0.0


def state_load(context, name, load):
    view = context.pool.servers[name]
    boot_ms = view.record.boot_ms
    context.loads.observe(name, "desk", boot_ms, load, context.clock.read())


async def measure_call(deployment, **headers):
    clock = deployment.host.clock
    started_ms = clock.read()
    response = await deployment.send("/read/a", **headers)
    body = await response.read()
    return response.status, body, clock.read() - started_ms


@pytest.mark.alone
def test_a_call_waits_until_a_slot_is_free_elsewhere():
    async def run():
        async with run_deployment() as deployment:
            context = deployment.host.context
            slow = ServerLoad(6, 60, 6, 2.5)
            for server in ("desk-1", "desk-2"):
                state_load(context, server, slow)
            call = asyncio.create_task(measure_call(deployment))
            await asyncio.sleep(0.04)
            assert not call.done()
            state_load(context, "desk-2", ServerLoad(1, 0, 6))
            status, body, spent_ms = await call
            assert status == 200
            assert b"desk-2" in body or not body
            assert 40.0 <= spent_ms < 1000.0

    asyncio.run(run())


def test_a_call_is_sent_after_half_of_its_target_though_all_are_slow():
    async def run():
        async with run_deployment() as deployment:
            context = deployment.host.context
            for server in ("desk-1", "desk-2"):
                state_load(context, server, ServerLoad(6, 600, 6, 5.0))
            status, _, spent_ms = await measure_call(deployment)
            assert status == 200
            assert spent_ms < 1000.0

    asyncio.run(run())


def test_a_call_does_not_wait_where_no_server_states_its_load(monkeypatch):
    async def run():
        async with run_deployment() as deployment:
            context = deployment.host.context
            held = []
            record = RequestFlow.record_event

            def record_event(flow, event, **fields):
                held.append(event)
                record(flow, event, **fields)

            monkeypatch.setattr(RequestFlow, "record_event", record_event)
            status, _, _ = await measure_call(deployment)
            assert status == 200
            assert context.loads.count() == 0
            assert Event.SERVER_CHOSEN in held
            assert Event.CALL_HELD not in held

    asyncio.run(run())
