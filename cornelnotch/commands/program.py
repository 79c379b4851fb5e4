"""Entry point of the command-line interface."""

import sys
from importlib import import_module

import typer

from cornelnotch.exceptions import CornelnotchError

__all__ = ["EXIT_BAD_INPUT", "program", "run_program"]

EXIT_BAD_INPUT = 2
COMMAND_MODULES = (
    "node",
    "platform",
    "config",
    "hosts",
    "duties",
    "burn",
    "load",
    "standin",
    "soak",
    "catalogue",
)

program = typer.Typer(
    name="cornelnotch",
    help="Route language-model traffic by service class, tier and deadline.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


def run_program() -> None:
    """Run the command line; print errors in one line that states the remedy."""
    for name in COMMAND_MODULES:
        import_module(f"cornelnotch.commands.{name}").register_commands(program)
    try:
        program()
    except CornelnotchError as error:
        print(f"cornelnotch: {error}", file=sys.stderr)
        sys.exit(EXIT_BAD_INPUT)
