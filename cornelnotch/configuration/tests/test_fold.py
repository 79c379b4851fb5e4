"""Tests of folding: concurrent changes, conflicts, removals, malformed records."""

import random
import string

import pytest
from hypothesis import given, strategies as st

from cornelnotch.configuration import (
    Change,
    ConfigurationState,
    apply_record,
    choose_snapshot,
    create_snapshot,
    encode_record,
    parse_labels,
    restore_snapshot,
    select_class,
)
from cornelnotch.testing.randominput import SEED, read_case_count
from cornelnotch.testing.samples import (
    create_sample_configuration,
    create_server_section,
)

FUZZ_CASES = read_case_count(400)
INITIAL_TEXT = create_sample_configuration(
    create_server_section("e", "cobbler-assist", "127.0.0.1:1")
)


def fold(state, offset, base, text):
    return apply_record(state, offset, encode_record(Change("id", base, text)))


def create_state():
    return fold(ConfigurationState(), 0, -1, INITIAL_TEXT).state


def test_second_of_two_concurrent_changes_is_rejected_as_a_conflict():
    state = create_state()
    first = fold(state, 1, 0, "[workspace w]\nconcurrent = 1\n")
    second = fold(first.state, 2, 0, "[workspace w]\nconcurrent = 2\n")
    other = fold(second.state, 3, 0, "[workspace v]\nconcurrent = 2\n")
    assert (first.accepted, second.accepted, other.accepted) == (True, False, True)
    assert "changed at version 1" in str(second.error)
    assert other.state.configuration.workspaces["w"].concurrent == 1


def test_duplicate_record_is_accepted_once():
    state = create_state()
    text = "[workspace w]\nconcurrent = 1\n"
    first = fold(state, 1, 0, text)
    assert not fold(first.state, 2, 0, text).accepted


def test_removal_conflicts_with_a_change_based_on_an_older_version():
    state = fold(create_state(), 1, 0, "[workspace w]\nconcurrent = 1\n").state
    removed = fold(state, 2, 1, "[workspace w]\nremove = yes\n").state
    assert not fold(removed, 3, 1, "[workspace w]\nconcurrent = 2\n").accepted
    restored = restore_snapshot(create_snapshot(removed))
    assert not fold(restored, 3, 1, "[workspace w]\nconcurrent = 2\n").accepted


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[class x]\ntier = 9\n", "[class x] tier"),
        ("[class x]\ntier = 1\nspeed = 3\n", "[class x] speed"),
        ("[color x]\na = 1\n", "[color x]"),
        ("[selector s]\nclass = none\npool = cobbler-assist\n", "class none"),
        ("[server s]\npool = p\naddress = here\nplace = q\n", "address"),
        ("[pool cobbler-assist]\nremove = yes\n", "pool cobbler-assist"),
        ("no section\n", "line: 1"),
        ("", "empty"),
    ],
)
def test_invalid_change_is_rejected_with_the_offending_key(text, expected):
    result = fold(create_state(), 1, 0, text)
    assert not result.accepted
    assert expected in str(result.error)
    assert result.state.version == 0


def test_number_of_claim_streams_cannot_change():
    result = fold(create_state(), 1, 0, "[claims]\nstreams = 9\n")
    assert "streams" in str(result.error)


def test_late_snapshot_of_an_older_state_is_ignored():
    old = create_state()
    new = fold(old, 1, 0, "[workspace w]\nconcurrent = 1\n").state
    chosen = choose_snapshot([create_snapshot(new), create_snapshot(old)], 1)
    assert chosen is not None
    assert chosen.version == 1
    assert choose_snapshot([create_snapshot(old)], 5) is None


def test_first_matching_selector_is_used():
    configuration = create_state().configuration
    quote = select_class(configuration, "w", parse_labels("kind=quote"), None).unwrap()
    assert (quote.selector, quote.tier) == ("quotes", 1)
    other = select_class(configuration, "w", {}, None).unwrap()
    assert other.class_name == "draft"
    assert select_class(configuration, "w", {}, "nowhere").failure().status == 422


@pytest.mark.fuzz
def test_corrupted_records_never_abort_the_fold():
    generator = random.Random(SEED)
    state = create_state()
    characters = string.printable
    for offset in range(1, FUZZ_CASES):
        body = bytearray(encode_record(Change("id", 0, INITIAL_TEXT)))
        for _ in range(generator.randint(1, 20)):
            byte = generator.choice(characters).encode()
            body[generator.randrange(len(body))] = byte[0]
        after = apply_record(state, offset, bytes(body)).state
        assert after.version >= state.version
        state = after


@given(st.lists(st.tuples(st.integers(-1, 6), st.integers(0, 2)), max_size=8))
def test_versions_never_decrease_and_snapshots_are_lossless(changes):
    state = create_state()
    for offset, (base, number) in enumerate(changes, 1):
        text = f"[workspace w{number}]\nconcurrent = {offset}\n"
        after = fold(state, offset, base, text).state
        assert after.version >= state.version
        assert restore_snapshot(create_snapshot(after)) == after
        state = after
