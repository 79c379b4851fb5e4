"""Choose among servers that state their loads, for calls; no I/O.

All hosts see the same loads, so if each chose the best server, all would choose one
that looks empty until the next report. Each host therefore draws two servers at random,
in proportion to how much they drain, and chooses the better one. A server then gets at
most twice its share of the calls: below saturation, its queue after one report delay
stays within what it drains in that time.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from cornelnotch.gateway.servers import ServerView
from cornelnotch.pressure.observed_load import AgedLoad, ObservedLoads
from cornelnotch.wire.messages import ServerUsage

__all__ = ["CallChooser", "CallEstimate", "draw_servers"]

DRAWN_NEAR = 2
DRAWN_FAR = 1
# A server counts as full from this share of the requests at which it had no room.
FULL_SHARE = 0.9
# Cost of a server that is full: it probably refuses, which costs a round trip and a
# place in the retry budget.
FULL_COST_MS = 250.0
# Smaller differences of expected times are noise. If they decided, a server that was
# slow once would get no call, and thus state no new load, for as long as it is known.
COST_STEP_MS = 2.0


@dataclass(frozen=True, slots=True)
class CallEstimate:
    """What a call may expect at a server, in ms.

    The call waits there for `wait_ms` and is worked on for `work_ms`. The server works
    off `drained_per_ms` calls. It is `full` if it probably refuses the call.
    """

    wait_ms: float
    work_ms: float
    drained_per_ms: float
    pace: float
    full: bool

    @property
    def cost_ms(self) -> float:
        """Return the expected time of the call, and the cost of a refusal."""
        cost_ms = self.wait_ms + self.work_ms + (FULL_COST_MS if self.full else 0.0)
        return round(cost_ms / COST_STEP_MS) * COST_STEP_MS


def draw_servers(
    weights: Sequence[float], count: int, generator: random.Random
) -> list[int]:
    """Return `count` different indices, drawn in proportion to their weights."""
    keys = [
        (-math.log(1.0 - generator.random()) / max(weight, 1e-9), index)
        for index, weight in enumerate(weights)
    ]
    return [index for _, index in sorted(keys)[:count]]


class CallChooser:
    """Estimates and draws of one host, from the loads that it has observed."""

    def __init__(self, loads: ObservedLoads, generator: random.Random) -> None:
        self._loads = loads
        self._generator = generator

    def find_load(self, view: ServerView, now: float) -> AgedLoad | None:
        """Return what is known of the load of a server process."""
        record = view.record
        return self._loads.estimate(record.name, record.boot_ms, now)

    def knows_any(self, servers: Sequence[ServerView], now: float) -> bool:
        """Return whether the load of any of these servers is known."""
        return self._loads.count() > 0 and any(
            self.find_load(view, now) is not None for view in servers
        )

    def estimate(
        self, view: ServerView, others: ServerUsage | None, now: float
    ) -> CallEstimate:
        """Return what a call may expect at a server.

        `others` is the load from other hosts by their latest reports.
        """
        own = sum(request.sent for request in view.in_flight.values())
        reported = None if others is None else others.running + others.waiting
        load = self.find_load(view, now)
        work_ms = self._loads.find_work_ms(view.record.service)
        if load is None:
            slots, pace, full_at = max(view.record.slots, 1), 1.0, 0
            requests = float(own + (reported or 0))
        else:
            slots, pace, full_at = load.slots, load.pace, load.full_at
            requests = load.expect_requests(own, reported)
        work_ms *= pace
        wait_ms = max(requests + 1.0 - slots, 0.0) * work_ms / slots
        is_full = full_at > 0 and requests >= full_at * FULL_SHARE
        return CallEstimate(wait_ms, work_ms, slots / work_ms, pace, is_full)

    def draw(
        self,
        servers: Sequence[ServerView],
        estimates: Sequence[CallEstimate],
        near: Sequence[bool],
    ) -> list[ServerView]:
        """Return the servers to compare: two that are near, and one that is not."""
        indices = range(len(servers))
        sound = [i for i in indices if not servers[i].failures] or list(indices)
        roomy = [i for i in sound if not estimates[i].full] or sound
        groups = [i for i in roomy if near[i]], [i for i in roomy if not near[i]]
        counts = (DRAWN_NEAR, DRAWN_FAR) if groups[0] else (0, DRAWN_NEAR)
        drawn: list[ServerView] = []
        for group, count in zip(groups, counts, strict=True):
            weights = [estimates[i].drained_per_ms for i in group]
            picked = draw_servers(weights, count, self._generator)
            drawn += [servers[group[index]] for index in picked]
        return drawn
