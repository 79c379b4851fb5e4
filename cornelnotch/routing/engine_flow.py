"""Forward chat completions to engines and resume interrupted streams."""

import asyncio
from contextlib import aclosing
from dataclasses import dataclass

import orjson

from cornelnotch.exceptions import UpstreamError, UpstreamStalledError
from cornelnotch.kernel import Event
from cornelnotch.routing.context import RequestFailedError
from cornelnotch.routing.flow import RequestFlow
from cornelnotch.routing.permits import PermitReport
from cornelnotch.routing.responses import (
    Outcome,
    Problem,
    create_response_headers,
    encode_problem,
)
from cornelnotch.routing.upstreams import EngineChunk, StallTimeout
from cornelnotch.wire.messages import PermitGrant

__all__ = ["EngineFlow"]

STALL_FACTOR = 30.0
MIN_STALL_MS = 1500.0
DEFAULT_STALL_MS = 5000.0


@dataclass(slots=True)
class Progress:
    """Progress of one dispatch; times are local ms."""

    started_ms: float
    first_ms: float = 0.0
    last_ms: float = 0.0
    tokens: int = 0

    def record_tokens(self, count: int, now: float) -> bool:
        """Add tokens and return whether the first was among them."""
        first = self.tokens == 0
        if first:
            self.first_ms = now
        self.last_ms = now
        self.tokens += count
        return first

    def compute_pace(self) -> float:
        """Return the mean ms between tokens."""
        if self.tokens < 2:
            return 0.0
        return (self.last_ms - self.first_ms) / (self.tokens - 1)

    def create_report(self, outcome: str, now: float) -> PermitReport:
        """Return the report for the dispatcher."""
        first_ms = self.first_ms - self.started_ms if self.tokens else 0.0
        return PermitReport(
            outcome, now - self.started_ms, first_ms, self.compute_pace(), self.tokens
        )


