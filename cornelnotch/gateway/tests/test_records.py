"""Check that copies of keyed topics agree whatever way the records came."""

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
def test_news_in_any_overlap_gives_what_reading_gives(log, cuts, whole_first):
    expected = create_newest(log, len(log))
    view = KeyedView()
    view.replace(create_newest(log, 0))
    for cut in cuts:
        end = min(cut, len(log))
        if whole_first and end >= view.head:
            view.replace(create_newest(log, end))
        view.apply(create_page(log, view.head, max(end, view.head)))
        # What comes twice, or late from a slower reader, changes nothing.
        view.apply(create_page(log, 0, min(cut, view.head)))
    view.apply(create_page(log, view.head, len(log)))
    assert view.head == len(log)
    assert set(view.records.values()) == set(expected.records)


def test_a_key_that_is_gone_from_the_newest_is_dropped():
    view = KeyedView()
    view.apply(RecordPage([Record("a", b"1", 0), Record("b", b"1", 1)], 2, 2))
    view.replace(RecordPage([Record("b", b"1", 1)], 3, 3))
    assert set(view.records) == {"b"}


def test_a_key_written_after_the_newest_page_began_stays():
    view = KeyedView()
    view.replace(RecordPage([Record("b", b"1", 1)], 4, 4))
    view.apply(RecordPage([Record("a", b"1", 5)], 6, 6))
    view.replace(RecordPage([Record("b", b"1", 1)], 4, 4))
    assert set(view.records) == {"a", "b"}
    assert view.head == 6


def test_a_late_list_brings_back_no_older_value_and_no_dropped_key():
    # A host that starts hears news while its own first reading is under way.
    view = KeyedView()
    first = RecordPage([Record("a", b"1", 0), Record("b", b"1", 1)], 2, 2)
    view.replace(RecordPage([Record("a", b"2", 2)], 4, 4))
    view.replace(first)
    assert view.records == {"a": Record("a", b"2", 2)}
    assert view.head == 4


def test_late_news_of_a_slower_reader_brings_no_dropped_key_back():
    view = KeyedView()
    view.apply(create_page([("a", True), ("a", False)], 0, 2))
    view.apply(create_page([("a", True)], 0, 1))
    assert view.records == {}
    assert view.head == 2
