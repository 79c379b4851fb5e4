"""Tell where the worth of a played day is lost, as a table that adds up.

Run with ``python -m benchmarks.losses REPORT [LOG]``. REPORT holds a played day's
parts, prices and classes as JSON. LOG holds the log lines of its hosts; with it, causes
of what was not served are counted and a picture is drawn to ``losses.svg``.
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
DAY = "whole day"
PICTURE = Path("losses.svg")
WINDOW_S = 2.0
# Events that end a request, in the order in which a later one goes before.
ENDS = ("REQUEST_ANSWERED", "REQUEST_REFUSED", "REQUEST_BROKEN_OFF", "CALLER_LEFT")


@dataclass(frozen=True, slots=True)
class Loss:
    """Hold what one cause costs of a worth of 1."""

    cause: str
    worth: float


def list_losses(report: dict[str, Any]) -> list[Loss]:
    """Return the losses of a day; with the worth they add up to 1."""
    losses = []
    for name, weight, value in report["parts"]:
        lost = weight * (1.0 - value)
        if name == DAY:
            losses += _split_day(report, lost)
        else:
            losses.append(Loss(name, lost))
    losses += [Loss(f"price: {name}", cost) for name, _, cost in report["prices"]]
    known = sum(loss.worth for loss in losses)
    losses.append(Loss("not told apart", 1.0 - report["G"] - known))
    return [loss for loss in losses if abs(loss.worth) >= 0.00005]


def _split_day(report: dict[str, Any], lost: float) -> list[Loss]:
    """Split what the whole day lost by kind of request and by late or not served."""
    shares = []
    for entry in report["classes"]:
        missing = entry["refused"] + entry["failed"]
        owed = max(entry["n"] - entry["not_owed"], 1)
        unserved = min(missing / owed, 1.0 - entry["worth"])
        late = max(1.0 - entry["worth"] - unserved, 0.0)
        shares.append((f"{entry['name']}: not served", unserved * owed))
        shares.append((f"{entry['name']}: late", late * owed))
    total = sum(share for _, share in shares) or 1.0
    return [Loss(f"{DAY}: {name}", lost * share / total) for name, share in shares]


def count_ends(events: Iterable[dict[str, Any]]) -> Counter[tuple[str, str]]:
    """Count how requests ended, by route and cause."""
    routes: dict[str, str] = {}
    ends: dict[str, str] = {}
    for event in events:
        fields = event["fields"]
        name = fields.get("request_id", "")
        if event["name"] == "REQUEST_ROUTED":
            routes[name] = fields["route"]
            ends.setdefault(name, "its host ended")
        elif event["name"] in ENDS:
            ends[name] = _describe_end(event["name"], fields)
    return Counter((routes[name], end) for name, end in ends.items() if name in routes)


def _describe_end(event: str, fields: dict[str, Any]) -> str:
    if event == "REQUEST_ANSWERED":
        return f"answered {fields['status']}"
    if event == "REQUEST_REFUSED":
        return f"refused {fields['status']}, {fields['reason']}"
    if event == "CALLER_LEFT":
        return f"caller left, runs: {fields['ran']}"
    return "broken off"


def draw_ends(events: Iterable[dict[str, Any]], path: Path) -> None:
    """Draw how many requests ended in each way over time."""
    windows: dict[str, Counter[int]] = defaultdict(Counter)
    began_ms = math.inf
    for event in events:
        began_ms = min(began_ms, event["time_ms"])
        if event["name"] in ENDS:
            window = int((event["time_ms"] - began_ms) / 1000.0 / WINDOW_S)
            end = _describe_end(event["name"], event["fields"]).split(",")[0]
            windows[end][window] += 1
    size = max((max(found) for found in windows.values()), default=0) + 1
    chart = pygal.StackedBar(title="How requests ended", x_title="s since the start")
    chart.x_labels = [f"{number * WINDOW_S:.0f}" for number in range(size)]
    for end, found in sorted(windows.items()):
        chart.add(end, [found[number] for number in range(size)])
    chart.render_to_file(str(path))


def run_benchmark(report_path: Path, log_path: Path | None) -> None:
    """Print the table, and the causes if there is a log."""
    report = orjson.loads(report_path.read_bytes())
    losses = sorted(list_losses(report), key=lambda loss: -loss.worth)
    for loss in losses:
        print(f"{loss.worth:8.4f}  {loss.cause}")
    total = sum(loss.worth for loss in losses)
    print(f"{total:8.4f}  in all; the day is worth {report['G']:.4f}")
    if log_path is None:
        return
    for (route, end), count in sorted(count_ends(read_events(log_path)).items()):
        print(f"{count:8}  {route}: {end}")
    draw_ends(read_events(log_path), PICTURE)


if __name__ == "__main__":
    run_benchmark(Path(sys.argv[1]), Path(sys.argv[2]) if len(sys.argv) > 2 else None)
