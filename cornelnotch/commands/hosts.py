"""Commands that query or drain running hosts."""

import typer

from cornelnotch.commands.support import (
    HOSTS_OPTION,
    PLATFORM_OPTION,
    find_hosts,
    request_from_hosts,
    run_async,
)
from cornelnotch.exceptions import RequestError, UpstreamError

__all__ = ["register_commands"]


async def _print_entry(
    workspace: str, place: str | None, hosts: list[str] | None, platform: str | None
) -> None:
    target = f"/v1/entry?workspace={workspace}" + (f"&place={place}" if place else "")
    for address in await find_hosts(hosts, platform):
        (response,) = await request_from_hosts([address], target)
        if response.content is not None:
            print("\n".join(response.content["addresses"]))
            print(f"# valid for {response.content['ttl_ms']:.0f} ms")
            return
    raise UpstreamError("no host responded", "check that a host is running")


def show_entry(
    workspace: str = typer.Argument(..., help="workspace of the caller"),
    place: str = typer.Option(None, help="failure domain of the caller"),
    hosts: list[str] = HOSTS_OPTION,
    platform: str = PLATFORM_OPTION,
) -> None:
    """Print the addresses that callers of a workspace should use."""
    run_async(_print_entry(workspace, place, hosts, platform))


async def _explain(
    request_id: str, hosts: list[str] | None, platform: str | None
) -> None:
    addresses = await find_hosts(hosts, platform)
    responses = await request_from_hosts(addresses, f"/v1/explain/{request_id}")
    found = [a.content for a in responses if a.content is not None]
    if not found:
        raise RequestError(
            f"none of {len(responses)} hosts has a trace of {request_id}",
            "ask soon after the request, while the host named in its id is running",
        )
    for content in sorted(found, key=lambda c: not c["decisions"]):
        _print_decisions(content["host"], "received the request", content["decisions"])
        _print_decisions(content["host"], "dispatched it", content["dispatched"])


def _print_decisions(host: str, role: str, decisions: list[dict]) -> None:
    if not decisions:
        return
    print(f"{host} {role}:")
    for decision in decisions:
        details = dict(decision["details"])
        considered = details.pop("considered", {})
        shown = "  ".join(f"{name}={value}" for name, value in details.items())
        print(f"{decision['at_ms']:10.1f} ms  {decision['stage']:12} {shown}")
        for server, state in considered.items():
            print(f"{'':15}{server}: {state}")


def explain_request(
    request_id: str = typer.Argument(..., help="value of Cornelnotch-Request-Id"),
    hosts: list[str] = HOSTS_OPTION,
    platform: str = PLATFORM_OPTION,
) -> None:
    """Print why a request was queued, refused or routed."""
    run_async(_explain(request_id, hosts, platform))


async def _drain(address: str) -> None:
    (response,) = await request_from_hosts([address], "/v1/drain", "POST")
    if response.content is None:
        raise UpstreamError(
            f"{address} did not respond", "check that the host is running"
        )
    print(f"{address}: draining; the host stops after its last stream")


def drain_host(address: str = typer.Argument(..., help="address of the host")) -> None:
    """Drain a host: it finishes its running requests, then stops."""
    run_async(_drain(address))


def register_commands(program: typer.Typer) -> None:
    """Register the commands of this module."""
    program.command("entry")(show_entry)
    program.command("explain")(explain_request)
    program.command("drain")(drain_host)
