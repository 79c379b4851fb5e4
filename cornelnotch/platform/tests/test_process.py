"""Tests that run host processes against a fake store."""

import asyncio
import os
import signal
import sys
from pathlib import Path

import orjson
import pytest

from cornelnotch.gateway.tests.conftest import (
    create_configuration,
    create_entry,
    wait_until,
)
from cornelnotch.standins.store import StoreStandin
from cornelnotch.standins.upstream import UpstreamStandin
from cornelnotch.testing.ports import find_free_port
from cornelnotch.web import HttpClient

SETTINGS = """
[host]
name = host-{number}
domain = north-a
region = north
[listen]
callers = 127.0.0.1:{callers}
readiness = 127.0.0.1:{ready}
directory = 127.0.0.1:{directory}
peers = 127.0.0.1:{peers}
seeds = {seeds}
[store]
address = {store}
[bounds]
grace_s = 5
[regions]
north-a = north
"""
LISTENERS = ("callers", "ready", "directory", "peers")


class HostProcess:
    def __init__(self, folder, number, store, seeds=""):
        self.ports = {listener: find_free_port() for listener in LISTENERS}
        self.path = folder / f"host-{number}.ini"
        self.number, self.store = number, store
        self.write_settings(seeds)

    def write_settings(self, seeds):
        text = SETTINGS.format(
            number=self.number, store=self.store.address, seeds=seeds, **self.ports
        )
        self.path.write_text(text)

    async def start(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cornelnotch.platform",
            env={**os.environ, "CORNELNOTCH_NODE_FILE": str(self.path)},
            stdout=asyncio.subprocess.PIPE,
        )

    async def wait_ready(self, client):
        async def is_ready():
            return await self.get(client, "ready", "/readyz") == 200

        await wait_until(is_ready, 15)

    async def get(self, client, listener, path):
        try:
            answer = await client.request(
                f"127.0.0.1:{self.ports[listener]}", "GET", path
            )
        except Exception:
            return 0
        self.content = await answer.read()
        return answer.status

    def address(self, listener):
        return f"127.0.0.1:{self.ports[listener]}"

    async def kill(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.communicate()


async def start_store(server):
    store = StoreStandin()
    await store.start()
    await server.start()
    store.topics["keyed.op"].write("config", orjson.dumps(create_configuration()))
    entry = orjson.dumps(create_entry(server, "desk"))
    store.topics["keyed.servers"].write("desk-1", entry)
    return store


async def find_addresses(process, client):
    path = "/resolution?name=app.example&region=north&zone=north-a"
    assert await process.get(client, "directory", path) == 200
    return orjson.loads(process.content)["addresses"]


def test_hosts_discover_each_other_and_drain(tmp_path):
    async def scenario():
        server = UpstreamStandin("desk-1")
        store = await start_store(server)
        client = HttpClient()
        first = HostProcess(tmp_path, 1, store)
        second = HostProcess(tmp_path, 2, store, first.address("peers"))
        third = HostProcess(tmp_path, 3, store, first.address("peers"))
        processes = [first, second, third]
        try:
            for process in processes:
                await process.start()
            for process in processes:
                await process.wait_ready(client)
            all_addresses = sorted(p.address("callers") for p in processes)

            async def lists_all_addresses():
                return sorted(await find_addresses(first, client)) == all_addresses

            await wait_until(lists_all_addresses, 10)
            first.process.send_signal(signal.SIGHUP)
            first.process.send_signal(signal.SIGTERM)

            async def is_unlisted():
                listed = await find_addresses(third, client)
                return first.address("callers") not in listed

            await wait_until(is_unlisted, 3)
            assert await first.get(client, "ready", "/readyz") == 503
            async with asyncio.timeout(6):
                assert await first.process.wait() == 0
        finally:
            client.close()
            for process in processes:
                await process.kill()
            await server.stop()
            await store.stop()

    asyncio.run(scenario())


def ignores_hangup(process):
    status = Path(f"/proc/{process.pid}/status").read_text()
    line = next(x for x in status.splitlines() if x.startswith("SigIgn:"))
    return bool(int(line.split()[1], 16) & 1 << (signal.SIGHUP - 1))


def test_changed_settings_do_not_end_a_process_that_starts(tmp_path):
    async def scenario():
        server = UpstreamStandin("desk-1")
        store = await start_store(server)
        client = HttpClient()
        host = HostProcess(tmp_path, 1, store)
        try:
            await host.start()
            await wait_until(lambda: ignores_hangup(host.process), 10)
            host.process.send_signal(signal.SIGHUP)
            await host.wait_ready(client)
        finally:
            client.close()
            await host.kill()
            await server.stop()
            await store.stop()

    asyncio.run(scenario())


# Guards against hosts that never meet as they go on with the settings of their start.
@pytest.mark.parametrize("is_signalled", [True, False])
def test_hosts_meet_once_their_settings_name_seeds_that_are_up(tmp_path, is_signalled):
    async def scenario():
        server = UpstreamStandin("desk-1")
        store = await start_store(server)
        # The store must not help the hosts to find each other.
        store.silent_topics.add("keyed.hosts")
        client = HttpClient()
        stale = f"127.0.0.1:{find_free_port()}"
        processes = [HostProcess(tmp_path, n, store, stale) for n in (1, 2)]
        try:
            for process in processes:
                await process.start()
            for process in processes:
                await process.wait_ready(client)
            await asyncio.sleep(1.0)
            assert len(await find_addresses(processes[0], client)) == 1
            seeds = ",".join(process.address("peers") for process in processes)
            for process in processes:
                process.path.write_text("[host]\n")
                process.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)
            for process in processes:
                process.write_settings(seeds)
                if is_signalled:
                    process.process.send_signal(signal.SIGHUP)

            async def have_met():
                listed = [await find_addresses(p, client) for p in processes]
                return [len(found) for found in listed] == [2, 2]

            await wait_until(have_met, 1.5 if is_signalled else 4.0)
        finally:
            client.close()
            for process in processes:
                await process.kill()
            await server.stop()
            await store.stop()

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("text", "remedy"),
    [("[host]\nname = a\n", "correct the value"), ("no section", "correct the line")],
)
def test_invalid_settings_exit_with_a_one_line_error(tmp_path, text, remedy):
    async def scenario():
        path = tmp_path / "bad.ini"
        path.write_text(text)
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "cornelnotch.platform",
            env={**os.environ, "CORNELNOTCH_NODE_FILE": str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        assert process.returncode == 2
        assert remedy in errors.decode()
        assert len(errors.decode().splitlines()) == 1

    asyncio.run(scenario())
