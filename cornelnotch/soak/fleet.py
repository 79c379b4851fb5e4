"""Run host processes, a store and servers, and carry out the steps of a plan."""

import asyncio
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import defaultdict
from collections.abc import Coroutine
from contextlib import suppress
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

from cornelnotch.exceptions import UpstreamError
from cornelnotch.soak.builds import BuildPair
from cornelnotch.soak.callers import CallerTarget
from cornelnotch.soak.plan import Action, Plan, Step
from cornelnotch.standins.deployment import (
    create_configuration_record,
    create_server_record,
)
from cornelnotch.standins.store import StoreStandin
from cornelnotch.standins.worker import Disturbance, RunLedger, WorkerStandin
from cornelnotch.testing.ports import reserve_port
from cornelnotch.web import HttpClient

__all__ = ["ROUTE_TIMEOUT_MS", "HostLife", "SoakFleet"]

SETTINGS = """[host]
name = {name}
domain = north-a
region = north
[listen]
callers = {callers}
readiness = {readiness}
directory = {directory}
peers = {peers}
seeds = {seeds}
[store]
address = {store}
[bounds]
grace_s = {grace_s}
retry_extra = 1000
[regions]
north-a = north
"""
LOOPBACK = "127.0.0.1"
LISTENERS = ("callers", "readiness", "directory", "peers")
SEEDS = 3
READY_TIMEOUT_S = 40.0
POLL_S = 0.05
ROUTE_TIMEOUT_MS = 20_000.0
LEAVE_S = 4.5
# Capacity that servers without a limited number of places tell.
CAPACITY = 64
CRASH_NOTICE_S = 2.0


@dataclass(slots=True)
class HostLife:
    """One process of a host; times in monotonic seconds."""

    name: str
    process: subprocess.Popen[bytes]
    log: Path
    started_s: float
    ready_s: float = float("inf")
    terminated_s: float = float("inf")
    exited_s: float = float("inf")
    killed: bool = False
    ended_by_soak: bool = False
    had_logged: bool = False
    pauses: list[tuple[float, float]] = field(default_factory=list)

    @property
    def is_running(self) -> bool:
        """Return whether the process has not exited."""
        return self.process.poll() is None

    def note_exit(self) -> None:
        """Wait for the exit in a thread of its own, whose time no task delays."""
        self.process.wait()
        self.exited_s = time.monotonic()

    async def wait(self) -> None:
        """Wait until the process has exited."""
        while self.exited_s == float("inf"):  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)


