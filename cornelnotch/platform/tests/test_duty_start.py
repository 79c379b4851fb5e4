"""Test that duties run only where the settings name them."""

import asyncio
import subprocess
import sys

import pytest

from cornelnotch.duties.tests.duty_hosts import DutyHost, run_duty_fleet
from cornelnotch.gateway.settings import DutiesSection

CHECK = """
import sys
import cornelnotch.platform.program
assert not [name for name in sys.modules if name.startswith("cornelnotch.duties")]
"""


# Guards against memory and start time spent by deployments without duties.
def test_duties_are_not_imported_without_settings():
    subprocess.run([sys.executable, "-c", CHECK], check=True, timeout=30)


@pytest.mark.parametrize(
    ("api", "names", "starts"),
    [
        ("", "metering", False),
        ("127.0.0.1:9", "", False),
        ("127.0.0.1:9", "unknown", False),
        ("127.0.0.1:9", "autoscaling", True),
    ],
)
def test_duties_start_only_where_they_are_named(api, names, starts):
    async def scenario():
        async with run_duty_fleet(1) as fleet:
            fleet.create_section = lambda: DutiesSection(api, names)
            host = DutyHost(fleet, "host-9", "")
            await host.start()
            try:
                assert (host.duties is not None) == starts
            finally:
                await host.kill()

    asyncio.run(scenario())
