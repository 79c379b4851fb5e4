"""Make and read time-ordered identifiers."""

import uuid

import uuid6
from returns.result import Failure, Result, Success

from cornelnotch.exceptions import RequestError

__all__ = ["create_identifier", "read_key_time"]

UUID_VERSION = 7
TIMESTAMP_SHIFT_BITS = 80


def create_identifier() -> str:
    """Return a new UUIDv7."""
    return str(uuid6.uuid7())


def read_key_time(key: str) -> Result[float, RequestError]:
    """Return the wall time in ms at which a UUIDv7 key was made."""
    try:
        value = uuid.UUID(key)
    except ValueError:
        return Failure(_report_key(key))
    if (value.int >> 76) & 0xF != UUID_VERSION:
        return Failure(_report_key(key))
    return Success(float(value.int >> TIMESTAMP_SHIFT_BITS))


def _report_key(key: str) -> RequestError:
    return RequestError(
        f"Idempotency-Key {key[:64]!r} is not a UUIDv7",
        "make a new UUIDv7 for each piece of work and keep it for retries",
        400,
        "bad-key",
    )
