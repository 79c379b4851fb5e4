"""Estimate how fast engines read prompts and what that does to streams; pure.

An engine makes a step after another: a step reads a part of the prompts that wait and
makes a token of each running stream, so a stream pauses for what is read beside it. It
answers deployments whose engines are unknown: nothing but the prior is set, all else
follows from how long prompts took and how far streams came meanwhile.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from cornelnotch.wire.messages import EnginePace, StreamProgress

__all__ = ["EngineEstimate", "PRIOR_PACE", "average_paces", "find_reading_budget"]

# What is assumed of an engine that nobody has seen at work.
PRIOR_PACE = EnginePace("", 25.0, 40.0, 40.0, 1.0)
# What the prior weighs: so much reading, and so many events of one progress.
PRIOR_READING_MS = 400.0
PRIOR_EVENTS = 10.0
PRIOR_KILOTOKENS = 10.0
# Estimates stay within this factor of the prior.
MAX_FACTOR = 40.0
# What was seen so long ago weighs half.
HALF_LIFE_MS = 10_000.0
# A prompt that took this many times as long as expected, or as short, counts as that.
MAX_DELAY_FACTOR = 8.0
# A pause over this share of what is allowed is a violation.
VIOLATION_GAP = 0.9
# The share of a pause that reading and one event may take, and the least for reading.
USED_GAP = 0.85
MIN_READING_GAP = 0.25
# Reading beside streams grows while their pauses hold although the budget is used, and
# shrinks when one does not, so that few do not.
USED_BUDGET = 0.7
EASE_GROWTH = 1.003
EASE_LOSS = 0.8
MIN_EASE = 0.5
MAX_EASE = 4.0
EASE_LOSS_PAUSE_MS = 500.0
TOKENS_PER_KILOTOKEN = 1000.0


def find_reading_budget(pace: EnginePace, gap_ms: float) -> float:
    """Return the tokens an engine may read within a pause of `gap_ms`.

    Any number may be read if that is 0.
    """
    if gap_ms <= 0:
        return float("inf")
    reading_ms = max(gap_ms * USED_GAP - pace.event_ms, gap_ms * MIN_READING_GAP)
    return reading_ms * pace.chunk_rate * pace.ease


def average_paces(paces: Iterable[EnginePace]) -> EnginePace:
    """Return what to assume of an engine beside others; the prior if there are none."""
    known = list(paces)
    if not known:
        return PRIOR_PACE
    size = len(known)
    return EnginePace(
        "",
        sum(pace.read_rate for pace in known) / size,
        sum(pace.chunk_rate for pace in known) / size,
        sum(pace.event_ms for pace in known) / size,
        sum(pace.ease for pace in known) / size,
    )


def _bound(value: float, prior: float) -> float:
    return min(max(value, prior / MAX_FACTOR), prior * MAX_FACTOR)


@dataclass(slots=True)
class ProgressSums:
    """Hold decayed sums over progress: events, 1,000 tokens read beside, and ms."""

    events2: float = 0.0
    events_tokens: float = 0.0
    tokens2: float = 0.0
    events_ms: float = 0.0
    tokens_ms: float = 0.0

    def decay(self, factor: float) -> None:
        """Let what was seen weigh less."""
        self.events2 *= factor
        self.events_tokens *= factor
        self.tokens2 *= factor
        self.events_ms *= factor
        self.tokens_ms *= factor

    def add(self, events: float, kilotokens: float, spent_ms: float) -> None:
        """Count one progress."""
        self.events2 += events * events
        self.events_tokens += events * kilotokens
        self.tokens2 += kilotokens * kilotokens
        self.events_ms += events * spent_ms
        self.tokens_ms += kilotokens * spent_ms


class EngineEstimate:
    """Hold what was seen of one engine; `prior` is what is assumed before."""

    def __init__(self, server: str = "", prior: EnginePace = PRIOR_PACE) -> None:
        self._server = server
        self._prior = prior
        self._read_tokens = 0.0
        self._reading_ms = 0.0
        self._sums = ProgressSums()
        self._at_ms = 0.0
        self._ease = prior.ease
        self._lost_ms = float("-inf")
        self.pace = prior

    def note_reading(self, tokens: int, elapsed_ms: float, now: float) -> None:
        """Take in that the engine read a prompt within `elapsed_ms`."""
        self._decay(now)
        expected_ms = tokens / self.pace.read_rate
        slowest_ms = max(expected_ms * MAX_DELAY_FACTOR, self.pace.event_ms)
        quickest_ms = expected_ms / MAX_DELAY_FACTOR
        self._read_tokens += tokens
        self._reading_ms += min(max(elapsed_ms, quickest_ms), slowest_ms)
        self._update()

    def note_progress(
        self, progress: StreamProgress, prompts: list[int], gap_ms: float, now: float
    ) -> None:
        """Take in how far a stream came while the engine read `prompts` beside it.

        `prompts` holds the tokens of each, `gap_ms` the longest pause that the caller
        accepts, 0 for any.
        """
        self._decay(now)
        self._sums.add(
            progress.events, sum(prompts) / TOKENS_PER_KILOTOKEN, progress.spent_ms
        )
        if gap_ms > 0:
            self._change_ease(progress, prompts, gap_ms, now)
        self._update()

    def _change_ease(
        self,
        progress: StreamProgress,
        prompts: list[int],
        gap_ms: float,
        now: float,
    ) -> None:
        budget = find_reading_budget(self.pace, gap_ms)
        if max(prompts, default=0) > budget:
            # Such a prompt breaks a pause however the others are spread.
            return
        used = sum(prompts) * gap_ms >= USED_BUDGET * budget * progress.spent_ms
        if progress.longest_ms > gap_ms * VIOLATION_GAP:
            if now - self._lost_ms >= EASE_LOSS_PAUSE_MS:
                self._lost_ms = now
                self._ease = max(self._ease * EASE_LOSS, MIN_EASE)
        elif used:
            self._ease = min(self._ease * EASE_GROWTH, MAX_EASE)

    def _decay(self, now: float) -> None:
        passed = max(now - self._at_ms, 0.0)
        self._at_ms = now
        factor = 0.5 ** (passed / HALF_LIFE_MS)
        self._read_tokens *= factor
        self._reading_ms *= factor
        self._sums.decay(factor)

    def _update(self) -> None:
        prior = self._prior
        read = self._read_tokens + PRIOR_READING_MS * prior.read_rate
        read_rate = read / (self._reading_ms + PRIOR_READING_MS)
        event_ms, kilotoken_ms = self._solve()
        chunk_rate = TOKENS_PER_KILOTOKEN / max(kilotoken_ms, 1e-3)
        self.pace = EnginePace(
            self._server,
            _bound(read_rate, PRIOR_PACE.read_rate),
            _bound(chunk_rate, PRIOR_PACE.chunk_rate),
            _bound(event_ms, PRIOR_PACE.event_ms),
            self._ease,
        )

    def _solve(self) -> tuple[float, float]:
        """Return the ms of an event and of reading 1,000 tokens, by least squares."""
        sums = self._sums
        weight = PRIOR_EVENTS**2
        events2 = sums.events2 + weight
        events_ms = sums.events_ms + weight * self._prior.event_ms
        weight = PRIOR_KILOTOKENS**2
        kilotoken_ms = TOKENS_PER_KILOTOKEN / self._prior.chunk_rate
        tokens2 = sums.tokens2 + weight
        tokens_ms = sums.tokens_ms + weight * kilotoken_ms
        divisor = events2 * tokens2 - sums.events_tokens**2
        event = events_ms * tokens2 - tokens_ms * sums.events_tokens
        token = tokens_ms * events2 - events_ms * sums.events_tokens
        return event / divisor, token / divisor
