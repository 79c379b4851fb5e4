"""Check headers, entries and configurations against the platform's pages."""

import orjson
import pytest
from hypothesis import given, strategies as st

from cornelnotch.exceptions import ConfigurationError, RequestError
from cornelnotch.gateway.dialect import DispatchTerms
from cornelnotch.gateway.models import WorkKind
from cornelnotch.platform.dialect import PlatformDialect
from cornelnotch.platform.records import decode_server, decode_table

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
dialect = PlatformDialect()


def test_a_request_is_decoded_once():
    request = dialect.read_request("POST", "/a/b?c", PAIRS)
    assert (request.host, request.path) == ("app.example", "/a/b")
    assert request.deadline_ms == 1500.0
    assert request.prompt_tokens == 1460
    assert [part.tokens for part in request.prompt] == [800, 410, 250]
    names = [name for name, _ in request.pairs]
    assert b"x-hop" not in names
    assert b"x-pin-ms" not in names
    assert b"x-token-usage" in names


def test_a_request_without_an_id_is_refused_with_the_remedy():
    with pytest.raises(RequestError, match="X-Attempt-Id"):
        dialect.read_request("GET", "/", [(b"host", b"a")])


def test_a_resumed_dispatch_names_the_last_event_once():
    request = dialect.read_request("POST", "/", [*PAIRS, (b"last-event-id", b"3")])
    terms = DispatchTerms("i-1", 20.4, "acme", 12, "7", "10.0.0.2:80")
    pairs = dialect.create_pairs(request, terms)
    values = dict(pairs)
    assert [v for k, v in pairs if k == b"last-event-id"] == [b"7"]
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
def test_only_the_servers_word_says_that_work_did_not_run(status, pairs, not_run):
    assert dialect.read_answer(status, pairs).not_run is not_run


def test_a_server_entry_is_decoded():
    server = decode_server("i-1", orjson.dumps({**ENTRY, "state": "draining"}))
    assert server is not None
    assert server.leaving
    assert (server.name, server.slots, server.domain) == ("i-1", 64, "a")


@pytest.mark.parametrize(
    "change",
    [
        {"state": "resting"},
        {"address": 5},
        {"address": "nowhere"},
        {"capacity": "many"},
        {"service": None},
        {"version": 7},
        {"warmup_left_ms": "soon"},
        {"sequence": None},
    ],
)
def test_an_entry_of_another_writer_names_no_server(change):
    assert decode_server("i-1", orjson.dumps({**ENTRY, **change})) is None
    lacking = {key: ENTRY[key] for key in ENTRY if key not in change}
    assert decode_server("i-1", orjson.dumps(lacking)) is None


@given(st.binary(max_size=200))
def test_bytes_that_cannot_be_read_name_no_server(value):
    assert decode_server("i-1", value) is None


def test_routes_are_sorted_by_prefix_and_kinds_are_strict():
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


def test_a_malformed_configuration_is_an_error_with_a_remedy():
    with pytest.raises(ConfigurationError, match="write a valid"):
        decode_table(b'{"version": "x"}')
