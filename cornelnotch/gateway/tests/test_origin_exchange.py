"""Test that other hosts learn in time where streams began."""

import asyncio
from typing import Any

from cornelnotch.gateway.origin_exchange import OriginExchange
from cornelnotch.gateway.stream_origins import StreamOrigin
from cornelnotch.kernel.clock import SystemClock
from cornelnotch.wire.messages import StreamOriginReport

OWN, READER = "host-1", "host-2"


class StubContext:
    """The clock of a host."""

    clock = SystemClock()


class StubPlan:
    """A plan in which another host reads the store."""

    name = OWN

    def list_readers(self, now):
        return [READER]


class StubKeeper:
    """A keeper that learns of a second version."""

    is_second_listed = False

    def add(self, streams):
        pass

    def is_mixed(self):
        return self.is_second_listed


class StubPeers:
    """Peers that keep the reports sent."""

    def __init__(self):
        self.reports = []

    def subscribe(self, kind, listener):
        pass

    def send(self, name, message):
        assert (name, type(message)) == (READER, StreamOriginReport)
        self.reports.append(message)


def test_report_of_a_new_version_does_not_wait_for_one_that_began_before_it():
    async def run():
        peers, keeper = StubPeers(), StubKeeper()
        stubs: list[Any] = [StubContext(), peers, StubPlan(), keeper, None]
        exchange = OriginExchange(*stubs)
        exchange.report("s1", StreamOrigin("llm", "v1"))
        keeper.is_second_listed = True
        exchange.report("s2", StreamOrigin("llm", "v2"))
        await asyncio.sleep(0.05)
        assert (
            sum(len(group.id_hashes) for r in peers.reports for group in r.groups) == 2
        )
        await asyncio.sleep(0.3)
        assert len(peers.reports) == 1

    asyncio.run(run())
