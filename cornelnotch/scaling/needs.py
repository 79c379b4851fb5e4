"""Derive from demand how many servers callers need; no I/O.

Demand follows from what callers request, not from how busy servers are, which hides
what they have no room for.
"""

import statistics
from collections.abc import Sequence

from cornelnotch.scaling.models import EngineSupply, ServiceNeed, Work

__all__ = ["count_busy_servers", "find_need"]

MS_PER_SECOND = 1000.0
# Share of a server's capacity that may be planned for. Beyond it, waits grow faster
# than throughput, as prompts of different lengths arrive unevenly.
USABLE_SHARE = 0.85
# Bursts reach 2.3 times the usual demand in deployments of record, and begin faster
# than servers boot, so that this room is held all the time.
BURST_FACTOR = 2.3
# While servers are exchanged, part of the room for bursts is missing for some seconds.
SECURE_FACTOR = 1.8
# Windows over which the median is taken: demand of the last 30 s at two windows a
# second. Bursts shorter than half of it do not raise the room held for the next one.
MEDIAN_WINDOWS = 60
# The highest demand of the last 30 s may return.
PEAK_WINDOWS = 60
# The slope of rising demand is taken over the last 4 s.
SLOPE_WINDOWS = 8
WINDOW_STEP_MS = 500.0
# A sudden burst rises steeply, but ends soon; it is not taken to rise by more than this
# factor. With 1.5, twice as many spot servers were ordered for a burst and released
# after it, whose streams had to move.
MAX_RISE = 1.25
# Time from an arrival until a report of it is acted upon, added to the boot time.
REACTION_MS = 2500.0


def count_busy_servers(work: Work, supply: EngineSupply) -> float:
    """Return how many servers work without a pause serves, by its scarcest resource.

    An engine shares its time between prefill and tokens of all its streams; a request
    holds a slot and memory until its last token.
    """
    prefill_ms = 0.0
    held_ms = work.served_ms
    if supply.prefill_rate > 0:
        prefill_ms = work.prefill_tokens / supply.prefill_rate
        tokens_ms = work.output_tokens * supply.token_ms
        # Callers state the most tokens they accept; measured times bound what they get,
        # and include waits, so that the lower of the two is nearer.
        stated_ms = (prefill_ms + tokens_ms) / max(work.requests, 1e-9)
        if tokens_ms > 0:
            held_ms = min(stated_ms, work.served_ms or stated_ms)
        else:
            held_ms = max(stated_ms, work.served_ms)
    running = work.requests * held_ms / MS_PER_SECOND
    loads = [prefill_ms / MS_PER_SECOND, running / max(supply.slots, 1)]
    if supply.memory_tokens > 0 and work.requests > 0:
        tokens = (work.prefill_tokens + work.output_tokens) / work.requests
        loads.append(running * tokens / supply.memory_tokens)
    return max(loads)


def find_need(
    busy: Sequence[float], urgent: Sequence[float], boot_ms: float
) -> ServiceNeed:
    """Return the need that follows from busy servers in successive windows.

    `urgent` counts those busy with the most urgent kinds of request alone.
    """
    if not busy:
        return ServiceNeed(0.0, 0.0, 0.0)
    usual = statistics.median(busy[-MEDIAN_WINDOWS:])
    peak = max(busy[-PEAK_WINDOWS:])
    ahead = _extrapolate(busy, boot_ms + REACTION_MS)
    urgent_peak = max(urgent[-PEAK_WINDOWS:], default=0.0)
    urgent_usual = statistics.median(urgent[-MEDIAN_WINDOWS:] or [0.0])
    lasting = max(usual, urgent_peak, urgent_usual * BURST_FACTOR)
    secure = max(peak, ahead, usual * SECURE_FACTOR, lasting)
    full = max(secure, usual * BURST_FACTOR)
    return ServiceNeed(
        full / USABLE_SHARE, secure / USABLE_SHARE, lasting / USABLE_SHARE
    )


def _extrapolate(busy: Sequence[float], ahead_ms: float) -> float:
    """Return the demand after `ahead_ms` if it goes on rising, else that of now."""
    now = busy[-1]
    if len(busy) <= SLOPE_WINDOWS:
        return now
    slope = (now - busy[-1 - SLOPE_WINDOWS]) / (SLOPE_WINDOWS * WINDOW_STEP_MS)
    return min(now + max(slope, 0.0) * ahead_ms, now * MAX_RISE)
