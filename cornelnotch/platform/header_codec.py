"""Translate between HTTP headers and the gateway's requests and responses."""

import re

from cornelnotch.exceptions import RequestError
from cornelnotch.gateway.header_codec import (
    DispatchOptions,
    HeaderCodec,
    PeerOptions,
    ResponseHead,
)
from cornelnotch.gateway.models import CallerRequest, Headers, PromptPart
from cornelnotch.kernel.parsing import parse_amount, parse_count
from cornelnotch.pressure.models import ServerLoad
from cornelnotch.web.targets import split_target

__all__ = ["PlatformHeaderCodec"]

REQUEST_ID = b"x-attempt-id"
DEADLINE = b"x-deadline-ms"
IDEMPOTENCY_KEY = b"x-key"
LAST_EVENT_ID = b"last-event-id"
RESUMED_ID = b"resumes"
TOKEN_USAGE = b"x-token-usage"
PROMPT_PREFIX = b"x-prompt-prefix"
TARGET_INSTANCE = b"x-target-instance"
TENANT = b"x-tenant"
PRIORITY = b"x-request-priority"
SIGNATURE = b"x-server-signature"
NOT_EXECUTED = b"x-not-executed"
# The server fetches the cached prefix of the prompt from another server before it
# prefills the rest.
PREFIX_SOURCE = b"kv-fetch"
# The KV cache of the request is replicated to the backup address; another server can
# resume the request from such a copy.
KV_BACKUP = b"x-kv-backup"
KV_SOURCE = b"kv-from"
RETRY_AFTER = b"retry-after"
CONTENT_TYPE = b"content-type"
EVENT_STREAM = "text/event-stream"
LEAVING = b"server-leaving"
LEAVING_VALUE = "1"
RATE_LIMIT = b"server-limit"
# Between hosts only: who passed a request on, to how many servers it may be sent, and
# the least version of the configuration to use. A caller that sends them only forgoes
# retries of its own request, or has it refused.
PASSED_BY = b"cornelnotch-passed-by"
ATTEMPTS_LEFT = b"cornelnotch-attempts-left"
LEAST_VERSION = b"cornelnotch-least-version"
MAX_ATTEMPTS = 1000
BRITTLE = b"server-brittle"
LOAD = b"x-server-load"
# Separators in a load that states the pace of its machine, too.
PACE_SEPARATORS = 3
# Running, waiting and slots; some servers add a pace, of which 100 is the usual one.
LOAD_FIGURES = (3, 4)
USUAL_PACE = 100.0
# Larger figures are absurd: no server has as many slots, or changes its pace as much.
MAX_LOAD_REQUESTS = 100_000
MAX_PACE_FACTOR = 100.0
DECIMAL_NUMBER = re.compile(r"\d+(\.\d*)?|\.\d+", re.ASCII)

# Hop-by-hop headers, which must not be forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    }
)
# Headers that only the gateway may set on requests to servers.
GATEWAY_HEADERS = frozenset(
    {
        IDEMPOTENCY_KEY,
        DEADLINE,
        TARGET_INSTANCE,
        TENANT,
        PRIORITY,
        b"x-cache-hold",
        b"x-pin-ms",
        KV_BACKUP,
        KV_SOURCE,
        PREFIX_SOURCE,
        b"x-expected-version",
        PASSED_BY,
        ATTEMPTS_LEFT,
        LEAST_VERSION,
    }
)
STATUS_MISDIRECTED = 421
STATUS_UNAVAILABLE = 503
MAX_PRIORITY = 9
# No model reads a prompt of this size, and sums over many prompts fit into messages.
MAX_TOKENS = 10**9
MS_PER_SECOND = 1000.0


def find_header(headers: Headers, name: bytes) -> str:
    """Return the first value of header `name`, or an empty string."""
    for key, value in headers:
        if key.lower() == name:
            return value.decode("latin-1").strip()
    return ""


def parse_deadline(text: str) -> float:
    """Return a deadline in ms, or 0 if it is missing or malformed."""
    return max(parse_amount(text) or 0.0, 0.0)


def parse_tokens(text: str) -> int:
    """Return a number of tokens, or 0 if it is malformed."""
    tokens = parse_amount(text) or 0.0
    return int(tokens) if 0 <= tokens <= MAX_TOKENS else 0


