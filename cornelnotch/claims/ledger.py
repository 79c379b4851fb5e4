"""Ledger of claims, computed from the records of a claim stream.

The first claim of a key in offset order wins. A release frees the key and
invalidates every later record of the released attempt, so that a delayed append
has no effect.
"""

import base64
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import StrEnum

import orjson
from returns.result import Failure, Result, Success

from cornelnotch.exceptions import WireError

__all__ = [
    "Claim",
    "ClaimLedger",
    "ClaimOperation",
    "OperationKind",
    "OutcomeLocation",
    "decode_operation",
    "decode_operations",
    "encode_operation",
    "encode_operations",
]


class OperationKind(StrEnum):
    """Kind of a claim operation."""

    CLAIM = "claim"
    RELEASE = "release"
    OUTCOME = "outcome"
    LOOKUP = "lookup"


@dataclass(frozen=True, slots=True)
class ClaimOperation:
    """Operation on a key.

    For an outcome, `status` is the HTTP status of the response, or 0 if unknown.
    """

    kind: OperationKind
    key: str
    attempt: str
    fingerprint: str = ""
    status: int = 0
    content_type: str = ""
    body: bytes | None = None


@dataclass(frozen=True, slots=True)
class OutcomeLocation:
    """Location of an outcome in the stream: record offset and index within it."""

    offset: int
    index: int


@dataclass(slots=True)
class Claim:
    """Winning claim of a key."""

    attempt: str
    fingerprint: str
    time_ms: float
    outcome: OutcomeLocation | None = None


@dataclass(slots=True)
class ClaimLedger:
    """Claims of one stream.

    Outcomes stay in the log; only their locations are kept in memory.
    """

    claims: OrderedDict[str, Claim] = field(default_factory=OrderedDict)
    released: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def apply(
        self, operation: ClaimOperation, offset: int, index: int, time_ms: float
    ) -> None:
        """Apply the operation at `index` of the record at `offset`."""
        if operation.attempt in self.released:
            return
        known = self.claims.get(operation.key)
        owned = known is not None and known.attempt == operation.attempt
        if operation.kind is OperationKind.CLAIM:
            if known is None:
                self.claims[operation.key] = Claim(
                    operation.attempt, operation.fingerprint, time_ms
                )
        elif operation.kind is OperationKind.RELEASE:
            self.released[operation.attempt] = time_ms
            if owned:
                del self.claims[operation.key]
        elif operation.kind is OperationKind.OUTCOME and known is not None and owned:
            known.outcome = OutcomeLocation(offset, index)

    def find_claim(self, key: str) -> Claim | None:
        """Return the winning claim of `key`, or None if it is not claimed."""
        return self.claims.get(key)

    def evict(self, before_ms: float) -> None:
        """Remove claims and releases older than `before_ms`.

        The caller must choose `before_ms` early enough that no usable key has a claim
        or release that old.
        """
        while self.claims:
            key, claim = next(iter(self.claims.items()))
            if claim.time_ms >= before_ms:
                break
            del self.claims[key]
        while self.released:
            attempt, time_ms = next(iter(self.released.items()))
            if time_ms >= before_ms:
                break
            del self.released[attempt]


def _to_content(operation: ClaimOperation) -> dict[str, object]:
    content: dict[str, object] = {
        "op": operation.kind.value,
        "key": operation.key,
        "attempt": operation.attempt,
    }
    if operation.kind is OperationKind.CLAIM:
        content["fingerprint"] = operation.fingerprint
    if operation.kind is OperationKind.OUTCOME:
        content["status"] = operation.status
        content["type"] = operation.content_type
        if operation.body is not None:
            content["body"] = base64.b64encode(operation.body).decode()
    return content


def _from_content(content: dict) -> ClaimOperation:
    body = content.get("body")
    return ClaimOperation(
        OperationKind(content["op"]),
        str(content["key"]),
        str(content["attempt"]),
        str(content.get("fingerprint", "")),
        int(content.get("status", 0)),
        str(content.get("type", "")),
        base64.b64decode(body) if body is not None else None,
    )


def encode_operation(operation: ClaimOperation) -> bytes:
    """Return one operation encoded as JSON."""
    return orjson.dumps(_to_content(operation))


def encode_operations(operations: list[ClaimOperation]) -> bytes:
    """Return the body of one log record."""
    return orjson.dumps([_to_content(operation) for operation in operations])


def _create_malformed_error(error: Exception) -> WireError:
    return WireError(
        f"a claim record is malformed: {error!r}",
        "prevent other writers from appending to the claim streams",
    )


def decode_operation(body: bytes) -> Result[ClaimOperation, WireError]:
    """Return the operation encoded in `body`."""
    try:
        return Success(_from_content(orjson.loads(body)))
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Failure(_create_malformed_error(error))


def decode_operations(body: bytes) -> Result[list[ClaimOperation], WireError]:
    """Return the operations of one log record."""
    try:
        return Success([_from_content(content) for content in orjson.loads(body)])
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        return Failure(_create_malformed_error(error))