class EngineFlow(RequestFlow):
    """Stream from an engine and resume interrupted streams on another engine."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self._texts: list[str] = []
        self._first_token_at_ms = 0.0
        self._chat = orjson.loads(self.request.body)
        body = {**self._chat, "stream": True}
        self._body = orjson.dumps(body)

    async def forward(self) -> None:
        """Dispatch until the response is complete or a retry is not allowed."""
        while True:
            try:
                grant = await self.acquire()
                error = await self._dispatch(grant)
            except RequestFailedError as failure:
                if not self.exchange.response_started:
                    raise
                await self.abort_stream(failure.problem)
                return
            if error is None:
                await self._finish()
                return
            if not self.should_retry(error, grant):
                problem = self.create_failure_problem(error)
                if not self.exchange.response_started:
                    raise RequestFailedError(problem)
                await self.abort_stream(problem)
                return
            if self._texts:
                self.context.events.record(
                    Event.STREAM_RESUMED,
                    request_id=self.request.request_id,
                    position=len(self._texts),
                )

    async def _dispatch(self, grant: PermitGrant) -> UpstreamError | None:
        """Run one dispatch and return its error, or None if it completed."""
        progress = Progress(self.context.clock.read())
        outcome = "cancelled"
        try:
            await self._stream_with_timeout(grant, progress)
            outcome = "done"
            return None
        except UpstreamError as error:
            outcome = error.kind
            if outcome == "mismatched":
                self.context.events.record(Event.ANSWER_MISMATCHED, server=grant.server)
            return error
        finally:
            report = progress.create_report(outcome, self.context.clock.read())
            self.release(grant, report)

    async def _stream_with_timeout(
        self, grant: PermitGrant, progress: Progress
    ) -> None:
        try:
            async with asyncio.timeout(self.get_remaining_ms() / 1000.0) as limit:
                stall_timeout = StallTimeout(
                    limit, self._compute_stall_timeout_ms(), self.get_remaining_ms()
                )
                self.context.permits.set_pause_listener(grant, stall_timeout.set_paused)
                await self._stream(grant, progress, stall_timeout)
        except TimeoutError as error:
            raise UpstreamStalledError(
                f"{grant.server} sent nothing within the timeout", "check the engine"
            ) from error

    def _compute_stall_timeout_ms(self) -> float:
        pace = self.selection.service_class.between_tokens_ms
        if pace is None:
            return DEFAULT_STALL_MS
        return max(pace * STALL_FACTOR, MIN_STALL_MS)

    async def _stream(
        self, grant: PermitGrant, progress: Progress, stall_timeout: StallTimeout
    ) -> None:
        answer_id = f"{self.request.request_id}.{len(self.excluded)}"
        batches = self.context.engines.stream(
            grant.address,
            answer_id,
            self._body,
            self.selection.tier,
            len(self._texts),
            stall_timeout,
        )
        self.dispatched = True
        async with aclosing(batches) as stream:
            async for chunks in stream:
                if progress.record_tokens(len(chunks), self.context.clock.read()):
                    self._note_first_token(grant, progress)
                await self._deliver(chunks)

    def _note_first_token(self, grant: PermitGrant, progress: Progress) -> None:
        elapsed_ms = progress.first_ms - progress.started_ms
        self.context.permits.report_first_token(grant, elapsed_ms)
        if not self._texts:
            self._first_token_at_ms = progress.first_ms - self.trace.arrived_ms
            self.context.metrics.observe_first_token(
                self.selection.class_name, self._first_token_at_ms
            )

    async def _deliver(self, chunks: list[EngineChunk]) -> None:
        self._texts += [chunk.text for chunk in chunks]
        if not self.request.stream:
            return
        if not self.exchange.response_started:
            headers = create_response_headers(self.request.request_id, Outcome.RAN)
            headers["content-type"] = "text/event-stream"
            await self.exchange.start(200, headers)
        parts = []
        for chunk in chunks:
            chunk.content["id"] = self.request.request_id
            parts.append(b"data: " + orjson.dumps(chunk.content) + b"\n\n")
        await self.exchange.send(b"".join(parts))

    async def _finish(self) -> None:
        whole_ms = self.context.clock.read() - self.trace.arrived_ms
        self.context.metrics.count_tokens("delivered", len(self._texts))
        if self.request.stream:
            if not self.exchange.response_started:
                headers = create_response_headers(self.request.request_id, Outcome.RAN)
                await self.exchange.start(
                    200, {**headers, "content-type": "text/event-stream"}
                )
            self.store_outcome(200, "text/event-stream", None)
            await self.exchange.send(b"data: [DONE]\n\n")
            await self.exchange.finish()
        else:
            await self._respond_whole()
        between_tokens_ms = 0.0
        if len(self._texts) > 1:
            span = whole_ms - self._first_token_at_ms
            between_tokens_ms = span / (len(self._texts) - 1)
        self.finish_well(
            self._meets_targets(whole_ms, between_tokens_ms),
            first_token_ms=round(self._first_token_at_ms, 1),
            between_tokens_ms=round(between_tokens_ms, 2),
            whole_ms=round(whole_ms, 1),
            tokens=len(self._texts),
        )

    async def _respond_whole(self) -> None:
        content = {
            "id": self.request.request_id,
            "object": "chat.completion",
            "model": self._chat.get("model"),
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": "".join(self._texts)},
                    "finish_reason": "stop",
                }
            ],
            "usage": {"completion_tokens": len(self._texts)},
        }
        body = orjson.dumps(content)
        self.store_outcome(200, "application/json", body)
        headers = create_response_headers(self.request.request_id, Outcome.RAN)
        headers["content-type"] = "application/json"
        await self.exchange.respond(200, headers, body)

    def _meets_targets(self, whole_ms: float, between_tokens_ms: float) -> bool:
        targets = self.selection.service_class
        limits = (
            (targets.first_token_ms, self._first_token_at_ms),
            (targets.between_tokens_ms, between_tokens_ms),
            (targets.whole_ms, whole_ms),
        )
        return all(limit is None or seen <= limit for limit, seen in limits)

    async def abort_stream(self, problem: Problem) -> None:
        """End a stream that cannot be completed, without sending [DONE]."""
        self.trace.note("broken-off", kind=problem.kind, tokens=len(self._texts))
        if self.idempotency_guard is not None:
            problem = await self.idempotency_guard.finalize_problem(
                problem, self.dispatched
            )
        self.context.metrics.count_tokens("wasted", len(self._texts))
        self.context.metrics.windows.record(self.selection.class_name, False)
        body = encode_problem(problem, self.request.request_id)
        await self.exchange.send(b"data: " + body + b"\n\n")
        await self.exchange.finish()
