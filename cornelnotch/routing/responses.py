"""Build the responses that the router itself sends to callers."""

import math
from dataclasses import dataclass
from enum import StrEnum

import orjson

from cornelnotch.wire.messages import ClassOccupancy

__all__ = ["Outcome", "Problem", "create_response_headers", "encode_problem"]

MS_PER_SECOND = 1000.0


class Outcome(StrEnum):
    """Whether the work of a request was executed."""

    RAN = "ran"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Problem:
    """Refusal or failure; `retry_after_ms` is None if a retry cannot succeed."""

    status: int
    kind: str
    message: str
    outcome: Outcome
    retry_after_ms: float | None = None
    occupancy: tuple[ClassOccupancy, ...] = ()


def create_response_headers(
    request_id: str, outcome: Outcome, retry_after_ms: float | None = None
) -> dict[str, str]:
    """Return the headers of every response."""
    headers = {
        "cornelnotch-request-id": request_id,
        "cornelnotch-outcome": outcome.value,
    }
    if retry_after_ms is not None:
        headers["retry-after"] = str(max(math.ceil(retry_after_ms / MS_PER_SECOND), 1))
        headers["cornelnotch-retry-after-ms"] = str(math.ceil(retry_after_ms))
    return headers


def encode_problem(problem: Problem, request_id: str) -> bytes:
    """Return the JSON error body of a problem."""
    content = {
        "error": {
            "kind": problem.kind,
            "message": problem.message,
            "request_id": request_id,
            "outcome": problem.outcome.value,
            "retry_after_ms": problem.retry_after_ms,
            "occupancy": list(problem.occupancy),
        }
    }
    return orjson.dumps(content)
