"""Estimate the prefill speed of engines and its effect on running streams; no I/O.

An engine works in steps. Each step prefills a chunk of the queued prompts and generates
one token of each running stream, so prefill work lengthens the inter-token gaps of
streams. Engines need no configuration: starting from a prior, the estimate follows
observed prefill times and stream progress.
"""

from collections.abc import Iterable

from cornelnotch.gateway.linear_fit import Coefficients, LinearFit
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
# Assumed time between a grant and the first token of a prompt that needs no prefill:
# the way to the server and back, and the first steps of the engine. It counts as much
# as this many prompts that found the engine idle, and the prior of the prefill rate as
# one prompt of this many thousands of tokens.
PRIOR_START_MS = 20.0
PRIOR_STARTS = 1.0
PRIOR_START_KILOTOKENS = 2.0
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
# Least time per 1,000 prefilled tokens, so that no fit leads to a negative rate.
MIN_KILOTOKEN_MS = 1e-3


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


class EngineEstimate:
    """Estimate the rates of one engine from observations and a prior.

    With `separates_start`, the time that each prompt takes whatever its length does
    not count as prefill. Where prompts are short, it would make an engine seem several
    times slower than it is.
    """

    def __init__(
        self,
        server: str = "",
        prior: EngineRates = PRIOR_RATES,
        separates_start: bool = False,
    ) -> None:
        self._server = server
        self._prior = prior
        self._prefilled_tokens = 0.0
        self._prefill_ms = 0.0
        self._progress = LinearFit(
            Coefficients(prior.event_ms, TOKENS_PER_KILOTOKEN / prior.chunk_rate),
            PRIOR_EVENTS,
            PRIOR_KILOTOKENS,
        )
        self._starts: LinearFit | None = None
        if separates_start:
            self._starts = LinearFit(
                Coefficients(PRIOR_START_MS, TOKENS_PER_KILOTOKEN / prior.read_rate),
                PRIOR_STARTS,
                PRIOR_START_KILOTOKENS,
            )
        self._updated_ms = 0.0
        self._ease = prior.ease
        self._ease_lowered_ms = float("-inf")
        self.rates = prior

    def record_prefill(
        self, tokens: int, elapsed_ms: float, now: float, was_idle: bool = False
    ) -> None:
        """Add the observation that a prefill took `elapsed_ms`.

        `was_idle` states that the engine had no other prompt to prefill before it.
        """
        self._decay(now)
        if self._starts is not None:
            self._record_start(self._starts, tokens, elapsed_ms, was_idle)
            self._update()
            return
        expected_ms = tokens / self.rates.read_rate
        slowest_ms = max(expected_ms * MAX_DELAY_FACTOR, self.rates.event_ms)
        quickest_ms = expected_ms / MAX_DELAY_FACTOR
        self._prefilled_tokens += tokens
        self._prefill_ms += min(max(elapsed_ms, quickest_ms), slowest_ms)
        self._update()

    def _record_start(
        self, starts: LinearFit, tokens: int, elapsed_ms: float, was_idle: bool
    ) -> None:
        start_ms = max(starts.solve().first, 0.0) if was_idle else 0.0
        expected_ms = start_ms + tokens / self.rates.read_rate
        slowest_ms = max(expected_ms * MAX_DELAY_FACTOR, self.rates.event_ms)
        kilotokens = tokens / TOKENS_PER_KILOTOKEN
        starts.add(float(was_idle), kilotokens, min(elapsed_ms, slowest_ms))

    def record_progress(
        self, progress: StreamProgress, prompts: list[int], gap_ms: float, now: float
    ) -> None:
        """Add the progress of a stream while the engine prefilled `prompts`.

        `prompts` holds the token count of each. `gap_ms` is the longest inter-token gap
        that the caller accepts, 0 for any.
        """
        self._decay(now)
        self._progress.add(
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
        self._progress.decay(factor)
        if self._starts is not None:
            self._starts.decay(factor)

    def _update(self) -> None:
        fitted = self._progress.solve()
        chunk_rate = TOKENS_PER_KILOTOKEN / max(fitted.second, MIN_KILOTOKEN_MS)
        self.rates = EngineRates(
            self._server,
            _clamp(self._find_read_rate(), PRIOR_RATES.read_rate),
            _clamp(chunk_rate, PRIOR_RATES.chunk_rate),
            _clamp(fitted.first, PRIOR_RATES.event_ms),
            self._ease,
        )

    def _find_read_rate(self) -> float:
        """Return the number of tokens prefilled per ms."""
        if self._starts is not None:
            kilotoken_ms = max(self._starts.solve().second, MIN_KILOTOKEN_MS)
            return TOKENS_PER_KILOTOKEN / kilotoken_ms
        read_tokens = self._prefilled_tokens + PRIOR_PREFILL_MS * self._prior.read_rate
        return read_tokens / (self._prefill_ms + PRIOR_PREFILL_MS)
