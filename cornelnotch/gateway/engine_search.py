"""Decide whether a prompt that engines would admit too late asks another; no I/O.

A single engine's queue shows nothing of the other engines of its service. An urgent
prompt must not be refused while one of them has room for it, as less urgent prompts
begin there.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from cornelnotch.gateway.placement import ServerEstimates, estimate_tokens_ahead
from cornelnotch.gateway.servers import InFlightRequest, ServerView

if TYPE_CHECKING:
    from cornelnotch.gateway.flow import RequestFlow

__all__ = ["MAX_OVERLOADED", "has_room", "may_ask_another", "searches_on"]

# Overloaded engines that a request may try. An engine is chosen from outdated load
# reports, so another one is usually available, but each try costs a round trip, and a
# refusal must be sent well within the latency target.
MAX_OVERLOADED = 2
# Overloaded engines that a request may try while others seem to have room for it.
MAX_OVERLOADED_WITH_ROOM = 6
# An engine has room if the work ahead of the prompt takes less than this share of the
# time that its caller still waits.
ROOM_SHARE = 0.5


def has_room(
    servers: Iterable[ServerView],
    estimates: ServerEstimates,
    priority: int,
    prefill_tokens: int,
    left_ms: float,
    now: float,
) -> bool:
    """Return whether one of `servers` is expected to begin a prompt in time."""
    for server in servers:
        usage = estimates.measure_usage(server, now)
        if usage.failures or usage.running + usage.waiting >= server.record.slots:
            continue
        ahead_tokens = estimate_tokens_ahead(usage, priority, prefill_tokens)
        rates = estimates.get_rates_now(server, now)
        if ahead_tokens <= left_ms * ROOM_SHARE * rates.read_rate:
            return True
    return False


def may_ask_another(
    asked: int, is_least_urgent: bool, has_room_elsewhere: bool
) -> bool:
    """Return whether a prompt asks another engine after `asked` were overloaded."""
    if asked < MAX_OVERLOADED:
        return True
    if is_least_urgent or not has_room_elsewhere:
        return False
    return asked < MAX_OVERLOADED_WITH_ROOM


def searches_on(flow: RequestFlow, in_flight: InFlightRequest) -> bool:
    """Return whether a request asks another engine after one was overloaded."""
    asked = len(flow.overloaded)
    least_urgent = flow.context.priority_shares.find_least_urgent(flow.service)
    is_least_urgent = flow.rank >= least_urgent
    if asked < MAX_OVERLOADED or is_least_urgent:
        return may_ask_another(asked, is_least_urgent, has_room_elsewhere=False)
    now = flow.context.clock.read()
    tried = flow.excluded | flow.overloaded | flow.unadmitted
    usable = flow.continuation.list_usable(flow.service, now)
    others = [server for server in usable if server.record.name not in tried]
    has_room_elsewhere = has_room(
        others,
        flow.context.placer.estimates,
        flow.rank,
        in_flight.prefill_tokens,
        flow.arrived_ms + flow.find_wait_limit_ms() - now,
        now,
    )
    return may_ask_another(asked, is_least_urgent, has_room_elsewhere)
