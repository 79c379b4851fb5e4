"""Estimate the prefill speed of engines and its effect on running streams; no I/O.

An engine works in steps. Each step prefills a chunk of the queued prompts and generates
one token of each running stream, so prefill work lengthens the inter-token gaps of
streams. Engines need no configuration: starting from a prior, the estimate follows
observed prefill times and stream progress.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from cornelnotch.wire.messages import EngineRates, StreamProgress

__all__ = ["PRIOR_RATES", "EngineEstimate", "average_rates", "find_prefill_budget"]

# Assumed for an engine without observations: tokens prefilled per ms, the same beside
# running streams, ms per stream event without prefill, and the factor `ease`.
PRIOR_RATES = EngineRates("", 25.0, 40.0, 40.0, 1.0)
# Weight of the prior: it counts as much as observations of this prefill time, this many
# stream events and this many thousands of prefilled tokens.
PRIOR_PREFILL_MS = 400.0
PRIOR_EVENTS = 10.0
PRIOR_KILOTOKENS = 10.0
# Estimates are clamped to this factor around the prior.
MAX_FACTOR = 40.0
# Observations decay exponentially with this half-life.
HALF_LIFE_MS = 10_000.0
# Observed prefill times are clamped to this factor around the expected one.
MAX_DELAY_FACTOR = 8.0
# An inter-token gap above this share of the accepted one counts as a violation.
VIOLATION_SHARE = 0.9
# Share of an accepted inter-token gap that prefill and one event may take together, and
# the share that prefill may always take.
USABLE_GAP_SHARE = 0.85
MIN_PREFILL_SHARE = 0.25
# The factor `ease` scales the prefill budget beside running streams. It grows while at
# least the given share of the budget is used without violations, and shrinks on a
# violation, at most once per interval, which keeps violations rare.
MIN_BUDGET_USE = 0.7
EASE_GROWTH = 1.003
EASE_DECREASE = 0.8
MIN_EASE = 0.5
MAX_EASE = 4.0
EASE_DECREASE_INTERVAL_MS = 500.0
TOKENS_PER_KILOTOKEN = 1000.0


def find_prefill_budget(rates: EngineRates, gap_ms: float) -> float:
    """Return the number of tokens to prefill within an inter-token gap of `gap_ms`.

    Infinity if `gap_ms` is 0.
    """
    if gap_ms <= 0:
        return float("inf")
    prefill_ms = max(
        gap_ms * USABLE_GAP_SHARE - rates.event_ms, gap_ms * MIN_PREFILL_SHARE
    )
    return prefill_ms * rates.chunk_rate * rates.ease


def average_rates(engine_rates: Iterable[EngineRates]) -> EngineRates:
    """Return the mean of the given rates, or the prior if there are none."""
    known = list(engine_rates)
    if not known:
        return PRIOR_RATES
    size = len(known)
    return EngineRates(
        "",
        sum(rates.read_rate for rates in known) / size,
        sum(rates.chunk_rate for rates in known) / size,
        sum(rates.event_ms for rates in known) / size,
        sum(rates.ease for rates in known) / size,
    )


def _clamp(value: float, prior: float) -> float:
    return min(max(value, prior / MAX_FACTOR), prior * MAX_FACTOR)


@dataclass(slots=True)
class ProgressSums:
    """Decayed least-squares sums over events, thousands of prefilled tokens and ms."""

    events_squared: float = 0.0
    events_tokens: float = 0.0
    tokens_squared: float = 0.0
    events_ms: float = 0.0
    tokens_ms: float = 0.0

    def decay(self, factor: float) -> None:
        """Multiply all sums by `factor`."""
        self.events_squared *= factor
        self.events_tokens *= factor
        self.tokens_squared *= factor
        self.events_ms *= factor
        self.tokens_ms *= factor

    def add(self, events: float, kilotokens: float, spent_ms: float) -> None:
        """Add one observation."""
        self.events_squared += events * events
        self.events_tokens += events * kilotokens
        self.tokens_squared += kilotokens * kilotokens
        self.events_ms += events * spent_ms
        self.tokens_ms += kilotokens * spent_ms


class EngineEstimate:
    """Estimate the rates of one engine from observations and a prior."""

    def __init__(self, server: str = "", prior: EngineRates = PRIOR_RATES) -> None:
        self._server = server
        self._prior = prior
        self._prefilled_tokens = 0.0
        self._prefill_ms = 0.0
        self._sums = ProgressSums()
        self._updated_ms = 0.0
        self._ease = prior.ease
        self._ease_lowered_ms = float("-inf")
        self.rates = prior

    def record_prefill(self, tokens: int, elapsed_ms: float, now: float) -> None:
        """Add the observation that a prefill took `elapsed_ms`."""
        self._decay(now)
        expected_ms = tokens / self.rates.read_rate
        slowest_ms = max(expected_ms * MAX_DELAY_FACTOR, self.rates.event_ms)
        quickest_ms = expected_ms / MAX_DELAY_FACTOR
        self._prefilled_tokens += tokens
        self._prefill_ms += min(max(elapsed_ms, quickest_ms), slowest_ms)
        self._update()

    def record_progress(
        self, progress: StreamProgress, prompts: list[int], gap_ms: float, now: float
    ) -> None:
        """Add the progress of a stream while the engine prefilled `prompts`.

        `prompts` holds the token count of each. `gap_ms` is the longest inter-token gap
        that the caller accepts, 0 for any.
        """
        self._decay(now)
        self._sums.add(
            progress.events, sum(prompts) / TOKENS_PER_KILOTOKEN, progress.spent_ms
        )
        if gap_ms > 0:
            self._adjust_ease(progress, prompts, gap_ms, now)
        self._update()

    def _adjust_ease(
        self,
        progress: StreamProgress,
        prompts: list[int],
        gap_ms: float,
        now: float,
    ) -> None:
        budget = find_prefill_budget(self.rates, gap_ms)
        if max(prompts, default=0) > budget:
            # Such a prompt exceeds the gap however the others are scheduled.
            return
        is_budget_used = (
            sum(prompts) * gap_ms >= MIN_BUDGET_USE * budget * progress.spent_ms
        )
        if progress.longest_ms > gap_ms * VIOLATION_SHARE:
            if now - self._ease_lowered_ms >= EASE_DECREASE_INTERVAL_MS:
                self._ease_lowered_ms = now
                self._ease = max(self._ease * EASE_DECREASE, MIN_EASE)
        elif is_budget_used:
            self._ease = min(self._ease * EASE_GROWTH, MAX_EASE)

    def _decay(self, now: float) -> None:
        elapsed_ms = max(now - self._updated_ms, 0.0)
        self._updated_ms = now
        factor = 0.5 ** (elapsed_ms / HALF_LIFE_MS)
        self._prefilled_tokens *= factor
        self._prefill_ms *= factor
        self._sums.decay(factor)

    def _update(self) -> None:
        prior = self._prior
        read_tokens = self._prefilled_tokens + PRIOR_PREFILL_MS * prior.read_rate
        read_rate = read_tokens / (self._prefill_ms + PRIOR_PREFILL_MS)
        event_ms, kilotoken_ms = self._fit()
        chunk_rate = TOKENS_PER_KILOTOKEN / max(kilotoken_ms, 1e-3)
        self.rates = EngineRates(
            self._server,
            _clamp(read_rate, PRIOR_RATES.read_rate),
            _clamp(chunk_rate, PRIOR_RATES.chunk_rate),
            _clamp(event_ms, PRIOR_RATES.event_ms),
            self._ease,
        )

    def _fit(self) -> tuple[float, float]:
        """Return the ms per event and per 1,000 prefilled tokens, by least squares."""
        sums = self._sums
        weight = PRIOR_EVENTS**2
        events_squared = sums.events_squared + weight
        events_ms = sums.events_ms + weight * self._prior.event_ms
        weight = PRIOR_KILOTOKENS**2
        kilotoken_ms = TOKENS_PER_KILOTOKEN / self._prior.chunk_rate
        tokens_squared = sums.tokens_squared + weight
        tokens_ms = sums.tokens_ms + weight * kilotoken_ms
        divisor = events_squared * tokens_squared - sums.events_tokens**2
        event_numerator = events_ms * tokens_squared - tokens_ms * sums.events_tokens
        token_numerator = tokens_ms * events_squared - events_ms * sums.events_tokens
        return event_numerator / divisor, token_numerator / divisor
