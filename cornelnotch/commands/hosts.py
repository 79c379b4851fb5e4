"""Ask running hosts: entry, explain and drain."""

import typer

from cornelnotch.commands.support import (
    HOSTS_OPTION,
    PLATFORM_OPTION,
    ask_hosts,
    find_hosts,
    run_async,
)
from cornelnotch.exceptions import RequestError, UpstreamError

__all__ = ["register_commands"]


async def _ask_entry(
    workspace: str, place: str | None, hosts: list[str] | None, platform: str | None
) -> None:
    target = f"/v1/entry?workspace={workspace}" + (f"&place={place}" if place else "")
    for address in await find_hosts(hosts, platform):
        (answer,) = await ask_hosts([address], target)
        if answer.content is not None:
            print("\n".join(answer.content["addresses"]))
            print(f"# valid for {answer.content['ttl_ms']:.0f} ms")
            return
    raise UpstreamError("no host answered", "check that a host runs")


def show_entry(
    workspace: str = typer.Argument(..., help="workspace of the caller"),
    place: str = typer.Option(None, help="place of the caller"),
    hosts: list[str] = HOSTS_OPTION,
    platform: str = PLATFORM_OPTION,
) -> None:
    """Print the addresses that a workspace's callers should use."""
    run_async(_ask_entry(workspace, place, hosts, platform))


async def _explain(
    request_id: str, hosts: list[str] | None, platform: str | None
) -> None:
    addresses = await find_hosts(hosts, platform)
    answers = await ask_hosts(addresses, f"/v1/explain/{request_id}")
    known = [a.content for a in answers if a.content is not None]
    if not known:
        raise RequestError(
            f"none of {len(answers)} hosts knows {request_id}",
            "ask soon after the request, while the host that its id names runs",
        )
    for content in sorted(known, key=lambda c: not c["decisions"]):
        _print_decisions(content["host"], "took the request", content["decisions"])
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
    """Tell why a request was queued, refused or routed."""
    run_async(_explain(request_id, hosts, platform))


async def _drain(address: str) -> None:
    (answer,) = await ask_hosts([address], "/v1/drain", "POST")
    if answer.content is None:
        raise UpstreamError(f"{address} did not answer", "check that the host runs")
    print(f"{address}: draining; it ends when its last stream has ended")


def drain_host(address: str = typer.Argument(..., help="address of the host")) -> None:
    """Tell a host to leave without cutting a request."""
    run_async(_drain(address))


def register_commands(program: typer.Typer) -> None:
    """Add the commands of this module."""
    program.command("entry")(show_entry)
    program.command("explain")(explain_request)
    program.command("drain")(drain_host)
