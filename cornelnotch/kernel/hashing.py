"""Spread keys over names with stable hashes."""

from collections.abc import Iterable

import xxhash

__all__ = ["hash_text", "rank_owners", "select_owner"]


def hash_text(text: str) -> int:
    """Return a 64-bit hash that is the same on every host."""
    return xxhash.xxh3_64_intdigest(text.encode())


def rank_owners(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` in rendezvous order for `key`, usual owner first."""
    return sorted(names, key=lambda name: (-hash_text(f"{key}\x00{name}"), name))


def select_owner(key: str, names: Iterable[str]) -> str | None:
    """Return the usual owner of `key`, or None when there are no names."""
    return max(
        names,
        key=lambda name: (hash_text(f"{key}\x00{name}"), name),
        default=None,
    )
