"""Estimate what a cached prefix saves and what its loss costs; no I/O.

All results are in ms, tokens, or probabilities. Rates are per ms.
"""

import math

__all__ = [
    "combine_chances",
    "estimate_copy_ms",
    "estimate_delay_to_next_ms",
    "estimate_eviction_ms",
    "estimate_held",
    "estimate_lifetime_ms",
    "estimate_live_share",
    "estimate_reuse",
    "estimate_slot_wait_ms",
    "estimate_stall_ms",
]

# The number of tokens prefilled since a part was used is known up to this factor, so
# the part is certainly held below the lifetime divided by it, certainly evicted above
# the product.
LIFETIME_UNCERTAINTY = 2.0
# The share of its time that an engine prefills counts at most this much, as the formula
# has no bound. At 0.8, prompts stayed at an engine that was busier than the others
# until its queue was 10 s long.
MAX_UTILIZATION = 0.65
# Shares of an accepted inter-token gap; see engine_estimates.py.
USABLE_GAP_SHARE = 0.85
BITS_PER_BYTE = 8.0
BITS_PER_MS_AND_MBPS = 1000.0


def estimate_lifetime_ms(cache_tokens: float, fill_rate: float) -> float:
    """Return how long an engine keeps a part after its last use.

    The engine inserts `fill_rate` tokens per ms and evicts the least recently used.
    """
    if cache_tokens <= 0:
        return 0.0
    return cache_tokens / fill_rate if fill_rate > 0 else math.inf


def estimate_held(age_ms: float, lifetime_ms: float) -> float:
    """Return the probability that a part last used `age_ms` ago is still cached."""
    if lifetime_ms <= 0:
        return 0.0
    if age_ms <= 0 or math.isinf(lifetime_ms):
        return 1.0
    ratio = age_ms / lifetime_ms
    position = math.log(ratio) / math.log(LIFETIME_UNCERTAINTY)
    return min(max(0.5 - 0.5 * position, 0.0), 1.0)


def estimate_reuse(use_rate: float, lifetime_ms: float) -> float:
    """Return the probability that a part was used within the last lifetime."""
    if math.isinf(lifetime_ms):
        return 1.0 if use_rate > 0 else 0.0
    return -math.expm1(-max(use_rate, 0.0) * lifetime_ms)


def combine_chances(first: float, second: float) -> float:
    """Return the probability that at least one of two independent reasons holds."""
    return 1.0 - (1.0 - first) * (1.0 - second)


def estimate_slot_wait_ms(
    requests: int, slots: int, cache_tokens: float, mean_tokens: float, busy_ms: float
) -> float:
    """Return the wait for a slot and for memory at an engine with `requests`.

    An engine runs at most `slots` requests, and as many as its cache memory holds; each
    takes `mean_tokens` of that for `busy_ms`.
    """
    capacity = float(slots)
    if cache_tokens > 0 and mean_tokens > 0:
        capacity = max(min(capacity, cache_tokens / mean_tokens), 1.0)
    return busy_ms / capacity * max(requests + 1.0 - capacity, 0.0)


def estimate_delay_to_next_ms(work_ms: float, utilization: float) -> float:
    """Return the total delay that a prefill of `work_ms` causes to other requests.

    An M/M/1 queue that is busy for a share u of its time holds u^2 / (1 - u) waiting
    requests on average. The derivative by u is the delay per ms of added work. It is
    the same at all engines, since later requests go where the queues are short.
    """
    busy = min(max(utilization, 0.0), MAX_UTILIZATION)
    return work_ms * busy * (2.0 - busy) / (1.0 - busy) ** 2


def estimate_live_share(
    own_rate: float, shared_rate: float, use_rate: float, lifetime_ms: float
) -> float:
    """Return the share of the tokens that an engine evicts which are used again.

    The engine inserts `own_rate` tokens per ms that are never used again, and
    `shared_rate` that are used again at `use_rate` on average. The latter are evicted
    only if they are not used for a lifetime.
    """
    if own_rate <= 0 and shared_rate <= 0 or math.isinf(lifetime_ms):
        return 0.0
    evicted_rate = shared_rate * math.exp(-max(use_rate, 0.0) * lifetime_ms)
    total_rate = max(own_rate, 0.0) + evicted_rate
    return evicted_rate / total_rate if total_rate > 0 else 0.0


def estimate_eviction_ms(
    inserted_tokens: float, live_share: float, read_rate: float
) -> float:
    """Return the prefill time of what is evicted for the tokens of a prompt."""
    return inserted_tokens * live_share / read_rate


def estimate_stall_ms(
    prefill_tokens: float, chunk_rate: float, event_ms: float, gap_ms: float
) -> float:
    """Return by how much a prefill exceeds the inter-token gap that a stream accepts.

    `chunk_rate` is the rate of prefill beside streams, `event_ms` the gap without
    prefill. A stream that accepts any gap has a `gap_ms` of 0.
    """
    if gap_ms <= 0:
        return 0.0
    slack_ms = max(gap_ms * USABLE_GAP_SHARE - event_ms, 0.0)
    return max(prefill_tokens / chunk_rate - slack_ms, 0.0)


def estimate_copy_ms(tokens: float, token_bytes: float, link_mbps: float) -> float:
    """Return the time to copy cached tokens from another engine.

    It is infinite if the size of a token or the speed of the link is not known.
    """
    if token_bytes <= 0 or link_mbps <= 0:
        return math.inf
    bits_per_ms = link_mbps * BITS_PER_MS_AND_MBPS
    return tokens * token_bytes * BITS_PER_BYTE / bits_per_ms
