"""Draw callers' requests and record what became of them."""

import random
import re
from dataclasses import dataclass, field
from urllib.parse import urlencode

from cornelnotch.standins.deployment import (
    TARGET_MS,
    WORK_ROUTES,
    create_prompt_headers,
)
from cornelnotch.standins.worker import PROMPT_TOKENS_PER_MS

__all__ = ["Attempt", "Prompt", "Work", "WorkMix", "draw_mix", "draw_work"]

EVENT_END = b"\n\n"
EVENT_ID = re.compile(rb"id: (\d+)\n")
STREAMS = ("chat", "draft")
ROUTES = ("read", "read", "book", "book", "book", "chat", "chat", "draft", "draft")
STREAM_MS = (100, 100, 200, 200, 500, 1_000, 2_000, 4_000, 9_000)
CALL_MS = (5, 20, 20, 100, 100, 400, 400, 1_000, 2_000, 6_000)
# Share of plans in which requests of one route differ as much as those of all routes.
WIDE_SHARE = 0.5
MS_PER_SECOND = 1000.0
# Time after which a host sends a call that may be repeated to another server.
RESPONSE_TIMEOUT_MS = 2.5 * TARGET_MS
DELAY_MS = 500.0
# Output tokens of an event.
EVENT_TOKENS = 2


WorkMix = dict[str, float]


@dataclass(frozen=True, slots=True)
class Prompt:
    """Prompt of a stream: a part that others share and one of its own, in tokens."""

    shared_part: str
    shared_tokens: int
    own_tokens: int

    @property
    def tokens(self) -> int:
        """Return the size of the prompt."""
        return self.shared_tokens + self.own_tokens


@dataclass(frozen=True, slots=True)
class Work:
    """What one request asks for.

    A call has no `events`. The body is sent over `upload_s`; `read_rate` limits the
    bytes per second that the caller reads, unless it is 0. A request that `crashes`
    ends each server that begins to run it. The caller allows `max_events`, 0 for just
    those that come.
    """

    route: str
    work_ms: float
    events: int = 0
    gap_ms: float = 0.0
    size: int = 64
    body_bytes: int = 16
    upload_s: float = 0.0
    read_rate: float = 0.0
    is_chunked: bool = False
    prompt: Prompt | None = None
    crashes: bool = False
    max_events: int = 0

    @property
    def may_repeat(self) -> bool:
        """Return whether the request may run more than once."""
        kind, resumable = WORK_ROUTES[self.route]
        return kind == "idempotent" or resumable

    def may_exceed_timeout(self) -> bool:
        """Return whether a host may give up on each server, also in calm."""
        return self.route == "read" and self.work_ms > RESPONSE_TIMEOUT_MS - DELAY_MS

    def estimate_s(self) -> float:
        """Return the time from the last byte of the request to the end of its work."""
        read_ms = self.prompt.tokens / PROMPT_TOKENS_PER_MS if self.prompt else 0.0
        served_ms = read_ms + self.work_ms + self.events * self.gap_ms
        served_s = served_ms / MS_PER_SECOND
        if not self.read_rate:
            return served_s
        return served_s + max(self.events, 1) * self.size / self.read_rate

    def build_target(self) -> str:
        """Return the path and query of the request."""
        query = {
            "work": self.work_ms,
            "events": self.events,
            "gap": self.gap_ms,
            "size": self.size,
        }
        if self.crashes:
            query["crash"] = 1
        return f"/{self.route}/x?{urlencode(query)}"

    def build_prompt_headers(self, request_id: str) -> dict[str, str]:
        """Return the headers that tell the size and the parts of the prompt."""
        prompt = self.prompt
        if prompt is None:
            return {}
        parts = {
            prompt.shared_part: prompt.shared_tokens,
            request_id.encode().hex(): prompt.own_tokens,
        }
        events = self.max_events or self.events
        return create_prompt_headers(parts, events * EVENT_TOKENS)


def draw_mix(generator: random.Random) -> WorkMix:
    """Return the typical duration of each route in ms, or none for a wide mix."""
    if generator.random() < WIDE_SHARE:
        return {}
    return {
        route: float(generator.choice(STREAM_MS if route in STREAMS else CALL_MS))
        for route in WORK_ROUTES
    }


def draw_work(generator: random.Random, mix: WorkMix, read_rate: float) -> Work:
    """Return a random request of a caller that reads at `read_rate`."""
    route = generator.choice(ROUTES)
    upload_s = generator.uniform(0.2, 2.5) if generator.random() < 0.1 else 0.0
    body_bytes = generator.choice((16, 2_000, 40_000)) if upload_s else 16
    typical_ms = mix.get(route) or generator.choice(
        STREAM_MS if route in STREAMS else CALL_MS
    )
    length_ms = round(typical_ms * generator.uniform(0.75, 1.35), 1)
    if route not in STREAMS:
        size = 250_000 if read_rate else generator.choice((64, 64, 20_000))
        return Work(route, length_ms, 0, 0.0, size, body_bytes, upload_s, read_rate)
    events = max(2, round(length_ms / generator.uniform(50.0, 200.0)))
    gap_ms = round(length_ms / events, 1)
    size = generator.choice((32, 32, 4_000)) if not read_rate else 8_000
    first_ms = generator.choice((5, 50, 300))
    return Work(route, first_ms, events, gap_ms, size, body_bytes, upload_s, read_rate)


@dataclass(slots=True)
class Attempt:
    """One request of a caller; times in monotonic seconds.

    `status` is 0 without a response. `whole` is true if the response was complete.
    `sent_s` is infinite until the last byte was sent. `waited_from_s` is the end of the
    response before it on the connection, which the host may finish first. `abandoned`
    is true if the caller closed the connection itself, at the limit of a request.
    """

    request_id: str
    work: Work
    host: str
    begun_s: float
    deadline_s: float
    sent_s: float = float("inf")
    waited_from_s: float = 0.0
    ended_s: float = float("inf")
    status: int = 0
    whole: bool = False
    refused_connection: bool = False
    abandoned: bool = False
    body: bytearray = field(default_factory=bytearray)

    def list_event_ids(self) -> list[int]:
        """Return the ids of the complete events that arrived."""
        events = bytes(self.body).split(EVENT_END)[:-1]
        found = [EVENT_ID.match(event + b"\n") for event in events]
        return [int(match.group(1)) if match else -1 for match in found]

    def ends_inside_event(self) -> bool:
        """Return whether bytes follow the last complete event."""
        return bool(self.body) and not self.body.endswith(EVENT_END)
