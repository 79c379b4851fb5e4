"""Simulated engine with continuous batching, prefix cache and faults."""

import asyncio
import itertools
from collections import OrderedDict
from dataclasses import asdict, dataclass, field

import orjson

from cornelnotch.exceptions import CallerDisconnectedError
from cornelnotch.kernel import Clock, hash_text
from cornelnotch.web import Exchange, HttpServer

__all__ = ["EngineProfile", "EngineStandin", "create_expected_response", "create_token"]

MAX_BODY_BYTES = 1024 * 1024
DEFAULT_TOKENS = 32


@dataclass(slots=True)
class EngineProfile:
    """Speed and faults of an engine; times are in ms."""

    batch: int = 8
    token_ms: float = 20.0
    prefill_ms: float = 40.0
    cached_prefill_ms: float = 8.0
    cached_prefixes: int = 64
    load_lag_ms: float = 1000.0
    slowdown: float = 1.0
    cross_answers: bool = False
    frozen: bool = False


@dataclass(slots=True)
class Sequence:
    """One request, in the batch or waiting for it."""

    request_id: str
    prompt: str
    tokens: int
    priority: int
    order: int
    position: int
    ready_ms: float
    output: asyncio.Queue[int | None] = field(default_factory=asyncio.Queue)


def create_token(prompt: str, position: int) -> str:
    """Return the token that all engines generate at `position` for `prompt`."""
    return f"{hash_text(f'{prompt}|{position}') & 0xFFFF:04x} "


def create_expected_response(prompt: str, tokens: int) -> str:
    """Return the complete response to `prompt`."""
    return "".join(create_token(prompt, i) for i in range(tokens))


