"""Test how usage is counted, collected and reported by window."""

from cornelnotch.duties.models import UsageWindow
from cornelnotch.duties.true_time import ClockSamples, TrueTime
from cornelnotch.duties.windows import (
    ReportLedger,
    UsageCollector,
    UsageCounter,
    WindowTiming,
    WrittenWindow,
)

TIMING = WindowTiming(5000.0, 10_000.0)
WINDOW = 100_000
SETTLED_MS = TIMING.find_end_ms(WINDOW) + 2000.0


def create_usage(window=WINDOW, **counts):
    return UsageWindow(window, counts or {"acme": 3})


def create_ledger(found=(), skip_through=WINDOW - 1, timeline=1):
    ledger = ReportLedger(TIMING)
    ledger.load(list(found), skip_through, timeline)
    return ledger


def test_a_window_is_written_two_seconds_after_its_end():
    ledger = create_ledger()
    assert ledger.find_next(SETTLED_MS - 1) is None
    assert ledger.find_next(SETTLED_MS) == WINDOW


# Guards against two contents of one window after a change of holder.
def test_a_successor_sends_what_it_finds_and_writes_only_above():
    found = WrittenWindow(create_usage(), 1)
    ledger = create_ledger([found], skip_through=0)
    assert ledger.find_next(SETTLED_MS) is None
    assert ledger.find_unreported(SETTLED_MS) == create_usage()
    assert ledger.find_next(SETTLED_MS + 5000) == WINDOW + 1


# Guards against a report whose content a successor could not find.
def test_a_window_is_reported_only_once_it_is_written():
    ledger = create_ledger()
    assert ledger.find_next(SETTLED_MS) == WINDOW
    assert ledger.find_unreported(SETTLED_MS) is None
    ledger.note_written(create_usage(), 1)
    assert ledger.find_unreported(SETTLED_MS) == create_usage()
    ledger.note_accepted(WINDOW)
    assert ledger.find_unreported(SETTLED_MS) is None


# Guards against a second content of a window that the restored store has lost.
def test_windows_that_a_restoration_may_have_lost_are_left_out():
    ledger = create_ledger(skip_through=WINDOW, timeline=2)
    assert ledger.find_next(SETTLED_MS) is None
    assert ledger.find_next(SETTLED_MS + 5000) == WINDOW + 1


# Guards against the loss of reports that a host knows after a restoration.
def test_a_host_that_knows_what_it_wrote_writes_it_again():
    ledger = create_ledger()
    ledger.note_written(create_usage(), 1)
    ledger.load([], WINDOW, 2)
    assert ledger.find_unreported(SETTLED_MS) is None
    assert ledger.find_next(SETTLED_MS) == WINDOW
    assert ledger.get_content(WINDOW) == create_usage()
    ledger.note_written(create_usage(), 2)
    assert ledger.find_unreported(SETTLED_MS) == create_usage()
    assert ledger.find_next(SETTLED_MS) is None


# Guards against content that a delayed write of an earlier timeline left.
def test_late_writes_of_an_earlier_timeline_are_ignored():
    late = WrittenWindow(create_usage(), 1)
    ledger = create_ledger([late], skip_through=WINDOW - 1, timeline=2)
    assert ledger.find_unreported(SETTLED_MS) is None
    assert ledger.find_next(SETTLED_MS) == WINDOW
    ledger = create_ledger([late], skip_through=WINDOW, timeline=2)
    assert ledger.find_unreported(SETTLED_MS) is None
    assert ledger.find_next(SETTLED_MS) is None


# Guards against a content that differs from the one which this host has sent.
def test_known_content_is_kept_when_the_store_has_another():
    ledger = create_ledger()
    ledger.note_written(create_usage(acme=3), 1)
    ledger.load([WrittenWindow(create_usage(acme=9), 1)], WINDOW, 2)
    assert ledger.get_content(WINDOW) == create_usage(acme=3)


# Guards against a search through all windows since 1970.
def test_windows_whose_reports_are_overdue_are_left_out():
    ledger = create_ledger(skip_through=0)
    found = ledger.find_next(SETTLED_MS + 10_000)
    assert found == WINDOW + 1
    assert WINDOW in ledger.list_left_out(found)


# Guards against reports that become late while older ones are repeated.
def test_reports_that_are_due_come_before_overdue_ones():
    found = [WrittenWindow(create_usage(WINDOW + n), 1) for n in (0, 2, 3)]
    ledger = create_ledger(found, skip_through=0)
    wall_ms = TIMING.find_end_ms(WINDOW + 3)
    assert ledger.find_unreported(wall_ms) == create_usage(WINDOW + 2)
    ledger.note_accepted(WINDOW + 2)
    ledger.note_accepted(WINDOW + 3)
    assert ledger.find_unreported(wall_ms) == create_usage(WINDOW)


