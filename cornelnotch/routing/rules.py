"""Derive the configuration of a shard from the global configuration."""

from cornelnotch.configuration import Configuration, ShardPlan
from cornelnotch.queueing import ClassRule, ServerRule, ShardRule
from cornelnotch.queueing.models import WorkspaceRule

__all__ = ["create_shard_rule"]


def create_shard_rule(plan: ShardPlan, configuration: Configuration) -> ShardRule:
    """Return the configuration of one shard."""
    pool = configuration.pools[plan.pool]
    classes = {
        name: ClassRule(
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
        servers[name] = ServerRule(name, section.address, section.slots, leaving)
    workspaces = {
        name: WorkspaceRule(w.requests_per_second, w.burst, w.concurrent)
        for name, w in configuration.workspaces.items()
        if w.requests_per_second is not None or w.concurrent is not None
    }
    return ShardRule(
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
