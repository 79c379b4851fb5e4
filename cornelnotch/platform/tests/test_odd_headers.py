"""Test that odd headers of callers and servers raise only the expected error."""

import h11
import msgpack
from hypothesis import given, strategies as st

from cornelnotch.exceptions import RequestError
from cornelnotch.gateway.header_codec import DispatchOptions
from cornelnotch.platform import header_codec
from cornelnotch.platform.header_codec import PlatformHeaderCodec
from cornelnotch.testing.odd_input import FUZZ, header_values

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
