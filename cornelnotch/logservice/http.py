"""Reach the platform over HTTP."""

import asyncio
from typing import Any

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

STATUS_OK = 200
STATUS_GONE = 410
READ_MARGIN_MS = 1500.0
APPEND_TIMEOUT_MS = 2000.0


async def _call(
    client: HttpClient,
    address: str,
    method: str,
    target: str,
    body: bytes,
    timeout_ms: float,
) -> tuple[int, Any]:
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            answer = await client.request(address, method, target, {}, body)
            content = await answer.read()
            return answer.status, orjson.loads(content)
    except (UpstreamError, TimeoutError, orjson.JSONDecodeError) as error:
        raise LogUnavailableError(
            f"the platform at {address} does not answer: {error!r}",
            "wait until it answers again",
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
        status, content = await _call(
            self._client, self._address, "POST", target, body, APPEND_TIMEOUT_MS
        )
        _check_status(status, self._address)
        return int(content["offset"])

    async def read(self, stream: str, offset: int, wait_ms: float = 0.0) -> LogPage:
        """Return records from `offset` on."""
        target = f"/streams/{stream}/records?from={offset}&wait_ms={wait_ms:.0f}"
        status, content = await _call(
            self._client, self._address, "GET", target, b"", wait_ms + READ_MARGIN_MS
        )
        if status == STATUS_GONE:
            raise LogTrimmedError(int(content["earliest"]))
        _check_status(status, self._address)
        records = [
            LogRecord(int(r["offset"]), float(r["time_ms"]), r["body"].encode())
            for r in content["records"]
        ]
        return LogPage(records, int(content["earliest"]), int(content["end"]))


@register_plugin("host-list", "http")
class HttpHostList(HostList):
    """Use the host list's HTTP interface."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._client = HttpClient()

    async def read(self) -> PlatformHosts:
        """Return the list."""
        status, content = await _call(
            self._client, self._address, "GET", "/hosts", b"", APPEND_TIMEOUT_MS
        )
        _check_status(status, self._address)
        entries = tuple(HostEntry(**entry) for entry in content["hosts"])
        return PlatformHosts(entries)
