"""Test when orders are sent, repeated and left; each test names the API's behavior."""

import pytest

from cornelnotch.duties.models import CallOutcome, Claim
from cornelnotch.scaling.models import OrderKey, ServerKind
from cornelnotch.scaling.orders import OrderBook

KEY = OrderKey("llm", "a1", ServerKind.ON_DEMAND)
SPOT = OrderKey("llm", "a1", ServerKind.SPOT)
OTHER = OrderKey("llm", "a2", ServerKind.SPOT)
CLAIM = Claim("h1", 7, 1)
BOOT_MS = 4000.0


def send(book, outcome, now, claim=CLAIM):
    order = book.list_due(claim, now)[0]
    book.note_sent(order)
    return book.note_outcome(order, claim, outcome, BOOT_MS, now)


def list_counts(book, now, claim=CLAIM):
    return [(order.key, order.count) for order in book.list_due(claim, now)]


def test_an_increase_is_ordered_at_once_and_not_again_while_servers_boot():
    book = OrderBook()
    book.update(KEY, 6, 4, 0.0)
    assert list_counts(book, 0.0) == [(KEY, 6)]
    send(book, CallOutcome.ACCEPTED, 0.0)
    for now in (500.0, 4000.0, 6000.0):
        book.update(KEY, 6, 4, now)
        assert list_counts(book, now) == []
    book.update(KEY, 6, 6, 6400.0)
    assert list_counts(book, 6400.0) == []


def test_an_accepted_order_that_no_entry_shows_is_repeated():
    book = OrderBook()
    book.update(KEY, 6, 4, 0.0)
    send(book, CallOutcome.ACCEPTED, 0.0)
    book.update(KEY, 6, 4, 7000.0)
    assert list_counts(book, 7000.0) == [(KEY, 6)]


@pytest.mark.parametrize("outcome", [CallOutcome.UNANSWERED, CallOutcome.BUSY])
def test_an_order_without_an_answer_or_refused_as_busy_is_repeated(outcome):
    book = OrderBook()
    book.update(KEY, 6, 4, 0.0)
    send(book, outcome, 0.0)
    book.update(KEY, 6, 4, 1000.0)
    assert list_counts(book, 1000.0) == []
    book.update(KEY, 6, 4, 1600.0)
    assert list_counts(book, 1600.0) == [(KEY, 6)]


def test_an_old_order_that_is_executed_late_is_corrected():
    # The older order for 4 is executed after the newer one for 6 was shown.
    book = OrderBook()
    book.update(KEY, 6, 4, 0.0)
    send(book, CallOutcome.ACCEPTED, 0.0)
    book.update(KEY, 6, 6, 6400.0)
    book.update(KEY, 6, 4, 8000.0)
    assert list_counts(book, 8000.0) == [(KEY, 6)]


def test_a_reduction_is_held_back_and_follows_the_highest_count():
    book = OrderBook()
    for now, desired in ((0.0, 3), (1000.0, 4), (2500.0, 2)):
        book.update(KEY, desired, 6, now)
        assert list_counts(book, now) == []
    book.update(KEY, 2, 6, 3000.0)
    assert list_counts(book, 3000.0) == [(KEY, 4)]


def test_a_reduction_follows_a_count_that_fell_after_the_hold_had_begun():
    # The count of one moment of the hold must not keep servers for good.
    book = OrderBook()
    for second, desired in enumerate((5, 6, 5, 3, 3, 3, 3)):
        book.update(KEY, desired, 6, second * 1000.0)
    assert list_counts(book, 6000.0) == [(KEY, 3)]


def test_load_that_returns_cancels_a_reduction():
    book = OrderBook()
    book.update(KEY, 3, 6, 0.0)
    book.update(KEY, 6, 6, 2000.0)
    book.update(KEY, 3, 6, 3500.0)
    assert list_counts(book, 3500.0) == []


def test_additions_come_first_and_the_largest_before_others():
    book = OrderBook()
    for now in (0.0, 3000.0):
        book.update(KEY, 2, 6, now)
        book.update(SPOT, 5, 4, now)
        book.update(OTHER, 9, 1, now)
    assert list_counts(book, 3000.0) == [(OTHER, 9), (SPOT, 5), (KEY, 2)]


def test_one_call_at_a_time_for_a_service_and_domain():
    book = OrderBook()
    book.update(KEY, 6, 4, 0.0)
    book.update(SPOT, 6, 4, 0.0)
    book.note_sent(book.list_due(CLAIM, 0.0)[0])
    assert list_counts(book, 0.0) == []


def test_a_conflict_of_an_on_demand_order_shows_a_higher_token():
    # The same token must not be used again for the service and domain.
    book = OrderBook()
    book.update(KEY, 6, 4, 0.0)
    assert send(book, CallOutcome.CONFLICT, 0.0)
    book.update(KEY, 6, 4, 1e9)
    assert list_counts(book, 1e9) == []
    assert list_counts(book, 1e9, Claim("h1", 9, 1)) == [(KEY, 6)]


def test_a_conflict_of_a_spot_order_stops_calls_until_the_claim_is_proven():
    book = OrderBook()
    book.update(SPOT, 6, 4, 0.0)
    assert not send(book, CallOutcome.CONFLICT, 0.0)
    assert not book.is_spot_available("llm", "a1", 19_000.0)
    book.update(KEY, 6, 4, 3000.0)
    assert list_counts(book, 3000.0) == []
    # A claim with a new token is known to be the newest.
    assert list_counts(book, 3000.0, Claim("h1", 9, 1)) == [(KEY, 6)]
    # On-demand servers take over before spot servers are asked for again.
    assert list_counts(book, 3500.0) == [(KEY, 6)]
    book.update(SPOT, 6, 4, 20_000.0)
    assert list_counts(book, 20_000.0) == [(KEY, 6), (SPOT, 6)]


def test_without_fencing_a_conflict_means_that_no_spot_servers_are_to_be_had():
    book = OrderBook(fenced=False)
    book.update(SPOT, 6, 4, 0.0)
    send(book, CallOutcome.CONFLICT, 0.0)
    book.update(KEY, 6, 4, 1000.0)
    book.update(SPOT, 6, 4, 1000.0)
    assert list_counts(book, 1000.0) == [(KEY, 6)]


def test_reclaimed_servers_are_not_ordered_again_at_once():
    book = OrderBook()
    book.update(SPOT, 6, 0, 0.0)
    send(book, CallOutcome.ACCEPTED, 0.0)
    book.note_reclaimed("llm", "a1", 1000.0)
    assert book.find_level(SPOT, 0, 1000.0) == 0
    assert not book.is_spot_available("llm", "a1", 13_000.0)
    assert book.is_spot_available("llm", "a1", 13_500.0)
    assert book.is_spot_available("llm", "a2", 1000.0)


def test_servers_released_by_an_order_are_not_taken_for_reclaimed():
    book = OrderBook()
    for now in (0.0, 3000.0):
        book.update(SPOT, 2, 6, now)
    send(book, CallOutcome.ACCEPTED, 3000.0)
    assert book.explains_release(SPOT, 2, 3500.0)
    assert not book.explains_release(SPOT, 0, 3500.0)
    assert not book.explains_release(SPOT, 2, 9000.0)


def test_a_new_claim_begins_with_a_new_hold():
    book = OrderBook()
    book.update(KEY, 2, 6, 0.0)
    book.forget_desired()
    assert list_counts(book, 0.0) == []
    book.update(KEY, 2, 6, 3000.0)
    assert list_counts(book, 3000.0) == []
