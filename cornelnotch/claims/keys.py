"""Validity of idempotency keys by age."""

from enum import StrEnum

__all__ = ["KeyAge", "check_key_age"]


class KeyAge(StrEnum):
    """Validity of a key by its age."""

    USABLE = "usable"
    EXPIRED = "expired"
    FUTURE = "future"


def check_key_age(
    key_ms: float, wall_ms: float, horizon_ms: float, skew_ms: float
) -> KeyAge:
    """Return the validity of a key generated at `key_ms`.

    The horizon must be shorter than the retention of the log, so that every claim
    on a usable key is still in the log.
    """
    if key_ms > wall_ms + skew_ms:
        return KeyAge.FUTURE
    if wall_ms - key_ms > horizon_ms:
        return KeyAge.EXPIRED
    return KeyAge.USABLE
