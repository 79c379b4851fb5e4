"""Count what the callers of this host request, without I/O."""

from collections import OrderedDict
from dataclasses import dataclass

from cornelnotch.gateway.demand import DemandRecorder
from cornelnotch.gateway.models import CallerRequest
from cornelnotch.wire.messages import DemandRow, DemandTotals

__all__ = ["DemandCounter"]

# Prompt parts remembered to tell new tokens from those that servers cache; the parts of
# about eight engines (`gateway/servers.py`).
REMEMBERED_PARTS = 4096


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


class DemandCounter(DemandRecorder):
    """Cumulative totals by service and priority."""

    def __init__(self) -> None:
        self._totals: dict[tuple[str, int], RequestTotals] = {}
        self._parts: OrderedDict[str, None] = OrderedDict()
        self._sequence = 0

    def record_arrival(
        self, service: str, priority: int, request: CallerRequest
    ) -> None:
        """Count a request and its tokens."""
        totals = self._find(service, priority)
        totals.requests += 1
        totals.prompt_tokens += request.prompt_tokens
        totals.prefill_tokens += self._count_new_tokens(service, request)
        totals.output_tokens += request.output_tokens

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

    def _count_new_tokens(self, service: str, request: CallerRequest) -> int:
        """Return the tokens of a prompt after the leading parts seen before."""
        cached = 0
        is_leading = True
        for part in request.prompt[:-1]:
            name = f"{service}/{part.name}"
            is_leading = is_leading and name in self._parts
            cached += part.tokens if is_leading else 0
            self._parts[name] = None
            self._parts.move_to_end(name)
        while len(self._parts) > REMEMBERED_PARTS:
            self._parts.popitem(last=False)
        return max(request.prompt_tokens - cached, 0)
