"""Judge what callers, servers and processes saw during a soak; no I/O."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from cornelnotch.soak.attempts import Attempt
from cornelnotch.soak.crashes import CrashingRuns, find_crashing_runs
from cornelnotch.soak.fleet import HostLife
from cornelnotch.soak.limits import LimitedWindow, find_fullest_window
from cornelnotch.standins.worker import Disturbance, RateLimit, RunLedger, WorkerRun

__all__ = ["Check", "Finding", "StopJudge", "Verdict"]

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
STATUS_OK = 200
# Statuses that a host may answer to well-formed requests with a known key and route.
EXPECTED_STATUSES = frozenset({200, 429, 502, 503, 504})
UNREAD_SLACK_S = 0.2
# Requests sent so long after SIGTERM are served as before it.
SERVED_S = 3.0
# Requests that are still at a server in this last part of the grace period may be cut.
LAST_PART = 1 / 6
# Part of a request's time that its host's and its server's delays may add.
DELAY_SHARE = 0.25
DELAY_S = 0.5
PAUSE_MARGIN_S = 0.3
DEADLINE_MARGIN_S = 0.1
SIGTERM_CODE = -15


class Check:
    """Names of the checks."""

    CUT = "cut after being passed on"
    UNANSWERED = "read and unanswered"
    REFUSED = "refused though run"
    TWICE = "run twice"
    ORDER = "stream with a gap, a repeat or an early end"
    MIXED = "response of another request"
    DENIED = "unexpected status"
    SERVED = "not served in the first 3 s"
    EXIT = "exit"
    CRASHING = "sent to servers after it had crashed three"
    LIMIT = "more requests than a server allows"
    HARNESS = "error of the soak itself"


@dataclass(frozen=True, slots=True)
class Finding:
    """One broken guarantee; `request_id` is empty if it concerns a process."""

    check: str
    host: str
    request_id: str
    detail: str


@dataclass(slots=True)
class Verdict:
    """Findings and figures of one soak."""

    findings: list[Finding] = field(default_factory=list)
    statuses: Counter[str] = field(default_factory=Counter)
    calm: int = 0
    calm_served: int = 0
    early: int = 0
    early_served: int = 0
    late: Counter[str] = field(default_factory=Counter)
    unfinished: int = 0
    delay_s: float = 0.0
    calm_misses: list[Finding] = field(default_factory=list)
    early_misses: list[Finding] = field(default_factory=list)
    excused: Counter[str] = field(default_factory=Counter)
    exits_s: list[float] = field(default_factory=list)
    crashing: CrashingRuns | None = None
    fullest: LimitedWindow | None = None

    def count(self) -> Counter[str]:
        """Return the number of findings of each check."""
        return Counter(finding.check for finding in self.findings)


class StopJudge:
    """Judge attempts; each is judged once, after it has ended."""

    def __init__(
        self,
        grace_s: float,
        route_timeout_s: float,
        ledger: RunLedger,
        disturbances: Sequence[Disturbance] = (),
    ) -> None:
        self._grace_s = grace_s
        self._route_timeout_s = route_timeout_s
        self._ledger = ledger
        self._disturbances = disturbances
        self.verdict = Verdict()

    def judge_attempt(self, attempt: Attempt, life: HostLife) -> list[Finding]:
        """Judge what a caller got; return the findings."""
        runs = self._ledger.get(attempt.request_id, [])
        if attempt.refused_connection:
            label = "connection refused"
        else:
            label = str(attempt.status) + ("" if attempt.whole else " incomplete")
        self.verdict.statuses[label] += 1
        if attempt.work.crashes:
            # Nobody misses such a request; how often it ran is judged at the end.
            return []
        found: list[Finding] = []
        if not attempt.whole and not attempt.refused_connection:
            found.extend(self._judge_incomplete(attempt, life, runs))
        found.extend(self._judge_content(attempt))
        self._count_service(attempt, life, runs, label)
        self.verdict.findings.extend(found)
        return found

    def _judge_incomplete(
        self, attempt: Attempt, life: HostLife, runs: list[WorkerRun]
    ) -> Iterable[Finding]:
        excuse = self._find_excuse(attempt, life, runs)
        if runs and not excuse:
            yield self._create(
                Check.CUT, attempt, life, f"status {attempt.status}, {runs}"
            )
        waited_s = attempt.ended_s - max(attempt.sent_s, attempt.waited_from_s)
        if not runs and not excuse and waited_s > UNREAD_SLACK_S:
            detail = f"closed {waited_s:.3f} s after the last byte"
            yield self._create(Check.UNANSWERED, attempt, life, detail)
        if excuse:
            self.verdict.excused[excuse] += 1

    def _find_excuse(
        self, attempt: Attempt, life: HostLife, runs: list[WorkerRun]
    ) -> str:
        """Return why an incomplete response is allowed, or an empty string."""
        limit_s = min(attempt.deadline_s, attempt.begun_s + self._route_timeout_s)
        last_part_s = life.terminated_s + self._grace_s * (1 - LAST_PART)
        if attempt.ended_s >= limit_s - DEADLINE_MARGIN_S:
            return "deadline or timeout"
        if attempt.abandoned:
            return "abandoned by its caller"
        if any(run.broke for run in runs):
            return "server broke off"
        if overlaps_pause(attempt, life):
            return "pause of the host"
        was_at_work = any(run.ended_s >= last_part_s for run in runs)
        # A server's silence is no reason to move a request to where it ends later.
        executed = [run for run in runs if run.executed]
        is_due_before = bool(executed) and executed[0].due_s < last_part_s
        is_early = attempt.sent_s <= life.terminated_s + SERVED_S
        if was_at_work and is_early and not is_due_before:
            return "at work in the last sixth"
        return ""

    def _judge_content(self, attempt: Attempt) -> Iterable[Finding]:
        if attempt.status != STATUS_OK:
            is_expected = attempt.status in EXPECTED_STATUSES or not attempt.whole
            if not is_expected:
                yield Finding(
                    Check.DENIED,
                    attempt.host,
                    attempt.request_id,
                    f"{attempt.status} {bytes(attempt.body[:200])!r}",
                )
            return
        if attempt.work.events:
            yield from self._judge_stream(attempt)
        elif attempt.whole and (
            not attempt.body.startswith(f"{attempt.request_id}.".encode())
            or len(attempt.body) != attempt.work.size
        ):
            detail = f"{len(attempt.body)} bytes, {bytes(attempt.body[:60])!r}"
            yield Finding(Check.MIXED, attempt.host, attempt.request_id, detail)

    def _judge_stream(self, attempt: Attempt) -> Iterable[Finding]:
        ids = attempt.list_event_ids()
        is_ordered = ids == list(range(1, len(ids) + 1))
        is_early = attempt.whole and (
            len(ids) != attempt.work.events or attempt.ends_inside_event()
        )
        if not is_ordered or is_early:
            detail = f"{len(ids)} of {attempt.work.events} events, {ids[-5:]}"
            yield Finding(Check.ORDER, attempt.host, attempt.request_id, detail)

    def _count_service(
        self, attempt: Attempt, life: HostLife, runs: list[WorkerRun], label: str
    ) -> None:
        """Count whether an attempt that could end was served, by its phase."""
        age_s = attempt.begun_s - life.terminated_s
        if age_s > SERVED_S:
            self.verdict.late[label] += 1
        if self._is_disturbed(attempt, life, runs):
            return
        needed_s = attempt.work.estimate_s() * (1 + DELAY_SHARE) + DELAY_S
        asked_s = attempt.begun_s + attempt.work.upload_s
        end_s = max(asked_s, attempt.waited_from_s) + needed_s
        stop_s = life.terminated_s + self._grace_s * (1 - LAST_PART)
        limit_s = min(attempt.deadline_s, attempt.begun_s + self._route_timeout_s)
        executed = [run for run in runs if run.executed]
        if executed and executed[0].due_s != math.inf:
            # A server that fell silent ends later than the request asked for.
            end_s = max(end_s, executed[0].due_s)
        if end_s > min(limit_s, stop_s):
            return
        served = attempt.whole and attempt.status == STATUS_OK
        if age_s < 0 and attempt.ended_s < life.terminated_s:
            self.verdict.calm += 1
            self.verdict.calm_served += served
            if not served:
                miss = self._create(Check.SERVED, attempt, life, f"{label}, in calm")
                self.verdict.calm_misses.append(miss)
        elif age_s >= 0 and asked_s <= life.terminated_s + SERVED_S:
            self.verdict.early += 1
            self.verdict.early_served += served
            if not served:
                detail = f"{label} {age_s:.3f} s after SIGTERM, {attempt.work}"
                self.verdict.early_misses.append(
                    self._create(Check.SERVED, attempt, life, detail)
                )

    def _is_disturbed(
        self, attempt: Attempt, life: HostLife, runs: list[WorkerRun]
    ) -> bool:
        """Return whether something else than a stop may explain a failure."""
        if any(run.broke for run in runs) or overlaps_pause(attempt, life):
            return True
        if attempt.abandoned or attempt.work.may_exceed_timeout():
            return True
        if any(
            attempt.begun_s < disturbance.until_s
            and attempt.ended_s > disturbance.since_s
            for disturbance in self._disturbances
        ):
            return True
        if attempt.refused_connection:
            return attempt.begun_s < life.ready_s
        if attempt.whole or runs:
            return False
        # The request crossed with the close of the connection.
        waited_s = attempt.ended_s - max(attempt.sent_s, attempt.waited_from_s)
        return waited_s <= UNREAD_SLACK_S

    def judge_runs(self, attempts: dict[str, Attempt]) -> None:
        """Judge what servers ran, once every request has ended."""
        for request_id, runs in self._ledger.items():
            executed = sum(run.executed for run in runs)
            attempt = attempts.get(request_id)
            if attempt is None or not executed:
                continue
            if attempt.status in NOT_RUN_STATUSES:
                detail = f"status {attempt.status}, {runs}"
                self._add(Check.REFUSED, attempt, detail)
            if executed > 1 and not attempt.work.may_repeat:
                self._add(Check.TWICE, attempt, str(runs))

    def judge_crashing(
        self, attempts: dict[str, Attempt], lives: dict[str, HostLife]
    ) -> None:
        """Judge how often a request that crashes servers reached them."""
        found = find_crashing_runs(attempts.values(), self._ledger, lives)
        self.verdict.crashing = found
        if found.is_excessive:
            since_s = found.runs[0].received_s
            times = ", ".join(f"{run.received_s - since_s:.1f}" for run in found.runs)
            finding = Finding(Check.CRASHING, "", "", f"{times} s after the first")
            self.verdict.findings.append(finding)

    def judge_limits(
        self,
        attempts: dict[str, Attempt],
        lives: dict[str, HostLife],
        limits: dict[str, list[RateLimit]],
    ) -> None:
        """Judge whether hosts together kept to the rates that servers named."""
        window = find_fullest_window(attempts.values(), self._ledger, lives, limits)
        self.verdict.fullest = window
        if window is not None and window.is_excessive:
            detail = f"{window.server}: {window.requests} of {window.allowed:.0f}"
            self.verdict.findings.append(Finding(Check.LIMIT, "", "", detail))

    def judge_exits(self, lives: Iterable[HostLife]) -> None:
        """Judge how and when the processes that got SIGTERM exited."""
        for life in lives:
            if life.exited_s == math.inf or life.ended_by_soak:
                continue
            taken_s = life.exited_s - life.terminated_s
            code = life.process.returncode
            was_early = code == SIGTERM_CODE and not life.had_logged
            if life.terminated_s != math.inf:
                self.verdict.exits_s.append(taken_s)
            if life.killed or taken_s > self._grace_s or (code and not was_early):
                detail = f"code {code} {taken_s:.2f} s after SIGTERM"
                self.verdict.findings.append(Finding(Check.EXIT, life.name, "", detail))

    def judge_service(self) -> None:
        """Compare the share served after SIGTERM with the share served in calm."""
        verdict = self.verdict
        missed = verdict.calm - verdict.calm_served
        share = missed / verdict.calm if verdict.calm else 0.0
        if len(verdict.early_misses) > math.ceil(share * verdict.early):
            verdict.findings.extend(verdict.early_misses)

    def _add(self, check: str, attempt: Attempt, detail: str) -> None:
        finding = Finding(check, attempt.host, attempt.request_id, detail)
        self.verdict.findings.append(finding)

    def _create(
        self, check: str, attempt: Attempt, life: HostLife, detail: str
    ) -> Finding:
        def describe(at_s: float) -> str:
            return f"{at_s - life.terminated_s:.3f}"

        times = (
            f"{attempt.work.route} begun {describe(attempt.begun_s)}, sent "
            f"{describe(attempt.sent_s)}, ended {describe(attempt.ended_s)} s "
            "after SIGTERM"
        )
        return Finding(check, life.name, attempt.request_id, f"{times}; {detail}")


def overlaps_pause(attempt: Attempt, life: HostLife) -> bool:
    """Return whether the host was paused while the request was open."""
    return any(
        attempt.begun_s < end_s + PAUSE_MARGIN_S and attempt.ended_s > start_s
        for start_s, end_s in life.pauses
    )
