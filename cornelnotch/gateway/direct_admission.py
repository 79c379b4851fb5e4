"""Decide which prompts are sent without a grant of the admission queue; no I/O.

Answers the load of short prompts with short targets beside long ones: the round trip
to the controller of an engine takes up to a quarter of such a target. The engine
itself begins urgent prompts first, so a short one does not need to wait here for long
ones to be prefilled.

All hosts place by the same load summary until the next one. If all sent such prompts to
the engine that seems best, it would hold more requests than slots and preempt some. So
each host spreads them at random over engines that are hardly worse. It sends one to an
engine until the next summary, or its share of the free slots if that is more or if the
engine is no longer nearly empty.
"""

from cornelnotch.kernel.hashing import hash_text
from cornelnotch.wire.messages import EngineRates, ServerUsage

__all__ = [
    "draw_share",
    "find_spread_ms",
    "has_short_target",
    "is_within_share",
    "may_send_directly",
]

# Round trip to a controller in another region. It may take up to the given share of a
# target; with a longer target, the order of the queue is worth more.
GRANT_ROUND_TRIP_MS = 100.0
MAX_ROUND_TRIP_SHARE = 0.1
# Share of the target that the prefill of the prompt may take, and that of the prompts
# which are as urgent and not yet prefilled. Engines prefill urgent prompts first, so
# these are an upper bound of its wait there.
MAX_PREFILL_SHARE = 0.5
MAX_BACKLOG_SHARE = 1.0
# Prompts spread over the engines whose cost is at most this share of the target higher.
SPREAD_SHARE = 0.25
# Below this share of its slots, an engine gets a prompt from any host that has sent it
# none since the last load summary.
UNSHARED_SLOTS = 0.25
# Load summaries that are on their way at any time: prompts sent since the last but one
# are not known yet.
UNSEEN_SUMMARIES = 2
HASH_RANGE = 2.0**64


def has_short_target(target_ms: float) -> bool:
    """Return whether the round trip for a grant takes too much of a target."""
    return 0 < target_ms < GRANT_ROUND_TRIP_MS / MAX_ROUND_TRIP_SHARE


def find_spread_ms(target_ms: float) -> float:
    """Return the cost up to which a prompt may be placed at a worse engine, in ms."""
    return SPREAD_SHARE * target_ms if has_short_target(target_ms) else 0.0


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


def draw_share(host: str, server: str, summary_ms: float) -> float:
    """Return a number from 0 to 1 that stays the same until the next load summary."""
    return hash_text(f"{host}\x00{server}\x00{summary_ms}") / HASH_RANGE


def is_within_share(
    usage: ServerUsage, slots: int, hosts: int, recent: int, drawn: float
) -> bool:
    """Return whether a host may send one more prompt to an engine without a grant.

    It has sent `recent` ones since the last load summary. Shares below one are `drawn`,
    so that on average all `hosts` together fill the free slots.
    """
    held = usage.running + usage.waiting
    if not recent and held < slots * UNSHARED_SLOTS:
        return True
    return recent + drawn < (slots - held) / (max(hosts, 1) * UNSEEN_SUMMARIES)
