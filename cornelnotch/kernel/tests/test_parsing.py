"""Test the conversion of values from outside, and that nothing bypasses it."""

import math
import re
from ipaddress import IPv4Address
from pathlib import Path

import pytest
from hypothesis import given, strategies as st

import cornelnotch
from cornelnotch.kernel.parsing import (
    is_header_value,
    is_ipv4_address,
    parse_amount,
    parse_count,
    parse_port,
)
from cornelnotch.testing.odd_input import FUZZ, addresses, number_texts

DOTTED = re.compile(r"\A([0-9]{1,3}\.){2,4}[0-9]{0,3}\n?\Z")
PACKAGE = Path(cornelnotch.__file__).parent
BORDERS = ["gateway", "membership", "platform", "web", "wire"]
# Conversions that fail or accept too much for some texts, and where they may stand.
CONVERSIONS = {
    ".isdigit(": [],
    ".isdecimal(": [],
    ".isnumeric(": [],
    "urlsplit(": ["web/targets.py"],
    "_decoder.decode(": [],
}


@FUZZ
@given(number_texts())
def test_odd_numbers_are_none_or_within_bounds(text):
    count = parse_count(text)
    assert count is None or 0 <= count < 2**63
    amount = parse_amount(text)
    assert amount is None or (math.isfinite(amount) and abs(amount) <= 1e15)
    port = parse_port(text)
    assert port is None or 0 <= port < 65536


@given(st.integers(0, 2**63 - 1))
def test_counts_of_64_bits_are_kept(number):
    assert parse_count(str(number)) == number
    assert parse_count("000" + str(number)) == number


@given(st.floats(-1e15, 1e15))
def test_finite_amounts_are_kept(amount):
    assert parse_amount(repr(amount)) == amount


@pytest.mark.parametrize("text", ["a", "a b", "a\tb", "\u00e9", "a/b:1"])
def test_texts_that_fit_headers_are_accepted(text):
    assert is_header_value(text)


@pytest.mark.parametrize("text", ["", " a", "a ", "a\n", "a\r\nb", "\x00", "\u0100"])
def test_texts_that_fit_no_header_are_refused(text):
    assert not is_header_value(text)


@FUZZ
@given(st.one_of(st.ip_addresses().map(str), addresses(), st.from_regex(DOTTED)))
def test_ipv4_addresses_are_those_of_the_standard_library(text):
    try:
        IPv4Address(text)
    except ValueError:
        assert not is_ipv4_address(text)
    else:
        assert is_ipv4_address(text)


@pytest.mark.parametrize("name", BORDERS)
def test_borders_convert_values_only_through_bounded_functions(name):
    found = []
    for path in (PACKAGE / name).glob("*.py"):
        text = path.read_text(encoding="utf-8")
        place = path.relative_to(PACKAGE).as_posix()
        found += [
            (place, conversion)
            for conversion, allowed in CONVERSIONS.items()
            if conversion in text and place not in allowed
        ]
    assert not found
