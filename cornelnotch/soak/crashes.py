"""Judge how often a request that crashes servers reaches them; no I/O."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from cornelnotch.soak.attempts import Attempt
from cornelnotch.soak.fleet import HostLife
from cornelnotch.standins.worker import RunLedger, WorkerRun

__all__ = ["CrashingRuns", "find_crashing_runs"]

KNOWN_AFTER_CRASHES = 3
MAX_LATE_RUNS = 3
# Hosts that ran and were ready for so long know what the others know.
CONTACT_S = 4.0


@dataclass(frozen=True, slots=True)
class CrashingRuns:
    """Attempts with the request, and when it reached servers, in monotonic seconds.

    `late` contains the runs that hosts sent though they should have known.
    """

    attempts: int
    runs: tuple[WorkerRun, ...]
    late: tuple[WorkerRun, ...]

    @property
    def is_excessive(self) -> bool:
        """Return whether the request reached servers too often."""
        return len(self.late) > MAX_LATE_RUNS


def find_crashing_runs(
    attempts: Iterable[Attempt], ledger: RunLedger, lives: Mapping[str, HostLife]
) -> CrashingRuns:
    """Return what became of the attempts with a request that crashes servers."""
    crashing = [attempt for attempt in attempts if attempt.work.crashes]
    hosts = {attempt.request_id: lives[attempt.host] for attempt in crashing}
    runs = [
        (run, hosts[request_id])
        for request_id in hosts
        for run in ledger.get(request_id, [])
        if run.executed
    ]
    runs.sort(key=lambda pair: pair[0].received_s)
    late = []
    if len(runs) >= KNOWN_AFTER_CRASHES:
        known_s = runs[KNOWN_AFTER_CRASHES - 1][0].received_s + CONTACT_S
        late = [
            run
            for run, life in runs
            if run.received_s > known_s and was_in_touch(life, run.received_s)
        ]
    return CrashingRuns(len(crashing), tuple(run for run, _ in runs), tuple(late))


def was_in_touch(life: HostLife, at_s: float) -> bool:
    """Return whether the process had been ready and ran for long enough."""
    since_s = at_s - CONTACT_S
    return life.ready_s <= since_s and not any(
        start_s < at_s and end_s > since_s for start_s, end_s in life.pauses
    )
