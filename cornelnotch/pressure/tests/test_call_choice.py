"""Test the choice of servers for calls by the loads that servers state."""

import asyncio
import random
from collections import Counter

import pytest

from cornelnotch.gateway.models import (
    CallerRequest,
    Route,
    ServerRecord,
    ServiceShare,
    WorkKind,
)
from cornelnotch.gateway.placement import PlacementNeed, Placer
from cornelnotch.gateway.servers import InFlightRequest, ServerView
from cornelnotch.pressure import call_choice
from cornelnotch.pressure.models import ServerLoad
from cornelnotch.pressure.observed_load import ObservedLoads
from cornelnotch.testing.virtual_time import VirtualClock, run_in_virtual_time

REGIONS = {"a": "north", "b": "north", "c": "south"}
ROUTE = Route(
    "read", "h", "/", WorkKind.REPEATABLE, 4000, 200, 2, 1, (ServiceShare("desk", 1),)
)
NEED = PlacementNeed(1, ())
BOOT = 5
HOSTS = 60
SERVERS = 6
SLOTS = 6
WORK_MS = 20.0
REPORT_DELAY_MS = 250.0
DRAINED = SLOTS * REPORT_DELAY_MS / WORK_MS
LOAD = 0.8
PLAYED_MS = 2000.0


def create_request(name):
    return CallerRequest(name, "GET", "/", "h", "/", [])


def create_view(name, domain="a"):
    record = ServerRecord(name, "desk", "10.0.0.1:80", domain, SLOTS, False, BOOT)
    return ServerView(record)


def create_placer(loads, seed=1):
    return Placer("a", REGIONS, loads=loads, generator=random.Random(seed))


class FakeServer:
    """A server with slots and a queue."""

    def __init__(self, busy):
        self.slots = asyncio.Semaphore(SLOTS)
        self.held = 0
        self.longest_queue = 0
        self.tasks = {asyncio.create_task(self.serve()) for _ in range(busy)}

    async def serve(self):
        self.held += 1
        self.longest_queue = max(self.longest_queue, self.held - SLOTS)
        async with self.slots:
            await asyncio.sleep(WORK_MS / 1000.0)
        self.held -= 1

    def state_load(self):
        running = min(self.held, SLOTS)
        return ServerLoad(running, self.held - running, SLOTS)


class FakeHost:
    """A host that sends calls where its placer chooses."""

    def __init__(self, number, servers):
        self.servers = servers
        self.views = [create_view(f"s-{i}") for i in range(len(servers))]
        self.loads = ObservedLoads()
        self.placer = create_placer(self.loads, number)
        self.sent = 0

    def observe(self, now):
        for view, server in zip(self.views, self.servers, strict=True):
            held = len(view.in_flight)
            load = server.state_load()
            self.loads.observe(view.record.name, "desk", BOOT, load, now, held)

    async def call(self, name):
        now = VirtualClock().read()
        placement = self.placer.choose(
            self.views, ROUTE, create_request(name), NEED, now
        )
        view = placement.server
        in_flight = InFlightRequest(name, now, 0, sent=True)
        view.start(in_flight)
        await self.servers[self.views.index(view)].serve()
        view.finish(in_flight)


async def play_hosts():
    """Return the longest queue of a server that looked empty at first."""
    clock, generator = VirtualClock(), random.Random(9)
    servers = [FakeServer(0 if i == 0 else 3 * SLOTS) for i in range(SERVERS)]
    await asyncio.sleep(0)
    hosts = [FakeHost(number, servers) for number in range(HOSTS)]
    per_ms = LOAD * SERVERS * SLOTS / WORK_MS
    reported_ms = float("-inf")
    calls: list[asyncio.Task[None]] = []
    while clock.read() < PLAYED_MS:
        if clock.read() - reported_ms >= REPORT_DELAY_MS:
            reported_ms = clock.read()
            for host in hosts:
                host.observe(reported_ms)
        host = generator.choice(hosts)
        calls.append(asyncio.create_task(host.call(f"c-{len(calls)}")))
        await clock.sleep(generator.expovariate(per_ms))
    await asyncio.gather(*calls, *(task for s in servers for task in s.tasks))
    return max(server.longest_queue for server in servers)


