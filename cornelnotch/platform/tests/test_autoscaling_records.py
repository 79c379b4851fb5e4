"""Test the decoding of autoscaling blocks, prices and reclaimable servers."""

import asyncio
import logging

import orjson
import pytest
from hypothesis import given

from cornelnotch.gateway.models import Autoscaling
from cornelnotch.gateway.tests.conftest import (
    create_configuration,
    run_deployment,
    wait_until,
)
from cornelnotch.kernel.events import Event
from cornelnotch.platform.records import decode_server, decode_table
from cornelnotch.platform.tests.test_odd_records import ENTRY, TABLE
from cornelnotch.testing.odd_input import FUZZ, json_texts

BLOCK = {"min": 1, "max": 4, "zone_prices": {"a": 0.8, "b": 1.25}}


def decode_block(block):
    services = [{"name": "s", "autoscaling": block}, {"name": "t"}]
    table = decode_table(orjson.dumps({**TABLE, "services": services}))
    assert table.services["t"].autoscaling is None
    return table.services["s"].autoscaling, table.problems


def test_a_block_has_the_defaults_of_the_platform():
    block, problems = decode_block(BLOCK)
    assert block == Autoscaling(1, 4, 4000.0, 0.18, {"a": 0.8, "b": 1.25})
    assert not problems


def test_without_prices_all_domains_cost_the_same():
    block, _ = decode_block({"min": 0, "max": 2})
    assert block.find_price("anywhere") == 1.0


def test_a_service_without_a_block_is_not_scaled():
    assert decode_block(None) == (None, ())
    table = decode_table(orjson.dumps(TABLE))
    assert table.services["s"].autoscaling is None


@pytest.mark.parametrize(
    "block",
    [
        {**BLOCK, "min": 5},
        {**BLOCK, "min": -1},
        {**BLOCK, "max": 10**9},
        {**BLOCK, "boot_s": -4},
        {**BLOCK, "boot_s": 1e9},
        {**BLOCK, "spot_price": -0.1},
        {**BLOCK, "spot_price": "cheap"},
        {**BLOCK, "zone_prices": [1]},
        {"max": 4},
        [],
        7,
        [[[[{}]]]],
    ],
)
def test_an_odd_block_is_ignored_alone(block):
    # An odd block must not keep routes and services from being applied.
    found, problems = decode_block(block)
    assert found is None
    assert len(problems) == 1
    assert "correct" in problems[0]


@pytest.mark.parametrize("price", [-1, "x", None, 1e300, [1]])
def test_an_odd_price_leaves_out_one_domain(price):
    block, problems = decode_block({**BLOCK, "zone_prices": {"a": price, "b": 1.25}})
    assert block.find_price("a") is None
    assert block.find_price("b") == 1.25
    assert len(problems) == 1
    assert "write a price" in problems[0]


@FUZZ
@given(json_texts(BLOCK))
def test_an_odd_block_leaves_the_configuration_in_force(value):
    try:
        orjson.loads(value)
    except orjson.JSONDecodeError:
        return
    text = b'{"version": 1, "services": [{"name": "s", "autoscaling": ' + value + b"}]}"
    table = decode_table(text)
    block = table.services["s"].autoscaling
    assert block is None or block.minimum <= block.maximum


def test_entries_tell_which_servers_are_reclaimable_and_when_they_leave():
    entry = {**ENTRY, "spot": True, "state": "draining", "leaves_ms": 2400}
    server = decode_server("i-1", orjson.dumps(entry))
    assert server is not None
    assert server.reclaimable
    assert server.leaves_ms == 2400.0
    plain = decode_server("i-1", orjson.dumps(ENTRY))
    assert plain is not None
    assert not plain.reclaimable
    assert plain.leaves_ms == 0.0


def test_an_ignored_part_is_logged_once(caplog):
    services = [{"name": "desk"}, {"name": "llm", "autoscaling": {"min": 2, "max": 1}}]

    async def configure():
        async with run_deployment() as d:
            servers = d.host.context.pool.servers
            d.configure(create_configuration(2, services=services))
            await wait_until(lambda: d.host.context.table.version == 2)
            d.list_server(d.desks[0], "desk", version="v2")
            await wait_until(lambda: servers["desk-1"].record.software == "v2")

    with caplog.at_level(logging.INFO, logger="cornelnotch"):
        asyncio.run(configure())
    ignored = Event.CONFIGURATION_PART_IGNORED
    logged = [r for r in caplog.records if getattr(r, "event", None) is ignored]
    assert len(logged) == 1
