"""Validate the requests of callers."""

from dataclasses import dataclass, field
from typing import Any

import orjson
import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError, field_validator
from returns.result import Failure, Result, Success

from cornelnotch.configuration import parse_labels
from cornelnotch.exceptions import RequestError
from cornelnotch.kernel import create_identifier, hash_text, parse_key_time

__all__ = ["CallerRequest", "parse_caller_request"]

MAX_DEADLINE_MS = 3_600_000
AFFINITY_CHARACTERS = 64
FORWARDED_HEADERS = ("content-type", "accept")


class CallerHeaders(BaseModel):
    """Request headers that control routing."""

    model_config = ConfigDict(populate_by_name=True)

    workspace: str = Field(
        alias="cornelnotch-workspace", pattern=r"^[A-Za-z0-9._-]{1,64}$"
    )
    labels: dict[str, str] = Field(
        default_factory=dict, alias="cornelnotch-labels", max_length=32
    )
    deadline_ms: int | None = Field(
        default=None, alias="cornelnotch-deadline-ms", gt=0, le=MAX_DEADLINE_MS
    )
    attempt: int | None = Field(default=None, alias="cornelnotch-attempt", ge=1)
    key: str | None = Field(default=None, alias="idempotency-key", max_length=64)

    @field_validator("labels", mode="before")
    @classmethod
    def parse_labels_header(cls, value: object) -> object:
        """Parse labels of the form ``name=value, name=value``."""
        return parse_labels(value) if isinstance(value, str) else value


class ChatMessage(BaseModel):
    """Message of a chat."""

    model_config = ConfigDict(extra="allow")

    role: str
    content: str | list[Any]


class ChatBody(BaseModel):
    """Body of a chat completion request."""

    model_config = ConfigDict(extra="allow")

    messages: list[ChatMessage] = Field(min_length=1)
    model: str | None = None
    stream: bool = False
    max_tokens: int | None = Field(default=None, ge=1)


@dataclass(slots=True)
class CallerRequest:
    """Validated request of a caller; `service` is None for chat completions."""

    request_id: str
    method: str
    target: str
    service: str | None
    workspace: str
    labels: dict[str, str]
    deadline_ms: int | None
    attempt: int | None
    key: str | None
    key_ms: float
    body: bytes
    stream: bool
    affinity: str
    headers: dict[str, str] = field(default_factory=dict)

    @property
    def is_first_attempt(self) -> bool:
        """Return whether the caller declared that it never sent this key before."""
        return self.attempt == 1

    @property
    def claim_key(self) -> str:
        """Return the idempotency key qualified by its workspace."""
        return f"{self.workspace}/{self.key}"

    def compute_fingerprint(self) -> str:
        """Return a hash that shows whether the key is reused for another request."""
        content = b"\x00".join([self.method.encode(), self.target.encode(), self.body])
        return xxhash.xxh3_128_hexdigest(content)


def _describe_error(error: ValidationError) -> tuple[str, str]:
    first = error.errors()[0]
    location = ".".join(str(part) for part in first["loc"])
    return location, str(first["msg"])


def _parse_headers(headers: dict[str, str]) -> Result[CallerHeaders, RequestError]:
    try:
        return Success(CallerHeaders.model_validate(headers))
    except ValidationError as error:
        name, message = _describe_error(error)
        if name == "cornelnotch-workspace" and name not in headers:
            message = "the header is missing"
        return Failure(
            RequestError(
                f"{name}: {message}", f"correct the {name} header", 400, "bad-header"
            )
        )


def _parse_chat(body: bytes) -> Result[ChatBody, RequestError]:
    try:
        content = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        problem = f"the body is not valid JSON: {error}"
        return Failure(RequestError(problem, "send JSON", 400, "bad-json"))
    try:
        return Success(ChatBody.model_validate(content))
    except ValidationError as error:
        name, message = _describe_error(error)
        return Failure(
            RequestError(f"{name or 'body'}: {message}", "correct the body", 422)
        )


def _parse_key_ms(key: str | None) -> Result[float, RequestError]:
    return Success(0.0) if key is None else parse_key_time(key)


def parse_caller_request(
    host: str,
    method: str,
    target: str,
    service: str | None,
    headers: dict[str, str],
    body: bytes,
) -> Result[CallerRequest, RequestError]:
    """Return the validated request, or the error that makes it invalid."""
    parsed = _parse_headers(headers)
    if isinstance(parsed, Failure):
        return parsed
    fields = parsed.unwrap()
    key_ms = _parse_key_ms(fields.key)
    if isinstance(key_ms, Failure):
        return key_ms
    stream = False
    affinity = ""
    if service is None:
        chat = _parse_chat(body)
        if isinstance(chat, Failure):
            return chat
        stream = chat.unwrap().stream
        affinity = _create_affinity(fields.workspace, chat.unwrap())
    return Success(
        CallerRequest(
            f"{host}.{create_identifier()}",
            method,
            target,
            service,
            fields.workspace,
            fields.labels,
            fields.deadline_ms,
            fields.attempt,
            fields.key,
            key_ms.unwrap(),
            body,
            stream,
            affinity,
            {n: headers[n] for n in FORWARDED_HEADERS if n in headers},
        )
    )


def _create_affinity(workspace: str, chat: ChatBody) -> str:
    """Return a hash of the prompt prefix that an engine may have cached."""
    content = str(chat.messages[0].content)[:AFFINITY_CHARACTERS]
    return f"{hash_text(f'{workspace}|{chat.model}|{content}'):016x}"
