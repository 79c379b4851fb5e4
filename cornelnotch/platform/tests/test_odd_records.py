"""Test that odd records raise only the errors that their readers expect."""

import msgpack
import msgspec
import orjson
import pytest
from hypothesis import given

from cornelnotch.exceptions import ConfigurationError, MalformedInputError
from cornelnotch.platform import records
from cornelnotch.platform.records import ConfigModel, ServerModel, decode_server
from cornelnotch.testing.odd_input import FUZZ, json_texts

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "capacity": 64,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 4,
    "born": 7,
}
ROUTE = {
    "name": "r",
    "hostname": "a.example",
    "path_prefix": "/a/",
    "route_type": "streaming",
    "timeout_ms": 5,
    "service": "s",
    "priority": 3,
    "max_attempts": 2,
    "target_itl_ms": 40,
}
TABLE = {
    "version": 3,
    "routes": [ROUTE],
    "services": [{"name": "s", "engine": {"kv_capacity": 5}}],
    "tenants": [{"name": "t", "api_keys": ["k"], "priority": 2}],
    "limits": {"max_header_bytes": 5},
}


def list_numeric_types(node):
    """Return the types of all numbers in a schema."""
    if isinstance(node, msgspec.inspect.IntType | msgspec.inspect.FloatType):
        return [node]
    if isinstance(node, msgspec.inspect.StructType):
        return [t for f in node.fields for t in list_numeric_types(f.type)]
    if isinstance(node, msgspec.inspect.UnionType):
        return [t for inner in node.types for t in list_numeric_types(inner)]
    if isinstance(node, msgspec.inspect.ListType):
        return list_numeric_types(node.item_type)
    return []


@pytest.mark.parametrize("model", [ConfigModel, ServerModel])
def test_every_number_of_a_record_is_bounded(model):
    found = list_numeric_types(msgspec.inspect.type_info(model))
    assert found
    assert all(node.ge is not None and node.le is not None for node in found)


@FUZZ
@given(json_texts(ENTRY))
def test_decoded_entries_fit_into_messages(value):
    try:
        server = decode_server("i-1", value)
    except MalformedInputError:
        return
    if server is not None:
        msgpack.packb([server.boot_ms, server.write_count, server.slots])


@FUZZ
@given(json_texts(TABLE))
def test_odd_configurations_raise_only_configuration_errors(value):
    try:
        table = records.decode_table(value)
    except ConfigurationError:
        return
    msgpack.packb([table.version])


@FUZZ
@given(json_texts(ROUTE))
def test_odd_routes_raise_only_configuration_errors(value):
    try:
        records.decode_table(b'{"version": 1, "routes": [' + value + b"]}")
    except ConfigurationError:
        return


def test_number_beyond_64_bits_is_malformed():
    assert decode_server("i-1", orjson.dumps(ENTRY)) is not None
    for name in ("born", "capacity", "sequence"):
        text = orjson.dumps({**ENTRY, name: 12345}).replace(b"12345", b"9" * 30)
        with pytest.raises(MalformedInputError):
            decode_server("i-1", text)


@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.1:\u00b2",
        "10.0.0.1:\u0669",
        "10.0.0.1:" + "1" * 5000,
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1: 80",
        "10.0.0.\u0661:80",
        "server.example:80",
        "a..b:80",
        "a" * 70 + ":80",
        "a\x00b:80",
        ":80",
        "10.0.0.1",
    ],
)
def test_server_without_an_ipv4_address_and_port_is_malformed(address):
    with pytest.raises(MalformedInputError):
        decode_server("i-1", orjson.dumps({**ENTRY, "address": address}))
