"""HTTP clients of engines and plain services."""

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator
from dataclasses import dataclass

import orjson

from cornelnotch.exceptions import (
    ResponseMismatchError,
    UpstreamError,
)
from cornelnotch.web import HttpClient, HttpResponse

__all__ = [
    "EngineChunk",
    "EngineUpstream",
    "ServiceAnswer",
    "ServiceUpstream",
    "StallTimeout",
]

EVENT_END = b"\n\n"
DATA_PREFIX = b"data: "
DONE_EVENT = b"[DONE]"
MAX_EVENT_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 4 * 1024 * 1024
STATUS_OK = 200
REQUEST_ID_HEADER = "x-request-id"


@dataclass(frozen=True, slots=True)
class EngineChunk:
    """One event of an engine's response."""

    content: dict
    text: str


@dataclass(frozen=True, slots=True)
class ServiceAnswer:
    """Complete response of a plain service."""

    status: int
    content_type: str
    body: bytes


class StallTimeout:
    """Timeout for an engine that sends nothing, suspended while a request is paused."""

    def __init__(self, limit: asyncio.Timeout, stall_ms: float, left_ms: float) -> None:
        self._limit = limit
        self._loop = asyncio.get_running_loop()
        self._stall_s = stall_ms / 1000.0
        self._end_s = self._loop.time() + left_ms / 1000.0
        self._paused = False

    def restart(self) -> None:
        """Restart the timeout."""
        if self._paused or self._limit.expired():
            return
        self._limit.reschedule(min(self._loop.time() + self._stall_s, self._end_s))

    def set_paused(self, paused: bool) -> None:
        """Extend the timeout to the deadline while the engine serves other requests."""
        if self._limit.expired():
            return
        self._paused = paused
        if paused:
            self._limit.reschedule(self._end_s)
        else:
            self.restart()


class EngineUpstream:
    """Stream chat completions from an engine."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def stream(
        self,
        address: str,
        answer_id: str,
        body: bytes,
        priority: int,
        position: int,
        stall_timeout: StallTimeout,
    ) -> AsyncGenerator[list[EngineChunk], None]:
        """Yield the chunks from token `position` on, in batches as they arrive.

        Raise UpstreamError if the engine fails or responds to another request.
        `stall_timeout` ends the wait if the engine sends nothing.
        """
        headers = {
            "content-type": "application/json",
            REQUEST_ID_HEADER: answer_id,
            "x-priority": str(priority),
            "x-resume-from": str(position),
        }
        stall_timeout.restart()
        answer = await self._open(address, headers, body)
        try:
            parts = answer.iterate_chunks().__aiter__()
            buffer = b""
            while True:
                buffer += await self._read_chunk(parts, address)
                stall_timeout.restart()
                *events, buffer = buffer.split(EVENT_END)
                if len(buffer) > MAX_EVENT_BYTES:
                    raise UpstreamError(
                        f"{address} sent an event that exceeds the size limit",
                        "check the engine",
                    )
                read = [self._parse_event(e, address, answer_id) for e in events]
                chunks = [chunk for chunk in read if chunk is not None]
                if chunks:
                    yield chunks
                if len(chunks) < len(read):
                    await self._finish(parts)
                    return
        finally:
            answer.close()

    async def _open(
        self, address: str, headers: dict[str, str], body: bytes
    ) -> HttpResponse:
        answer = await self._client.request(
            address, "POST", "/v1/chat/completions", headers, body
        )
        if answer.status != STATUS_OK:
            answer.close()
            raise UpstreamError(
                f"{address} responded with status {answer.status}", "check the engine"
            )
        if answer.headers.get(REQUEST_ID_HEADER) != headers[REQUEST_ID_HEADER]:
            answer.close()
            raise ResponseMismatchError(
                f"{address} responded to another request", "check the engine"
            )
        return answer

    @staticmethod
    async def _read_chunk(parts: AsyncIterator[bytes], address: str) -> bytes:
        try:
            return await anext(parts)
        except StopAsyncIteration as error:
            raise UpstreamError(
                f"{address} ended the stream without [DONE]", "check the engine"
            ) from error

    @staticmethod
    async def _finish(parts: AsyncIterator[bytes]) -> None:
        # Reading to the end of the response allows the connection to be reused.
        async for _ in parts:
            pass

    @staticmethod
    def _parse_event(event: bytes, address: str, answer_id: str) -> EngineChunk | None:
        data = event.strip().removeprefix(DATA_PREFIX)
        if data == DONE_EVENT:
            return None
        try:
            content = orjson.loads(data)
            text = content["choices"][0]["delta"].get("content") or ""
        except (ValueError, KeyError, IndexError, TypeError, AttributeError) as error:
            raise UpstreamError(
                f"{address} sent a malformed event", "check the engine"
            ) from error
        if content.get("id") != answer_id:
            raise ResponseMismatchError(
                f"{address} mixed in an event of another response", "check the engine"
            )
        return EngineChunk(content, text)


class ServiceUpstream:
    """Client of plain services."""

    def __init__(self, client: HttpClient) -> None:
        self._client = client

    async def call(
        self,
        address: str,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
        repeatable: bool,
        timeout_ms: float,
    ) -> ServiceAnswer:
        """Return the complete response.

        Raise UpstreamUnreachableError if no byte was sent, and another
        UpstreamError if it is unknown whether the work was executed.
        """
        try:
            async with asyncio.timeout(max(timeout_ms, 0.0) / 1000.0):
                answer = await self._client.request(
                    address, method, target, headers, body, fresh=not repeatable
                )
                echoed = answer.headers.get(REQUEST_ID_HEADER)
                if echoed is not None and echoed != headers[REQUEST_ID_HEADER]:
                    answer.close()
                    raise ResponseMismatchError(
                        f"{address} responded to another request", "check the service"
                    )
                content = await answer.read(MAX_ANSWER_BYTES)
                await answer.confirm_end()
        except TimeoutError as error:
            raise UpstreamError(
                f"{address} did not respond within {timeout_ms:.0f} ms",
                "ask the service whether the work ran",
            ) from error
        kind = answer.headers.get("content-type", "application/octet-stream")
        return ServiceAnswer(answer.status, kind, content)
