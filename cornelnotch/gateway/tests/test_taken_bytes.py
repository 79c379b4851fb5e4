"""Test that a stream is claimed for its copy before or after bytes are read, not while.

The search for another server runs beside the read. Its claim may come in any step of
the event loop between the arrival of bytes of the silent server and their forwarding.
"""

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from cornelnotch.exceptions import StreamKeptError
from cornelnotch.gateway.forwarding import EventReader
from cornelnotch.gateway.servers import InFlightRequest
from cornelnotch.runs import Handover, RequestRuns
from cornelnotch.testing.virtual_time import run_in_virtual_time

STALL_S = 1.0
SILENCE_S = 2.0
ANSWER_S = 0.1
EVENT = b"id: 4\ndata: x\n\n"


class SilentResponse:
    """Response whose next event comes after a silence; `taken` is set by then."""

    def __init__(self):
        self.taken = asyncio.Event()
        self.is_closed = False

    async def read_chunk(self):
        await asyncio.sleep(SILENCE_S)
        self.taken.set()
        return EVENT

    def close(self):
        self.is_closed = True


class ClaimingSearch:
    """Search that claims the stream some steps after bytes have arrived."""

    def __init__(self, handover, taken, steps):
        self.handover = handover
        self._taken = taken
        self._steps = steps
        self.has_claimed = False

    def must_leave(self):
        return False

    def may_start(self):
        return True

    def may_leave(self):
        return True

    async def run(self):
        self.handover.begin()
        await self._taken.wait()
        for _ in range(self._steps):
            await asyncio.sleep(0)
        try:
            self.handover.claim()
        except StreamKeptError:
            return None
        self.has_claimed = True
        await asyncio.sleep(ANSWER_S)
        return SimpleNamespace(discard=lambda: None)


# Guards against a stream that is sent to its copy between the read of its silent
# server's bytes and their forwarding, after which both servers run it.
@pytest.mark.parametrize("steps", range(10))
def test_no_search_claims_a_stream_whose_bytes_are_about_to_be_forwarded(steps):
    async def run():
        clock: Any = SimpleNamespace(
            read=lambda: asyncio.get_running_loop().time() * 1e3
        )
        in_flight = InFlightRequest("a", clock.read(), 0, 1)
        in_flight.first_ms = clock.read()
        response: Any = SilentResponse()
        runs = RequestRuns(may_repeat=False)
        handover = Handover(
            runs, "x", in_flight, response, lambda *a, **f: None, lambda outcome: None
        )
        search: Any = ClaimingSearch(handover, response.taken, steps)
        reader = EventReader(response, in_flight, clock, STALL_S, search)
        try:
            data = await reader.read()
        except Exception:
            data = b""
        await asyncio.sleep(0.01)
        await reader.stop_search()
        return data, search.has_claimed

    data, has_claimed = run_in_virtual_time(run())
    assert has_claimed is (data == b"")
