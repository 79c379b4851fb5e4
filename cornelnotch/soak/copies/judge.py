"""Judge from the engines' records whether requests ran twice; no I/O."""

import re
from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from cornelnotch.soak.attempts import Attempt
from cornelnotch.soak.copies.plan import RESUMABLE, Trouble
from cornelnotch.soak.copies.records import EngineRun

__all__ = [
    "CopyFinding",
    "CopyVerdict",
    "EnginePause",
    "Form",
    "judge_copies",
]

# Time for which two engines may work on one request.
MAX_OVERLAP_S = 0.4
# An engine that stood still sees closed connections this long after it wakes.
WAKE_S = 0.25
STATUS_OK = 200
EVENT_END = b"\n\n"
EVENT = re.compile(rb"id: (\d+)\ndata: (.+)\.(\d+)")
TOUCHING = frozenset({Trouble.STAND_STILL, Trouble.SILENCE, Trouble.KILL})


class Form(StrEnum):
    """How a request ran twice, or what was wrong with its response."""

    AGAIN = "1: run again without its copy"
    WENT_ON = "2 (i): first engine, awake, went on"
    STOOD_STILL = "2 (ii): first engine stood still and ended when it woke"
    SECOND_ENDED = "2 (iii): second run ended, first engine went on"
    ORDER = "ORDER: events missing, joined or twice"


@dataclass(frozen=True, slots=True)
class EnginePause:
    """Disturbance of an engine; times in monotonic seconds."""

    engine: str
    trouble: Trouble
    since_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class CopyFinding:
    """One fault; `is_resumable` tells the kind of its stream.

    `events` is the number of events that the later run made.
    """

    form: Form
    request_id: str
    host: str
    detail: str
    is_resumable: bool
    events: int = 0

    @property
    def is_violation(self) -> bool:
        """Return whether the soak fails because of it."""
        return not self.is_resumable and self.form is not Form.STOOD_STILL


@dataclass(slots=True)
class Tally:
    """Streams that ended whole, of all and of those that a disturbance touched."""

    all: int = 0
    whole: int = 0
    touched: int = 0
    touched_whole: int = 0
    not_begun: int = 0
    left: int = 0
    copied_runs: int = 0


@dataclass(slots=True)
class CopyVerdict:
    """Findings and figures of one soak."""

    findings: list[CopyFinding] = field(default_factory=list)
    single: Tally = field(default_factory=Tally)
    resumable: Tally = field(default_factory=Tally)
    delay_s: float = 0.0
    unfinished: int = 0
    errors: list[str] = field(default_factory=list)

    @property
    def violations(self) -> int:
        """Return the number of faults because of which the soak fails."""
        return sum(finding.is_violation for finding in self.findings)

    def count(self, *, is_resumable: bool) -> Counter[Form]:
        """Return the number of findings by form for one kind of stream."""
        found = [f for f in self.findings if f.is_resumable is is_resumable]
        return Counter(finding.form for finding in found)

    def count_without_events(self, form: Form, *, is_resumable: bool) -> int:
        """Return in how many findings the later run made no event."""
        found = [f for f in self.findings if f.is_resumable is is_resumable]
        return sum(f.form is form and not f.events for f in found)


