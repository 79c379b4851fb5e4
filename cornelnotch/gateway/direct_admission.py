"""Decide which prompts are sent without a grant of the admission queue; no I/O.

Answers the load of short prompts with short targets beside long ones: the round trip
to the controller of an engine takes up to a quarter of such a target. The engine
itself begins urgent prompts first, so a short one does not need to wait here for long
ones to be prefilled.
"""

from cornelnotch.wire.messages import EngineRates, ServerUsage

__all__ = ["has_short_target", "may_send_directly"]

# Round trip to a controller in another region. It may take up to the given share of a
# target; with a longer target, the order of the queue is worth more.
GRANT_ROUND_TRIP_MS = 100.0
MAX_ROUND_TRIP_SHARE = 0.1
# Share of the target that the prefill of the prompt may take, and that of the prompts
# which are as urgent and not yet prefilled. Engines prefill urgent prompts first, so
# these are an upper bound of its wait there.
MAX_PREFILL_SHARE = 0.5
MAX_BACKLOG_SHARE = 1.0


def has_short_target(target_ms: float) -> bool:
    """Return whether the round trip for a grant takes too much of a target."""
    return 0 < target_ms < GRANT_ROUND_TRIP_MS / MAX_ROUND_TRIP_SHARE


def may_send_directly(
    prefill_tokens: int,
    priority: int,
    target_ms: float,
    usage: ServerUsage,
    slots: int,
    rates: EngineRates,
) -> bool:
    """Return whether an engine begins a prompt soon, whatever else waits for it.

    `usage` is the load that all hosts put on the engine.
    """
    if not has_short_target(target_ms):
        return False
    if usage.failures or usage.running + usage.waiting >= slots:
        return False
    if prefill_tokens > target_ms * MAX_PREFILL_SHARE * rates.read_rate:
        return False
    ahead_tokens = usage.sent + sum(usage.backlog[: priority + 1])
    return ahead_tokens <= target_ms * MAX_BACKLOG_SHARE * rates.read_rate
