"""Test that each request of a caller is offered to the demand recorder once."""

import asyncio

from cornelnotch.gateway.demand import DemandRecorder
from cornelnotch.gateway.tests.conftest import run_deployment, wait_until


class RecordedDemand(DemandRecorder):
    """Keep what was recorded."""

    def __init__(self):
        self.arrivals = []
        self.prefills = []
        self.refusals = []
        self.served = []

    def record_arrival(self, service, priority, request):
        self.arrivals.append((service, priority))

    def record_prefill(self, service, prompt_tokens, prefill_tokens):
        self.prefills.append(service)

    def record_refusal(self, service, priority):
        self.refusals.append((service, priority))

    def record_served(self, service, priority, duration_ms):
        self.served.append((service, priority, duration_ms))


def test_served_and_refused_requests_are_recorded_once():
    demand = RecordedDemand()

    async def send_both():
        async with run_deployment() as d:
            d.host.context.demand = demand
            response = await d.send("/read/x")
            await response.read()
            assert response.status == 200
            await wait_until(lambda: len(demand.served) == 1)
            for server in d.desks:
                d.drop_server(server)
            await wait_until(lambda: d.count_servers() == 2)
            response = await d.send("/read/x")
            await response.read()
            assert response.status == 503
            await wait_until(lambda: demand.refusals)

    asyncio.run(send_both())
    assert demand.arrivals == [("desk", 1), ("desk", 1)]
    assert demand.refusals == [("desk", 1)]
    assert demand.prefills == ["desk"]
    ((_, _, duration_ms),) = demand.served
    assert 0 < duration_ms < 5000
