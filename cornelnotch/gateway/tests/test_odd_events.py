"""Test that odd event streams raise only the error that their readers expect."""

import h11
import pytest
from hypothesis import given, strategies as st

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.streams import EventSplitter
from cornelnotch.testing.odd_input import FUZZ, number_texts

LONG_ID = b"9" * 5000


def event_ids():
    texts = number_texts().map(lambda text: text.encode("utf-8", "replace"))
    return st.one_of(texts, st.binary(max_size=6), st.just(LONG_ID))


@FUZZ
@given(st.text(max_size=3), st.lists(event_ids(), max_size=4))
def test_odd_event_ids_raise_only_upstream_errors(last_event_id, ids):
    splitter = EventSplitter(last_event_id)
    for event_id in ids:
        splitter.feed(b"id: " + event_id + b"\ndata: x\n\n")
        try:
            splitter.check()
        except UpstreamError:
            splitter.restart()
        if splitter.last_event_id != last_event_id:
            value = splitter.last_event_id.encode("latin-1")
            h11.Request(
                method="GET",
                target="/",
                headers=[(b"host", b"a"), (b"last-event-id", value)],
            )


@pytest.mark.parametrize("event_id", [b"a\x00b", b"\x01", b"\x7f"])
def test_event_whose_id_fits_no_header_is_invalid(event_id):
    splitter = EventSplitter()
    first = b"id: 1\ndata: x\n\n"
    assert splitter.feed(first + b"id: " + event_id + b"\ndata: y\n\n") == first
    with pytest.raises(UpstreamError, match="fits no header"):
        splitter.check()
    assert splitter.last_event_id == "1"


def test_event_ids_with_thousands_of_digits_are_no_numbers():
    splitter = EventSplitter()
    data = b"id: " + LONG_ID + b"\ndata: x\n\nid: 8" + LONG_ID + b"\ndata: x\n\n"
    assert splitter.feed(data) == data
    splitter.check()


def test_event_id_with_a_tab_or_utf_8_is_valid():
    splitter = EventSplitter()
    data = b"id: a\tb\ndata: x\n\n" + "id: \u00e0\ndata: x\n\n".encode()
    assert splitter.feed(data) == data
    splitter.check()
