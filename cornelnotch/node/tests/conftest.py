"""Fixtures that run a fleet of separate processes."""

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from cornelnotch.testing.processes import ProcessFleet
from cornelnotch.testing.samples import (
    create_sample_configuration,
    create_server_section,
)

Scenario = Callable[[ProcessFleet], Awaitable[None]]

FAST_TIMING = "[timing]\nentry_ttl_ms = 1000\n"
FAST_MEMBERSHIP = "period_ms = 200\nsuspicion_ms = 800\nlisting_ms = 300\n"


async def start_sample_fleet(
    fleet: ProcessFleet,
    hosts: int = 3,
    engines: int = 2,
    services: int = 1,
    slots: int = 8,
) -> None:
    """Start a small fleet with the sample configuration and wait until it is ready."""
    fleet.settings = FAST_TIMING
    fleet.membership = FAST_MEMBERSHIP
    await fleet.start_platform()
    await asyncio.gather(
        *(
            fleet.start_engine(f"engine-{n}", "--batch", str(slots))
            for n in range(engines)
        ),
        *(fleet.start_service(f"desk-{n}") for n in range(services)),
        *(fleet.start_host(f"host-{n}") for n in range(hosts)),
    )
    sections = ""
    for server in fleet.servers.values():
        pool = "cobbler-assist" if server.name.startswith("engine") else "counter-desk"
        sections += create_server_section(server.name, pool, server.http, slots=slots)
    version = await fleet.publish(create_sample_configuration(sections))
    await fleet.wait_ready(version)


@pytest.fixture
def run_fleet(tmp_path: Path) -> Callable[[Scenario], None]:
    """Return a function that runs a scenario on a fleet and stops the fleet."""

    async def run(scenario: Scenario) -> None:
        fleet = ProcessFleet(tmp_path)
        try:
            await scenario(fleet)
        finally:
            await fleet.stop()

    return lambda scenario: asyncio.run(run(scenario))