def parse_retry_after(status: int, text: str) -> float | None:
    """Return the Retry-After delay of a response in ms.

    Return 0 if the status is not 503 or `text` is empty, None if it is malformed.
    """
    if status != STATUS_UNAVAILABLE or not text:
        return 0.0
    seconds = parse_amount(text)
    return None if seconds is None or seconds < 0 else seconds * MS_PER_SECOND


def parse_rate_limit(text: str) -> float | None:
    """Return a number of requests per second, or None if it is malformed."""
    return parse_amount(text) if DECIMAL_NUMBER.fullmatch(text) else None


def parse_pace(text: str) -> float | None:
    """Return a pace as a factor, or None if it is malformed or absurd."""
    figure = parse_amount(text) if DECIMAL_NUMBER.fullmatch(text) else None
    if figure is None:
        return None
    factor = figure / USUAL_PACE
    return factor if 1.0 / MAX_PACE_FACTOR <= factor <= MAX_PACE_FACTOR else None


def parse_server_load(text: str) -> ServerLoad | None:
    """Return the load that a server states, or None if it is malformed or absurd."""
    figures = [figure.strip() for figure in text.split(",", max(LOAD_FIGURES))]
    if len(figures) not in LOAD_FIGURES:
        return None
    running, waiting, slots = (parse_count(f, MAX_LOAD_REQUESTS) for f in figures[:3])
    pace = parse_pace(figures[3]) if len(figures) > 3 else 1.0
    if running is None or waiting is None or not slots or pace is None:
        return None
    return ServerLoad(running, waiting, slots, pace)


def parse_prompt_segments(text: str) -> tuple[PromptPart, ...]:
    """Return the segments of a prompt in order, up to the first malformed one."""
    parts = []
    for entry in filter(None, text.split(",")):
        name, _, digits = entry.strip().partition(":")
        tokens = parse_count(digits, MAX_TOKENS)
        if tokens is None:
            break
        parts.append(PromptPart(name, tokens))
    return tuple(parts)


def drop_hop_by_hop_headers(headers: Headers) -> Headers:
    """Return `headers` without hop-by-hop headers."""
    listed = find_header(headers, b"connection").lower().encode("latin-1")
    dropped = HOP_BY_HOP_HEADERS | {name.strip() for name in listed.split(b",")}
    return [(k, v) for k, v in headers if k.lower() not in dropped]


def set_last_event_id(request: CallerRequest, last_event_id: str) -> Headers:
    """Return the headers of a request that goes on after `last_event_id`."""
    if last_event_id == request.last_event_id:
        return list(request.headers)
    headers = [(k, v) for k, v in request.headers if k.lower() != LAST_EVENT_ID]
    return [*headers, (LAST_EVENT_ID, last_event_id.encode("latin-1"))]


