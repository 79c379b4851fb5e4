"""Rank hosts as dispatchers of shards and writers of claim streams."""

from collections.abc import Iterable

from cornelnotch.configuration import Configuration, ShardPlan
from cornelnotch.kernel import rank_owners
from cornelnotch.membership import Member

__all__ = ["rank_dispatchers", "rank_writers"]


def rank_dispatchers(
    plan: ShardPlan, configuration: Configuration, members: Iterable[Member]
) -> list[str]:
    """Return hosts in order of preference as the dispatcher of a shard.

    Hosts of the shard's region come first, so that permits do not use the
    narrow link between regions while that region has a live host.
    """
    local: list[str] = []
    remote: list[str] = []
    for member in members:
        same = configuration.find_region(member.place) == plan.region
        (local if same else remote).append(member.name)
    return rank_owners(plan.name, local) + rank_owners(plan.name, remote)


def rank_writers(stream: int, members: Iterable[Member]) -> list[str]:
    """Return hosts in order of preference as the writer of a claim stream."""
    return rank_owners(f"claims/{stream}", [member.name for member in members])
