"""Test the validation of valid, invalid and random requests, and the retry budget."""

import random

import orjson
import pytest
from hypothesis import given, strategies as st
from returns.result import Failure, Success

from cornelnotch.kernel import create_identifier
from cornelnotch.routing.budget import RetryBudget
from cornelnotch.routing.requests import parse_caller_request
from cornelnotch.testing.randominput import SEED, read_case_count

CASES = read_case_count(2000)
HEADERS = {"cornelnotch-workspace": "w", "cornelnotch-labels": "kind=quote"}
CHAT = {"messages": [{"role": "user", "content": "boots"}], "stream": True}


def parse_request(headers=None, body=None, service=None):
    merged = {**HEADERS, **(headers or {})}
    content = orjson.dumps(CHAT) if body is None else body
    return parse_caller_request("h", "POST", "/x", service, merged, content)


def test_valid_request_is_parsed():
    request = parse_request({"idempotency-key": create_identifier()}).unwrap()
    assert request.stream
    assert request.labels == {"kind": "quote"}
    assert request.request_id.startswith("h.")


@pytest.mark.parametrize(
    ("headers", "body", "status", "kind"),
    [
        ({"cornelnotch-workspace": "a b"}, None, 400, "bad-header"),
        ({"cornelnotch-labels": "quote"}, None, 400, "bad-header"),
        ({"cornelnotch-deadline-ms": "-5"}, None, 400, "bad-header"),
        ({"cornelnotch-deadline-ms": "soon"}, None, 400, "bad-header"),
        ({"cornelnotch-attempt": "0"}, None, 400, "bad-header"),
        ({"idempotency-key": "7"}, None, 400, "bad-key"),
        (
            {"idempotency-key": "c9a646d3-9c61-4cb7-bfcd-ee2522c8f633"},
            None,
            400,
            "bad-key",
        ),
        ({}, b"{", 400, "bad-json"),
        ({}, b"[]", 422, "bad-request"),
        ({}, b'{"messages":[]}', 422, "bad-request"),
        ({}, b'{"messages":[{"role":"user"}]}', 422, "bad-request"),
    ],
)
def test_invalid_request_returns_typed_error_with_remedy(headers, body, status, kind):
    error = parse_request(headers, body).failure()
    assert (error.status, error.kind) == (status, kind)
    assert error.remedy


def test_missing_workspace_header_is_named_in_error():
    result = parse_caller_request("h", "POST", "/x", None, {}, orjson.dumps(CHAT))
    assert "cornelnotch-workspace" in str(result.failure())


@given(
    st.dictionaries(
        st.sampled_from(
            [
                "cornelnotch-workspace",
                "cornelnotch-labels",
                "cornelnotch-deadline-ms",
                "cornelnotch-attempt",
                "idempotency-key",
            ]
        ),
        st.text(max_size=80),
    ),
    st.binary(max_size=100),
)
def test_any_headers_and_body_return_request_or_typed_error(headers, body):
    result = parse_caller_request("h", "POST", "/x", None, headers, body)
    assert isinstance(result, Success | Failure)


@pytest.mark.fuzz
def test_mutated_bodies_return_request_or_typed_error():
    generator = random.Random(SEED)
    whole = orjson.dumps(CHAT)
    for _ in range(CASES):
        body = bytearray(whole)
        for _ in range(generator.randint(1, 4)):
            body[generator.randrange(len(body))] = generator.randrange(256)
        assert isinstance(parse_request(body=bytes(body)), Success | Failure)


def test_retries_stay_below_share_of_first_attempts():
    budget = RetryBudget()
    spent = 0
    for _ in range(1000):
        budget.record_request()
        spent += budget.try_acquire()
    assert spent <= 0.2 * 1000 + 5
