"""Cut streams of events anywhere and get whole events."""

from hypothesis import given, strategies as st

from cornelnotch.gateway.streams import EventCutter

EVENTS = [b"id: %d\ndata: piece\n\n" % n for n in range(1, 8)]
STREAM = b"".join(EVENTS)


@given(st.lists(st.integers(0, len(STREAM)), max_size=10))
def test_only_whole_events_come_out_and_the_last_is_known(cuts):
    cutter = EventCutter()
    sent = b""
    points = [0, *sorted(cuts), len(STREAM)]
    for start, end in zip(points, points[1:], strict=False):
        sent += cutter.feed(STREAM[start:end])
        whole = sent.count(b"\n\n")
        assert sent == b"".join(EVENTS[:whole])
        assert cutter.last_event == (str(whole) if whole else "")
    assert sent == STREAM
    assert cutter.take_rest() == b""


def test_the_rest_of_a_broken_event_is_held_back():
    cutter = EventCutter("4")
    assert cutter.feed(b"id: 5\nda") == b""
    assert cutter.last_event == "4"
    assert cutter.take_rest() == b"id: 5\nda"
