"""Simulate hosts and servers that fall over when they reject too much, in virtual time.

While a server is brittle it says so in all responses, and after a while it lets fewer
requests wait.
"""

import asyncio
from collections import deque
from dataclasses import dataclass

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.models import ServerRecord
from cornelnotch.gateway.tests.crashing_fleet import (
    Crash,
    CrashingClient,
    CrashingFleet,
    CrashingServer,
)
from cornelnotch.gateway.tests.limited_fleet import (
    MAX_LATENCY_S,
    MIN_LATENCY_S,
    SERVICE,
    Response,
)

SLOTS = 8
WORK_S = 0.4
USUAL_ROOM = 8
CONTACT_S = 4.0
# Time between two messages on one link.
ORDER_S = 1e-6
STATUS_UNAVAILABLE = 503


@dataclass(frozen=True)
class Brittleness:
    """Rejections per second that servers bear, and how many requests they let wait."""

    per_second: float
    room: int


class BrittleServer(CrashingServer):
    """A server with few slots that falls over when it rejects too much in a second."""

    def __init__(self, fleet, name, domain):
        super().__init__(fleet, name, domain)
        self.record = ServerRecord(
            name, SERVICE, f"{name}:80", domain, SLOTS, boot_ms=1
        )
        self._reset()

    def _reset(self):
        self.working = 0
        self.slots = asyncio.Semaphore(SLOTS)
        self.rejected_s: deque[float] = deque()

    def _restart(self):
        self._reset()
        super()._restart()

    def reject(self):
        """Reject a request, and fall over if that is one too many."""
        now_s = asyncio.get_running_loop().time()
        self.fleet.rejections += 1
        self.rejected_s.append(now_s)
        while self.rejected_s[0] <= now_s - 1.0:
            self.rejected_s.popleft()
        brittleness = self.fleet.brittleness
        if brittleness is not None and len(self.rejected_s) > brittleness.per_second:
            self.fleet.falls.append(Crash(now_s, self.record.name))
            self.crash()

    async def work(self):
        """Return whether the work was done, or rejected for want of room."""
        if self.working >= SLOTS + self.fleet.room:
            self.reject()
            return False
        self.working += 1
        slots, crashed = self.slots, self.crashed
        try:
            async with slots:
                async with asyncio.timeout(WORK_S):
                    await crashed.wait()
        except TimeoutError:
            return True
        finally:
            if not crashed.is_set():
                self.working -= 1
        raise UpstreamError("the connection was closed", "retry")


class BrittleClient(CrashingClient):
    """Deliver the requests of one host to servers that may reject them."""

    async def send(self, address, head, body, fresh, note_sending):
        note_sending()
        fleet = self.fleet
        server = fleet.servers[address]
        request_id = dict(head.headers)[b"x-attempt-id"]
        await fleet.delay()
        if server.is_down:
            raise self._create_refusal(address)
        is_done = await server.work()
        await fleet.delay()
        headers = [(b"x-attempt-id", request_id)]
        if fleet.brittleness is not None:
            text = f"{fleet.brittleness.per_second:g}"
            headers.append((b"server-brittle", text.encode()))
        headers.append((b"x-server-signature" if is_done else b"x-not-executed", b"1"))
        response = Response(headers)
        response.status = 200 if is_done else STATUS_UNAVAILABLE
        return response


class BrittleFleet(CrashingFleet):
    """Hosts, brittle servers and callers that come in bursts."""

    server_type = BrittleServer

    def __init__(self, hosts, servers, seed=0):
        self.brittleness: Brittleness | None = None
        self.room = USUAL_ROOM
        self.rejections = 0
        self.falls: list[Crash] = []
        self.delivered_s: dict[tuple[str, str], float] = {}
        super().__init__(hosts, servers, seed)

    def create_client(self, host):
        return BrittleClient(self, host)

    def deliver(self, sender, receiver, message):
        """Deliver the messages of a link in order, as a stream does."""
        self.messages += 1
        loop = asyncio.get_running_loop()
        latency_s = self.generator.uniform(MIN_LATENCY_S, MAX_LATENCY_S)
        last_s = self.delivered_s.get((sender, receiver), 0.0)
        due_s = max(loop.time() + latency_s, last_s + ORDER_S)
        self.delivered_s[sender, receiver] = due_s
        loop.call_at(due_s, self._handle, sender, receiver, message)

    async def become_brittle(self, brittleness):
        """Announce brittleness, and let fewer requests wait after a while."""
        self.brittleness = brittleness
        await asyncio.sleep(CONTACT_S)
        self.room = brittleness.room

    def find_most_blamed(self):
        """Return the largest number of blamed sets that any host knows."""
        return max(h.context.crashes.count_blamed() for h in self.hosts.values())

    def count_served(self, since_s):
        """Return the number of requests sent from a time on that were served."""
        return sum(
            n for (s, served), n in self.sound.items() if served and s >= since_s
        )
