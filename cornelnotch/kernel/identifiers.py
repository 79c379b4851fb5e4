"""Create and parse time-ordered identifiers."""

import uuid

import uuid6
from returns.result import Failure, Result, Success

from cornelnotch.exceptions import RequestError

__all__ = ["create_identifier", "parse_key_time"]

UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80


def create_identifier() -> str:
    """Return a new UUIDv7."""
    return str(uuid6.uuid7())


def parse_key_time(key: str) -> Result[float, RequestError]:
    """Return the creation time of a UUIDv7 key, in ms since the Unix epoch."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return Failure(_create_key_error(key))
    if (value.int >> 76) & 0xF != UUID_VERSION:
        return Failure(_create_key_error(key))
    return Success(float(value.int >> TIMESTAMP_SHIFT_BITS))


def _create_key_error(key: str) -> RequestError:
    return RequestError(
        f"Idempotency-Key {key[:64]!r} is not a UUIDv7",
        "create a new UUIDv7 for each operation and reuse it for its retries",
        400,
        "bad-key",
    )
