"""Hold a call at its host while the server that was chosen for it is slow or full.

A call in the queue of a slow server stays there, while one that waits at the host gets
the first slot that is likely free anywhere. It waits only if the queue would endanger
its target, and never past half of the time that it has.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import TYPE_CHECKING

from cornelnotch.gateway.admission_client import AdmissionResult
from cornelnotch.gateway.models import WorkKind
from cornelnotch.gateway.servers import ServerView
from cornelnotch.kernel.events import Event
from cornelnotch.pressure.call_choice import CallEstimate

if TYPE_CHECKING:
    from cornelnotch.gateway.flow import RequestFlow

__all__ = ["HoldBounds", "find_hold_ms", "hold_call"]

# A server at this pace is slow: a slot there is worth less than one elsewhere.
SLOW_PACE = 1.2
# A queue endangers the target if it and the work take this share of what is left.
ENDANGERED_SHARE = 0.5
# A call waits at most until this share of its time has passed.
MAX_WAITED_SHARE = 0.5
# The servers are looked at again after this time, at the shortest after half of it, so
# that the calls of all hosts do not leave at once. A call takes about as long.
STEP_MS = 20.0
# Waits of a call, each of which chooses its server again.
MAX_HOLDS = 3


@dataclass(frozen=True, slots=True)
class HoldBounds:
    """When a call arrived, when its target and its limit pass; in ms."""

    arrived_ms: float
    target_ms: float
    limit_ms: float

    def find_end_ms(self) -> float:
        """Return until when the call may wait at its host."""
        end_ms = min(self.target_ms, self.limit_ms)
        return self.arrived_ms + MAX_WAITED_SHARE * (end_ms - self.arrived_ms)


def find_hold_ms(chosen: CallEstimate, bounds: HoldBounds, now: float) -> float:
    """Return how long to wait before the servers are looked at again, 0 to send now."""
    left_ms = bounds.find_end_ms() - now
    if left_ms <= 0 or (chosen.wait_ms <= 0 and not chosen.full):
        return 0.0
    if chosen.full:
        return min(STEP_MS, left_ms)
    if chosen.pace < SLOW_PACE:
        return 0.0
    needed_ms = chosen.wait_ms + chosen.work_ms
    if needed_ms <= ENDANGERED_SHARE * (bounds.target_ms - now):
        return 0.0
    return min(STEP_MS, left_ms)


def has_free_slot(estimates: Sequence[CallEstimate]) -> bool:
    """Return whether one of the servers likely has a free slot."""
    return any(e.wait_ms <= 0 and not e.full for e in estimates)


async def hold_call(flow: RequestFlow, view: ServerView) -> AdmissionResult:
    """Wait until a call should be sent to its server, or another server be chosen."""
    context = flow.context
    is_call = flow.route.kind is not WorkKind.STREAM
    if not is_call or not context.loads.count() or flow.server_changes >= MAX_HOLDS:
        return AdmissionResult.GRANTED
    bounds = HoldBounds(
        flow.arrived_ms, flow.arrived_ms + flow.route.target_ms, flow.limit_ms
    )
    started_ms = context.clock.read()
    has_waited = False
    result = AdmissionResult.GRANTED
    while True:
        now = context.clock.read()
        if not context.placer.states_loads([view], flow.route, now):
            break
        hold_ms = find_hold_ms(context.placer.estimate_call(view, now), bounds, now)
        if hold_ms <= 0:
            break
        has_waited = True
        await context.clock.sleep(hold_ms * (0.5 + 0.5 * context.generator.random()))
        now = context.clock.read()
        if not context.accepts(view):
            result = AdmissionResult.ENGINE_LOST
            break
        if has_free_slot(_estimate_others(flow, view, now)):
            result = AdmissionResult.BETTER_ENGINE
            break
    if has_waited or result is not AdmissionResult.GRANTED:
        waited_ms = context.clock.read() - started_ms
        context.metrics.observe_queued(flow.route.name, waited_ms)
        flow.record_event(
            Event.CALL_HELD,
            server=view.record.name,
            turn=result.value,
            waited_ms=round(waited_ms, 1),
        )
    return result


def _estimate_others(
    flow: RequestFlow, view: ServerView, now: float
) -> list[CallEstimate]:
    context = flow.context
    excluded = flow.excluded | flow.overloaded | flow.unadmitted
    return [
        context.placer.estimate_call(other, now)
        for other in context.pool.list_usable(flow.service, now)
        if other is not view
        and other.record.name not in excluded
        and context.placer.is_near(other)
    ]
