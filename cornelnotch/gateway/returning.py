"""Decide which requests to reject early and when they may be retried; no I/O.

In an overload that lasts longer than callers wait, a request that would time out in the
queue is rejected at once. The retry delays are jittered, so that rejected callers do
not return all together.
"""

import random

from cornelnotch.gateway.models import Route

__all__ = ["choose_return_ms", "find_caller_patience", "is_hopeless"]

# Callers state that they give up a stream without a first event after the longest of a
# fixed time, a multiple of its target and a multiple of the gap that it accepts.
CALLER_PATIENCE_MS = 2000.0
CALLER_PATIENT_TARGETS = 4.0
CALLER_PATIENT_GAPS = 8.0
# Estimates ignore prompts that end early, so the wait must exceed the limit clearly.
CLEAR_EXCESS = 1.25
# Shortest retry delay, and the largest share of the remaining time that callers honour.
MIN_RETURN_MS = 500.0
HONOURED_SHARE = 1.0 / 3.0
# Share of the retry delay, at its end, over which retries are jittered.
JITTER_SHARE = 0.25


def find_caller_patience(route: Route, left_ms: float) -> float:
    """Return how long a caller waits for the first event of a stream, in ms."""
    timeout_ms = max(
        CALLER_PATIENCE_MS,
        CALLER_PATIENT_TARGETS * route.target_ms,
        CALLER_PATIENT_GAPS * route.target_gap_ms,
    )
    return min(timeout_ms, left_ms)


def is_hopeless(wait_ms: float, left_ms: float) -> bool:
    """Return whether a caller will give up well before a wait ends."""
    return wait_ms > left_ms * CLEAR_EXCESS


def choose_return_ms(wait_ms: float, left_ms: float, generator: random.Random) -> float:
    """Return the jittered delay after which a rejected caller may retry, in ms."""
    delay_ms = max(min(wait_ms, left_ms * HONOURED_SHARE), MIN_RETURN_MS)
    return delay_ms * (1.0 - JITTER_SHARE * generator.random())
