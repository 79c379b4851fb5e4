"""Test that streams split at arbitrary offsets yield complete events."""

from hypothesis import given, strategies as st

from cornelnotch.gateway.streams import EventSplitter

EVENTS = [b"id: %d\ndata: piece\n\n" % n for n in range(1, 8)]
STREAM = b"".join(EVENTS)


@given(st.lists(st.integers(0, len(STREAM)), max_size=10))
def test_only_complete_events_are_returned_and_the_last_id_is_tracked(split_points):
    splitter = EventSplitter()
    sent = b""
    offsets = [0, *sorted(split_points), len(STREAM)]
    for start, end in zip(offsets, offsets[1:], strict=False):
        sent += splitter.feed(STREAM[start:end])
        complete = sent.count(b"\n\n")
        assert sent == b"".join(EVENTS[:complete])
        assert splitter.last_event_id == (str(complete) if complete else "")
    assert sent == STREAM
    assert splitter.take_remainder() == b""


def test_an_incomplete_event_is_buffered():
    splitter = EventSplitter("4")
    assert splitter.feed(b"id: 5\nda") == b""
    assert splitter.last_event_id == "4"
    assert splitter.take_remainder() == b"id: 5\nda"
