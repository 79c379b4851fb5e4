"""Measure the control-plane overhead of an idle node in fleets of up to nine hosts.

Run with ``python -m benchmarks.idle``. Bytes include only traffic between hosts; the
traffic with the platform is additional and is computed in docs/CAPACITY.md.
"""

import asyncio
import re
import tempfile
from pathlib import Path

from benchmarks.overhead import read_processor_ms
from cornelnotch.testing.processes import HostProcess, ProcessFleet
from cornelnotch.testing.samples import create_sample_configuration

FLEET_SIZES = (3, 6, 9)
DURATION_S = 8.0
KILOBYTE = 1024


def read_memory_kilobytes(process_id: int) -> int:
    """Return the resident memory of a process in KB."""
    text = Path(f"/proc/{process_id}/status").read_text()
    match = re.search(r"VmRSS:\s+(\d+)", text)
    return int(match.group(1)) if match else 0


async def read_peer_bytes(fleet: ProcessFleet, host: HostProcess) -> float:
    """Return the bytes that a host has sent to other hosts."""
    answer = await fleet.client.request(host.http, "GET", "/metrics")
    text = (await answer.read()).decode()
    match = re.search(r'cornelnotch_state\{[^}]*name="peer_bytes"[^}]*\} (\S+)', text)
    return float(match.group(1)) if match else 0.0


async def measure(folder: Path, size: int) -> None:
    """Run an idle fleet and print the mean costs of its hosts."""
    fleet = ProcessFleet(folder)
    try:
        await fleet.start_platform()
        version = await fleet.publish(create_sample_configuration(""))
        await asyncio.gather(*(fleet.start_host(f"host-{n}") for n in range(size)))
        await fleet.wait_ready(version)
        await asyncio.sleep(3.0)
        hosts = list(fleet.hosts.values())
        before_bytes = [await read_peer_bytes(fleet, h) for h in hosts]
        before_ms = [read_processor_ms(h.process.pid) for h in hosts]
        await asyncio.sleep(DURATION_S)
        after_ms = [read_processor_ms(h.process.pid) for h in hosts]
        after_bytes = [await read_peer_bytes(fleet, h) for h in hosts]
        spent = sum(after_ms) - sum(before_ms)
        sent = sum(after_bytes) - sum(before_bytes)
        memory = sum(read_memory_kilobytes(h.process.pid) for h in hosts) / size
        print(
            f"{size} hosts: {spent / size / DURATION_S / 10:.2f} % of a core, "
            f"{sent / size / DURATION_S:.0f} bytes/s to peers, "
            f"{memory / KILOBYTE:.0f} MB resident"
        )
    finally:
        await fleet.stop()


if __name__ == "__main__":
    for number in FLEET_SIZES:
        with tempfile.TemporaryDirectory() as temporary:
            asyncio.run(measure(Path(temporary), number))
