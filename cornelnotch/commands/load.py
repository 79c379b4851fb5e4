"""Commands that run load tests and compare their results."""

from pathlib import Path

import typer
from rich.console import Console
from rich.table import Table

from cornelnotch.commands.support import (
    HOSTS_OPTION,
    PLATFORM_OPTION,
    find_hosts,
    run_async,
)
from cornelnotch.exceptions import SettingsError
from cornelnotch.kernel import create_clock, set_up_logging
from cornelnotch.load.generator import FleetAddresses, LoadGenerator
from cornelnotch.load.results import (
    RunResult,
    check_guarantees,
    read_result,
    summarize_classes,
    write_result,
)
from cornelnotch.load.scenario import Scenario, read_scenario

__all__ = ["register_commands"]

EXIT_VIOLATED = 1
DEMO_SCENARIOS = ("heelmark", "guild")
ENGINES = typer.Option(None, "--engine", help="NAME=ADDRESS of a simulated engine")
SERVICES = typer.Option(None, "--service", help="NAME=ADDRESS of a simulated service")


def _load_scenario(path: Path) -> Scenario:
    parsed = read_scenario(path)
    scenario = parsed.value_or(None)
    if scenario is None:
        raise parsed.failure()
    return scenario


def _parse_names(pairs: list[str] | None) -> dict[str, str]:
    names = {}
    for pair in pairs or []:
        name, separator, address = pair.partition("=")
        if not separator:
            raise SettingsError(f"{pair!r} is not NAME=ADDRESS", "add the name")
        names[name] = address
    return names


def print_summary(result: RunResult) -> int:
    """Print the summary of a run; return the number of violated guarantees."""
    console = Console()
    table = Table(
        "class",
        "calls",
        "complete",
        "attained",
        "first token p95",
        "whole p95",
        title=f"{result.name}, seed {result.seed}",
    )
    for row in summarize_classes(result):
        table.add_row(
            row.class_name,
            str(row.calls),
            str(row.complete),
            f"{row.attainment:.1%}",
            f"{row.first_token_p95_ms:.0f} ms",
            f"{row.whole_p95_ms:.0f} ms",
        )
    console.print(table)
    guarantees = check_guarantees(result)
    console.print(
        f"goodput {guarantees.goodput_per_second:.0f} tokens/s, "
        f"wasted tokens {guarantees.wasted_share:.2%}"
    )
    console.print(
        f"violated guarantees: doubled {guarantees.doubled}, lost {guarantees.lost}, "
        f"wrong answers {guarantees.wrong_answers}, "
        f"false not-run {guarantees.false_not_run}, "
        f"version reversals {guarantees.version_reversals}"
    )
    for note in result.notes:
        console.print(f"note: {note}")
    return guarantees.violations


async def _run_scenario(
    scenario: Scenario,
    hosts: list[str] | None,
    platform: str | None,
    engines: dict[str, str],
    services: dict[str, str],
) -> RunResult:
    addresses = await find_hosts(hosts, platform)
    fleet = FleetAddresses(addresses, platform or "", engines, services)
    return await LoadGenerator(scenario, fleet, create_clock()).run(print)


def run_load(
    scenario: Path = typer.Argument(
        ..., help="scenario file or name of a bundled scenario"
    ),
    hosts: list[str] = HOSTS_OPTION,
    platform: str = PLATFORM_OPTION,
    engines: list[str] = ENGINES,
    services: list[str] = SERVICES,
    output: Path = typer.Option(None, help="result file to write"),
    page: Path = typer.Option(None, help="report page to write"),
) -> None:
    """Generate the load of a scenario on a running fleet."""
    content = _load_scenario(scenario)
    result = run_async(
        _run_scenario(
            content, hosts, platform, _parse_names(engines), _parse_names(services)
        )
    )
    _write_outputs(result, output, page)
    broken = print_summary(result)
    raise typer.Exit(EXIT_VIOLATED if broken else 0)


def _write_outputs(result: RunResult, output: Path | None, page: Path | None) -> None:
    if output is not None:
        write_result(result, output)
    if page is not None:
        from cornelnotch.load.report import write_page

        write_page([result], page)


def compare_runs(
    first: Path = typer.Argument(..., help="result file"),
    second: Path = typer.Argument(..., help="result file"),
    page: Path = typer.Option(None, help="report page to write"),
) -> None:
    """Print the summaries of two runs."""
    results = [read_result(first), read_result(second)]
    for result in results:
        print_summary(result)
    if page is not None:
        from cornelnotch.load.report import write_page

        write_page(results, page)


async def _run_demo(name: str, seconds: float) -> RunResult:
    # Only the demo needs nodes and simulated servers in one process.
    from cornelnotch.load.embedded import create_in_process_fleet

    scenario = _load_scenario(Path(name))
    general = scenario.general.model_copy(update={"duration_s": seconds})
    scenario = scenario.model_copy(update={"general": general})
    clock = create_clock()
    fleet = create_in_process_fleet(name, clock)
    try:
        print(f"{name}: starting platform, servers and hosts")
        addresses = await fleet.start()
        return await LoadGenerator(scenario, addresses, clock).run(
            lambda line: print(f"{name}: {line}", flush=True)
        )
    finally:
        await fleet.stop()


def run_demo(
    seconds: float = typer.Option(20.0, help="duration of each run in seconds"),
    page: Path = typer.Option(None, help="report page to write"),
) -> None:
    """Run both sample deployments in one process and check all guarantees."""
    set_up_logging(level="ERROR")
    results = [run_async(_run_demo(name, seconds)) for name in DEMO_SCENARIOS]
    broken = sum(print_summary(result) for result in results)
    if page is not None:
        from cornelnotch.load.report import write_page

        write_page(results, page)
    print("all guarantees held" if not broken else f"{broken} guarantees violated")
    raise typer.Exit(EXIT_VIOLATED if broken else 0)


def register_commands(program: typer.Typer) -> None:
    """Register the commands of this module."""
    program.command("load")(run_load)
    program.command("compare")(compare_runs)
    program.command("demo")(run_demo)