class SoakFleet:
    """Hosts, servers and the store of one soak; ends only its own processes."""

    def __init__(self, plan: Plan, folder: Path, builds: BuildPair) -> None:
        self.plan = plan
        self.folder = folder
        self._builds = builds
        self._releases = dict.fromkeys(range(plan.hosts), plan.first_release)
        self.ledger: RunLedger = defaultdict(list)
        self.store = StoreStandin()
        self.disturbances: list[Disturbance] = []
        self.workers: list[WorkerStandin] = []
        self.lives: list[HostLife] = []
        self.errors: list[str] = []
        self._current: dict[int, HostLife] = {}
        self._reserved: list[socket.socket] = []
        self._addresses = [
            {name: self._reserve_address() for name in LISTENERS}
            for _ in range(plan.hosts)
        ]
        self._generator = random.Random(f"fleet/{plan.seed}")
        self._client = HttpClient()
        self._tasks: set[asyncio.Task[None]] = set()
        self._version = 0
        self._servers = 0

    def _reserve_address(self) -> str:
        """Return an address that only this fleet's hosts will listen on."""
        reserved = reserve_port()
        self._reserved.append(reserved)
        return f"{LOOPBACK}:{reserved.getsockname()[1]}"

    async def start(self) -> None:
        """Start everything and wait until all hosts are ready."""
        await self.store.start()
        self._configure()
        for _ in range(self.plan.servers):
            await self._start_worker()
        for number in range(self.plan.hosts):
            self._start_host(number)
        await asyncio.gather(*(self._wait_ready(n) for n in range(self.plan.hosts)))

    async def wait_stopped(self) -> None:
        """Wait for the processes that got SIGTERM."""
        for life in self.lives:
            if life.terminated_s != float("inf"):
                await life.wait()

    async def stop(self) -> None:
        """Stop all processes and servers that still run."""
        for task in list(self._tasks):
            task.cancel()
        for life in self.lives:
            if life.is_running:
                life.ended_by_soak = True
                with suppress(ProcessLookupError):
                    life.process.kill()
            await life.wait()
        for worker in self.workers:
            await worker.stop()
        for reserved in self._reserved:
            reserved.close()
        self._client.close()
        await self.store.stop()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._note_end)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.errors.append(f"{task.get_name()}: {task.exception()!r}")

    def choose_target(
        self, generator: random.Random, cached_s: float
    ) -> CallerTarget | None:
        """Return a host that the directory listed within the last `cached_s`."""
        now = time.monotonic()
        known = [
            number
            for number, life in self._current.items()
            if life.ready_s <= now < life.terminated_s + cached_s
        ]
        if not known:
            return None
        number = generator.choice(known)
        return CallerTarget(
            self._addresses[number]["callers"], lambda: self._current[number].name
        )

    def _configure(self) -> None:
        self._version += 1
        record = create_configuration_record(self._version, ROUTE_TIMEOUT_MS)
        self.store.topics["keyed.op"].write("config", record)

    async def _start_worker(self) -> None:
        self._servers += 1
        name, places = f"server-{self._servers}", self.plan.profile.places
        worker = WorkerStandin(
            name, self.ledger, places, disturbances=self.disturbances
        )
        await worker.start()
        worker.note_start = partial(self._write_entry, worker)
        self.workers.append(worker)
        self._write_entry(worker)

    def _write_entry(self, worker: WorkerStandin) -> None:
        record = create_server_record(
            worker.address,
            worker.leaving,
            1,
            worker.places or CAPACITY,
            worker.starts,
        )
        self.store.topics["keyed.servers"].write(worker.name, record)

    def _start_host(self, number: int) -> None:
        name = f"host-{number}"
        seeds = ",".join(a["peers"] for a in self._addresses[:SEEDS])
        path = self.folder / f"{name}.ini"
        path.write_text(
            SETTINGS.format(
                name=name,
                seeds=seeds,
                store=self.store.address,
                grace_s=self.plan.grace_s,
                **self._addresses[number],
            )
        )
        count = sum(life.name.startswith(f"{name}.") for life in self.lives)
        release = self._releases[number]
        life_name = f"{name}.{count}.{release.value}"
        log = self.folder / f"{life_name}.log"
        build = self._builds.find(release)
        with log.open("wb") as output:
            process = subprocess.Popen(
                [sys.executable, "-m", "cornelnotch.platform"],
                env=build.create_environment(path.resolve()),
                # Python searches the working directory before any other path.
                cwd=build.source,
                stdout=output,
                stderr=output,
            )
        life = HostLife(life_name, process, log, time.monotonic())
        self.lives.append(life)
        self._current[number] = life
        threading.Thread(target=life.note_exit, daemon=True).start()

    async def _wait_ready(self, number: int) -> None:
        life = self._current[number]
        async with asyncio.timeout(READY_TIMEOUT_S):
            while life.is_running and not await self._is_ready(number):  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)
        if life.is_running:
            life.ready_s = time.monotonic()

    async def _is_ready(self, number: int) -> bool:
        address = self._addresses[number]["readiness"]
        try:
            response = await self._client.request(address, "GET", "/readyz")
            await response.read()
        except (UpstreamError, OSError):
            return False
        return response.status == 200

    async def run_step(self, step: Step) -> None:
        """Carry out one step; work that lasts longer goes on in the background."""
        life = self._current[step.host]
        if step.action is Action.TERMINATE:
            self._terminate(life)
        elif step.action is Action.HANG_UP:
            self._send_signal(life, signal.SIGHUP)
        elif step.action is Action.PAUSE:
            self._spawn(self._pause(life, step.pause_s))
        elif step.action is Action.START:
            self._spawn(self._restart(step, life))
        elif step.action is Action.CONFIGURE:
            self._configure()
        elif step.action is Action.SILENCE:
            usable = [w for w in self.workers if not w.leaving and not w.crashed]
            self._generator.choice(usable).fall_silent(step.pause_s)
        elif step.action is Action.LIMIT:
            for worker in self.workers:
                worker.name_limit(step.per_second, step.pause_s)
        else:
            await self._replace_worker(step.action)

    def _send_signal(self, life: HostLife, number: signal.Signals) -> bool:
        """Send a signal unless the process has exited; return whether it was sent."""
        if not life.is_running or (
            number is signal.SIGHUP and not life.log.stat().st_size
        ):
            return False
        with suppress(ProcessLookupError):
            life.process.send_signal(number)
        return True

    def _terminate(self, life: HostLife) -> None:
        if not self._send_signal(life, signal.SIGTERM):
            return
        if life.terminated_s == float("inf"):
            life.terminated_s = time.monotonic()
            life.had_logged = life.log.stat().st_size > 0
            self._spawn(self._kill_after_grace(life))

    async def _kill_after_grace(self, life: HostLife) -> None:
        await asyncio.sleep(self.plan.grace_s)
        if life.is_running:
            life.killed = True
            life.process.kill()

    async def _pause(self, life: HostLife, pause_s: float) -> None:
        if not self._send_signal(life, signal.SIGSTOP):
            return
        start_s = time.monotonic()
        life.pauses.append((start_s, float("inf")))
        await asyncio.sleep(pause_s)
        self._send_signal(life, signal.SIGCONT)
        life.pauses[-1] = (start_s, time.monotonic())

    async def _restart(self, step: Step, life: HostLife) -> None:
        if life.terminated_s == float("inf"):
            return
        await life.wait()
        if self._current[step.host] is life:
            self._releases[step.host] = step.release or self._releases[step.host]
            self._start_host(step.host)
            await self._wait_ready(step.host)

    async def _replace_worker(self, action: Action) -> None:
        usable = [w for w in self.workers if not w.leaving and not w.crashed]
        worker = self._generator.choice(usable)
        await self._start_worker()
        if action is Action.CRASH:
            await worker.stop()
            await asyncio.sleep(0)
            self._spawn(self._remove_entry(worker, CRASH_NOTICE_S))
        else:
            worker.leaving = True
            self._write_entry(worker)
            self._spawn(self._stop_when_idle(worker))

    async def _remove_entry(self, worker: WorkerStandin, after_s: float) -> None:
        await asyncio.sleep(after_s)
        self.store.topics["keyed.servers"].write(worker.name, b"")

    async def _stop_when_idle(self, worker: WorkerStandin) -> None:
        await asyncio.sleep(LEAVE_S)
        while worker.active:  # noqa: ASYNC110
            await asyncio.sleep(POLL_S)
        await worker.stop()
        await self._remove_entry(worker, 0.0)
