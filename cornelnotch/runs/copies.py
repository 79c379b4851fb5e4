"""Decide whether a stream may go on from the copy of its KV cache."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from cornelnotch.gateway.flow import RequestFlow

__all__ = ["may_use_copy"]


def may_use_copy(flow: RequestFlow) -> bool:
    """Return whether the stream may go on from the copy of its KV cache.

    Without an event there is nothing to go on after, and a copy can be used once.
    """
    if flow.backup is None or flow.resuming:
        return False
    if not flow.exchange.response_started or not flow.splitter.last_event_id:
        return False
    in_time = flow.context.clock.read() < flow.limit_ms
    return in_time and flow.context.accepts(flow.backup)
