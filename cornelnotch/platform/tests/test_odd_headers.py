"""Test that odd headers of callers and servers raise only the expected error."""

import h11
import msgpack
import pytest
from hypothesis import given, strategies as st

from cornelnotch.exceptions import RequestError
from cornelnotch.gateway.header_codec import DispatchOptions
from cornelnotch.platform import header_codec
from cornelnotch.platform.header_codec import PlatformHeaderCodec
from cornelnotch.pressure.models import ServerLoad
from cornelnotch.testing.odd_input import FUZZ, header_values, number_texts

CALLER_HEADERS = [
    header_codec.REQUEST_ID,
    header_codec.DEADLINE,
    header_codec.IDEMPOTENCY_KEY,
    header_codec.LAST_EVENT_ID,
    header_codec.TOKEN_USAGE,
    header_codec.PROMPT_PREFIX,
    b"connection",
]
SERVER_HEADERS = [
    header_codec.REQUEST_ID,
    header_codec.SIGNATURE,
    header_codec.NOT_EXECUTED,
    header_codec.RETRY_AFTER,
    header_codec.CONTENT_TYPE,
    header_codec.LEAVING,
    header_codec.RATE_LIMIT,
    header_codec.LOAD,
    b"connection",
]
codec = PlatformHeaderCodec()


def headers_of(names):
    values = header_values().map(lambda text: text.strip().encode("latin-1"))
    values = values.filter(lambda value: b"\x7f" not in value)
    return st.lists(st.tuples(st.sampled_from(names), values), max_size=6)


@FUZZ
@given(
    st.sampled_from(["/a", "*", "//[", "http://[::1", "//[x]/"]),
    headers_of(CALLER_HEADERS),
)
def test_odd_requests_raise_only_request_errors(target, odd):
    pairs = [(b"host", b"a"), (b"x-attempt-id", b"a1"), *odd]
    try:
        request = codec.read_request("GET", target, pairs)
    except RequestError as error:
        assert error.status == 400
        return
    tokens = [part.tokens for part in request.prompt]
    msgpack.packb([request.prompt_tokens, sum(tokens), request.deadline_ms])
    assert request.prompt_tokens >= 0
    remaining_ms = min(request.deadline_ms, 4000.0)
    options = DispatchOptions("i-1", remaining_ms, "acme", 3, request.last_event_id)
    forwarded = codec.create_dispatch_headers(request, options)
    h11.Request(method="GET", target="/", headers=forwarded)


@FUZZ
@given(st.sampled_from([200, 421, 429, 503]), headers_of(SERVER_HEADERS))
def test_odd_responses_raise_nothing(status, pairs):
    head = codec.read_response(status, pairs)
    assert 0.0 <= head.backoff_ms < float("inf")
    if head.rate_limit is not None:
        assert 0.0 <= head.rate_limit < float("inf")
    h11.Response(status_code=status, headers=head.headers)


@FUZZ
@given(st.lists(st.one_of(number_texts(), st.just(" 3 ")), min_size=2, max_size=5))
def test_odd_loads_are_bounded_or_none(figures):
    text = ",".join(figures).encode("latin-1", "replace")
    head = codec.read_response(200, [(header_codec.LOAD, text)])
    assert head.load_malformed == (head.load is None)
    if head.load is None:
        return
    load = head.load
    assert 0 <= load.running <= header_codec.MAX_LOAD_REQUESTS
    assert 0 <= load.waiting <= header_codec.MAX_LOAD_REQUESTS
    assert 1 <= load.slots <= header_codec.MAX_LOAD_REQUESTS
    assert 0.01 <= load.pace <= 100.0
    msgpack.packb([load.running, load.waiting, load.slots, load.pace])


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("3,0,6", ServerLoad(3, 0, 6)),
        ("6, 24, 6, 250", ServerLoad(6, 24, 6, 2.5)),
        ("64,1,64,100", ServerLoad(64, 1, 64)),
        ("1,2,6,87.5", ServerLoad(1, 2, 6, 0.875)),
    ],
)
def test_the_load_of_a_server_is_decoded_once(text, load):
    head = codec.read_response(200, [(b"X-Server-Load", text.encode())])
    assert head.load == load
    assert not head.load_malformed


@pytest.mark.parametrize(
    "text",
    [
        "",
        "3,0",
        "3,0,6,100,1",
        "3,0,0",
        "-1,0,6",
        "3,1e3,6",
        "3,0,6,",
        "3,0,6,0",
        "3,0,6,-100",
        "3,0,6,nan",
        "3,0,6,10001",
        "100001,0,6",
        "3,0," + "9" * 5000,
        "," * 20_000,
    ],
)
def test_a_malformed_or_absurd_load_is_none(text):
    head = codec.read_response(200, [(b"x-server-load", text.encode())])
    assert head.load is None
    assert head.load_malformed


def test_a_response_without_a_load_states_none():
    head = codec.read_response(200, [(b"server-limit", b"3")])
    assert head.load is None
    assert not head.load_malformed
    assert head.load_text == ""
