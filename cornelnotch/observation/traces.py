"""Traces of why recent requests were queued, refused or routed."""

from collections import OrderedDict
from dataclasses import dataclass, field

import orjson

from cornelnotch.kernel import Clock

__all__ = ["Decision", "Trace", "TraceStore"]

MAX_TRACES = 5000


@dataclass(frozen=True, slots=True)
class Decision:
    """One step in the handling of a request; `at_ms` is relative to its arrival."""

    at_ms: float
    stage: str
    details: dict[str, object]


@dataclass(slots=True)
class Trace:
    """The decisions on one request.

    They are stored as bytes, which the garbage collector does not traverse: its pauses
    over thousands of traces would add to the latency of other requests.
    """

    request_id: str
    clock: Clock
    arrived_ms: float
    encoded: list[bytes] = field(default_factory=list)

    def note(self, stage: str, **details: object) -> None:
        """Append a decision."""
        at_ms = round(self.clock.read() - self.arrived_ms, 3)
        self.encoded.append(orjson.dumps(Decision(at_ms, stage, details)))

    def describe(self) -> list[dict[str, object]]:
        """Return the decisions as dictionaries."""
        return [orjson.loads(decision) for decision in self.encoded]


class TraceStore:
    """Traces of the most recent requests of one host."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._traces: OrderedDict[str, Trace] = OrderedDict()

    def start_trace(self, request_id: str) -> Trace:
        """Start the trace of a request."""
        trace = Trace(request_id, self._clock, self._clock.read())
        self._traces[request_id] = trace
        if len(self._traces) > MAX_TRACES:
            self._traces.popitem(last=False)
        return trace

    def find(self, request_id: str) -> Trace | None:
        """Return the trace of a request, or None if it is unknown or was evicted."""
        return self._traces.get(request_id)
