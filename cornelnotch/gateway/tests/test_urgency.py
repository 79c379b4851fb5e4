"""Test the order of requests by the priorities of workspaces and routes."""

import asyncio

from cornelnotch.gateway.models import (
    CallerLimits,
    Route,
    RoutingTable,
    ServiceShare,
    WorkKind,
    Workspace,
)
from cornelnotch.gateway.tests.conftest import (
    KEY,
    create_configuration,
    create_route as create_configured_route,
    run_deployment,
    wait_until,
)
from cornelnotch.gateway.urgency import MAX_RANKS, UrgencyRanks, find_urgency

SHARES = (ServiceShare("llm", 1.0),)


def create_route(priority):
    return Route(
        f"r{priority}", "h", "/", WorkKind.STREAM, 1e4, 1e3, 1, priority, SHARES
    )


def create_table(route_priorities, workspace_priorities):
    workspaces = {f"k{p}": Workspace(f"w{p}", p) for p in workspace_priorities}
    routes = {"h": tuple(create_route(p) for p in route_priorities)}
    return RoutingTable(1, routes, {}, workspaces, CallerLimits())


def find_ranks(route_priorities, workspace_priorities):
    """Return the ranks of all requests, by workspace and then by route."""
    table = create_table(route_priorities, workspace_priorities)
    ranks = UrgencyRanks()
    return [
        ranks.find_rank(
            table, "llm", find_urgency(create_route(route), Workspace("w", workspace))
        )
        for workspace in workspace_priorities
        for route in route_priorities
    ]


def test_routes_of_one_workspace_are_told_apart():
    """Guard against engines that preempt chats and let long prompts run on."""
    ranks = find_ranks([0, 1, 2], [1])
    assert ranks == sorted(set(ranks))


def test_workspace_goes_before_the_route():
    ranks = find_ranks([0, 1, 2], [0, 1])
    assert ranks == sorted(set(ranks))


def test_route_decides_without_a_workspace_priority():
    assert find_ranks([0, 1, 2], [None]) == [0, 1, 2]


def test_ranks_of_many_priorities_stay_in_order_and_within_the_bound():
    ranks = find_ranks([0, 1, 2, 3], [0, 1, 2, 3, 4])
    assert ranks == sorted(ranks)
    assert max(ranks) < MAX_RANKS


def test_priority_of_an_earlier_configuration_has_a_rank():
    table = create_table([0, 1], [0])
    urgency = find_urgency(create_route(12), None)
    assert UrgencyRanks().find_rank(table, "llm", urgency) == MAX_RANKS - 1


def test_servers_are_told_which_route_of_one_workspace_is_the_more_urgent():
    """Guard against engines that preempt chats and let long prompts run on."""

    async def run():
        async with run_deployment() as deployment:
            routes = [
                create_configured_route(
                    "chat", "/stream/", "streaming", "llm", priority=0
                ),
                create_configured_route(
                    "draft", "/stream/draft/", "streaming", "llm", priority=2
                ),
            ]
            tenants = [{"name": "acme", "api_keys": [KEY], "priority": 1}]
            deployment.configure(
                create_configuration(2, routes=routes, tenants=tenants)
            )
            context = deployment.host.context
            await wait_until(lambda: context.table.version == 2)
            for path in ("/stream/x", "/stream/draft/x"):
                answer = await deployment.send(path, "POST")
                await answer.read()
            seen = [
                int(headers["x-request-priority"])
                for engine in deployment.engines
                for headers in engine.received_headers
            ]
            assert len(set(seen)) == 2

    asyncio.run(run())
