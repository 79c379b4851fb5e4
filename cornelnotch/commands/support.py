"""Share helpers between commands."""

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
    "HostAnswer",
    "ask_hosts",
    "find_hosts",
    "run_async",
]

HOSTS_OPTION = typer.Option(None, "--host", help="address of a host; may repeat")
PLATFORM_OPTION = typer.Option(
    None, "--platform", help="address of the platform, which lists the hosts"
)
ASK_TIMEOUT_MS = 2000.0
ROUTER_ROLE = "router"

Value = TypeVar("Value")


@dataclass(frozen=True, slots=True)
class HostAnswer:
    """Hold what one host answered; `content` is None when it did not."""

    host: str
    address: str
    content: Any


def run_async(work: Coroutine[Any, Any, Value]) -> Value:
    """Run one coroutine to its end."""
    return asyncio.run(work)


async def find_hosts(addresses: list[str] | None, platform: str | None) -> list[str]:
    """Return the hosts' addresses; raise SettingsError when there are none."""
    if addresses:
        return addresses
    if platform is None:
        raise SettingsError("no host is named", "give --host or --platform")
    listed = await HttpHostList(platform).read()
    found = [e.http for e in listed.entries if e.role == ROUTER_ROLE]
    if not found:
        raise SettingsError("the platform lists no host", "start a node or give --host")
    return found


async def ask_hosts(
    addresses: list[str], target: str, method: str = "GET"
) -> list[HostAnswer]:
    """Return every host's answer to `target`, in the order of `addresses`."""
    client = HttpClient()

    async def ask(address: str) -> HostAnswer:
        try:
            answer = await client.request_json(
                address, method, target, timeout_ms=ASK_TIMEOUT_MS
            )
        except (UpstreamError, CornelnotchError):
            return HostAnswer("", address, None)
        status, content = answer
        return HostAnswer("", address, content if status < 400 else None)

    try:
        return list(await asyncio.gather(*(ask(a) for a in addresses)))
    finally:
        client.close()