class EngineStandin:
    """Simulated engine; a step generates one token for each sequence of the batch."""

    def __init__(
        self, name: str, clock: Clock, profile: EngineProfile | None = None
    ) -> None:
        self.name = name
        self.profile = profile or EngineProfile()
        self.server = HttpServer(self._handle)
        self.generated = 0
        self.delivered = 0
        self.prefills = 0
        self.prefix_hits = 0
        self._clock = clock
        self._sequences: list[Sequence] = []
        self._sequence_numbers = itertools.count()
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._wake = asyncio.Event()
        self._loop: asyncio.Task[None] | None = None
        self._load_history: list[tuple[float, int, int]] = [(0.0, 0, 0)]

    async def start(self, address: str, port: int) -> None:
        """Listen and start to process the batch."""
        await self.server.start(address, port)
        self._loop = asyncio.create_task(self._run_steps())

    async def stop(self) -> None:
        """Stop immediately, like a crash."""
        if self._loop is not None:
            self._loop.cancel()
        await self.server.stop()

    async def _run_steps(self) -> None:
        while True:
            if not self._sequences:
                self._wake.clear()
                await self._wake.wait()
            await self._clock.sleep(self.profile.token_ms * self.profile.slowdown)
            if not self.profile.frozen:
                self._step()

    def _step(self) -> None:
        now = self._clock.read()
        ranked = sorted(self._sequences, key=lambda s: (s.priority, s.order))
        for sequence in ranked[: self.profile.batch]:
            if now < sequence.ready_ms:
                continue
            sequence.output.put_nowait(sequence.position)
            sequence.position += 1
            self.generated += 1
            if sequence.position >= sequence.tokens:
                sequence.output.put_nowait(None)
                self._sequences.remove(sequence)
        self._record_load(now)

    def _record_load(self, now: float) -> None:
        running = min(len(self._sequences), self.profile.batch)
        waiting = len(self._sequences) - running
        self._load_history.append((now, running, waiting))
        limit = now - self.profile.load_lag_ms
        while len(self._load_history) > 1 and self._load_history[1][0] <= limit:
            self._load_history.pop(0)

    async def _handle(self, exchange: Exchange) -> None:
        body = await exchange.read_body(MAX_BODY_BYTES)
        if exchange.path == "/v1/chat/completions":
            await self._handle_completion(exchange, orjson.loads(body))
        elif exchange.path == "/load":
            _, running, waiting = self._load_history[0]
            await exchange.respond_json(200, {"running": running, "waiting": waiting})
        elif exchange.path == "/counts":
            await exchange.respond_json(200, self.count())
        elif exchange.path == "/faults":
            for name, value in orjson.loads(body or b"{}").items():
                setattr(self.profile, name, value)
            await exchange.respond_json(200, asdict(self.profile))
        else:
            await exchange.respond_json(404, {"error": "unknown path"})

    def count(self) -> dict[str, int]:
        """Return counts of tokens, prefills and prefix cache hits since the start."""
        return {
            "generated": self.generated,
            "delivered": self.delivered,
            "prefills": self.prefills,
            "prefix_hits": self.prefix_hits,
        }

    def _admit(self, exchange: Exchange, content: dict) -> Sequence:
        prompt = content["messages"][-1]["content"]
        if self.profile.cross_answers:
            prompt = f"another caller's {prompt}"
        prefix = content.get("user", "") + prompt[:64]
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        while len(self._prefixes) > self.profile.cached_prefixes:
            self._prefixes.popitem(last=False)
        self.prefills += 1
        self.prefix_hits += hit
        prefill = self.profile.cached_prefill_ms if hit else self.profile.prefill_ms
        sequence = Sequence(
            request_id=exchange.headers.get("x-request-id", ""),
            prompt=prompt,
            tokens=int(content.get("max_tokens", DEFAULT_TOKENS)),
            priority=int(exchange.headers.get("x-priority", "0")),
            order=next(self._sequence_numbers),
            position=int(exchange.headers.get("x-resume-from", "0")),
            ready_ms=self._clock.read() + prefill * self.profile.slowdown,
        )
        self._sequences.append(sequence)
        self._wake.set()
        return sequence

    async def _handle_completion(self, exchange: Exchange, content: dict) -> None:
        sequence = self._admit(exchange, content)
        headers = {"x-request-id": self._get_response_id(sequence)}
        try:
            if content.get("stream"):
                await self._stream(exchange, sequence, headers)
            else:
                await self._respond_complete(exchange, sequence, headers)
        except CallerDisconnectedError:
            pass
        finally:
            if sequence in self._sequences:
                self._sequences.remove(sequence)

    def _get_response_id(self, sequence: Sequence) -> str:
        return "crossed" if self.profile.cross_answers else sequence.request_id

    async def _next_position(
        self, exchange: Exchange, sequence: Sequence
    ) -> int | None:
        position = asyncio.ensure_future(sequence.output.get())
        gone = asyncio.ensure_future(exchange.disconnected.wait())
        done, _ = await asyncio.wait(
            {position, gone}, return_when=asyncio.FIRST_COMPLETED
        )
        gone.cancel()
        if position not in done:
            position.cancel()
            raise CallerDisconnectedError(
                "the caller closed the connection", "retry the request"
            )
        return position.result()

    async def _stream(
        self, exchange: Exchange, sequence: Sequence, headers: dict[str, str]
    ) -> None:
        await exchange.start(200, {"content-type": "text/event-stream", **headers})
        name = headers["x-request-id"]
        while True:
            position = await self._next_position(exchange, sequence)
            if position is None:
                break
            chunk = {
                "id": name,
                "object": "chat.completion.chunk",
                "choices": [
                    {
                        "index": 0,
                        "delta": {"content": create_token(sequence.prompt, position)},
                    }
                ],
            }
            await exchange.send(b"data: " + orjson.dumps(chunk) + b"\n\n")
            self.delivered += 1
        await exchange.send(b"data: [DONE]\n\n")
        await exchange.finish()

    async def _respond_complete(
        self, exchange: Exchange, sequence: Sequence, headers: dict[str, str]
    ) -> None:
        first = sequence.position
        while await self._next_position(exchange, sequence) is not None:
            pass
        text = "".join(
            create_token(sequence.prompt, i) for i in range(first, sequence.tokens)
        )
        content = {
            "id": headers["x-request-id"],
            "object": "chat.completion",
            "choices": [
                {
                    "index": 0,
                    "message": {"role": "assistant", "content": text},
                    "finish_reason": "stop",
                }
            ],
            "usage": {"completion_tokens": sequence.tokens - first},
        }
        await exchange.respond_json(200, content, headers)
        self.delivered += sequence.tokens - first
