"""Test the duties of host processes that are suspended, killed and stopped."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from contextlib import asynccontextmanager

import pytest

from cornelnotch.duties.tests.duty_hosts import wait_until
from cornelnotch.standins.deployment import (
    create_configuration_record,
    create_server_record,
)
from cornelnotch.standins.duty_api import DutyApiStandin
from cornelnotch.standins.store import StoreStandin
from cornelnotch.standins.upstream import UpstreamStandin
from cornelnotch.testing.ports import find_free_port

WINDOW_S = 2.0
SETTINGS = """[host]
name = {name}
domain = north-a
region = north
[listen]
callers = 127.0.0.1:{callers}
readiness = 127.0.0.1:{readiness}
directory = 127.0.0.1:{directory}
peers = 127.0.0.1:{peers}
seeds = {seeds}
[store]
address = {store}
[bounds]
grace_s = 2.0
[duties]
api = {api}
names = metering
calls_per_s = 10
fenced = {fenced}
lease_ms = 1500
window_s = 2.0
usage_delay_s = 9.0
[regions]
north-a = north
"""


class ProcessFleet:
    def __init__(self, folder, is_fenced):
        self.folder = folder
        self.store = StoreStandin()
        self.api = DutyApiStandin(is_fenced=is_fenced, calls_per_s=10.0)
        self.server = UpstreamStandin("server-1")
        self.processes = {}
        self.peers = []

    def start_host(self):
        name = f"host-{len(self.processes)}"
        ports = {
            key: find_free_port()
            for key in ("callers", "readiness", "directory", "peers")
        }
        path = self.folder / f"{name}.ini"
        path.write_text(
            SETTINGS.format(
                name=name,
                seeds=",".join(self.peers),
                store=self.store.address,
                api=self.api.address,
                fenced=str(self.api.is_fenced).lower(),
                **ports,
            )
        )
        self.peers.append(f"127.0.0.1:{ports['peers']}")
        with (self.folder / f"{name}.log").open("wb") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "cornelnotch.platform"],
                env={**os.environ, "CORNELNOTCH_NODE_FILE": str(path)},
                stdout=log,
                stderr=log,
            )

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    async def wait_for_report(self, excluded=(), timeout_s=25.0):
        """Return the holder that reports next, other than `excluded`."""
        known = len(self.api.accepted)

        def find():
            calls = self.api.accepted[known:]
            return [call.holder for call in calls if call.holder not in excluded]

        await wait_until(find, timeout_s)
        return find()[0]

    def check(self):
        contents: dict[int, dict[str, int]] = {}
        holders: dict[int, str] = {}
        for call in self.api.list_reports():
            window, counts = call.content["window_id"], call.content["counts"]
            assert contents.setdefault(window, counts) == counts
        for call in [*self.api.accepted, *self.api.refused]:
            assert holders.setdefault(call.token, call.holder) == call.holder
        assert self.api.busy == 0

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()


@asynccontextmanager
async def run_processes(folder, count, is_fenced):
    fleet = ProcessFleet(folder, is_fenced)
    await fleet.store.start()
    await fleet.api.start()
    await fleet.server.start()
    record = create_configuration_record(1, 4000.0)
    fleet.store.topics["keyed.op"].write("config", record)
    record = create_server_record(fleet.server.address, False, 1, 64)
    fleet.store.topics["keyed.servers"].write("server-1", record)
    try:
        for _ in range(count):
            fleet.start_host()
        yield fleet
    finally:
        fleet.stop()
        await fleet.server.stop()
        await fleet.api.stop()
        await fleet.store.stop()


# Guards against a host that was suspended and acts on its old claim.
@pytest.mark.parametrize("is_fenced", [True, False])
def test_a_suspended_holder_does_not_act_when_it_resumes(tmp_path, is_fenced):
    async def scenario():
        async with run_processes(tmp_path, 3, is_fenced) as fleet:
            holder = await fleet.wait_for_report()
            fleet.signal(holder, signal.SIGSTOP)
            successor = await fleet.wait_for_report(excluded={holder})
            fleet.signal(holder, signal.SIGCONT)
            resumed_s = time.monotonic()
            await asyncio.sleep(2.0 * WINDOW_S)
            later = [c for c in fleet.api.accepted if c.at_s > resumed_s]
            assert {call.holder for call in later} == {successor}
            assert not [c for c in fleet.api.refused if c.at_s > resumed_s]
            fleet.check()

    asyncio.run(scenario())


# Guards against duties that end when hosts are killed or stopped.
def test_a_killed_and_a_stopped_holder_are_succeeded(tmp_path):
    async def scenario():
        async with run_processes(tmp_path, 3, True) as fleet:
            holder = await fleet.wait_for_report()
            fleet.signal(holder, signal.SIGKILL)
            second = await fleet.wait_for_report(excluded={holder})
            fleet.signal(second, signal.SIGTERM)
            third = await fleet.wait_for_report(excluded={holder, second})
            assert third not in {holder, second}
            windows = fleet.api.list_windows()
            assert set(range(min(windows), max(windows) + 1)) == set(windows)
            fleet.check()

    asyncio.run(scenario())
