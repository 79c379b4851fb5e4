"""Command that shows who holds the duties and what was written of late."""

import typer
from rich.console import Console
from rich.table import Table

from cornelnotch.commands.support import run_async
from cornelnotch.duties.store import StoredDuties
from cornelnotch.platform.duty_store import PlatformDutyStore
from cornelnotch.platform.store import PlatformStore
from cornelnotch.web import HttpClient, parse_address

__all__ = ["register_commands"]

STORE = typer.Option(..., "--store", help="address of the platform's store")


async def _read(address: str) -> StoredDuties:
    parse_address(address)
    client = HttpClient()
    try:
        return await PlatformDutyStore(PlatformStore(address, client)).read()
    finally:
        client.close()


def _describe_holder(found: StoredDuties) -> str:
    claim = found.log.claim
    if claim is None:
        return "no host has claimed the duties"
    if not claim.host:
        return f"the duties are released, last token {claim.token}"
    if claim.timeline != found.log.timeline:
        return f"the claim of {claim.host} ended with timeline {claim.timeline}"
    return f"holder {claim.host}, token {claim.token}, boot {claim.boot_ms} ms"


def show_duties(store: str = STORE) -> None:
    """Print the holder, its token, and the last windows from the store."""
    found = run_async(_read(store))
    print(_describe_holder(found))
    print(f"store timeline {found.log.timeline}, log end {found.log.end_offset}")
    if found.malformed:
        print(f"{found.malformed} malformed records; find out who wrote them")
    table = Table("window", "timeline", "workspaces", "requests")
    for entry in sorted(found.windows, key=lambda entry: entry.usage.window):
        counts = entry.usage.counts
        table.add_row(
            str(entry.usage.window),
            str(entry.timeline),
            str(len(counts)),
            str(sum(counts.values())),
        )
    Console().print(table)


def register_commands(program: typer.Typer) -> None:
    """Register the commands of this module."""
    group = typer.Typer(help="Duties that one host at a time has.")
    group.callback()(lambda: None)
    group.command("show")(show_duties)
    program.add_typer(group, name="duties")
