"""Test that odd requests of callers are refused, not failed at."""

from hypothesis import given, strategies as st
from returns.result import Failure

from cornelnotch.exceptions import RequestError
from cornelnotch.routing.requests import parse_caller_request
from cornelnotch.testing.odd_input import FUZZ, header_values, json_texts

NAMES = [
    "cornelnotch-labels",
    "cornelnotch-deadline-ms",
    "cornelnotch-attempt",
    "idempotency-key",
    "cornelnotch-workspace",
]
BODY = {"messages": [{"role": "user", "content": "x"}], "stream": True, "max_tokens": 5}


@FUZZ
@given(
    st.dictionaries(st.sampled_from(NAMES), header_values(), max_size=3),
    json_texts(BODY),
)
def test_odd_requests_are_refused(headers, body):
    headers = {"cornelnotch-workspace": "w", **headers}
    parsed = parse_caller_request("h", "POST", "/x", None, headers, body)
    if isinstance(parsed, Failure):
        error = parsed.failure()
        assert isinstance(error, RequestError)
        assert 400 <= error.status < 500
