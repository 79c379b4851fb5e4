"""Measure how often prompts and their parts are used, as seen from one host; no I/O."""

import math
from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from cornelnotch.gateway.models import PromptPart

__all__ = ["DecayedSum", "PartTraffic", "PromptSample", "ServiceTraffic"]

# Time constant of decay. One host of 70 sees about four prompts per second, so it sees
# a prefix with a quarter of the traffic about 10 times in it.
WINDOW_MS = 10_000.0
# Prompts seen before the rates of a service count; fewer give rates that are wrong by a
# factor of two.
MIN_PROMPTS = 12.0
# Parts remembered per service, twice the number of different prefixes in the largest
# known deployment.
REMEMBERED_PARTS = 2048
# Different continuations of a part that are counted; more than servers make no
# difference.
MAX_CONTINUATIONS = 64
# Tokens by which the ratio of cached to expected tokens starts at 1, and its bounds. A
# controller that has just taken over knows no cached parts, so a low ratio may be
# wrong.
PRIOR_EXPECTED_TOKENS = 50_000.0
MIN_CONFIRMED_SHARE = 0.25


@dataclass(slots=True)
class DecayedSum:
    """An exponentially decayed sum; divided by its window it is a rate."""

    total: float = 0.0
    updated_ms: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount."""
        self.total = self.read(now) + amount
        self.updated_ms = now

    def read(self, now: float) -> float:
        """Return the decayed sum."""
        if not self.total:
            return 0.0
        return self.total * math.exp(-max(now - self.updated_ms, 0.0) / WINDOW_MS)


@dataclass(slots=True)
class PartTraffic:
    """Uses of one shared part, and the hashes of parts that followed it."""

    uses: DecayedSum = field(default_factory=DecayedSum)
    continuations: set[int] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class PromptSample:
    """A prompt that this host may send.

    `expected_tokens` of its shared parts were expected to be cached, `held_tokens` are
    by what the engine's controller knows.
    """

    shared: Sequence[PromptPart]
    own_tokens: int
    uncached_tokens: int
    expected_tokens: int
    held_tokens: int


class ServiceTraffic:
    """Rates of one service, as far as this host dispatches to it."""

    def __init__(self) -> None:
        self._prompts = DecayedSum()
        self._own_tokens = DecayedSum()
        self._inserted_tokens = DecayedSum()
        self._expected_tokens = DecayedSum()
        self._held_tokens = DecayedSum()
        self._parts: OrderedDict[str, PartTraffic] = OrderedDict()
        self._started_ms: float | None = None

    def record(self, sample: PromptSample, now: float) -> None:
        """Add a prompt."""
        if self._started_ms is None:
            self._started_ms = now
        self._prompts.add(1.0, now)
        self._own_tokens.add(sample.own_tokens, now)
        self._inserted_tokens.add(sample.uncached_tokens, now)
        self._expected_tokens.add(sample.expected_tokens, now)
        self._held_tokens.add(min(sample.held_tokens, sample.expected_tokens), now)
        for position, part in enumerate(sample.shared):
            traffic = self._get_part(part.name)
            traffic.uses.add(1.0, now)
            if position + 1 < len(sample.shared):
                _add_continuation(traffic, sample.shared[-1].name)

    def _get_part(self, name: str) -> PartTraffic:
        traffic = self._parts.get(name)
        if traffic is None:
            traffic = self._parts[name] = PartTraffic()
            if len(self._parts) > REMEMBERED_PARTS:
                self._parts.popitem(last=False)
        else:
            self._parts.move_to_end(name)
        return traffic

    def is_informed(self, now: float) -> bool:
        """Return whether enough prompts were seen for rates."""
        return self._prompts.read(now) >= MIN_PROMPTS

    def _measure_window(self, now: float) -> float:
        """Return the time that the decayed sums stand for, in ms."""
        elapsed_ms = now - self._started_ms if self._started_ms is not None else 0.0
        return max(WINDOW_MS * -math.expm1(-elapsed_ms / WINDOW_MS), 1.0)

    def read_prompt_rate(self, now: float) -> float:
        """Return the prompts that this host dispatches per ms."""
        return self._prompts.read(now) / self._measure_window(now)

    def read_own_rate(self, now: float) -> float:
        """Return the tokens per ms of prompts that no other prompt shares."""
        return self._own_tokens.read(now) / self._measure_window(now)

    def read_inserted_rate(self, now: float) -> float:
        """Return the tokens per ms that engines prefill for this host."""
        return self._inserted_tokens.read(now) / self._measure_window(now)

    def read_mean_inserted(self, now: float) -> float:
        """Return the mean number of tokens that an engine prefills for a prompt."""
        prompts = self._prompts.read(now)
        return self._inserted_tokens.read(now) / prompts if prompts else 0.0

    def read_mean_own(self, now: float) -> float:
        """Return the mean number of tokens of a prompt that no other prompt shares."""
        prompts = self._prompts.read(now)
        return self._own_tokens.read(now) / prompts if prompts else 0.0

    def read_confirmed_share(self, now: float) -> float:
        """Return the share of the tokens expected to be cached that were cached."""
        expected = self._expected_tokens.read(now) + PRIOR_EXPECTED_TOKENS
        held = self._held_tokens.read(now) + PRIOR_EXPECTED_TOKENS
        return max(min(held / expected, 1.0), MIN_CONFIRMED_SHARE)

    def estimate_mean_use_rate(self, hosts: int, now: float) -> float:
        """Return the mean uses per ms of a part, by all hosts."""
        return self.read_prompt_rate(now) * hosts / max(len(self._parts), 1)

    def estimate_use_rate(self, name: str, hosts: int, now: float) -> float:
        """Return the uses per ms of a part, by all hosts.

        A host sees few uses of each part. The estimate is the mean of all parts,
        corrected by what was seen.
        """
        mean_rate = self.estimate_mean_use_rate(hosts, now)
        if mean_rate <= 0:
            return 0.0
        seen_ms = self._measure_window(now) / hosts
        return (self._read_uses(name, now) + 1.0) / (seen_ms + 1.0 / mean_rate)

    def find_proven_use_rate(self, name: str, hosts: int, now: float) -> float:
        """Return the uses per ms of a part that it almost certainly has.

        This is two standard deviations below what the uses seen would give, so that
        chance does not make a prefix hot: it is 0 up to four uses.
        """
        uses = self._read_uses(name, now)
        proven = max(uses - 2.0 * math.sqrt(uses), 0.0)
        return proven * hosts / self._measure_window(now)

    def _read_uses(self, name: str, now: float) -> float:
        traffic = self._parts.get(name)
        return traffic.uses.read(now) if traffic is not None else 0.0

    def count_continuations(self, name: str) -> int:
        """Return the number of different parts seen after a part, within a bound."""
        traffic = self._parts.get(name)
        return len(traffic.continuations) if traffic is not None else 0


def _add_continuation(traffic: PartTraffic, name: str) -> None:
    if len(traffic.continuations) < MAX_CONTINUATIONS:
        traffic.continuations.add(hash(name))