def test_reports_end_when_they_are_over():
    ledger = create_ledger()
    ledger.note_written(create_usage(), 1)
    over_ms = TIMING.find_end_ms(WINDOW) + 20_000
    assert ledger.find_unreported(over_ms) is None
    assert ledger.expire(over_ms) == [WINDOW]


# Guards against totals counted twice, or lost, by repeated and reordered messages.
def test_totals_may_be_repeated_and_reordered():
    collector = UsageCollector(TIMING)
    for count in (5, 3, 5):
        collector.add("a", 1, [create_usage(acme=count)], SETTLED_MS)
    collector.add("a", 2, [create_usage(acme=1)], SETTLED_MS)
    collector.add("b", 1, [create_usage(acme=2, beta=1)], SETTLED_MS)
    assert collector.sum_window(WINDOW) == {"acme": 8, "beta": 1}


def test_malformed_totals_are_left_out():
    collector = UsageCollector(TIMING)
    bad = [create_usage(acme=-1), create_usage(2**63), create_usage(acme=2**60)]
    assert collector.add("a", 1, [*bad, create_usage()], SETTLED_MS) == 3
    assert collector.sum_window(WINDOW) == {"acme": 3}


# Guards against memory that grows with every process of a host.
def test_old_totals_are_forgotten():
    collector = UsageCollector(TIMING)
    collector.add("a", 1, [create_usage()], SETTLED_MS)
    collector.expire(SETTLED_MS + 100 * 5000)
    assert not collector._hosts


# Guards against a report that is short without anyone knowing.
def test_a_lost_host_is_named():
    collector = UsageCollector(TIMING)
    collector.add("a", 1, [create_usage()], SETTLED_MS - 4000)
    collector.add("b", 1, [create_usage()], SETTLED_MS)
    assert collector.list_unheard(WINDOW, {"a", "b"}) == ["a"]
    assert collector.list_unheard(WINDOW, set()) == []


# Guards against a short report after all hosts were replaced.
def test_a_window_that_began_before_all_hosts_is_known():
    collector = UsageCollector(TIMING)
    start_ms = int(TIMING.find_end_ms(WINDOW) - 5000)
    collector.add("a", start_ms + 1, [create_usage()], SETTLED_MS)
    assert not collector.is_older_than(WINDOW)
    collector.add("b", start_ms, [], SETTLED_MS)
    assert collector.is_older_than(WINDOW)


# Guards against requests placed by a wall clock before true time is known.
def test_requests_held_are_placed_by_true_time():
    counter = UsageCounter(TIMING)
    counter.hold("acme", 1000.0)
    counter.place_held(TIMING.find_end_ms(WINDOW) - 1500.0)
    assert counter.list_windows() == [create_usage(acme=1)]
    assert counter.changed == {WINDOW}


def test_a_counter_keeps_four_windows():
    counter = UsageCounter(TIMING)
    for window in range(WINDOW, WINDOW + 6):
        counter.count("acme", TIMING.find_end_ms(window) - 1)
    counter.expire(TIMING.find_end_ms(WINDOW + 5) - 1)
    assert [w.window for w in counter.list_windows()] == [
        WINDOW + n for n in range(2, 6)
    ]


# Guards against counts that move between windows when wall clocks jump.
def test_clocks_that_jump_on_a_third_of_the_hosts_move_nothing():
    samples = ClockSamples()
    for number in range(30):
        jump = 7000.0 if number < 10 else 0.0
        samples.add(f"host-{number}", 1e12 + jump + number, 500.0)
    assert abs((samples.find_wall_ms(500.0) or 0.0) - 1e12) < 30
    samples.add("odd", float("nan"), 500.0)
    assert samples.count() == 30


def test_true_time_ignores_impossible_times():
    true_time = TrueTime(1e12, 0.0)
    true_time.set_agreed(float("inf"), 0.0)
    assert true_time.read(5.0) == 1e12 + 5


# Guards against log lines that call windows missing which the host before has reported.
def test_a_found_window_without_an_answer_is_not_known_to_be_missing():
    found = WrittenWindow(create_usage(), 1)
    ledger = create_ledger([found], skip_through=0)
    ledger.note_written(create_usage(WINDOW + 1), 1)
    over_ms = TIMING.find_end_ms(WINDOW + 1) + 20_000.0
    assert ledger.expire(over_ms) == [WINDOW + 1]
