"""Commands that check, publish and show the configuration."""

import asyncio
from pathlib import Path

import typer
from rich.console import Console
from rich.table import Table

from cornelnotch.commands.check import check_file
from cornelnotch.commands.support import (
    HOSTS_OPTION,
    PLATFORM_OPTION,
    find_hosts,
    request_from_hosts,
    run_async,
)
from cornelnotch.configuration import Change
from cornelnotch.configuration.publisher import (
    PublishResult,
    publish_change,
    read_history,
)
from cornelnotch.exceptions import ConfigurationError, SettingsError
from cornelnotch.kernel import create_clock, create_identifier
from cornelnotch.logservice import HttpLogService

__all__ = ["register_commands"]

IN_FORCE_TIMEOUT_S = 8.0
POLL_INTERVAL_S = 0.1
EXIT_NOT_IN_FORCE = 1
PLATFORM = typer.Option(..., "--platform", help="address of the platform")
FILE = typer.Argument(..., help="INI file with the sections to set or remove")


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(
            f"{path} cannot be read: {error}", "give the path of a readable file"
        ) from error


async def _publish(
    path: Path, platform: str, base: int | None, author: str
) -> PublishResult:
    log = HttpLogService(platform)
    if base is None:
        base = (await read_history(log)).state.version
    change = Change(create_identifier(), base, _read_text(path), author)
    return await publish_change(log, create_clock(), change)


async def _wait_in_force(addresses: list[str], version: int) -> dict[str, int | None]:
    """Return the version of each host once all have it, or after the timeout."""
    versions: dict[str, int | None] = {}
    for _ in range(int(IN_FORCE_TIMEOUT_S / POLL_INTERVAL_S)):
        responses = await request_from_hosts(addresses, "/status")
        versions = {
            a.address: a.content["version"] if a.content else None for a in responses
        }
        if all(v is not None and v >= version for v in versions.values()):
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    return versions


async def _publish_and_wait(
    path: Path, platform: str, base: int | None, author: str
) -> int:
    published = await _publish(path, platform, base, author)
    if not published.accepted:
        raise ConfigurationError(
            f"offset {published.offset} was rejected: {published.reason}",
            "read the current version and publish again",
        )
    print(f"accepted as version {published.offset}")
    addresses = await find_hosts(None, platform)
    versions = await _wait_in_force(addresses, published.offset)
    code = 0
    for address, version in versions.items():
        if version is not None and version >= published.offset:
            print(f"{address}: in force")
            continue
        code = EXIT_NOT_IN_FORCE
        shown = "no response" if version is None else f"still at version {version}"
        print(f"{address}: {shown}")
    return code


def publish_file(
    path: Path = FILE,
    platform: str = PLATFORM,
    base: int = typer.Option(None, help="version the change is based on"),
    author: str = typer.Option("", help="name kept with the change"),
) -> None:
    """Publish a change and wait until it is in force on every host."""
    code = run_async(_publish_and_wait(path, platform, base, author))
    raise typer.Exit(code)


def show_current(platform: str = PLATFORM) -> None:
    """Print the configuration in force as INI."""
    state = run_async(read_history(HttpLogService(platform))).state
    print(f"# version {state.version}")
    for name in sorted(state.sections):
        print(f"[{name}]")
        for key, value in state.sections[name].values.items():
            print(f"{key} = {value}")


def show_history(platform: str = PLATFORM) -> None:
    """Print every readable record and whether it was accepted."""
    table = Table("offset", "kind", "author", "verdict", "reason")
    for entry in run_async(read_history(HttpLogService(platform))).entries:
        verdict = "accepted" if entry.accepted else "rejected"
        if entry.kind == "snapshot":
            verdict = "-"
        table.add_row(
            str(entry.offset), entry.kind, entry.author, verdict, entry.reason
        )
    Console().print(table)


async def _print_status(hosts: list[str] | None, platform: str | None) -> int:
    responses = await request_from_hosts(await find_hosts(hosts, platform), "/status")
    table = Table("host", "address", "version", "ready", "reason", "log age")
    for response in responses:
        content = response.content
        if content is None:
            table.add_row("?", response.address, "?", "no response", "", "")
            continue
        table.add_row(
            content["host"],
            response.address,
            str(content["version"]),
            "yes" if content["ready"] else "no",
            content["reason"] or ("draining" if content["draining"] else ""),
            f"{content['log_age_ms'] / 1000:.1f} s",
        )
    Console().print(table)
    return 0 if all(a.content and a.content["ready"] for a in responses) else 1


def show_status(
    hosts: list[str] = HOSTS_OPTION, platform: str = PLATFORM_OPTION
) -> None:
    """Print the configuration version in force on each host."""
    raise typer.Exit(run_async(_print_status(hosts, platform)))


def register_commands(program: typer.Typer) -> None:
    """Register the commands of this module."""
    group = typer.Typer(help="Check, publish and show the configuration.")
    group.command("check")(check_file)
    group.command("publish")(publish_file)
    group.command("show")(show_current)
    group.command("history")(show_history)
    group.command("status")(show_status)
    program.add_typer(group, name="config")
