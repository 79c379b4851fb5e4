"""Partition pools into shards, as a pure function of the configuration."""

from dataclasses import dataclass

from cornelnotch.configuration.models import Configuration
from cornelnotch.kernel import hash_text

__all__ = ["ShardPlan", "find_shards", "plan_shards"]


@dataclass(frozen=True, slots=True)
class ShardPlan:
    """A shard with its pool, region and servers."""

    name: str
    pool: str
    region: str
    servers: tuple[str, ...]


def _group_servers(configuration: Configuration) -> dict[tuple[str, str], list[str]]:
    groups: dict[tuple[str, str], list[str]] = {}
    for name, server in configuration.servers.items():
        key = (server.pool, configuration.find_region(server.place))
        groups.setdefault(key, []).append(name)
    return groups


def plan_shards(configuration: Configuration) -> dict[str, ShardPlan]:
    """Return the shards of all pools by name; a shard lies within one region."""
    plans: dict[str, ShardPlan] = {}
    for (pool, region), names in sorted(_group_servers(configuration).items()):
        limit = configuration.pools[pool].shard_servers
        count = -(-len(names) // limit)
        # Sorting by the hash of the name, not by the name itself, spreads servers of
        # one failure domain over several shards, even if names follow a pattern.
        names.sort(key=lambda name: (hash_text(name), name))
        for index in range(count):
            shard = f"{pool}/{region}/{index}"
            members = tuple(names[index::count])
            plans[shard] = ShardPlan(shard, pool, region, members)
    return plans


def find_shards(
    plans: dict[str, ShardPlan], pool: str, region: str
) -> tuple[list[ShardPlan], list[ShardPlan]]:
    """Return the shards of `pool` in `region` and those in other regions."""
    local = [p for p in plans.values() if p.pool == pool and p.region == region]
    remote = [p for p in plans.values() if p.pool == pool and p.region != region]
    return local, remote
