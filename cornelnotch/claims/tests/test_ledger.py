"""Test the claim ledger with claims, releases and outcomes in any order."""

from hypothesis import given, strategies as st

from cornelnotch.claims import (
    ClaimLedger,
    ClaimOperation,
    KeyAge,
    OperationKind,
    check_key_age,
    decode_operations,
    encode_operations,
)

ATTEMPTS = ("a", "b", "c")
OPERATIONS = st.builds(
    ClaimOperation,
    st.sampled_from(
        [OperationKind.CLAIM, OperationKind.RELEASE, OperationKind.OUTCOME]
    ),
    st.sampled_from(["k", "l"]),
    st.sampled_from(ATTEMPTS),
    st.just("f"),
    st.just(200),
    st.just("text/plain"),
    st.just(b"done"),
)


def apply_operations(operations):
    ledger = ClaimLedger()
    for offset, operation in enumerate(operations):
        ledger.apply(operation, offset, 0, float(offset))
    return ledger


@given(st.lists(OPERATIONS, max_size=12))
def test_holder_of_key_changes_only_by_its_own_release(operations):
    ledger = ClaimLedger()
    for offset, operation in enumerate(operations):
        before = ledger.find_claim(operation.key)
        holder = before.attempt if before else None
        ledger.apply(operation, offset, 0, float(offset))
        after = ledger.find_claim(operation.key)
        if holder is not None and (after is None or after.attempt != holder):
            assert operation.kind is OperationKind.RELEASE
            assert operation.attempt == holder


def test_claim_appended_after_its_release_is_ignored():
    release = ClaimOperation(OperationKind.RELEASE, "k", "a")
    late = ClaimOperation(OperationKind.CLAIM, "k", "a", "f")
    assert apply_operations([release, late]).find_claim("k") is None


@given(st.lists(OPERATIONS, max_size=5))
def test_operations_round_trip_through_encoding(operations):
    decoded = decode_operations(encode_operations(operations)).unwrap()
    assert [(o.kind, o.key, o.attempt) for o in decoded] == [
        (o.kind, o.key, o.attempt) for o in operations
    ]


def test_key_age_is_judged_with_clock_skew():
    assert check_key_age(0, 10, 20, 5) is KeyAge.USABLE
    assert check_key_age(0, 21, 20, 5) is KeyAge.EXPIRED
    assert check_key_age(16, 10, 20, 5) is KeyAge.FUTURE


def test_eviction_removes_only_old_claims():
    ledger = apply_operations(
        [
            ClaimOperation(OperationKind.CLAIM, "k", "a", "f"),
            ClaimOperation(OperationKind.CLAIM, "l", "b", "f"),
        ]
    )
    ledger.evict(1.0)
    assert ledger.find_claim("k") is None
    assert ledger.find_claim("l") is not None
