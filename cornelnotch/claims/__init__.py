"""At-most-once execution of non-repeatable work, by claims in the log."""

from cornelnotch.claims.client import ClaimClient, ClaimVerdict
from cornelnotch.claims.keys import KeyAge, check_key_age
from cornelnotch.claims.ledger import (
    ClaimLedger,
    ClaimOperation,
    OperationKind,
    decode_operation,
    decode_operations,
    encode_operation,
    encode_operations,
)
from cornelnotch.claims.writer import ClaimWriter

__all__ = [
    "ClaimClient",
    "ClaimLedger",
    "ClaimOperation",
    "ClaimVerdict",
    "ClaimWriter",
    "KeyAge",
    "OperationKind",
    "check_key_age",
    "decode_operation",
    "decode_operations",
    "encode_operation",
    "encode_operations",
]
