"""HTML reports with plots of one run, or of several to compare."""

import itertools
from collections import defaultdict
from pathlib import Path

import pygal
from pygal.style import CleanStyle

from cornelnotch.load.results import (
    RunResult,
    check_guarantees,
    summarize_classes,
)

__all__ = ["create_page", "write_page"]

BUCKET_MS = 1000.0
PAGE_HEAD = """<!doctype html><html lang="en"><meta charset="utf-8">
<title>cornelnotch run</title><style>
body{font:15px/1.5 sans-serif;max-width:70rem;margin:2rem auto;padding:0 1rem}
table{border-collapse:collapse;margin:1rem 0}
td,th{border:1px solid #ccc;padding:.25rem .6rem;text-align:right}
td:first-child,th:first-child{text-align:left}.bad{color:#b00020;font-weight:bold}
</style>
"""


def _group_attainment(result: RunResult) -> dict[str, dict[int, list[bool]]]:
    groups: dict[str, dict[int, list[bool]]] = defaultdict(lambda: defaultdict(list))
    for sample in result.samples:
        if sample.result != "left":
            second = int(sample.at_ms // BUCKET_MS)
            groups[sample.class_name][second].append(sample.attained)
    return groups


def _create_chart(title: str, seconds: int) -> pygal.Line:
    chart = pygal.Line(
        style=CleanStyle,
        height=300,
        width=1000,
        show_dots=False,
        js=[],
        x_labels_major_every=5,
        show_minor_x_labels=False,
        title=title,
    )
    chart.x_labels = [str(second) for second in range(seconds)]
    return chart


def _draw_attainment(result: RunResult, seconds: int) -> str:
    chart = _create_chart("attainment by second of arrival", seconds)
    for name, buckets in sorted(_group_attainment(result).items()):
        series = [
            sum(buckets[s]) / len(buckets[s]) if s in buckets else None
            for s in range(seconds)
        ]
        chart.add(name, series)
    return chart.render(is_unicode=True, disable_xml_declaration=True)


def _draw_first_token(result: RunResult, seconds: int) -> str:
    chart = _create_chart("mean time to first token, ms", seconds)
    names = sorted({s.class_name for s in result.samples if s.first_token_ms})
    for name in names:
        buckets: dict[int, list[float]] = defaultdict(list)
        for sample in result.samples:
            if sample.class_name == name and sample.first_token_ms:
                second = int(sample.at_ms // BUCKET_MS)
                buckets[second].append(sample.first_token_ms)
        means = [
            sum(buckets[s]) / len(buckets[s]) if s in buckets else None
            for s in range(seconds)
        ]
        chart.add(name, means)
    return chart.render(is_unicode=True, disable_xml_declaration=True)


def _draw_queues(result: RunResult, seconds: int) -> str:
    chart = _create_chart("waiting requests by class", seconds)
    by_second = {int(at // BUCKET_MS): counts for at, counts in result.queued}
    names = sorted({name for _, counts in result.queued for name in counts})
    for name in names:
        series = [
            by_second[s].get(name, 0) if s in by_second else None
            for s in range(seconds)
        ]
        chart.add(name, series)
    return chart.render(is_unicode=True, disable_xml_declaration=True)


def _draw_tokens(result: RunResult, seconds: int) -> str:
    """Draw generated against delivered tokens; the difference is wasted."""
    chart = _create_chart(
        "cumulative tokens, generated and delivered in complete responses", seconds
    )
    made = {int(at // BUCKET_MS): total for at, total in result.generated}
    delivered = [0] * seconds
    for sample in result.samples:
        second = int((sample.at_ms + sample.whole_ms) // BUCKET_MS)
        if sample.result == "complete" and second < seconds:
            delivered[second] += sample.tokens
    chart.add("made", [made.get(s) for s in range(seconds)])
    chart.add("delivered", list(itertools.accumulate(delivered)))
    return chart.render(is_unicode=True, disable_xml_declaration=True)


def _draw_versions(result: RunResult, seconds: int) -> str:
    chart = _create_chart("configuration version by host", seconds)
    for host, track in sorted(result.versions.items()):
        by_second = {int(at // BUCKET_MS): version for at, version in track}
        chart.add(host, [by_second.get(s) for s in range(seconds)])
    return chart.render(is_unicode=True, disable_xml_declaration=True)


def _write_table(results: list[RunResult]) -> str:
    head = "".join(f"<th>{r.name} (seed {r.seed})</th>" for r in results)
    rows: dict[str, list[str]] = defaultdict(list)
    for result in results:
        for row in summarize_classes(result):
            rows[f"{row.class_name}: attainment"].append(f"{row.attainment:.1%}")
            rows[f"{row.class_name}: complete of calls"].append(
                f"{row.complete} of {row.calls}"
            )
            rows[f"{row.class_name}: first token p95"].append(
                f"{row.first_token_p95_ms:.0f} ms"
            )
        guarantees = check_guarantees(result)
        rows["wasted tokens"].append(f"{guarantees.wasted_share:.2%}")
        rows["goodput"].append(f"{guarantees.goodput_per_second:.0f} tokens/s")
        for name in ("doubled", "lost", "wrong_answers", "false_not_run"):
            rows[name.replace("_", " ")].append(
                _format_violations(getattr(guarantees, name))
            )
        rows["version reversals"].append(
            _format_violations(guarantees.version_reversals)
        )
    body = "".join(
        f"<tr><td>{name}</td>{''.join(f'<td>{v}</td>' for v in values)}</tr>"
        for name, values in rows.items()
    )
    return f"<table><tr><th></th>{head}</tr>{body}</table>"


def _format_violations(count: int) -> str:
    return f'<span class="bad">{count}</span>' if count else "0"


def create_page(results: list[RunResult]) -> str:
    """Return the HTML page of one run, or of several to compare."""
    parts = [PAGE_HEAD, "<h1>cornelnotch run</h1>", _write_table(results)]
    for result in results:
        last = max((s.at_ms for s in result.samples), default=0.0)
        seconds = int(last // BUCKET_MS) + 1
        parts.append(f"<h2>{result.name}, seed {result.seed}</h2>")
        parts.append(_draw_attainment(result, seconds))
        parts.append(_draw_first_token(result, seconds))
        parts.append(_draw_queues(result, seconds))
        parts.append(_draw_tokens(result, seconds))
        parts.append(_draw_versions(result, seconds))
    return "\n".join(parts)


def write_page(results: list[RunResult], path: Path) -> None:
    """Write the page to a file."""
    path.write_text(create_page(results), encoding="utf-8")
