"""Test that each request that a server begins to run is counted once."""

import asyncio

import pytest

from cornelnotch.gateway.tests.conftest import run_deployment


def count_requests(path, prepare=lambda deployment: None, **headers):
    """Send a request and return the workspaces counted for it, and its status."""

    async def scenario():
        async with run_deployment() as d:
            counted: list[str] = []
            d.host.context.count_usage = counted.append
            prepare(d)
            response = await d.send(path, **headers)
            await response.read()
            return counted, response.status

    return asyncio.run(scenario())


@pytest.mark.parametrize("path", ["/read/x", "/book/x", "/stream/x"])
def test_a_request_is_counted_for_its_workspace(path):
    counted, status = count_requests(path)
    assert status == 200
    assert counted == ["acme"]


# Guards against a request that is billed twice because a server failed.
@pytest.mark.parametrize(
    ("path", "fault"),
    [
        ("/read/x", {"fail_times": 1}),
        ("/read/x", {"refuse": True}),
        ("/read/x", {"abort": True}),
        ("/stream/x", {"abort_after_events": 2}),
    ],
)
def test_a_request_that_a_second_server_ends_is_counted_once(path, fault):
    def prepare(d):
        # Either server may come first, so each request meets the fault or not.
        for server in (d.desks[0], d.engines[0]):
            for name, value in fault.items():
                setattr(server.faults, name, value)

    counted, status = count_requests(path, prepare)
    assert status == 200
    assert counted == ["acme"]


# Guards against requests that are billed although no server began to run them.
def test_a_request_that_all_servers_refuse_is_not_counted():
    def prepare(d):
        for server in d.desks:
            server.faults.refuse = True

    counted, status = count_requests("/read/x", prepare)
    assert status == 503
    assert counted == []


def test_a_request_without_a_workspace_is_not_counted():
    counted, status = count_requests("/open/x", x_key="")
    assert status == 200
    assert counted == []
