"""Run a soak of streams that go on from copies."""

import asyncio
import random
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path

from cornelnotch.kernel.tasks import cancel_and_wait
from cornelnotch.soak.attempts import Attempt, Work
from cornelnotch.soak.builds import CURRENT_BUILD, Build
from cornelnotch.soak.callers import SoakCaller
from cornelnotch.soak.copies.callers import LeavingCaller
from cornelnotch.soak.copies.fleet import CopyFleet
from cornelnotch.soak.copies.judge import CopyVerdict, judge_copies
from cornelnotch.soak.copies.plan import (
    BOOK,
    RESUMABLE,
    SINGLE,
    CopyPlan,
    draw_copy_work,
)
from cornelnotch.soak.copies.records import read_runs
from cornelnotch.soak.copies.report import print_copy_verdict

__all__ = ["run_copies"]

THINK_S = 0.2
FINISH_S = 18.0
SETTLE_S = 0.5
DELAY_CHECK_S = 0.05

Print = Callable[[str], None]


def draw_work(route: str, generator: random.Random, read_rate: float) -> Work:
    """Return a random request of a route, whose caller reads at full speed."""
    return draw_copy_work(generator, route)


class CopySoak:
    """One soak: fleet, callers and disturbances."""

    def __init__(
        self, plan: CopyPlan, folder: Path, build: Build, write: Print
    ) -> None:
        self._plan = plan
        self._write = write
        self._delay_s = 0.0
        self._unfinished = 0
        self._errors: list[str] = []
        self.fleet = CopyFleet(plan, folder, build)
        counts = {
            SINGLE: plan.single_callers,
            RESUMABLE: plan.resumable_callers,
            BOOK: plan.call_callers,
        }
        self._callers: list[SoakCaller] = [
            self._create_caller(route, number)
            for route, count in counts.items()
            for number in range(count)
        ]

    def _create_caller(self, route: str, number: int) -> SoakCaller:
        name = f"{route}{number}"
        return LeavingCaller(
            name,
            random.Random(f"{name}/{self._plan.seed}"),
            self.fleet.choose_target,
            THINK_S,
            partial(draw_work, route),
        )

    async def run(self) -> CopyVerdict:
        """Run the plan and return the verdict."""
        try:
            await self.fleet.start()
            delay = asyncio.create_task(self._measure_delay())
            tasks = [asyncio.create_task(caller.run()) for caller in self._callers]
            await self._disturb(time.monotonic())
            await self._finish(tasks)
            await cancel_and_wait(delay)
            last_s = time.monotonic()
        finally:
            await self.fleet.stop()
        return self._judge(last_s)

    async def _disturb(self, started_s: float) -> None:
        for step in self._plan.steps:
            await asyncio.sleep(max(started_s + step.at_s - time.monotonic(), 0.0))
            await self.fleet.disturb(step)
        left_s = started_s + self._plan.seconds - time.monotonic()
        await asyncio.sleep(max(left_s, 0.0))

    async def _finish(self, tasks: list[asyncio.Task[None]]) -> None:
        for caller in self._callers:
            caller.stopping = True
        ended, pending = await asyncio.wait(tasks, timeout=FINISH_S)
        self._unfinished = len(pending)
        for task in ended:
            if task.exception() is not None:
                self._errors.append(f"a caller failed: {task.exception()!r}")
        # Engines see that connections have closed.
        await asyncio.sleep(SETTLE_S)
        for task in pending:
            await cancel_and_wait(task)

    async def _measure_delay(self) -> None:
        """Measure how late the soak itself notes what it sees."""
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(DELAY_CHECK_S)
            delay_s = time.monotonic() - before_s - DELAY_CHECK_S
            self._delay_s = max(self._delay_s, delay_s)

    def _judge(self, last_s: float) -> CopyVerdict:
        attempts: dict[str, Attempt] = {
            attempt.request_id: attempt
            for caller in self._callers
            for attempt in caller.attempts
        }
        runs = read_runs(e.records for e in self.fleet.engines if e.records.exists())
        verdict = judge_copies(runs, self.fleet.pauses, attempts, last_s)
        verdict.delay_s, verdict.unfinished = self._delay_s, self._unfinished
        verdict.errors = [*self._errors, *self.fleet.errors]
        return verdict


async def run_copies(
    plan: CopyPlan, folder: Path, write: Print, build: Build = CURRENT_BUILD
) -> CopyVerdict:
    """Run a soak of copies; return the verdict after printing it."""
    write(
        f"build {build.name}, seed {plan.seed}: {plan.hosts} hosts, {plan.engines} "
        f"engines, {plan.seconds} s, {len(plan.steps)} disturbances"
    )
    soak = CopySoak(plan, folder, build, write)
    verdict = await soak.run()
    logs = {life.name: life.log for life in soak.fleet.lives}
    print_copy_verdict(verdict, logs, write)
    return verdict
