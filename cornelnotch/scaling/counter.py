"""Count what the callers of this host request, without I/O."""

from dataclasses import dataclass

from cornelnotch.gateway.demand import DemandRecorder
from cornelnotch.gateway.models import CallerRequest
from cornelnotch.wire.messages import DemandRow, DemandTotals

__all__ = ["DemandCounter"]

# The share of tokens to prefill is measured over the last prompts; an older one counts
# less by this factor for each that follows, half after 23.
PREFILL_DECAY = 0.97


@dataclass(slots=True)
class RequestTotals:
    """Totals of one service and priority since the start of the host."""

    requests: int = 0
    refused: int = 0
    prompt_tokens: int = 0
    prefill_tokens: int = 0
    output_tokens: int = 0
    served: int = 0
    served_ms: float = 0.0


@dataclass(slots=True)
class PrefillShare:
    """Decayed sums of the prompts that servers began; all tokens are new at first."""

    prompt_tokens: float = 1.0
    prefill_tokens: float = 1.0

    def record(self, prompt_tokens: int, prefill_tokens: int) -> None:
        """Add a prompt."""
        self.prompt_tokens = self.prompt_tokens * PREFILL_DECAY + prompt_tokens
        self.prefill_tokens = self.prefill_tokens * PREFILL_DECAY + prefill_tokens

    def measure(self) -> float:
        """Return the share of tokens to prefill."""
        return self.prefill_tokens / self.prompt_tokens


class DemandCounter(DemandRecorder):
    """Cumulative totals by service and priority."""

    def __init__(self) -> None:
        self._totals: dict[tuple[str, int], RequestTotals] = {}
        self._prefills: dict[str, PrefillShare] = {}
        self._sequence = 0

    def record_arrival(
        self, service: str, priority: int, request: CallerRequest
    ) -> None:
        """Count a request and its tokens."""
        totals = self._find(service, priority)
        totals.requests += 1
        totals.prompt_tokens += request.prompt_tokens
        share = self._find_prefill_share(service)
        totals.prefill_tokens += round(request.prompt_tokens * share)
        totals.output_tokens += request.output_tokens

    def record_prefill(
        self, service: str, prompt_tokens: int, prefill_tokens: int
    ) -> None:
        """Record how many tokens of a prompt a server did not have in its cache."""
        if prompt_tokens > 0:
            prefill_tokens = min(max(prefill_tokens, 0), prompt_tokens)
            share = self._prefills.setdefault(service, PrefillShare())
            share.record(prompt_tokens, prefill_tokens)

    def record_refusal(self, service: str, priority: int) -> None:
        """Count a request that got nothing."""
        self._find(service, priority).refused += 1

    def record_served(self, service: str, priority: int, duration_ms: float) -> None:
        """Count a request that was served, and its time."""
        totals = self._find(service, priority)
        totals.served += 1
        totals.served_ms += max(duration_ms, 0.0)

    def take_totals(self, host: str, boot_ms: int, domain: str) -> DemandTotals:
        """Return the totals, with a higher sequence number each time."""
        self._sequence += 1
        rows = [
            DemandRow(
                service,
                priority,
                totals.requests,
                totals.refused,
                totals.prompt_tokens,
                totals.prefill_tokens,
                totals.output_tokens,
                totals.served,
                round(totals.served_ms, 1),
            )
            for (service, priority), totals in self._totals.items()
        ]
        return DemandTotals(host, boot_ms, domain, self._sequence, rows)

    def _find(self, service: str, priority: int) -> RequestTotals:
        return self._totals.setdefault((service, priority), RequestTotals())

    def _find_prefill_share(self, service: str) -> float:
        """Return the share of prompt tokens that servers do not have cached."""
        return self._prefills.setdefault(service, PrefillShare()).measure()
