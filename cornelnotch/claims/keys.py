"""Judge the age of a key."""

from enum import StrEnum

__all__ = ["KeyAge", "judge_key_age"]


class KeyAge(StrEnum):
    """Name what the age of a key allows."""

    USABLE = "usable"
    EXPIRED = "expired"
    FUTURE = "future"


def judge_key_age(
    key_ms: float, wall_ms: float, horizon_ms: float, skew_ms: float
) -> KeyAge:
    """Return whether every claim of a key made at `key_ms` is still in the log."""
    if key_ms > wall_ms + skew_ms:
        return KeyAge.FUTURE
    if wall_ms - key_ms > horizon_ms:
        return KeyAge.EXPIRED
    return KeyAge.USABLE
