"""HTTP clients of the log service and the host list."""

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
    HostListing,
    LogPage,
    LogRecord,
    LogService,
)
from cornelnotch.web import HttpClient

__all__ = ["HttpHostList", "HttpLogService"]

Response = TypeVar("Response", bound=msgspec.Struct)

STATUS_OK = 200
STATUS_NOT_MODIFIED = 304
STATUS_GONE = 410
READ_TIMEOUT_MARGIN_MS = 1500.0
CALL_TIMEOUT_MS = 2000.0


class AppendResponse(msgspec.Struct):
    """Schema of the response to an append."""

    offset: int


class RecordModel(msgspec.Struct):
    """Schema of one record."""

    offset: int
    time_ms: float
    body: str


class RecordsResponse(msgspec.Struct):
    """Schema of the response to a read."""

    records: list[RecordModel]
    earliest: int
    end: int


class TrimmedResponse(msgspec.Struct):
    """Schema of the response to a read of expired records."""

    earliest: int


class HostsResponse(msgspec.Struct):
    """Schema of the host list."""

    hosts: list[HostEntry]


@dataclass(frozen=True, slots=True)
class PlatformResponse:
    """A decoded response; `tag` is its ETag."""

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
) -> PlatformResponse:
    headers = {"if-none-match": tag} if tag else {}
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            response = await client.request(address, method, target, headers, body)
            content = await response.read()
            decoded = orjson.loads(content) if content else None
            return PlatformResponse(
                response.status, decoded, response.headers.get("etag", "")
            )
    except (UpstreamError, TimeoutError, orjson.JSONDecodeError) as error:
        raise LogUnavailableError(
            f"platform at {address} did not respond: {error!r}",
            "retry later",
        ) from error


def _convert_response(
    model: type[Response], response: PlatformResponse, address: str
) -> Response:
    try:
        return msgspec.convert(response.content, model)
    except msgspec.ValidationError as error:
        raise LogUnavailableError(
            f"platform at {address} sent a malformed response",
            "check that this is the address of the platform",
        ) from error


def _check_status(status: int, address: str) -> None:
    if status != STATUS_OK:
        raise LogUnavailableError(
            f"platform at {address} returned status {status}",
            "retry later",
        )


@register_plugin("log-service", "http")
class HttpLogService(LogService):
    """Client of the log service's HTTP interface."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = HttpClient()

    async def append(self, stream: str, body: bytes) -> int:
        """Append one record and return its offset."""
        target = f"/streams/{stream}/records"
        response = await _call(
            self._client, self._address, "POST", target, body, CALL_TIMEOUT_MS
        )
        _check_status(response.status, self._address)
        return _convert_response(AppendResponse, response, self._address).offset

    async def read(self, stream: str, offset: int, wait_ms: float = 0.0) -> LogPage:
        """Return records from `offset`, waiting up to `wait_ms` for the first."""
        target = f"/streams/{stream}/records?from={offset}&wait_ms={wait_ms:.0f}"
        response = await _call(
            self._client,
            self._address,
            "GET",
            target,
            b"",
            wait_ms + READ_TIMEOUT_MARGIN_MS,
        )
        if response.status == STATUS_GONE:
            trimmed = _convert_response(TrimmedResponse, response, self._address)
            raise LogTrimmedError(trimmed.earliest)
        _check_status(response.status, self._address)
        page = _convert_response(RecordsResponse, response, self._address)
        records = [
            LogRecord(r.offset, r.time_ms, r.body.encode()) for r in page.records
        ]
        return LogPage(records, page.earliest, page.end)


@register_plugin("host-list", "http")
class HttpHostList(HostList):
    """Client of the host list's HTTP interface."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = HttpClient()
        self._etag = ""
        self._cached_hosts = HostListing(())

    async def read(self) -> HostListing:
        """Return the list; an unchanged list is not transferred again."""
        response = await _call(
            self._client,
            self._address,
            "GET",
            "/hosts",
            b"",
            CALL_TIMEOUT_MS,
            self._etag,
        )
        if response.status == STATUS_NOT_MODIFIED:
            return self._cached_hosts
        _check_status(response.status, self._address)
        listed = _convert_response(HostsResponse, response, self._address)
        self._etag = response.tag
        self._cached_hosts = HostListing(tuple(listed.hosts))
        return self._cached_hosts
