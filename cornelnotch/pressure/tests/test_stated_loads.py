"""Test that a host applies the loads which servers state in their responses."""

import asyncio

import pytest

from cornelnotch.gateway.tests.conftest import (
    run_deployment,
    run_second_host,
    wait_until,
)
from cornelnotch.kernel.events import Event
from cornelnotch.pressure.models import ServerLoad


def state_in_responses(server, text):
    """Let a stand-in state its load in all responses."""
    create = server._create_headers

    def create_headers(request_id):
        return {**create(request_id), "X-Server-Load": text}

    server._create_headers = create_headers


def list_loads(deployment):
    loads = deployment.host.context.loads
    found = (loads.find_newest(name) for name in ("desk-1", "desk-2"))
    return [newest.load for newest in found if newest is not None]


async def send_calls(deployment, count):
    for number in range(count):
        response = await deployment.send("/read/a", x_attempt_id=f"a-{number}")
        assert response.status == 200
        assert await response.read()


def test_a_load_in_a_response_is_known_at_once():
    async def run():
        async with run_deployment() as deployment:
            for server in deployment.desks:
                state_in_responses(server, "3,1,6,250")
            await send_calls(deployment, 3)
            assert set(list_loads(deployment)) == {ServerLoad(3, 1, 6, 2.5)}

    asyncio.run(run())


@pytest.mark.parametrize("text", ["6", "-1,0,6", "1,1,1,nan", "9" * 3000, "1,2,0"])
def test_a_malformed_load_is_ignored_with_one_log_line(text, monkeypatch):
    # A faulty server must not fill the log, nor change how calls are served.
    async def run():
        lines = []

        async with run_deployment() as deployment:
            for server in deployment.desks:
                state_in_responses(server, text)
            events = deployment.host.context.events
            record = events.record

            def record_event(event, **fields):
                lines.append((event, fields))
                record(event, **fields)

            monkeypatch.setattr(events, "record", record_event)
            await send_calls(deployment, 20)
            assert list_loads(deployment) == []
        malformed = [f for e, f in lines if e is Event.SERVER_LOAD_MALFORMED]
        assert 1 <= len(malformed) <= 2
        assert all(len(fields["text"]) <= 80 for fields in malformed)

    asyncio.run(run())


def test_other_hosts_hear_of_a_load_over_the_collector():
    # One host sees a given server only every some seconds.
    async def run():
        async with (
            run_deployment() as deployment,
            run_second_host(deployment) as second,
        ):
            for server in deployment.desks:
                state_in_responses(server, "6,2,6,250")
            hosts = [deployment.host, second]
            for sender, hearer in (hosts, hosts[::-1]):
                address = sender.settings.listen.callers
                response = await deployment.send("/read/a", address=address)
                assert response.status == 200
                assert await response.read()
                (name,) = {
                    name
                    for name in ("desk-1", "desk-2")
                    if sender.context.loads.find_newest(name) is not None
                }
                await wait_until(
                    lambda hearer=hearer, name=name: (
                        hearer.context.loads.find_newest(name) is not None
                    )
                )
                for host in hosts:
                    host.context.loads._newest.clear()
                    host.load_notices._news._told.clear()

    asyncio.run(run())


def test_a_load_without_a_pace_changes_nothing():
    """Guard deployments whose servers state three figures; they change nothing."""

    async def run():
        async with run_deployment() as deployment:
            for server in deployment.desks:
                state_in_responses(server, "6,2,6")
            await send_calls(deployment, 5)
            assert list_loads(deployment) == []

    asyncio.run(run())
