"""Measure the time until a configuration change is in force on nine hosts.

Run with ``python -m benchmarks.inforce``.
"""

import asyncio
import statistics
import tempfile
from pathlib import Path

from cornelnotch.kernel import create_clock
from cornelnotch.testing.processes import HostProcess, ProcessFleet
from cornelnotch.testing.samples import create_sample_configuration

HOSTS = 9
CHANGES = 20
POLL_INTERVAL_S = 0.005


async def measure(folder: Path) -> None:
    """Publish changes and poll all hosts after each one."""
    fleet = ProcessFleet(folder)
    clock = create_clock()
    try:
        await fleet.start_platform()
        version = await fleet.publish(create_sample_configuration(""))
        await asyncio.gather(*(fleet.start_host(f"host-{n}") for n in range(HOSTS)))
        await fleet.wait_ready(version)
        durations = []
        for number in range(CHANGES):
            started = clock.read()
            offset = await fleet.publish(f"[workspace w]\nconcurrent = {number + 1}\n")
            await asyncio.gather(
                *(wait_version(fleet, host, offset) for host in fleet.hosts.values())
            )
            durations.append(clock.read() - started)
        print(f"changes: {CHANGES}, hosts: {HOSTS}")
        print(f"in force on all hosts, median: {statistics.median(durations):.0f} ms")
        print(f"in force on all hosts, longest: {max(durations):.0f} ms")
    finally:
        await fleet.stop()


async def wait_version(fleet: ProcessFleet, host: HostProcess, offset: int) -> None:
    """Poll a host until the version is in force."""
    status = await fleet.read_status(host)
    while status.get("version", -1) < offset:
        await asyncio.sleep(POLL_INTERVAL_S)
        status = await fleet.read_status(host)


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        asyncio.run(measure(Path(temporary)))
