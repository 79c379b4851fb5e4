"""Derive the configuration of a shard from the global configuration."""

from cornelnotch.configuration import Configuration, ShardPlan
from cornelnotch.queueing import ClassConfig, ServerConfig, ShardConfig
from cornelnotch.queueing.models import WorkspaceLimits

__all__ = ["create_shard_config"]


def create_shard_config(plan: ShardPlan, configuration: Configuration) -> ShardConfig:
    """Return the configuration of one shard."""
    pool = configuration.pools[plan.pool]
    classes = {
        name: ClassConfig(
            name,
            section.tier,
            section.first_token_ms,
            section.whole_ms,
            section.longest_wait_ms,
            section.floor,
        )
        for name, section in configuration.classes.items()
    }
    servers = {}
    for name in plan.servers:
        section = configuration.servers[name]
        leaving = section.state == "leaving"
        servers[name] = ServerConfig(name, section.address, section.slots, leaving)
    workspaces = {
        name: WorkspaceLimits(w.requests_per_second, w.burst, w.concurrent)
        for name, w in configuration.workspaces.items()
        if w.requests_per_second is not None or w.concurrent is not None
    }
    return ShardConfig(
        plan.name,
        pool.discipline,
        pool.balancer,
        pool.protocol == "engine",
        pool.queue_per_slot,
        pool.expected_ms,
        classes,
        servers,
        workspaces,
    )
