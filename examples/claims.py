"""Apply the claims and the release of several attempts for one key."""

from cornelnotch.claims import ClaimLedger, ClaimOperation, OperationKind

ledger = ClaimLedger()
RECORDS = [
    ClaimOperation(OperationKind.CLAIM, "booking-7", "first"),
    ClaimOperation(OperationKind.CLAIM, "booking-7", "second"),
    ClaimOperation(OperationKind.RELEASE, "booking-7", "first"),
    ClaimOperation(OperationKind.CLAIM, "booking-7", "first"),
    ClaimOperation(OperationKind.CLAIM, "booking-7", "third"),
]
for offset, record in enumerate(RECORDS):
    ledger.apply(record, offset, 0, 0.0)
    claim = ledger.find_claim("booking-7")
    holder = claim.attempt if claim else "nobody"
    print(f"{record.kind.value:8} by {record.attempt:6} -> held by {holder}")
