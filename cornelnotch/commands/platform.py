"""Command that runs a host on the hosting platform."""

from pathlib import Path

import typer

__all__ = ["register_commands", "run_platform_host"]


def run_platform_host(
    settings: Path = typer.Argument(help="INI file of the host"),
) -> None:
    """Run one host on the hosting platform until it is asked to drain."""
    from cornelnotch.platform.program import run_host

    run_host(settings)


def register_commands(program: typer.Typer) -> None:
    """Register the commands of this module."""
    program.command("platform")(run_platform_host)
