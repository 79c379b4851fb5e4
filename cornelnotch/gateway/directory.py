"""Choose the hosts that callers should connect to; pure."""

from collections.abc import Callable
from dataclasses import dataclass

from cornelnotch.membership.table import Member

__all__ = ["Directory", "EntryChoice"]

MAX_ADDRESSES = 64
# With fewer hosts in their region, callers get the hosts of all regions.
MIN_REGION_HOSTS = 1


@dataclass(frozen=True, slots=True)
class EntryChoice:
    """Addresses for callers and how long these are valid, in s."""

    addresses: list[str]
    lifetime_s: float


class Directory:
    """Choose among the hosts that serve callers."""

    def __init__(
        self,
        list_members: Callable[[], list[Member]],
        regions: dict[str, str],
        lifetime_s: float,
    ) -> None:
        self._list_members = list_members
        self._regions = regions
        self._lifetime_s = lifetime_s

    def choose(self, region: str) -> EntryChoice:
        """Return the hosts of the caller's region, or all hosts if it has too few."""
        members = self._list_members()
        near = [m for m in members if self._regions.get(m.place) == region]
        chosen = near if len(near) >= MIN_REGION_HOSTS else members
        addresses = sorted(member.http for member in chosen)
        return EntryChoice(addresses[:MAX_ADDRESSES], self._lifetime_s)
