"""Test that views of keyed topics converge in whatever order records arrive."""

from hypothesis import given, strategies as st

from cornelnotch.gateway.records import KeyedView, Record, RecordPage

writes = st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=12)


def create_page(log, start, end):
    records = [
        Record(key, b"%d" % offset if value else b"", offset)
        for offset, (key, value) in enumerate(log)
        if start <= offset < end
    ]
    return RecordPage(records, end, len(log))


def create_newest(log, end):
    view = KeyedView()
    view.apply(create_page(log, 0, end))
    return RecordPage(list(view.records.values()), end, end)


@given(writes, st.lists(st.integers(0, 12), max_size=6), st.booleans())
def test_overlapping_pages_give_the_same_view_as_one_read(log, read_ends, whole_first):
    expected = create_newest(log, len(log))
    view = KeyedView()
    view.replace(create_newest(log, 0))
    for read_end in read_ends:
        end = min(read_end, len(log))
        if whole_first and end >= view.head:
            view.replace(create_newest(log, end))
        view.apply(create_page(log, view.head, max(end, view.head)))
        # Duplicate pages, or late ones from a slower reader, change nothing.
        view.apply(create_page(log, 0, min(read_end, view.head)))
    view.apply(create_page(log, view.head, len(log)))
    assert view.head == len(log)
    assert set(view.records.values()) == set(expected.records)


def test_key_missing_from_the_newest_page_is_deleted():
    view = KeyedView()
    view.apply(RecordPage([Record("a", b"1", 0), Record("b", b"1", 1)], 2, 2))
    view.replace(RecordPage([Record("b", b"1", 1)], 3, 3))
    assert set(view.records) == {"b"}


def test_key_written_after_the_end_of_the_newest_page_is_kept():
    view = KeyedView()
    view.replace(RecordPage([Record("b", b"1", 1)], 4, 4))
    view.apply(RecordPage([Record("a", b"1", 5)], 6, 6))
    view.replace(RecordPage([Record("b", b"1", 1)], 4, 4))
    assert set(view.records) == {"a", "b"}
    assert view.head == 6


def test_outdated_newest_page_restores_no_old_value_or_deleted_key():
    # A starting host receives updates while its own first read is in progress.
    view = KeyedView()
    first = RecordPage([Record("a", b"1", 0), Record("b", b"1", 1)], 2, 2)
    view.replace(RecordPage([Record("a", b"2", 2)], 4, 4))
    view.replace(first)
    assert view.records == {"a": Record("a", b"2", 2)}
    assert view.head == 4


def test_late_page_of_a_slower_reader_restores_no_deleted_key():
    view = KeyedView()
    view.apply(create_page([("a", True), ("a", False)], 0, 2))
    view.apply(create_page([("a", True)], 0, 1))
    assert view.records == {}
    assert view.head == 2
