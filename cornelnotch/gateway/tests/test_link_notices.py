"""Test how often hosts that are cut off tell others, in virtual time."""

import asyncio
import random
from typing import Any

import pytest

from cornelnotch.gateway.peer_links import PeerLinks
from cornelnotch.membership.table import Member, MemberState
from cornelnotch.testing.virtual_time import VirtualClock, run_in_virtual_time
from cornelnotch.wire.messages import LinkNotice

SERVICE = "desk"
OBSERVED_S = 60.0
MAX_MESSAGES_PER_SECOND = 20.0


class Links:
    """The links of a host that is cut off from one service."""

    def list_cut_off(self):
        return [SERVICE]


class Peers:
    """Connections to other hosts, over which nothing arrives by itself."""

    def __init__(self):
        self.handlers = {}

    def subscribe(self, kind, handler):
        self.handlers[kind] = handler


class Broadcaster:
    """Count the hosts that notices go to."""

    def __init__(self):
        self.sent = 0

    def broadcast(self, names, create):
        self.sent += len(names)


def create_links(hosts):
    names = [f"host-{number}" for number in range(hosts)]
    members = [
        Member(name, f"{name}:1", f"{name}:2", "north-a", MemberState.ALIVE, 1, 0.0)
        for name in names
    ]
    own: Any = Links()
    peers: Any = Peers()
    broadcaster: Any = Broadcaster()
    links = PeerLinks(
        VirtualClock(),
        own,
        peers,
        broadcaster,
        lambda: names,
        lambda: members,
        names[0],
        random.Random("links"),
    )
    return links, peers, broadcaster


@pytest.mark.parametrize("hosts", [8, 60, 195, 320])
def test_notices_of_a_host_that_is_cut_off_do_not_grow_with_the_fleet(hosts):
    async def run():
        links, _, broadcaster = create_links(hosts)
        task = asyncio.create_task(links.run())
        await asyncio.sleep(OBSERVED_S)
        task.cancel()
        return broadcaster.sent

    sent = run_in_virtual_time(run())
    assert 0 < sent <= MAX_MESSAGES_PER_SECOND * OBSERVED_S


@pytest.mark.parametrize("hosts", [8, 195])
def test_a_host_is_taken_for_cut_off_between_its_notices_and_not_for_good(hosts):
    async def run():
        links, peers, _ = create_links(hosts)
        sender, _, broadcaster = create_links(hosts)
        task = asyncio.create_task(sender.run())
        notice = LinkNotice("host-1", [SERVICE], [])
        is_known = []
        for _ in range(int(OBSERVED_S)):
            sent = broadcaster.sent
            await asyncio.sleep(1.0)
            if broadcaster.sent > sent:
                peers.handlers[LinkNotice]("host-1", notice)
            linked = {member.name for member in links.list_linked(SERVICE)}
            is_known.append("host-1" not in linked)
        task.cancel()
        first = is_known.index(True)
        assert all(is_known[first:])
        await asyncio.sleep(OBSERVED_S)
        assert "host-1" in {member.name for member in links.list_linked(SERVICE)}

    run_in_virtual_time(run())
