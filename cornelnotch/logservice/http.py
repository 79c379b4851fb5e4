"""Reach the platform over HTTP."""

import asyncio
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec
import orjson

from cornelnotch.exceptions import (
    LogTrimmedError,
    LogUnavailableError,
    UpstreamError,
)
from cornelnotch.kernel import register_plugin
from cornelnotch.logservice.base import (
    HostEntry,
    HostList,
    LogPage,
    LogRecord,
    LogService,
    PlatformHosts,
)
from cornelnotch.web import HttpClient

__all__ = ["HttpHostList", "HttpLogService"]

Answer = TypeVar("Answer", bound=msgspec.Struct)

STATUS_OK = 200
STATUS_NOT_MODIFIED = 304
STATUS_GONE = 410
READ_MARGIN_MS = 1500.0
APPEND_TIMEOUT_MS = 2000.0


class AppendAnswer(msgspec.Struct):
    """Validate the answer to an append."""

    offset: int


class RecordAnswer(msgspec.Struct):
    """Validate one record."""

    offset: int
    time_ms: float
    body: str


class RecordsAnswer(msgspec.Struct):
    """Validate the answer to a read."""

    records: list[RecordAnswer]
    earliest: int
    end: int


class TrimmedAnswer(msgspec.Struct):
    """Validate the answer to a read past retention."""

    earliest: int


class HostsAnswer(msgspec.Struct):
    """Validate the host list."""

    hosts: list[HostEntry]


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """Hold what the platform answered."""

    status: int
    content: Any
    tag: str


async def _call(
    client: HttpClient,
    address: str,
    method: str,
    target: str,
    body: bytes,
    timeout_ms: float,
    tag: str = "",
) -> PlatformAnswer:
    headers = {"if-none-match": tag} if tag else {}
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            answer = await client.request(address, method, target, headers, body)
            content = await answer.read()
            decoded = orjson.loads(content) if content else None
            return PlatformAnswer(
                answer.status, decoded, answer.headers.get("etag", "")
            )
    except (UpstreamError, TimeoutError, orjson.JSONDecodeError) as error:
        raise LogUnavailableError(
            f"the platform at {address} does not answer: {error!r}",
            "wait until it answers again",
        ) from error


def _read_answer(model: type[Answer], answer: PlatformAnswer, address: str) -> Answer:
    try:
        return msgspec.convert(answer.content, model)
    except msgspec.ValidationError as error:
        raise LogUnavailableError(
            f"the platform at {address} sent a malformed answer",
            "check that the address is the platform's",
        ) from error


def _check_status(status: int, address: str) -> None:
    if status != STATUS_OK:
        raise LogUnavailableError(
            f"the platform at {address} answered {status}",
            "wait until it answers again",
        )


@register_plugin("log-service", "http")
class HttpLogService(LogService):
    """Use the log service's HTTP interface."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = HttpClient()

    async def append(self, stream: str, body: bytes) -> int:
        """Append one record and return its offset."""
        target = f"/streams/{stream}/records"
        answer = await _call(
            self._client, self._address, "POST", target, body, APPEND_TIMEOUT_MS
        )
        _check_status(answer.status, self._address)
        return _read_answer(AppendAnswer, answer, self._address).offset

    async def read(self, stream: str, offset: int, wait_ms: float = 0.0) -> LogPage:
        """Return records from `offset` on."""
        target = f"/streams/{stream}/records?from={offset}&wait_ms={wait_ms:.0f}"
        answer = await _call(
            self._client, self._address, "GET", target, b"", wait_ms + READ_MARGIN_MS
        )
        if answer.status == STATUS_GONE:
            trimmed = _read_answer(TrimmedAnswer, answer, self._address)
            raise LogTrimmedError(trimmed.earliest)
        _check_status(answer.status, self._address)
        page = _read_answer(RecordsAnswer, answer, self._address)
        records = [
            LogRecord(r.offset, r.time_ms, r.body.encode()) for r in page.records
        ]
        return LogPage(records, page.earliest, page.end)


@register_plugin("host-list", "http")
class HttpHostList(HostList):
    """Use the host list's HTTP interface."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = HttpClient()
        self._tag = ""
        self._known = PlatformHosts(())

    async def read(self) -> PlatformHosts:
        """Return the list; one that has not changed costs no transfer."""
        answer = await _call(
            self._client,
            self._address,
            "GET",
            "/hosts",
            b"",
            APPEND_TIMEOUT_MS,
            self._tag,
        )
        if answer.status == STATUS_NOT_MODIFIED:
            return self._known
        _check_status(answer.status, self._address)
        listed = _read_answer(HostsAnswer, answer, self._address)
        self._tag = answer.tag
        self._known = PlatformHosts(tuple(listed.hosts))
        return self._known
