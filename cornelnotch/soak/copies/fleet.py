"""Run host processes, engine processes and a store, and disturb the engines."""

import asyncio
import signal
import subprocess
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, replace
from pathlib import Path

from cornelnotch.exceptions import UpstreamError
from cornelnotch.soak.builds import Build, BuildPair
from cornelnotch.soak.copies.judge import EnginePause
from cornelnotch.soak.copies.plan import CopyPlan, CopyStep, Trouble
from cornelnotch.soak.fleet import SoakFleet
from cornelnotch.soak.plan import create_plan
from cornelnotch.standins.deployment import (
    create_copy_configuration_record,
    create_server_record,
)

__all__ = ["CopyFleet"]

PLACES = 40
START_TIMEOUT_S = 20.0
POLL_S = 0.05
ORDER_TIMEOUT_S = 5.0


@dataclass(slots=True)
class EngineProcess:
    """Process of an engine; `still_until_s` is when it goes on."""

    name: str
    address: str
    records: Path
    born: int = 0
    process: subprocess.Popen[bytes] | None = None
    still_until_s: float = 0.0

    @property
    def is_running(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def start(self, log: Path) -> None:
        """Start the process."""
        self.born += 1
        command = [sys.executable, "-m", "cornelnotch.soak.copies.engine"]
        options = {
            "--name": self.name,
            "--address": self.address,
            "--born": str(self.born),
            "--records": str(self.records),
        }
        arguments = [text for option in options.items() for text in option]
        with log.open("ab") as output:
            self.process = subprocess.Popen(
                [*command, *arguments], stdout=output, stderr=output
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.is_running:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    def kill(self) -> None:
        """End the process."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class CopyFleet(SoakFleet):
    """Fleet whose servers are processes of their own, so that they can stand still."""

    def __init__(self, plan: CopyPlan, folder: Path, build: Build) -> None:
        base = create_plan(plan.seed, plan.seconds, plan.hosts)
        super().__init__(
            replace(base, servers=plan.engines), folder, BuildPair(build, build)
        )
        self.engines: list[EngineProcess] = []
        self.pauses: list[EnginePause] = []

    async def stop(self) -> None:
        """Stop all processes that still run."""
        await super().stop()
        for engine in self.engines:
            engine.kill()

    def _configure(self) -> None:
        self._version += 1
        record = create_copy_configuration_record(self._version)
        self.store.topics["keyed.op"].write("config", record)

    async def _start_worker(self) -> None:
        name = f"engine-{len(self.engines)}"
        records = self.folder / f"{name}.runs"
        records.unlink(missing_ok=True)
        engine = EngineProcess(name, self._reserve_address(), records)
        self.engines.append(engine)
        await self._start_engine(engine)

    async def _start_engine(self, engine: EngineProcess) -> None:
        engine.start(self.folder / f"{engine.name}.log")
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._order(engine, "/silence?s=0"):  # noqa: ASYNC110
                await asyncio.sleep(POLL_S)
        record = create_server_record(engine.address, False, 1, PLACES, engine.born)
        self.store.topics["keyed.servers"].write(engine.name, record)

    async def _order(self, engine: EngineProcess, target: str) -> bool:
        """Send an order to an engine; return whether it has obeyed."""
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                response = await self._client.request(engine.address, "POST", target)
                await response.read()
        except (UpstreamError, OSError):
            return False
        return True

    async def disturb(self, step: CopyStep) -> bool:
        """Begin a disturbance; return whether its engine could be disturbed."""
        engine = self.engines[step.engine]
        now_s = time.monotonic()
        if not engine.is_running or engine.still_until_s > now_s:
            return False
        if step.trouble is Trouble.STAND_STILL:
            engine.still_until_s = now_s + step.duration_s
            self._spawn(self._stand_still(engine, step))
        elif step.trouble is Trouble.KILL:
            engine.kill()
            self._spawn(self._restart_engine(engine, step))
        elif step.trouble is Trouble.SILENCE:
            await self._order(engine, f"/silence?s={step.duration_s}")
        else:
            target = f"/delay?s={step.duration_s}&delay={step.delay_s}"
            await self._order(engine, target)
        if step.trouble is not Trouble.STAND_STILL:
            until_s = now_s + step.duration_s
            pause = EnginePause(engine.name, step.trouble, now_s, until_s)
            self.pauses.append(pause)
        return True

    async def _stand_still(self, engine: EngineProcess, step: CopyStep) -> None:
        engine.send_signal(signal.SIGSTOP)
        since_s = time.monotonic()
        try:
            await asyncio.sleep(step.duration_s)
        finally:
            engine.send_signal(signal.SIGCONT)
            pause = EnginePause(engine.name, step.trouble, since_s, time.monotonic())
            self.pauses.append(pause)

    async def _restart_engine(self, engine: EngineProcess, step: CopyStep) -> None:
        await asyncio.sleep(step.duration_s)
        await self._start_engine(engine)
