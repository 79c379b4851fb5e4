"""Break down the score losses of a simulated day by cause.

Run with ``python -m benchmarks.losses REPORT [LOG]``. REPORT contains the score parts,
prices and classes of a simulated day as JSON. LOG contains the log lines of its hosts;
if it is given, the causes of unserved requests are counted and a chart is written to
``losses.svg``. The losses and the score add up to 1.
"""

import math
import sys
from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import orjson
import pygal

from benchmarks.forecast import read_events

CLASSES = "worst class"
WHOLE_DAY = "whole day"
CHART_FILE = Path("losses.svg")
WINDOW_S = 2.0
# Events that end a request; if a request has several, the last one counts.
FINAL_EVENTS = (
    "REQUEST_ANSWERED",
    "REQUEST_REFUSED",
    "REQUEST_BROKEN_OFF",
    "CALLER_LEFT",
)


@dataclass(frozen=True, slots=True)
class Loss:
    """Part of the maximum score, 1, that is lost to one cause."""

    cause: str
    amount: float


def list_losses(report: dict[str, Any]) -> list[Loss]:
    """Return the losses of a day; together with the score they add up to 1."""
    losses = []
    for name, weight, value in report["parts"]:
        lost = weight * (1.0 - value)
        if name == WHOLE_DAY:
            losses += _split_day(report, lost)
        else:
            losses.append(Loss(name, lost))
    losses += [Loss(f"price: {name}", cost) for name, _, cost in report["prices"]]
    explained = sum(loss.amount for loss in losses)
    losses.append(Loss("not attributed", 1.0 - report["G"] - explained))
    return [loss for loss in losses if abs(loss.amount) >= 0.00005]


def _split_day(report: dict[str, Any], lost: float) -> list[Loss]:
    """Split the loss of the whole day by class and by late or unserved requests."""
    shares = []
    for entry in report["classes"]:
        missing = entry["refused"] + entry["failed"]
        owed = max(entry["n"] - entry["not_owed"], 1)
        unserved = min(missing / owed, 1.0 - entry["worth"])
        late = max(1.0 - entry["worth"] - unserved, 0.0)
        shares.append((f"{entry['name']}: not served", unserved * owed))
        shares.append((f"{entry['name']}: late", late * owed))
    total = sum(share for _, share in shares) or 1.0
    return [
        Loss(f"{WHOLE_DAY}: {name}", lost * share / total) for name, share in shares
    ]


def count_ends(events: Iterable[dict[str, Any]]) -> Counter[tuple[str, str]]:
    """Return the number of requests by route and final event."""
    routes: dict[str, str] = {}
    ends: dict[str, str] = {}
    for event in events:
        fields = event["fields"]
        name = fields.get("request_id", "")
        if event["name"] == "REQUEST_ROUTED":
            routes[name] = fields["route"]
            ends.setdefault(name, "host terminated")
        elif event["name"] in FINAL_EVENTS:
            ends[name] = _describe_end(event["name"], fields)
    return Counter((routes[name], end) for name, end in ends.items() if name in routes)


def _describe_end(event: str, fields: dict[str, Any]) -> str:
    if event == "REQUEST_ANSWERED":
        return f"answered {fields['status']}"
    if event == "REQUEST_REFUSED":
        return f"refused {fields['status']}, {fields['reason']}"
    if event == "CALLER_LEFT":
        return f"caller disconnected, runs: {fields['ran']}"
    return "response aborted"


def draw_ends(events: Iterable[dict[str, Any]], path: Path) -> None:
    """Write a chart of the final events of requests over time."""
    windows: dict[str, Counter[int]] = defaultdict(Counter)
    start_ms = math.inf
    for event in events:
        start_ms = min(start_ms, event["time_ms"])
        if event["name"] in FINAL_EVENTS:
            window = int((event["time_ms"] - start_ms) / 1000.0 / WINDOW_S)
            end = _describe_end(event["name"], event["fields"]).split(",")[0]
            windows[end][window] += 1
    size = max((max(counts) for counts in windows.values()), default=0) + 1
    chart = pygal.StackedBar(title="How requests ended", x_title="s since the start")
    chart.x_labels = [f"{number * WINDOW_S:.0f}" for number in range(size)]
    for end, counts in sorted(windows.items()):
        chart.add(end, [counts[number] for number in range(size)])
    chart.render_to_file(str(path))


def run_benchmark(report_path: Path, log_path: Path | None) -> None:
    """Print the losses, and the final events of requests if there is a log."""
    report = orjson.loads(report_path.read_bytes())
    losses = sorted(list_losses(report), key=lambda loss: -loss.amount)
    for loss in losses:
        print(f"{loss.amount:8.4f}  {loss.cause}")
    total = sum(loss.amount for loss in losses)
    print(f"{total:8.4f}  total; the score of the day is {report['G']:.4f}")
    if log_path is None:
        return
    for (route, end), count in sorted(count_ends(read_events(log_path)).items()):
        print(f"{count:8}  {route}: {end}")
    draw_ends(read_events(log_path), CHART_FILE)


if __name__ == "__main__":
    run_benchmark(Path(sys.argv[1]), Path(sys.argv[2]) if len(sys.argv) > 2 else None)
