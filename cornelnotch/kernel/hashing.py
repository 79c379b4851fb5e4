"""Assign keys to names by rendezvous hashing."""

from collections.abc import Iterable

import xxhash

__all__ = ["hash_text", "rank_owners", "select_owner"]


def hash_text(text: str) -> int:
    """Return a 64-bit hash that is the same on every host."""
    return xxhash.xxh3_64_intdigest(text.encode())


def rank_owners(key: str, names: Iterable[str]) -> list[str]:
    """Return `names` by descending rendezvous weight for `key`."""
    return sorted(names, key=lambda name: (-hash_text(f"{key}\x00{name}"), name))


def select_owner(key: str, names: Iterable[str]) -> str | None:
    """Return the name of highest rendezvous weight for `key`, or None."""
    return max(
        names,
        key=lambda name: (hash_text(f"{key}\x00{name}"), name),
        default=None,
    )
