"""Command that reports burn rates of the error budgets."""

import asyncio
from dataclasses import asdict
from enum import StrEnum

import orjson
import typer
from rich.console import Console
from rich.table import Table

from cornelnotch.commands.support import (
    HOSTS_OPTION,
    find_hosts,
    run_async,
)
from cornelnotch.configuration.publisher import read_history
from cornelnotch.exceptions import UpstreamError
from cornelnotch.logservice import HttpLogService
from cornelnotch.observation.burn import BurnReport, HostSample, compute_burn_report
from cornelnotch.web import HttpClient

__all__ = ["register_commands"]

READ_TIMEOUT_S = 2.0
EXIT_INCOMPLETE = 1


class BurnFormat(StrEnum):
    """Output format of the report."""

    TABLE = "table"
    JSON = "json"
    HTML = "html"


async def _read_metrics(client: HttpClient, address: str) -> HostSample:
    try:
        async with asyncio.timeout(READ_TIMEOUT_S):
            answer = await client.request(address, "GET", "/metrics")
            return HostSample(address, (await answer.read()).decode())
    except (UpstreamError, TimeoutError):
        return HostSample(address, None)


async def _create_report(hosts: list[str] | None, platform: str) -> BurnReport:
    history = await read_history(HttpLogService(platform))
    classes = history.state.configuration.classes
    objectives = {name: section.objective for name, section in classes.items()}
    client = HttpClient()
    addresses = await find_hosts(hosts, platform)
    samples = await asyncio.gather(*(_read_metrics(client, a) for a in addresses))
    client.close()
    return compute_burn_report(list(samples), objectives)


def _create_table(report: BurnReport) -> Table:
    table = Table(
        "class",
        "window",
        "objective",
        "ended",
        "attainment",
        "burn rate",
        "budget left",
    )
    for row in report.rows:
        table.add_row(
            row.class_name,
            f"{row.minutes} min",
            f"{row.objective:.1%}",
            str(row.total),
            f"{row.attainment:.1%}" if row.total else "-",
            f"{row.burn_rate:.2f}" if row.total else "-",
            f"{row.budget_left:.0%}" if row.total else "-",
        )
    return table


def show_burn(
    platform: str = typer.Option(..., help="address of the platform"),
    hosts: list[str] = HOSTS_OPTION,
    form: BurnFormat = typer.Option(BurnFormat.TABLE, "--format", help="output format"),
) -> None:
    """Print attainment, error budget and burn rate of every class."""
    report = run_async(_create_report(hosts, platform))
    if form is BurnFormat.JSON:
        print(orjson.dumps(asdict(report), option=orjson.OPT_INDENT_2).decode())
    else:
        console = Console(record=True, quiet=form is BurnFormat.HTML)
        console.print(_create_table(report))
        for address in report.silent:
            console.print(f"{address} did not respond; its requests are not counted")
        if form is BurnFormat.HTML:
            print(console.export_html())
    raise typer.Exit(EXIT_INCOMPLETE if report.silent else 0)


def register_commands(program: typer.Typer) -> None:
    """Register the commands of this module."""
    program.command("burn")(show_burn)
