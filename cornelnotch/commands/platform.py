"""Run a host on the users' platform."""

from pathlib import Path

import typer

__all__ = ["register_commands", "run_platform_host"]


def run_platform_host(
    settings: Path = typer.Argument(help="INI file of the host"),
) -> None:
    """Run one host on the platform until it is told to leave."""
    from cornelnotch.platform.program import run_host

    run_host(settings)


def register_commands(program: typer.Typer) -> None:
    """Add the commands of this module."""
    program.command("platform")(run_platform_host)
