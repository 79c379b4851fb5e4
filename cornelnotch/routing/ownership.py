"""Tell which hosts usually do which duty."""

from collections.abc import Iterable

from cornelnotch.configuration import Configuration, ShardPlan
from cornelnotch.kernel import rank_owners
from cornelnotch.membership import Member

__all__ = ["rank_dispatchers", "rank_writers"]


def rank_dispatchers(
    plan: ShardPlan, configuration: Configuration, members: Iterable[Member]
) -> list[str]:
    """Return hosts in the order in which they dispatch a shard.

    Hosts of the shard's region come first, so that permits stay off the narrow
    link while that region has a live host.
    """
    local: list[str] = []
    remote: list[str] = []
    for member in members:
        same = configuration.find_region(member.place) == plan.region
        (local if same else remote).append(member.name)
    return rank_owners(plan.name, local) + rank_owners(plan.name, remote)


def rank_writers(stream: int, members: Iterable[Member]) -> list[str]:
    """Return hosts in the order in which they keep a claim stream."""
    return rank_owners(f"claims/{stream}", [member.name for member in members])
