"""Commands that run soaks of real processes."""

from pathlib import Path
from tempfile import mkdtemp

import typer

from cornelnotch.commands.support import run_async

__all__ = ["register_commands"]

EXIT_VIOLATED = 1


def run_stop_soak(
    seed: int = typer.Option(1, help="seed of the plan and the load"),
    seconds: float = typer.Option(60.0, help="duration in seconds"),
    hosts: int = typer.Option(None, help="number of hosts; drawn if absent"),
    grace: float = typer.Option(None, help="grace period in seconds; drawn if absent"),
    folder: Path = typer.Option(None, help="folder of the hosts' logs"),
) -> None:
    """Stop hosts of a local fleet under load and check what callers get."""
    # Only this command needs the platform's simulated servers.
    from cornelnotch.soak.plan import create_plan
    from cornelnotch.soak.stops import run_stops

    path = folder or Path(mkdtemp(prefix="cornelnotch-soak-"))
    path.mkdir(parents=True, exist_ok=True)
    plan = create_plan(seed, seconds, hosts, grace)
    verdict = run_async(run_stops(plan, path, lambda line: print(line, flush=True)))
    print(f"logs: {path}")
    raise typer.Exit(EXIT_VIOLATED if verdict.findings else 0)


def register_commands(program: typer.Typer) -> None:
    """Register the commands of this module."""
    group = typer.Typer(help="Run seeded soaks of real processes.")
    # With a callback, the only command keeps its name.
    group.callback()(lambda: None)
    group.command("stops")(run_stop_soak)
    program.add_typer(group, name="soak")
