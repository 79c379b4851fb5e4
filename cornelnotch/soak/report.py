"""Print the verdict of a soak."""

from collections.abc import Callable, Mapping
from pathlib import Path

from cornelnotch.soak.judge import Finding, Verdict

__all__ = ["print_verdict"]

MAX_FINDINGS_PER_CHECK = 8
MAX_LOG_LINES = 6
MAX_MISSES = 4

Print = Callable[[str], None]


def print_verdict(verdict: Verdict, logs: Mapping[str, Path], write: Print) -> None:
    """Print the figures, then the findings with the log lines that name them."""
    write(f"responses: {_format_counts(verdict.statuses)}")
    write(f"sent later than 3 s after SIGTERM: {_format_counts(verdict.late)}")
    write(f"excused: {_format_counts(verdict.excused)}")
    write(f"served in calm: {verdict.calm_served} of {verdict.calm}")
    for miss in (verdict.calm_misses + verdict.early_misses)[:MAX_MISSES]:
        _print_finding(miss, logs, write)
    write(
        f"served of what was sent in the first 3 s: {verdict.early_served}"
        f" of {verdict.early}"
    )
    if verdict.unfinished:
        write(f"callers whose last requests did not end: {verdict.unfinished}")
    write(f"longest delay of the soak itself: {verdict.delay_s:.2f} s")
    if verdict.crashing is not None and verdict.crashing.attempts:
        write(
            f"request that crashes servers: sent {verdict.crashing.attempts} times, "
            f"run {len(verdict.crashing.runs)}, late {len(verdict.crashing.late)}"
        )
    if verdict.fullest is not None:
        write(
            f"most requests at a server with a limit in 4 s: {verdict.fullest.requests}"
            f" of {verdict.fullest.allowed:.0f} allowed"
        )
    if verdict.exits_s:
        write(
            f"stops: {len(verdict.exits_s)}, exits after {min(verdict.exits_s):.2f} to "
            f"{max(verdict.exits_s):.2f} s"
        )
    for check, count in sorted(verdict.count().items()):
        write(f"{check}: {count}")
        found = [f for f in verdict.findings if f.check == check]
        for finding in found[:MAX_FINDINGS_PER_CHECK]:
            _print_finding(finding, logs, write)
    write("FAILED" if verdict.findings else "all checks held")


def _print_finding(finding: Finding, logs: Mapping[str, Path], write: Print) -> None:
    write(f"  {finding.host} {finding.request_id} {finding.detail}")
    path = logs.get(finding.host)
    if path is None or not finding.request_id:
        return
    name = f'"{finding.request_id}"'
    lines = [x for x in path.read_text(errors="replace").splitlines() if name in x]
    for line in lines[:MAX_LOG_LINES]:
        write(f"    {line}")


def _format_counts(counts: Mapping[str, int]) -> str:
    return ", ".join(f"{k} {v}" for k, v in sorted(counts.items())) or "none"
