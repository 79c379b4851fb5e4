"""Commands that run a simulated platform, engine or service."""

import asyncio
from typing import Protocol

import typer

from cornelnotch.kernel import create_clock
from cornelnotch.standins.engine import EngineProfile, EngineStandin
from cornelnotch.standins.platform import PlatformFaults, PlatformStandin
from cornelnotch.standins.service import ServiceProfile, ServiceStandin
from cornelnotch.web import parse_address

__all__ = ["register_commands"]

ADDRESS = typer.Option("127.0.0.1:0", help="address to listen on")


class Standin(Protocol):
    """Simulated server that serves until the process ends."""

    async def start(self, address: str, port: int) -> None:
        """Open the listening socket."""


async def _serve(standin: Standin, address: str) -> None:
    await standin.start(*parse_address(address))
    await asyncio.Event().wait()


def run_platform(
    address: str = ADDRESS,
    appends_per_second: float = typer.Option(400.0, help="limit of appends per second"),
    retention_ms: float = typer.Option(
        3_600_000.0, help="retention period of records in ms"
    ),
    host_list_lag_ms: float = typer.Option(
        0.0, help="delay of updates to the host list in ms"
    ),
) -> None:
    """Run an in-memory log service and host list."""
    faults = PlatformFaults(
        appends_per_second=appends_per_second,
        retention_ms=retention_ms,
        host_list_lag_ms=host_list_lag_ms,
    )
    asyncio.run(_serve(PlatformStandin(create_clock(), faults), address))


def run_engine(
    name: str = typer.Option("engine", help="name of the engine"),
    address: str = ADDRESS,
    batch: int = typer.Option(8, help="largest number of sequences in a batch"),
    token_ms: float = typer.Option(20.0, help="duration of one decoding step in ms"),
    prefill_ms: float = typer.Option(40.0, help="duration of the prefill in ms"),
) -> None:
    """Run a simulated engine with continuous batching."""
    profile = EngineProfile(batch=batch, token_ms=token_ms, prefill_ms=prefill_ms)
    asyncio.run(_serve(EngineStandin(name, create_clock(), profile), address))


def run_service(
    name: str = typer.Option("service", help="name of the service"),
    address: str = ADDRESS,
    work_ms: float = typer.Option(10.0, help="duration of one call in ms"),
) -> None:
    """Run a simulated service that counts the executions of each request."""
    profile = ServiceProfile(work_ms=work_ms)
    asyncio.run(_serve(ServiceStandin(name, create_clock(), profile), address))


def register_commands(program: typer.Typer) -> None:
    """Register the commands of this module."""
    group = typer.Typer(help="Run simulated external systems.")
    group.command("platform")(run_platform)
    group.command("engine")(run_engine)
    group.command("service")(run_service)
    program.add_typer(group, name="standin")
