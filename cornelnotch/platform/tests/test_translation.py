"""Tests of header translation and of decoding entries and configurations."""

import orjson
import pytest
from hypothesis import given, strategies as st

from cornelnotch.exceptions import ConfigurationError, MalformedInputError, RequestError
from cornelnotch.gateway.header_codec import DispatchOptions
from cornelnotch.gateway.models import WorkKind
from cornelnotch.platform.header_codec import PlatformHeaderCodec
from cornelnotch.platform.records import decode_server, decode_table
from cornelnotch.testing.odd_input import DEEP_JSON

ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "version": "v1",
    "capacity": 64,
    "state": "ready",
    "warmup_left_ms": 0,
    "sequence": 4,
}
PAIRS = [
    (b"host", b"App.Example"),
    (b"x-attempt-id", b"a1"),
    (b"x-deadline-ms", b"1500"),
    (b"x-token-usage", b"1460,80"),
    (b"x-prompt-prefix", b"5c:800,91:410,e4:250"),
    (b"connection", b"keep-alive, x-hop"),
    (b"x-hop", b"1"),
    (b"x-pin-ms", b"99"),
]
header_codec = PlatformHeaderCodec()


def test_request_headers_are_decoded():
    request = header_codec.read_request("POST", "/a/b?c", PAIRS)
    assert (request.host, request.path) == ("app.example", "/a/b")
    assert request.deadline_ms == 1500.0
    assert request.prompt_tokens == 1460
    assert [part.tokens for part in request.prompt] == [800, 410, 250]
    names = [name for name, _ in request.headers]
    assert b"x-hop" not in names
    assert b"x-pin-ms" not in names
    assert b"x-token-usage" in names


def test_request_without_an_id_is_rejected():
    with pytest.raises(RequestError, match="X-Attempt-Id"):
        header_codec.read_request("GET", "/", [(b"host", b"a")])


def test_resumed_dispatch_sends_last_event_id_once():
    request = header_codec.read_request("POST", "/", [*PAIRS, (b"last-event-id", b"3")])
    options = DispatchOptions("i-1", 20.4, "acme", 12, "7", "10.0.0.2:80")
    headers = header_codec.create_dispatch_headers(request, options)
    values = dict(headers)
    assert [v for k, v in headers if k == b"last-event-id"] == [b"7"]
    assert values[b"x-deadline-ms"] == b"20"
    assert values[b"x-request-priority"] == b"9"
    assert values[b"kv-fetch"] == b"10.0.0.2:80"


@pytest.mark.parametrize(
    ("status", "pairs", "not_run"),
    [
        (503, [(b"x-not-executed", b"1")], True),
        (421, [], True),
        (503, [], False),
        (429, [], False),
        (500, [], False),
    ],
)
def test_work_counts_as_not_executed_only_if_the_server_declares_it(
    status, pairs, not_run
):
    assert header_codec.read_response(status, pairs).not_run is not_run


def test_server_entry_is_decoded():
    server = decode_server("i-1", orjson.dumps({**ENTRY, "state": "draining"}))
    assert server is not None
    assert server.leaving
    assert (server.name, server.slots, server.domain) == ("i-1", 64, "a")


@pytest.mark.parametrize(
    "change",
    [
        {"address": 5},
        {"address": "nowhere"},
        {"capacity": "many"},
        {"service": None},
        {"version": 7},
        {"warmup_left_ms": "soon"},
        {"sequence": None},
    ],
)
def test_invalid_server_entries_are_malformed(change):
    with pytest.raises(MalformedInputError):
        decode_server("i-1", orjson.dumps({**ENTRY, **change}))
    incomplete = {key: ENTRY[key] for key in ENTRY if key not in change}
    with pytest.raises(MalformedInputError):
        decode_server("i-1", orjson.dumps(incomplete))


def test_server_in_an_unknown_state_is_not_used():
    entry = {**ENTRY, "state": "resting"}
    assert decode_server("i-1", orjson.dumps(entry)) is None
    del entry["state"]
    with pytest.raises(MalformedInputError):
        decode_server("i-1", orjson.dumps(entry))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_decode_to_no_server(value):
    with pytest.raises(MalformedInputError):
        decode_server("i-1", value)


def test_routes_prefer_longer_prefixes_and_unknown_types_run_once():
    route = {
        "name": "r",
        "hostname": "A.example",
        "path_prefix": "/a/",
        "route_type": "novel",
        "timeout_ms": 5,
        "service": "s",
    }
    longer = {**route, "path_prefix": "/a/b/", "route_type": "streaming"}
    table = decode_table(orjson.dumps({"version": 3, "routes": [route, longer]}))
    kinds = [table.find_route("a.example", path) for path in ("/a/b/c", "/a/c")]
    assert [r and r.kind for r in kinds] == [WorkKind.STREAM, WorkKind.ONCE]
    assert table.find_route("a.example", "/b/") is None
    assert table.workspaces is None


def test_malformed_configuration_raises_configuration_error():
    with pytest.raises(ConfigurationError, match="write a valid"):
        decode_table(b'{"version": "x"}')


def test_deeply_nested_records_are_malformed():
    nested = b'{"x": ' + DEEP_JSON.encode() + b"}"
    with pytest.raises(MalformedInputError, match="nested too deeply"):
        decode_server("i-1", nested)
    with pytest.raises(ConfigurationError, match="nested too deeply"):
        decode_table(nested)