def test_sixty_hosts_do_not_herd_on_a_server_that_looks_empty():
    # All hosts see the same loads; if each takes the best server, its queue grows to
    # what all of them send in one report delay.
    assert run_in_virtual_time(play_hosts()) < DRAINED


def test_without_draws_the_hosts_herd(monkeypatch):
    # Shows that the test above fails where the spreading is taken out.
    monkeypatch.setattr(call_choice, "DRAWN_NEAR", SERVERS)
    assert run_in_virtual_time(play_hosts()) > 2 * DRAINED


def choose_often(placer, views, now, count=400):
    names: Counter[str] = Counter()
    for number in range(count):
        request = create_request(f"c-{number}")
        placement = placer.choose(views, ROUTE, request, NEED, now)
        assert placement is not None
        names[placement.server.record.name] += 1
    return names


def test_a_slow_server_gets_no_calls_while_others_are_as_usual():
    # Work on a machine may take 2.5 times as long for 600 ms.
    loads = ObservedLoads()
    views = [create_view(f"s-{i}") for i in range(3)]
    for view in views:
        pace = 2.5 if view is views[0] else 1.0
        load = ServerLoad(1, 0, SLOTS, pace)
        loads.observe(view.record.name, "desk", BOOT, load, 1000.0)
    chosen = choose_often(create_placer(loads), views, 1050.0)
    assert chosen["s-0"] == 0
    assert chosen["s-1"] > 100
    assert chosen["s-2"] > 100
    later = choose_often(create_placer(loads), views, 4000.0)
    assert later["s-0"] > 50


def test_a_server_without_room_is_not_tried_again_at_once():
    # A server that answers 503 for want of room costs each call a round trip.
    loads = ObservedLoads()
    views = [create_view(f"s-{i}") for i in range(3)]
    full = ServerLoad(6, 24, SLOTS)
    for view in views:
        loads.observe(view.record.name, "desk", BOOT, full, 1000.0)
    loads.note_full("s-1", BOOT, full)
    assert choose_often(create_placer(loads), views, 1020.0)["s-1"] == 0


def test_servers_of_another_region_get_calls_only_if_the_near_ones_are_slow():
    loads = ObservedLoads()
    views = [create_view("s-0"), create_view("s-1", "b"), create_view("s-2", "c")]
    for view in views:
        loads.observe(view.record.name, "desk", BOOT, ServerLoad(1, 0, 6), 1000.0)
    assert choose_often(create_placer(loads), views, 1010.0)["s-2"] == 0
    for view in views[:2]:
        loads.observe(view.record.name, "desk", BOOT, ServerLoad(6, 40, 6), 1020.0)
    assert choose_often(create_placer(loads), views, 1020.0)["s-2"] == 400


@pytest.mark.parametrize("kind", [WorkKind.REPEATABLE, WorkKind.ONCE])
def test_without_headers_the_choice_is_as_before(kind):
    # Deployments whose servers state no load must not change: no draw, the same cost.
    route = Route("r", "h", "/", kind, 4000, 200, 2, 1, (ServiceShare("desk", 1),))
    views = [create_view(f"s-{i}") for i in range(4)]
    for index, view in enumerate(views):
        for number in range(4 - index):
            view.start(InFlightRequest(f"r-{index}-{number}", 0.0, 0, sent=True))
    loads = ObservedLoads()
    loads.observe("engine-1", "llm", BOOT, ServerLoad(64, 9, 64, 3.0), 0.0)
    placer = create_placer(loads)
    for number in range(20):
        request = create_request(f"c-{number}")
        placement = placer.choose(views, route, request, NEED, 1.0)
        assert placement is not None
        assert placement.server is views[3]
        assert placement.cost_ms == 20.0
