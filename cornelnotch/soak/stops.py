"""Soak of planned stops and upgrades."""

import asyncio
import random
import time
from collections.abc import Callable
from pathlib import Path

from cornelnotch.soak.attempts import Attempt, Work
from cornelnotch.soak.builds import BuildPair
from cornelnotch.soak.callers import SoakCaller
from cornelnotch.soak.fleet import ROUTE_TIMEOUT_MS, HostLife, SoakFleet
from cornelnotch.soak.judge import Check, Finding, StopJudge, Verdict
from cornelnotch.soak.plan import Action, Plan, Step
from cornelnotch.soak.report import print_verdict

__all__ = ["run_stops"]

PROGRESS_S = 5.0
# Time beyond the grace period for requests to end; later ones are not judged.
FINISH_S = 2.0
SETTLE_S = 0.5
DELAY_CHECK_S = 0.05
CRASHING_THINK_S = 1.0
ONE_BUILD = BuildPair()

Print = Callable[[str], None]


class StopSoak:
    """One soak: fleet, callers and judge."""

    def __init__(
        self, plan: Plan, folder: Path, builds: BuildPair, write: Print
    ) -> None:
        self._plan = plan
        self._write = write
        self._fleet = SoakFleet(plan, folder, builds)
        self._judge = StopJudge(
            plan.grace_s,
            ROUTE_TIMEOUT_MS / 1000.0,
            self._fleet.ledger,
            self._fleet.disturbances,
        )
        self._callers = [
            SoakCaller(
                f"c{number}",
                random.Random(f"caller/{plan.seed}/{number}"),
                self._fleet.choose_target,
                plan.think_s,
                self._draw_work,
                waits_often=plan.profile.long_replies,
            )
            for number in range(plan.callers)
        ]
        self._callers += self._create_crashing_callers()
        self._judged = [0] * len(self._callers)
        self._started_s = 0.0

    def _draw_work(self, generator: random.Random, read_rate: float) -> Work:
        """Return a random request that is sent now."""
        at_s = time.monotonic() - self._started_s
        return self._plan.draw_work(generator, read_rate, at_s)

    def _create_crashing_callers(self) -> list[SoakCaller]:
        """Return a caller for each host that repeats the request with crashes."""
        plan, work = self._plan, self._plan.crashing_work
        if work is None:
            return []
        return [
            SoakCaller(
                f"crashing{number}",
                random.Random(f"crashing/{plan.seed}/{number}"),
                self._fleet.choose_target,
                CRASHING_THINK_S,
                lambda *_: work,
                keeps_connections=False,
            )
            for number in range(plan.hosts)
        ]

    async def run(self) -> Verdict:
        """Run the plan and return the verdict."""
        try:
            await self._fleet.start()
            self._started_s = time.monotonic()
            callers = [asyncio.create_task(caller.run()) for caller in self._callers]
            progress = asyncio.create_task(self._report_progress())
            delay = asyncio.create_task(self._measure_delay())
            for step in self._plan.steps:
                await self._run_step(step)
            await asyncio.sleep(self._measure_left_s(self._plan.seconds))
            await self._finish(callers)
            progress.cancel()
            delay.cancel()
        finally:
            await self._fleet.stop()
        self._judge_all()
        return self._judge.verdict

    def _measure_left_s(self, at_s: float) -> float:
        return max(self._started_s + at_s - time.monotonic(), 0.0)

    async def _run_step(self, step: Step) -> None:
        await asyncio.sleep(self._measure_left_s(step.at_s))
        if step.action is not Action.SILENCE:
            release = f" {step.release.value}" if step.release else ""
            self._write(f"{step.at_s:6.1f} s  {step.action.value} {step.host}{release}")
        await self._fleet.run_step(step)

    async def _finish(self, callers: list[asyncio.Task[None]]) -> None:
        for caller in self._callers:
            caller.stopping = True
        timeout_s = self._plan.grace_s + FINISH_S
        ended, pending = await asyncio.wait(callers, timeout=timeout_s)
        self._judge.verdict.unfinished = len(pending)
        for task in ended:
            if task.exception() is not None:
                self._add_error(f"a caller failed: {task.exception()!r}")
        # Servers that work on an abandoned request see that its connection has closed.
        await asyncio.sleep(SETTLE_S)
        await self._fleet.wait_stopped()
        for task in pending:
            task.cancel()
        if pending:
            await asyncio.wait(pending)

    async def _measure_delay(self) -> None:
        """Measure how late the soak itself notes what it sees."""
        verdict = self._judge.verdict
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(DELAY_CHECK_S)
            delay_s = time.monotonic() - before_s - DELAY_CHECK_S
            verdict.delay_s = max(verdict.delay_s, delay_s)

    def _add_error(self, detail: str) -> None:
        self._judge.verdict.findings.append(Finding(Check.HARNESS, "", "", detail))

    async def _report_progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_S)
            findings = self._judge_ended()
            sent = sum(len(caller.attempts) for caller in self._callers)
            at_s = time.monotonic() - self._started_s
            counts = self._judge.verdict.count()
            self._write(f"{at_s:6.1f} s  {sent} requests, findings {dict(counts)}")
            for finding in findings:
                self._write(f"          {finding.check}: {finding.detail}")

    def _judge_ended(self, settled_s: float = SETTLE_S) -> list[Finding]:
        """Judge attempts whose end their servers have seen; return the findings."""
        lives = {life.name: life for life in self._fleet.lives}
        limit_s = time.monotonic() - settled_s
        found: list[Finding] = []
        for number, caller in enumerate(self._callers):
            for attempt in caller.attempts[self._judged[number] :]:
                if not attempt.ended_s <= limit_s:
                    break
                found += self._judge.judge_attempt(attempt, lives[attempt.host])
                self._judged[number] += 1
        return found

    def _judge_all(self) -> None:
        self._judge_ended(0.0)
        attempts: dict[str, Attempt] = {
            attempt.request_id: attempt
            for caller in self._callers
            for attempt in caller.attempts
        }
        self._judge.judge_runs(attempts)
        lives = {life.name: life for life in self._fleet.lives}
        self._judge.judge_crashing(attempts, lives)
        limits = {worker.name: worker.limits for worker in self._fleet.workers}
        self._judge.judge_limits(attempts, lives, limits)
        self._judge.judge_exits(self._fleet.lives)
        self._judge.judge_service()
        for error in self._fleet.errors:
            self._add_error(error)

    def list_logs(self) -> dict[str, Path]:
        """Return the log file of each process."""
        lives: list[HostLife] = self._fleet.lives
        return {life.name: life.log for life in lives}


async def run_stops(
    plan: Plan, folder: Path, write: Print, builds: BuildPair = ONE_BUILD
) -> Verdict:
    """Run a soak of planned stops; return the verdict after printing it."""
    write(
        f"seed {plan.seed}: {plan.hosts} hosts, {plan.callers} callers, "
        f"{plan.servers} servers, grace {plan.grace_s} s, {plan.seconds} s, "
        f"typical ms {plan.mix or 'wide mix'}, {plan.profile}"
    )
    soak = StopSoak(plan, folder, builds, write)
    verdict = await soak.run()
    print_verdict(verdict, soak.list_logs(), write)
    return verdict