class PlatformHeaderCodec(HeaderCodec):
    """Read and write the headers defined by the platform."""

    def read_request(self, method: str, target: str, headers: Headers) -> CallerRequest:
        """Return the caller's request; raise RequestError if it is malformed."""
        request_id = find_header(headers, REQUEST_ID)
        if not request_id:
            raise RequestError("request id is missing", "send X-Attempt-Id")
        usage = find_header(headers, TOKEN_USAGE)
        prompt_tokens, _, output_tokens = usage.partition(",")
        forwarded = drop_hop_by_hop_headers(headers)
        return CallerRequest(
            request_id,
            method,
            target,
            find_header(headers, b"host").lower(),
            split_target(target).path,
            [(k, v) for k, v in forwarded if k.lower() not in GATEWAY_HEADERS],
            key=find_header(headers, IDEMPOTENCY_KEY),
            deadline_ms=parse_deadline(find_header(headers, DEADLINE)),
            last_event_id=find_header(headers, LAST_EVENT_ID),
            prompt=parse_prompt_segments(find_header(headers, PROMPT_PREFIX)),
            prompt_tokens=parse_tokens(prompt_tokens),
            output_tokens=parse_tokens(output_tokens),
            resumed_id=find_header(headers, RESUMED_ID),
            passed_by=find_header(headers, PASSED_BY),
            attempts_left=parse_count(find_header(headers, ATTEMPTS_LEFT), MAX_ATTEMPTS)
            or 0,
            least_version=parse_count(find_header(headers, LEAST_VERSION)) or 0,
        )

    def create_dispatch_headers(
        self, request: CallerRequest, options: DispatchOptions
    ) -> Headers:
        """Return the headers of one dispatch, without Content-Length."""
        headers = set_last_event_id(request, options.last_event_id)
        gateway_headers = [
            (DEADLINE, str(max(int(options.remaining_ms), 1)).encode()),
            (TARGET_INSTANCE, options.server.encode("latin-1")),
        ]
        if options.workspace:
            gateway_headers.append((TENANT, options.workspace.encode("latin-1")))
        if options.priority is not None:
            priority = min(max(options.priority, 0), MAX_PRIORITY)
            gateway_headers.append((PRIORITY, str(priority).encode()))
        if options.cache_source:
            gateway_headers.append(
                (PREFIX_SOURCE, options.cache_source.encode("latin-1"))
            )
        if options.backup_address:
            gateway_headers.append(
                (KV_BACKUP, options.backup_address.encode("latin-1"))
            )
        if options.kv_copy:
            gateway_headers.append((KV_SOURCE, options.kv_copy.encode("latin-1")))
        return [*headers, *gateway_headers]

    def create_peer_headers(
        self, request: CallerRequest, options: PeerOptions
    ) -> Headers:
        """Return the headers for another host, without the content length."""
        headers = set_last_event_id(request, options.last_event_id)
        is_continued = options.last_event_id != request.last_event_id
        if is_continued and not request.resumed_id:
            headers.append((RESUMED_ID, request.request_id.encode("latin-1")))
        if request.key:
            headers.append((IDEMPOTENCY_KEY, request.key.encode("latin-1")))
        return [
            *headers,
            (DEADLINE, str(max(int(options.remaining_ms), 1)).encode()),
            (PASSED_BY, options.host.encode("latin-1")),
            (ATTEMPTS_LEFT, str(options.attempts).encode()),
            (LEAST_VERSION, str(options.version).encode()),
        ]

    def read_response(self, status: int, headers: Headers) -> ResponseHead:
        """Return the status and headers of a server's response in decoded form."""
        misdirected = status == STATUS_MISDIRECTED
        retry_after = find_header(headers, RETRY_AFTER)
        retry_after_ms = parse_retry_after(status, retry_after)
        has_rate_limit = any(key.lower() == RATE_LIMIT for key, _ in headers)
        rate_limit = find_header(headers, RATE_LIMIT)
        per_second = parse_rate_limit(rate_limit) if has_rate_limit else None
        is_brittle = any(key.lower() == BRITTLE for key, _ in headers)
        brittle = find_header(headers, BRITTLE)
        rejections = parse_rate_limit(brittle) if is_brittle else None
        has_load = any(key.lower() == LOAD for key, _ in headers)
        load_text = find_header(headers, LOAD)
        load = parse_server_load(load_text) if has_load else None
        return ResponseHead(
            status,
            find_header(headers, REQUEST_ID),
            bool(find_header(headers, SIGNATURE)),
            misdirected or bool(find_header(headers, NOT_EXECUTED)),
            misdirected,
            drop_hop_by_hop_headers(headers),
            find_header(headers, LEAVING) == LEAVING_VALUE,
            retry_after_ms or 0.0,
            retry_after if retry_after_ms is None else "",
            per_second,
            has_rate_limit and per_second is None,
            rate_limit,
            find_header(headers, CONTENT_TYPE).split(";")[0].strip().lower()
            in {"", EVENT_STREAM},
            rejections,
            is_brittle and rejections is None,
            brittle,
            load,
            has_load and load is None,
            load_text,
            load is not None and load_text.count(",") == PACE_SEPARATORS,
        )

    def create_refusal_headers(
        self, request: CallerRequest | None, retry_after_ms: float | None
    ) -> Headers:
        """Return the headers of a response generated by the gateway itself."""
        headers = [(b"content-type", b"application/json")]
        if request is not None:
            headers.append((REQUEST_ID, request.request_id.encode("latin-1")))
        if retry_after_ms is not None:
            seconds = max(retry_after_ms, 0.0) / MS_PER_SECOND
            headers.append((RETRY_AFTER, f"{seconds:.3f}".encode()))
        return headers
