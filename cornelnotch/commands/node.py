"""Command that runs a node."""

import asyncio
import gc
import signal
from pathlib import Path

import typer

from cornelnotch.exceptions import SettingsError
from cornelnotch.kernel.log_output import LogOutput
from cornelnotch.node import create_node
from cornelnotch.settings import NodeSettings, read_node_settings

__all__ = ["register_commands", "run_node"]


async def serve_node(settings: NodeSettings) -> None:
    """Run a node until it has drained; SIGTERM starts the drain."""
    node = create_node(settings)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, node.start_drain)
    loop.add_signal_handler(signal.SIGINT, node.stopped.set)
    try:
        await node.start()
    except OSError as error:
        await node.stop()
        raise SettingsError(
            f"the host cannot listen: {error.strerror or error}",
            "set [node] http and peer to free addresses of this machine",
        ) from error
    # Objects created at startup live as long as the process; excludes them from
    # garbage collection.
    gc.collect()
    gc.freeze()
    await node.stopped.wait()
    await node.stop()


def run_node(settings: Path = typer.Argument(help="INI file of the node")) -> None:
    """Run one host until it is asked to drain."""
    parsed = read_node_settings(settings)
    content = parsed.value_or(None)
    if content is None:
        raise parsed.failure()
    logging = content.logging
    with LogOutput(content.node.name, logging.style, logging.level):
        asyncio.run(serve_node(content))


def register_commands(program: typer.Typer) -> None:
    """Register the commands of this module."""
    program.command("node")(run_node)
