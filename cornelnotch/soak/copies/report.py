"""Print the verdict of a soak of copies."""

from collections.abc import Callable, Mapping
from pathlib import Path

from cornelnotch.soak.copies.judge import CopyFinding, CopyVerdict, Form, Tally

__all__ = ["print_copy_verdict"]

MAX_FINDINGS_PER_FORM = 4
MAX_LOG_LINES = 8

Print = Callable[[str], None]


def print_copy_verdict(
    verdict: CopyVerdict, logs: Mapping[str, Path], write: Print
) -> None:
    """Print the figures by kind of stream, then findings with their log lines."""
    _print_kind("may not be repeated", verdict, verdict.single, write)
    _print_kind("resumable", verdict, verdict.resumable, write)
    write(f"longest delay of the soak itself: {verdict.delay_s:.2f} s")
    if verdict.unfinished:
        write(f"callers whose last requests did not end: {verdict.unfinished}")
    for form in Form:
        found = [f for f in verdict.findings if f.form is form]
        found.sort(key=lambda finding: finding.is_resumable)
        for finding in found[:MAX_FINDINGS_PER_FORM]:
            _print_finding(finding, logs, write)
    for error in verdict.errors:
        write(f"soak failed: {error}")
    write("FAILED" if verdict.violations or verdict.errors else "all checks held")


def _print_kind(kind: str, verdict: CopyVerdict, tally: Tally, write: Print) -> None:
    write(
        f"{kind}: whole {tally.whole} of {tally.all}, of those touched "
        f"{tally.touched_whole} of {tally.touched}; not begun {tally.not_begun}, "
        f"left by callers {tally.left}, runs from copies {tally.copied_runs}"
    )
    is_resumable = tally is verdict.resumable
    counts = verdict.count(is_resumable=is_resumable)
    for form in Form:
        line = f"  {form.value}: {counts[form]}"
        if counts[form] and form is not Form.ORDER:
            without = verdict.count_without_events(form, is_resumable=is_resumable)
            line += f", of which the later run made no event: {without}"
        write(line)


def _print_finding(
    finding: CopyFinding, logs: Mapping[str, Path], write: Print
) -> None:
    kind = "resumable " if finding.is_resumable else ""
    write(f"{finding.form.value}: {kind}{finding.host} {finding.request_id}")
    write(f"    {finding.detail}")
    path = logs.get(finding.host)
    if path is None or not finding.is_violation:
        return
    name = f'"{finding.request_id}"'
    lines = [x for x in path.read_text(errors="replace").splitlines() if name in x]
    for line in lines[:MAX_LOG_LINES]:
        write(f"    {line}")
