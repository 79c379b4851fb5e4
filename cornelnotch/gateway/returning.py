"""Decide who is sent away and when to come back; pure.

It answers waves that last longer than callers wait: whoever would wait in vain hears
so at once and comes back when the wave may be over, not together with all others.
"""

import random

from cornelnotch.gateway.models import Route

__all__ = ["choose_return_ms", "find_caller_patience", "is_hopeless"]

# Callers give up a stream that has not begun after the longest of these: a time, as
# many times its target, as many times the pause that it allows. So callers say.
CALLER_PATIENCE_MS = 2000.0
CALLER_PATIENT_TARGETS = 4.0
CALLER_PATIENT_GAPS = 8.0
# Estimates miss prompts that end early, so that only a clear excess counts.
CLEAR_EXCESS = 1.25
# The soonest return, and the share of the time left that callers honour at most.
MIN_RETURN_MS = 500.0
HONOURED_SHARE = 1.0 / 3.0
# Returns are spread over the last quarter of the pause.
SPREAD = 0.25


def find_caller_patience(route: Route, left_ms: float) -> float:
    """Return how long a caller waits for a stream's first piece, in ms."""
    patience = max(
        CALLER_PATIENCE_MS,
        CALLER_PATIENT_TARGETS * route.target_ms,
        CALLER_PATIENT_GAPS * route.target_gap_ms,
    )
    return min(patience, left_ms)


def is_hopeless(wait_ms: float, left_ms: float) -> bool:
    """Tell whether a caller leaves long before a wait is over."""
    return wait_ms > left_ms * CLEAR_EXCESS


def choose_return_ms(wait_ms: float, left_ms: float, generator: random.Random) -> float:
    """Return the pause after which a refused caller is to come back, in ms."""
    pause = max(min(wait_ms, left_ms * HONOURED_SHARE), MIN_RETURN_MS)
    return pause * (1.0 - SPREAD * generator.random())
