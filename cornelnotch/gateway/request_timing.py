"""Measure one request, and estimate whether it ends before its host stops; no I/O."""

from cornelnotch.gateway.drain import LONGEST_SHARE, Drain
from cornelnotch.gateway.durations import (
    DurationTracker,
    RequestDuration,
    RunningRequest,
)
from cornelnotch.gateway.models import CallerRequest, Route, WorkKind
from cornelnotch.gateway.timeouts import LOST_AFTER_SILENCES, find_max_gap_s
from cornelnotch.kernel.clock import Clock
from cornelnotch.kernel.parsing import parse_count

__all__ = ["RequestTiming"]

MS_PER_SECOND = 1000.0


class RequestTiming:
    """Times of one request whose body has arrived; `limit_ms` is when it must end."""

    def __init__(
        self,
        clock: Clock,
        drain: Drain,
        durations: DurationTracker,
        route: Route,
        request: CallerRequest,
        limit_ms: float,
    ) -> None:
        self._clock = clock
        self._drain = drain
        self._durations = durations
        self._route = route
        self._request = request
        self._limit_ms = limit_ms
        self._received_ms = clock.read()
        self._silence_ms = find_max_gap_s(route) * MS_PER_SECOND
        self._late_silence_ms = self._silence_ms
        if route.kind is WorkKind.STREAM:
            # A silent server keeps its stream until it counts as lost. A call is
            # answered at the end of the drain in any case.
            self._late_silence_ms *= LOST_AFTER_SILENCES
        self._running = RunningRequest(self._received_ms, request.output_tokens)

    def start(self) -> None:
        """Count the request as running."""
        self._durations.start(self._route.name, self._running)

    def finish(self) -> None:
        """Stop counting the request as running, whatever its outcome."""
        self._durations.finish(self._route.name, self._running)

    def note_begun(self) -> None:
        """Note that the response has begun."""
        self._running.begun_ms = self._clock.read()

    def start_writing(self) -> None:
        """Note that the host writes to the caller, who may let it wait."""
        self._running.start_writing(self._clock.read())

    def finish_writing(self) -> None:
        """Note that the caller has taken what was written."""
        self._running.finish_writing(self._clock.read())

    def record_call(self, first_ms: float) -> None:
        """Record a call whose response began at `first_ms`."""
        duration = RequestDuration(first_ms - self._received_ms)
        self._durations.record(self._route.name, duration)

    def record_stream(self, first_ms: float, stream_ms: float, events: int) -> None:
        """Record a stream that began at `first_ms`, unless its caller resumed it."""
        if self._request.last_event_id:
            return
        duration = RequestDuration(
            first_ms - self._received_ms,
            stream_ms - self._running.writing_ms,
            self._request.output_tokens,
            events,
        )
        self._durations.record(self._route.name, duration)

    def estimate_ms(self, share: float, prefill_ms: float = 0.0) -> float | None:
        """Return the time that `share` of similar requests still take, if known.

        The request has been admitted to an engine that prefills it in `prefill_ms`.
        """
        return self._durations.estimate_ms(
            self._route.name, share, self._describe(prefill_ms), self._clock.read()
        )

    def find_bound_ms(self, prefill_ms: float = 0.0) -> float | None:
        """Return the most time that the request may still take, if it is bounded.

        The longest of similar calls is enough for one that may be repeated: it is
        answered at the end in any case, and its caller can send it again.
        """
        if self._route.kind is WorkKind.REPEATABLE:
            return self.estimate_ms(LONGEST_SHARE, prefill_ms)
        return self._durations.find_bound_ms(
            self._route.name, self._describe(prefill_ms), self._clock.read()
        )

    def _describe(self, prefill_ms: float) -> RequestDuration:
        """Return the time waited, the allowance and the events already received."""
        return RequestDuration(
            max(self._clock.read() - self._received_ms - prefill_ms, 0.0),
            tokens=self._request.output_tokens,
            events=parse_count(self._request.last_event_id) or 0,
        )

    def can_end_elsewhere(self, events: int) -> bool:
        """Return whether another server could end the request before the host stops.

        The caller has received `events`. The request's own server keeps it until the
        other one has answered, so no time is kept for a silence of that one.
        """
        if not self._drain.has_started:
            return True

        def find_longest_ms() -> float | None:
            return self._estimate_rest_ms(LONGEST_SHARE, events)

        return self._drain.can_end(
            self._route,
            lambda share: self._estimate_rest_ms(share, events),
            find_longest_ms,
            self.measure_left_ms(),
            received_ms=self._received_ms,
        )

    def may_move(self, events: int, event_ms: float) -> bool:
        """Return whether a stream may now be moved from its silent server.

        The caller has received `events`, the last of this server at `event_ms`.
        """
        if not self._drain.has_started:
            return True
        return self._drain.may_move(
            self._route,
            lambda share: self._estimate_rest_ms(share, events),
            self.measure_left_ms(),
            self._silence_ms,
            self._clock.read() - event_ms,
        )

    def _estimate_rest_ms(self, share: float, events: int) -> float | None:
        """Return the time that the rest takes at another server, if known."""
        resumed = RequestDuration(
            0.0, tokens=self._request.output_tokens, events=events
        )
        return self._durations.estimate_ms(
            self._route.name, share, resumed, self._clock.read()
        )

    def find_needed_ms(self) -> float | None:
        """Return the time that the request must have to be served, if known."""
        return self._drain.find_needed_ms(
            self._route,
            self.estimate_ms,
            self.find_bound_ms,
            self._late_silence_ms,
            self._received_ms,
        )

    def measure_left_ms(self) -> float:
        """Return the time until the request must end if the host does not stop."""
        return self._limit_ms - self._clock.read()

    def can_end(self, prefill_ms: float = 0.0) -> bool:
        """Return whether the request, if sent now, can end before the host stops."""
        if not self._drain.has_started:
            return True
        return self._drain.can_end(
            self._route,
            lambda share: self.estimate_ms(share, prefill_ms),
            lambda: self.find_bound_ms(prefill_ms),
            self.measure_left_ms(),
            self._late_silence_ms,
            self._received_ms,
        )
