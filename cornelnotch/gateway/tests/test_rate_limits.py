"""Test that the rate limits of servers are decoded and recorded."""

import pytest

from cornelnotch.gateway.models import ServerRecord
from cornelnotch.gateway.rate_limits import RateLimitTable
from cornelnotch.platform.header_codec import PlatformHeaderCodec

RECORD = ServerRecord("s1", "desk", "10.0.0.1:80", "north-a", 8, boot_ms=100)
NEXT_BOOT = ServerRecord("s1", "desk", "10.0.0.1:80", "north-a", 8, boot_ms=200)


@pytest.mark.parametrize(
    ("text", "per_second", "malformed"),
    [
        (None, None, False),
        ("10", 10.0, False),
        ("0.5", 0.5, False),
        ("0", 0.0, False),
        ("100000000", 1e8, False),
        ("", None, True),
        ("-1", None, True),
        ("nan", None, True),
        ("inf", None, True),
        ("1_0", None, True),
        ("ten", None, True),
        ("9" * 400, None, True),
    ],
)
def test_the_rate_limit_of_a_response_is_validated(text, per_second, malformed):
    headers = [] if text is None else [(b"Server-Limit", text.encode())]
    head = PlatformHeaderCodec().read_response(200, headers)
    assert head.rate_limit == per_second
    assert head.rate_limit_malformed == malformed


def test_a_rate_limit_holds_until_it_is_changed_or_withdrawn():
    table = RateLimitTable()
    assert not table.observe("s1", 100, None, 0.0)
    assert table.observe("s1", 100, 2.0, 1.0)
    assert not table.observe("s1", 100, 2.0, 2.0)
    assert table.observe("s1", 100, 1.0, 3.0)
    limit = table.find(RECORD)
    assert limit is not None
    assert (limit.per_second, limit.observed_ms) == (1.0, 3.0)
    assert table.observe("s1", 100, None, 4.0)
    assert table.find(RECORD) is None
    assert table.count() == 0


def test_a_rate_limit_ends_with_the_boot_that_announced_it():
    table = RateLimitTable()
    table.observe("s1", 100, 1.0, 0.0)
    assert table.find(NEXT_BOOT) is None
    table.observe("s1", 200, 5.0, 1.0)
    assert not table.observe("s1", 100, 1.0, 2.0)
    limit = table.find(NEXT_BOOT)
    assert limit is not None
    assert limit.per_second == 5.0
