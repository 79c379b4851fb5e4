"""Decide which requests to reject early and when they may be retried; no I/O.

In an overload that lasts longer than callers wait, a request that would time out in the
queue is rejected at once. The retry delays are jittered, so that rejected callers do
not return all together.
"""

import random

from cornelnotch.gateway.models import Route

__all__ = ["choose_retry_after_ms", "estimate_caller_timeout_ms", "is_infeasible"]

# Callers state that they give up a stream without a first event after the longest of a
# fixed time, a multiple of its target and a multiple of its accepted inter-token gap.
MIN_CALLER_TIMEOUT_MS = 2000.0
CALLER_TIMEOUT_TARGETS = 4.0
CALLER_TIMEOUT_GAPS = 8.0
# Estimated waits are too long if queued requests end early, so a request is rejected
# only if its estimate exceeds the caller's remaining time by this factor.
CLEAR_EXCESS = 1.25
# Shortest retry delay, and the longest as a share of the caller's remaining time;
# callers may ignore longer ones.
MIN_RETRY_AFTER_MS = 500.0
MAX_RETRY_AFTER_SHARE = 1.0 / 3.0
# Jitter shortens a retry delay by up to this share.
JITTER_SHARE = 0.25


def estimate_caller_timeout_ms(route: Route, left_ms: float) -> float:
    """Return how long a caller waits for the first event of a stream, in ms."""
    timeout_ms = max(
        MIN_CALLER_TIMEOUT_MS,
        CALLER_TIMEOUT_TARGETS * route.target_ms,
        CALLER_TIMEOUT_GAPS * route.target_itl_ms,
    )
    return min(timeout_ms, left_ms)


def is_infeasible(wait_ms: float, left_ms: float) -> bool:
    """Return whether a caller will give up well before a wait ends."""
    return wait_ms > left_ms * CLEAR_EXCESS


def choose_retry_after_ms(
    wait_ms: float, left_ms: float, generator: random.Random
) -> float:
    """Return the jittered delay after which a rejected caller may retry, in ms."""
    delay_ms = max(min(wait_ms, left_ms * MAX_RETRY_AFTER_SHARE), MIN_RETRY_AFTER_MS)
    return delay_ms * (1.0 - JITTER_SHARE * generator.random())
