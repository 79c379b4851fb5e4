"""Helpers shared by the commands."""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any, TypeVar

import typer

from cornelnotch.exceptions import (
    CornelnotchError,
    SettingsError,
    UpstreamError,
)
from cornelnotch.logservice import HttpHostList
from cornelnotch.web import HttpClient

__all__ = [
    "HOSTS_OPTION",
    "PLATFORM_OPTION",
    "HostResponse",
    "find_hosts",
    "request_from_hosts",
    "run_async",
]

HOSTS_OPTION = typer.Option(None, "--host", help="address of a host; may be repeated")
PLATFORM_OPTION = typer.Option(
    None, "--platform", help="address of the platform, which lists the hosts"
)
REQUEST_TIMEOUT_MS = 2000.0
ROUTER_ROLE = "router"

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class HostResponse:
    """Response of one host; `content` is None if it failed or did not respond."""

    host: str
    address: str
    content: Any


def run_async(work: Coroutine[Any, Any, Value]) -> Value:
    """Run a coroutine and return its result."""
    return asyncio.run(work)


async def find_hosts(addresses: list[str] | None, platform: str | None) -> list[str]:
    """Return the addresses of the hosts; raise SettingsError if there are none."""
    if addresses:
        return addresses
    if platform is None:
        raise SettingsError("no host is given", "use --host or --platform")
    host_list = await HttpHostList(platform).read()
    found = [e.http for e in host_list.entries if e.role == ROUTER_ROLE]
    if not found:
        raise SettingsError("the platform lists no host", "start a node or use --host")
    return found


async def request_from_hosts(
    addresses: list[str], target: str, method: str = "GET"
) -> list[HostResponse]:
    """Request `target` from all hosts; return responses in order of `addresses`."""
    client = HttpClient()

    async def request_from_host(address: str) -> HostResponse:
        try:
            response = await client.request_json(
                address, method, target, timeout_ms=REQUEST_TIMEOUT_MS
            )
        except (UpstreamError, CornelnotchError):
            return HostResponse("", address, None)
        status, content = response
        return HostResponse("", address, content if status < 400 else None)

    try:
        return list(await asyncio.gather(*(request_from_host(a) for a in addresses)))
    finally:
        client.close()
