"""Client of a fleet, with retries and cached entry addresses."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import orjson

from cornelnotch.exceptions import UpstreamError
from cornelnotch.kernel import Clock, create_identifier
from cornelnotch.web import HttpClient, HttpResponse

__all__ = ["CallResult", "Caller", "CallerOptions"]

ENTRY_TIMEOUT_MS = 1000.0
DEFAULT_RETRY_MS = 200.0
EVENT_END = b"\n\n"
CHAT_TARGET = "/v1/chat/completions"
STATUS_OK = 200


@dataclass(frozen=True, slots=True)
class CallerOptions:
    """Options of a caller; `attempts` includes the first."""

    workspace: str
    place: str | None = None
    attempts: int = 4
    deadline_ms: int = 10_000
    total_timeout_ms: float = 15_000.0


@dataclass(slots=True)
class CallResult:
    """Result of one call; times are in ms from its first attempt."""

    status: int = 0
    outcome: str = "unknown"
    kind: str = ""
    text: str = ""
    body: bytes = b""
    complete: bool = False
    request_id: str = ""
    address: str = ""
    attempts: int = 0
    first_token_ms: float = 0.0
    between_tokens_ms: float = 0.0
    whole_ms: float = 0.0
    retry_after_ms: float = 0.0
    outcomes: list[str] = field(default_factory=list)


class Caller:
    """Caller that sends requests to the hosts named by the entry endpoint."""

    def __init__(self, seeds: list[str], options: CallerOptions, clock: Clock) -> None:
        self.options = options
        self._seeds = seeds
        self._clock = clock
        self._client = HttpClient()
        self._addresses: list[str] = []
        self._valid_until_ms = 0.0
        self._address_index = 0

    def close(self) -> None:
        """Close idle connections."""
        self._client.close()

    def use_only_host(self, address: str) -> None:
        """Send all requests to one host, for fault tests."""
        self._seeds = [address]
        self._addresses = [address]
        self._valid_until_ms = float("inf")

    async def fetch_entry_addresses(self) -> list[str]:
        """Return the addresses of hosts, refreshed when they have expired."""
        if self._addresses and self._clock.read() < self._valid_until_ms:
            return self._addresses
        place = f"&place={self.options.place}" if self.options.place else ""
        target = f"/v1/entry?workspace={self.options.workspace}{place}"
        for address in [*self._addresses, *self._seeds]:
            try:
                status, content = await self._client.request_json(
                    address, "GET", target, timeout_ms=ENTRY_TIMEOUT_MS
                )
            except UpstreamError:
                continue
            if status == STATUS_OK and isinstance(content, dict):
                self._addresses = list(content["addresses"])
                self._valid_until_ms = self._clock.read() + content["ttl_ms"]
                return self._addresses
        return self._addresses or self._seeds

    async def chat(
        self,
        prompt: str,
        tokens: int,
        labels: str,
        stream: bool = True,
        retry: bool = True,
    ) -> CallResult:
        """Send a chat completion and return its complete response."""
        content = {
            "model": "default",
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
        body = orjson.dumps(content)
        return await self._send_with_retries(
            "POST", CHAT_TARGET, labels, body, None, retry
        )

    async def call(
        self,
        service: str,
        path: str,
        content: object,
        labels: str,
        key: str | None = None,
        retry: bool = True,
    ) -> CallResult:
        """Call a service; with a key, it runs at most once despite retries."""
        target = f"/v1/services/{service}{path}"
        body = orjson.dumps(content)
        return await self._send_with_retries("POST", target, labels, body, key, retry)

    async def book(
        self, service: str, path: str, content: object, labels: str
    ) -> CallResult:
        """Call a service with a new key, so it runs at most once despite retries."""
        key = create_identifier()
        return await self.call(service, path, content, labels, key)

    async def _send_with_retries(
        self,
        method: str,
        target: str,
        labels: str,
        body: bytes,
        key: str | None,
        retry: bool,
    ) -> CallResult:
        started_ms = self._clock.read()
        limit = started_ms + self.options.total_timeout_ms
        result = CallResult()
        attempts = self.options.attempts if retry else 1
        for attempt in range(1, attempts + 1):
            addresses = await self.fetch_entry_addresses()
            address = addresses[self._address_index % len(addresses)]
            result = await self._send(
                address, method, target, labels, body, key, attempt, result, started_ms
            )
            if result.complete or not self._is_retryable(result, key):
                break
            delay_ms = result.retry_after_ms or DEFAULT_RETRY_MS
            if attempt == attempts or self._clock.read() + delay_ms > limit:
                break
            await self._clock.sleep(delay_ms)
        result.whole_ms = self._clock.read() - started_ms
        return result

    @staticmethod
    def _is_retryable(result: CallResult, key: str | None) -> bool:
        if result.status in {400, 404, 405, 413, 422}:
            return False
        return result.outcome != "ran" or key is not None

    def _create_headers(
        self, labels: str, key: str | None, attempt: int, deadline_ms: float
    ) -> dict[str, str]:
        headers = {
            "cornelnotch-workspace": self.options.workspace,
            "cornelnotch-labels": labels,
            "cornelnotch-deadline-ms": str(max(int(deadline_ms), 1)),
            "cornelnotch-attempt": str(attempt),
            "content-type": "application/json",
        }
        if key is not None:
            headers["idempotency-key"] = key
        return headers

    async def _send(
        self,
        address: str,
        method: str,
        target: str,
        labels: str,
        body: bytes,
        key: str | None,
        attempt: int,
        previous: CallResult,
        started_ms: float,
    ) -> CallResult:
        result = CallResult(address=address, attempts=attempt)
        result.outcomes = previous.outcomes
        # A later attempt has only the remainder of the total timeout.
        elapsed_ms = self._clock.read() - started_ms
        remaining_ms = self.options.total_timeout_ms - elapsed_ms
        deadline_ms = min(self.options.deadline_ms, remaining_ms)
        timeout_ms = deadline_ms + DEFAULT_RETRY_MS * 5
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                headers = self._create_headers(labels, key, attempt, deadline_ms)
                response = await self._client.request(
                    address, method, target, headers, body
                )
                await self._read_response(response, result, started_ms)
        except (UpstreamError, TimeoutError) as error:
            # Other hosts may be reachable while this one is not.
            self._address_index += 1
            self._valid_until_ms = 0.0
            result.kind = f"{type(error).__name__}: {error}"
        result.outcomes.append(result.outcome)
        return result

    async def _read_response(
        self, response: HttpResponse, result: CallResult, started_ms: float
    ) -> None:
        headers = response.headers
        result.status = response.status
        result.request_id = headers.get("cornelnotch-request-id", "")
        result.retry_after_ms = float(headers.get("cornelnotch-retry-after-ms", "0"))
        if headers.get("content-type") == "text/event-stream":
            await self._read_stream(response, result, started_ms)
            result.outcome = "ran" if result.complete else "unknown"
            return
        result.body = await response.read()
        result.outcome = headers.get("cornelnotch-outcome", "unknown")
        content = orjson.loads(result.body) if result.body else {}
        if isinstance(content, dict) and "error" in content:
            result.kind = str(content["error"].get("kind", ""))
        elif isinstance(content, dict) and "choices" in content:
            result.text = content["choices"][0]["message"]["content"]
        result.complete = response.status == STATUS_OK

    async def _read_stream(
        self, response: HttpResponse, result: CallResult, started_ms: float
    ) -> None:
        texts: list[str] = []
        first_ms = 0.0
        last_ms = 0.0
        async for event in _split_events(response):
            data = event.removeprefix(b"data: ")
            if data == b"[DONE]":
                result.complete = True
                continue
            content = orjson.loads(data)
            if "error" in content:
                result.kind = str(content["error"].get("kind", ""))
                continue
            last_ms = self._clock.read()
            if not texts:
                first_ms = last_ms
            texts.append(content["choices"][0]["delta"].get("content", ""))
        result.text = "".join(texts)
        if texts:
            result.first_token_ms = first_ms - started_ms
        if len(texts) > 1:
            result.between_tokens_ms = (last_ms - first_ms) / (len(texts) - 1)


async def _split_events(response: HttpResponse) -> AsyncIterator[bytes]:
    buffer = b""
    async for part in response.iterate_chunks():
        *events, buffer = (buffer + part).split(EVENT_END)
        for event in events:
            yield event
