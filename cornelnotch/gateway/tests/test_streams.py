"""Test that streams split at arbitrary offsets yield complete, consecutive events."""

import pytest
from hypothesis import given, strategies as st

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.streams import EventSplitter

LINE_ENDS = [b"\n", b"\r\n", b"\r"]


def create_events(line_end, count=7):
    lines = b"id: %d" + line_end + b"data: piece" + line_end * 2
    return [lines % number for number in range(1, count + 1)]


@given(st.sampled_from(LINE_ENDS), st.lists(st.integers(0, 250), max_size=10))
def test_only_complete_events_are_returned_and_the_last_id_is_tracked(
    line_end, split_points
):
    events = create_events(line_end)
    stream = b"".join(events)
    splitter = EventSplitter()
    sent = b""
    offsets = [0, *sorted(min(p, len(stream)) for p in split_points), len(stream)]
    for start, end in zip(offsets, offsets[1:], strict=False):
        sent += splitter.feed(stream[start:end])
        splitter.check()
        complete = splitter.count
        # The LF of a last CRLF may follow later.
        whole = b"".join(events[:complete])
        assert sent in {whole, whole.removesuffix(b"\n")}
        assert splitter.last_event_id == (str(complete) if complete else "")
    assert sent == stream
    splitter.check_end()


def test_an_empty_piece_between_cr_and_lf_does_not_swallow_the_lf():
    splitter = EventSplitter()
    pieces = [b"id: 1\r\ndata: a\r\n\r", b"", b"\n", b"id: 2\r\ndata: b\r\n\r\n"]
    assert [splitter.feed(piece) for piece in pieces] == pieces
    assert splitter.count == 2


def test_an_incomplete_event_is_buffered():
    splitter = EventSplitter("4")
    assert splitter.feed(b"id: 5\nda") == b""
    assert splitter.last_event_id == "4"
    assert splitter.take_remainder() == b"id: 5\nda"


@pytest.mark.parametrize(
    "rest", [b"id: 3", b"id: 3\ndata: x\n", b"data: x\r\n", b"i", b": c\ndata"]
)
def test_a_stream_that_ends_within_an_event_is_cut_off(rest):
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: x\n\n" + rest)
    with pytest.raises(UpstreamError):
        splitter.check_end()


@pytest.mark.parametrize(
    "rest", [b"", b"\n", b"\r\n\r\n", b": comment\n\n", b": end\n"]
)
def test_blank_lines_and_comments_may_follow_the_last_event(rest):
    splitter = EventSplitter()
    splitter.feed(b"id: 1\ndata: x\n\n" + rest)
    splitter.check_end()
    assert splitter.count == 1


@pytest.mark.parametrize(
    "continued",
    [
        b"id: 2\ndata: again\n\n",
        b"id: 1\ndata: from the start\n\n",
        b"id: 4\ndata: after a gap\n\n",
        b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
        b"the server is overloaded\n\n",
        b'{"error": "overloaded"}\n\n',
    ],
)
def test_a_resumed_stream_must_continue_after_its_last_event(continued):
    splitter = EventSplitter()
    sent = splitter.feed(b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda")
    splitter.restart()
    assert sent + splitter.feed(continued) == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    with pytest.raises(UpstreamError):
        splitter.check()
    assert splitter.last_event_id == "2"


def test_events_before_an_invalid_one_are_returned():
    splitter = EventSplitter("7")
    sent = splitter.feed(b"id: 8\ndata: a\n\nHTTP/1.1 503 No\r\n\r\nid: 9\ndata: b\n\n")
    assert (sent, splitter.last_event_id) == (b"id: 8\ndata: a\n\n", "8")
    with pytest.raises(UpstreamError):
        splitter.check_end()


def test_fields_without_ids_and_steps_of_varying_length_are_valid():
    splitter = EventSplitter()
    stream = (
        b"retry: 5\n\nx-version: 3\nid: 5\ndata: a\n\nid: 10\ndata\n\nid: 12\ndata:\n\n"
    )
    assert splitter.feed(stream) == stream
    splitter.restart()
    assert splitter.feed(b"id: 17\ndata: c\n\n") == b"id: 17\ndata: c\n\n"
    splitter.check_end()
    assert splitter.count == 5
