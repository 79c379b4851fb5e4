"""Commands that run soaks of real processes."""

from pathlib import Path
from tempfile import mkdtemp

import typer

from cornelnotch.commands.support import run_async

__all__ = ["register_commands"]

EXIT_VIOLATED = 1


def create_folder(folder: Path | None) -> Path:
    """Return `folder`, or a new temporary folder, as an existing folder."""
    path = folder or Path(mkdtemp(prefix="cornelnotch-soak-"))
    path.mkdir(parents=True, exist_ok=True)
    return path


def run_stop_soak(
    seed: int = typer.Option(1, help="seed of the plan and the load"),
    seconds: float = typer.Option(60.0, help="duration in seconds"),
    hosts: int = typer.Option(None, help="number of hosts; drawn if absent"),
    grace: float = typer.Option(None, help="grace period in seconds; drawn if absent"),
    long_replies: bool = typer.Option(
        False, "--long-replies", help="streams during stops are longer than all before"
    ),
    commit: str = typer.Option(None, "--build", help="commit that all hosts run"),
    repository: Path = typer.Option(Path(), help="work tree that has the commit"),
    folder: Path = typer.Option(None, help="folder of the hosts' logs"),
) -> None:
    """Stop hosts of a local fleet under load and check what callers get."""
    # Only this command needs the platform's simulated servers.
    from cornelnotch.soak.builds import CURRENT_BUILD, BuildPair, export_build
    from cornelnotch.soak.plan import create_plan, lengthen_replies
    from cornelnotch.soak.stops import run_stops

    path = create_folder(folder)
    plan = create_plan(seed, seconds, hosts, grace)
    if long_replies:
        plan = lengthen_replies(plan)
    build = CURRENT_BUILD
    if commit is not None:
        build = export_build(commit, repository, path.resolve() / "build")
    builds = BuildPair(build, build)
    verdict = run_async(
        run_stops(plan, path, lambda line: print(line, flush=True), builds)
    )
    print(f"logs: {path}")
    raise typer.Exit(EXIT_VIOLATED if verdict.findings else 0)


def run_upgrade_soak(
    commit: str = typer.Option(..., "--from", help="commit of the build in service"),
    repository: Path = typer.Option(Path(), help="work tree that has the commit"),
    seed: int = typer.Option(1, help="seed of the plan and the load"),
    hosts: int = typer.Option(None, help="number of hosts; drawn if absent"),
    grace: float = typer.Option(None, help="grace period in seconds; drawn if absent"),
    folder: Path = typer.Option(None, help="folder of the old build and hosts' logs"),
) -> None:
    """Replace hosts of an old build by this one under load and check responses."""
    from cornelnotch.soak.builds import BuildPair, export_build
    from cornelnotch.soak.stops import run_stops
    from cornelnotch.soak.upgrades import create_upgrade_plan

    path = create_folder(folder)
    plan = create_upgrade_plan(seed, hosts, grace)
    builds = BuildPair(export_build(commit, repository, path.resolve() / "old"))
    verdict = run_async(
        run_stops(plan, path, lambda line: print(line, flush=True), builds)
    )
    print(f"logs: {path}")
    raise typer.Exit(EXIT_VIOLATED if verdict.findings else 0)


def run_copy_soak(
    seed: int = typer.Option(1, help="seed of the plan and the load"),
    seconds: float = typer.Option(60.0, help="duration in seconds"),
    hosts: int = typer.Option(3, help="number of hosts"),
    engines: int = typer.Option(5, help="number of engines"),
    commit: str = typer.Option(None, "--build", help="commit that all hosts run"),
    repository: Path = typer.Option(Path(), help="work tree that has the commit"),
    folder: Path = typer.Option(None, help="folder of logs and records"),
) -> None:
    """Disturb engines under load and check that no request runs at two of them."""
    from cornelnotch.soak.builds import CURRENT_BUILD, export_build
    from cornelnotch.soak.copies.plan import create_copy_plan
    from cornelnotch.soak.copies.run import run_copies

    path = create_folder(folder)
    plan = create_copy_plan(seed, seconds, hosts, engines)
    build = CURRENT_BUILD
    if commit is not None:
        build = export_build(commit, repository, path.resolve() / "build")
    verdict = run_async(
        run_copies(plan, path, lambda line: print(line, flush=True), build)
    )
    print(f"logs: {path}")
    has_failed = verdict.violations or verdict.errors
    raise typer.Exit(EXIT_VIOLATED if has_failed else 0)


def register_commands(program: typer.Typer) -> None:
    """Register the commands of this module."""
    group = typer.Typer(help="Run seeded soaks of real processes.")
    group.command("stops")(run_stop_soak)
    group.command("upgrade")(run_upgrade_soak)
    group.command("copies")(run_copy_soak)
    program.add_typer(group, name="soak")
