"""A host keeps following the platform's records when one of them is odd."""

import asyncio
import json

import orjson
import pytest

from cornelnotch.gateway.tests.conftest import (
    KEY,
    create_configuration,
    create_entry,
    run_deployment,
    run_second_host,
    wait_until,
)
from cornelnotch.testing.odd_input import DEEP_JSON


class Unstarted:
    """A server that never ran."""

    address = "127.0.0.1:9"


def create_odd_entry(**fields):
    return json.dumps(create_entry(Unstarted, "desk", **fields)).encode()


ODD_ENTRIES = {
    "deep": b'{"service": "desk", "x": ' + DEEP_JSON.encode() + b"}",
    "deep-zone": create_odd_entry().replace(b'"north-a"', DEEP_JSON.encode()),
    "large-born": create_odd_entry(born=2**70),
    "large-sequence": create_odd_entry(sequence=10**30),
    "large-capacity": create_odd_entry(capacity=10**400),
    "negative-born": create_odd_entry(born=-(2**70)),
    "port-out-of-range": create_odd_entry(address="127.0.0.1:65536"),
    "port-of-thousands-of-digits": create_odd_entry(address="127.0.0.1:" + "1" * 5000),
    "port-of-other-digits": create_odd_entry(address="127.0.0.1:\u00b2"),
    "port-of-arabic-digits": create_odd_entry(address="127.0.0.1:\u0669"),
    "empty-label-in-host": create_odd_entry(address="a..b:80"),
    "long-label-in-host": create_odd_entry(address="a" * 70 + ":80"),
    "null-in-host": create_odd_entry(address="a\x00b:80"),
    "infinite": create_odd_entry().replace(b": 8,", b": 1e999,"),
    "not-a-number": create_odd_entry().replace(b": 8,", b": NaN,"),
    "no-text": b"\xff\xfe\x00",
}
ODD_TABLES = {
    "deep": b'{"version": 9, "x": ' + DEEP_JSON.encode() + b"}",
    "large-version": orjson.dumps(create_configuration(0)).replace(
        b'"version":0', b'"version":' + b"9" * 30
    ),
    "no-text": b"\xff\xfe\x00",
}


def write_server(deployment, key, value):
    deployment.store.topics["keyed.servers"].write(key, value)


async def assert_answered(deployment, count=6):
    for index in range(count):
        response = await deployment.send("/read/a", x_attempt_id=f"a{index}")
        assert response.status == 200
        await response.read()


async def assert_list_is_followed(deployment):
    pool = deployment.host.context.pool
    first, second = deployment.desks
    deployment.drop_server(second)
    await wait_until(lambda: second.name not in pool.servers)
    await assert_answered(deployment)
    assert second.name not in pool.servers
    deployment.list_server(second, "desk", sequence=2)
    await wait_until(lambda: second.name in pool.servers)


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_server_entry_does_not_stop_the_list(name):
    async def run():
        async with run_deployment() as deployment:
            write_server(deployment, "odd", ODD_ENTRIES[name])
            await assert_list_is_followed(deployment)
            assert "odd" not in deployment.host.context.pool.servers

    asyncio.run(run())


@pytest.mark.parametrize("name", ODD_TABLES)
def test_odd_configuration_does_not_stop_later_ones(name):
    async def run():
        async with run_deployment() as deployment:
            topic = deployment.store.topics["keyed.op"]
            topic.write("config", ODD_TABLES[name])
            await asyncio.sleep(0.1)
            await assert_answered(deployment)
            deployment.configure(create_configuration(2))
            context = deployment.host.context
            await wait_until(lambda: context.table.version == 2)
            await assert_answered(deployment)

    asyncio.run(run())


ODD_NAMES = ["\u6771\u4eac", "a\nb", "a\x00b", " a", "a ", "\x7f", ""]


@pytest.mark.parametrize("name", ODD_NAMES)
def test_server_whose_name_fits_no_header_gets_no_requests(name):
    async def run():
        async with run_deployment() as deployment:
            entry = create_entry(deployment.desks[0], "desk")
            for server in deployment.desks:
                deployment.drop_server(server)
            write_server(deployment, name, orjson.dumps(entry))
            pool = deployment.host.context.pool
            await wait_until(lambda: not {"desk-1", "desk-2"} & set(pool.servers))
            response = await deployment.send("/read/a", x_deadline_ms="500")
            assert response.status == 503
            await response.read()
            assert name not in pool.servers

    asyncio.run(run())


@pytest.mark.parametrize("name", ODD_NAMES[:-1])
def test_configuration_with_a_workspace_that_fits_no_header_is_rejected(name):
    async def run():
        async with run_deployment() as deployment:
            tenants = [{"name": name, "api_keys": [KEY]}]
            deployment.configure(create_configuration(2, tenants=tenants))
            await asyncio.sleep(0.1)
            await assert_answered(deployment)
            deployment.configure(create_configuration(3))
            context = deployment.host.context
            await wait_until(lambda: context.table.version == 3)
            await assert_answered(deployment)

    asyncio.run(run())


def test_host_that_starts_with_odd_entries_in_the_list_follows_it():
    async def run():
        async with run_deployment() as deployment:
            for name, value in ODD_ENTRIES.items():
                write_server(deployment, name, value)
            await assert_list_is_followed(deployment)
            async with run_second_host(deployment) as host:
                callers = host.settings.listen.callers
                second = deployment.desks[1]
                deployment.drop_server(second)
                hosts = [host, deployment.host]
                await wait_until(
                    lambda: all(
                        set(h.context.pool.servers) == {"desk-1", "llm-1", "llm-2"}
                        for h in hosts
                    )
                )
                for index in range(6):
                    response = await deployment.send(
                        "/read/a", address=callers, x_attempt_id=f"b{index}"
                    )
                    assert response.status == 200
                    await response.read()

    asyncio.run(run())