class CopyJudge:
    """Judge all requests of a soak by the runs that the engines recorded."""

    def __init__(
        self, runs: Sequence[EngineRun], pauses: Sequence[EnginePause]
    ) -> None:
        self._runs: defaultdict[str, list[EngineRun]] = defaultdict(list)
        for run in runs:
            self._runs[run.request_id].append(run)
        self._pauses = pauses
        self._hosts: dict[str, str] = {}
        self.verdict = CopyVerdict()

    def end_killed_runs(self, last_s: float) -> None:
        """End the runs whose engine was killed when it was, the others at `last_s`."""
        for run in (run for runs in self._runs.values() for run in runs):
            if run.end_s != float("inf"):
                continue
            kills = [
                pause.since_s
                for pause in self._pauses
                if pause.trouble is Trouble.KILL
                and pause.engine == run.engine
                and pause.since_s >= run.begin_s
            ]
            run.end_s, run.was_killed = min(kills, default=last_s), bool(kills)

    def judge(self, attempts: Mapping[str, Attempt]) -> CopyVerdict:
        """Judge all requests."""
        self._hosts = {name: attempt.host for name, attempt in attempts.items()}
        for runs in self._runs.values():
            self._judge_runs(runs)
        for attempt in attempts.values():
            if attempt.work.events and not attempt.refused_connection:
                self._judge_order(attempt)
                self._tally(attempt)
        return self.verdict

    def _add_run(self, form: Form, earlier: EngineRun, later: EngineRun) -> None:
        finding = CopyFinding(
            form,
            later.request_id,
            self._hosts.get(later.request_id, ""),
            self._describe(earlier, later),
            later.route == RESUMABLE,
            later.events,
        )
        self.verdict.findings.append(finding)

    def _judge_runs(self, runs: list[EngineRun]) -> None:
        for index, later in enumerate(runs[1:], 1):
            if not later.is_copied and later.route != RESUMABLE:
                self._add_run(Form.AGAIN, runs[index - 1], later)
            for earlier in runs[:index]:
                form = self._find_overlap(earlier, later)
                if form is not None:
                    self._add_run(form, earlier, later)

    def _find_overlap(self, earlier: EngineRun, later: EngineRun) -> Form | None:
        limit_s = later.begin_s + MAX_OVERLAP_S
        if earlier.engine == later.engine or earlier.end_s <= limit_s:
            return None
        was_left = not later.is_finished and not later.was_killed
        went_on = earlier.is_finished or later.end_s < earlier.end_s
        is_first_kept = was_left and earlier.is_finished
        if not is_first_kept and self._ended_on_waking(earlier, limit_s):
            return Form.STOOD_STILL
        return Form.SECOND_ENDED if was_left and went_on else Form.WENT_ON

    def _ended_on_waking(self, run: EngineRun, at_s: float) -> bool:
        """Return whether a run's engine stood still at a time, and then ended it.

        Killed engines did no work until the kill either, if they stood still.
        """
        return any(
            pause.engine == run.engine
            and pause.trouble is Trouble.STAND_STILL
            and pause.since_s <= at_s <= pause.until_s + WAKE_S
            and run.end_s <= pause.until_s + WAKE_S
            for pause in self._pauses
        )

    def _describe(self, earlier: EngineRun, later: EngineRun) -> str:
        parts = [_describe_run(run, earlier.begin_s) for run in (earlier, later)]
        troubles = [
            f"{p.engine} {p.trouble.value} {p.since_s - earlier.begin_s:.3f} to "
            f"{p.until_s - earlier.begin_s:.3f}"
            for p in self._pauses
            if p.engine in {earlier.engine, later.engine}
            and p.since_s < max(earlier.end_s, later.end_s)
            and p.until_s > earlier.begin_s
        ]
        return "; ".join([*parts, *troubles])

    def _judge_order(self, attempt: Attempt) -> None:
        numbers = list_numbers(attempt)
        expected = list(range(1, len(numbers) + 1))
        is_short = attempt.whole and len(numbers) < attempt.work.events
        if attempt.status != STATUS_OK or (numbers == expected and not is_short):
            return
        wrong = next((n for n, e in zip(numbers, expected, strict=True) if n != e), 0)
        detail = f"{len(numbers)} of {attempt.work.events} events, first wrong {wrong}"
        is_resumable = attempt.work.route == RESUMABLE
        finding = CopyFinding(
            Form.ORDER, attempt.request_id, attempt.host, detail, is_resumable
        )
        self.verdict.findings.append(finding)

    def _tally(self, attempt: Attempt) -> None:
        is_resumable = attempt.work.route == RESUMABLE
        tally = self.verdict.resumable if is_resumable else self.verdict.single
        runs = self._runs.get(attempt.request_id, [])
        tally.copied_runs += sum(run.is_copied for run in runs)
        if attempt.abandoned:
            tally.left += 1
            return
        is_whole = attempt.whole and attempt.status == STATUS_OK
        tally.all += 1
        tally.whole += is_whole
        tally.not_begun += not runs
        if any(self._is_touched(run) for run in runs):
            tally.touched += 1
            tally.touched_whole += is_whole

    def _is_touched(self, run: EngineRun) -> bool:
        return any(
            pause.engine == run.engine
            and pause.trouble in TOUCHING
            and pause.since_s <= run.end_s
            and run.begin_s <= pause.until_s
            for pause in self._pauses
        )


def _describe_run(run: EngineRun, origin_s: float) -> str:
    begun = f"from its copy after {run.after}" if run.is_copied else "anew"
    ends = {
        run.is_finished: "finished",
        run.has_left: "left",
        run.was_killed: "killed",
    }
    return (
        f"{run.engine} {run.begin_s - origin_s:.3f} to {run.end_s - origin_s:.3f} "
        f"{begun}, {run.events} events, {ends.get(True, 'ended')}"
    )


def list_numbers(attempt: Attempt) -> list[int]:
    """Return the numbers of the complete events, -1 for what no engine sent so."""
    numbers = []
    for event in bytes(attempt.body).split(EVENT_END)[:-1]:
        match = EVENT.fullmatch(event)
        is_right = (
            match is not None
            and match.group(1) == match.group(3)
            and match.group(2) == attempt.request_id.encode()
        )
        numbers.append(int(match.group(1)) if match and is_right else -1)
    return numbers


def judge_copies(
    runs: Sequence[EngineRun],
    pauses: Sequence[EnginePause],
    attempts: Mapping[str, Attempt],
    last_s: float,
) -> CopyVerdict:
    """Return the verdict on all requests of a soak that ended at `last_s`."""
    judge = CopyJudge(runs, pauses)
    judge.end_killed_runs(last_s)
    return judge.judge(attempts)
