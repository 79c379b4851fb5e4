"""Compare the latencies that hosts predicted with the observed ones, by route.

Run with ``python -m benchmarks.forecast LOG``, where LOG contains the JSON log lines of
hosts, each with an optional prefix. A host logs the predicted prefill time when a
request leaves the admission queue, and the observed time to the first event and the
longest pause when the request is answered.
"""

import sys
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from statistics import median, quantiles
from typing import Any

import orjson

TURN_CAME = "TURN_CAME"
REQUEST_ROUTED = "REQUEST_ROUTED"
REQUEST_ANSWERED = "REQUEST_ANSWERED"
MIN_SAMPLES = 10


@dataclass(slots=True)
class Forecast:
    """Predicted and observed latencies of a request, in ms."""

    route: str = ""
    turn_ms: float = 0.0
    read_ms: float = 0.0
    event_ms: float = 0.0
    first_ms: float = 0.0
    pause_ms: float = 0.0

    def is_complete(self) -> bool:
        """Return whether the request has both a prediction and an observation."""
        return self.read_ms > 0 and self.first_ms > 0


def read_events(path: Path) -> Iterator[dict[str, Any]]:
    """Yield the log events of a file, skipping lines without one."""
    with path.open(encoding="utf-8", errors="replace") as lines:
        for line in lines:
            start = line.find('{"time_ms"')
            if start < 0:
                continue
            try:
                yield orjson.loads(line[start:])
            except orjson.JSONDecodeError:
                print(f"skipping malformed line: {line[:60]!r}", file=sys.stderr)


def collect_forecasts(events: Iterable[dict[str, Any]]) -> list[Forecast]:
    """Return the forecasts of all answered requests with a predicted prefill time."""
    forecasts: dict[str, Forecast] = defaultdict(Forecast)
    for event in events:
        fields = event["fields"]
        forecast = forecasts[fields.get("request_id", "")]
        if event["name"] == REQUEST_ROUTED:
            forecast.route = fields["route"]
        elif event["name"] == TURN_CAME and "read_ms" in fields:
            forecast.turn_ms = fields["after_ms"]
            forecast.read_ms = fields["read_ms"]
            forecast.event_ms = fields["event_ms"]
        elif event["name"] == REQUEST_ANSWERED and "longest_gap_ms" in fields:
            forecast.first_ms = fields["first_ms"]
            forecast.pause_ms = fields["longest_gap_ms"]
    return [forecast for forecast in forecasts.values() if forecast.is_complete()]


def print_route(route: str, forecasts: list[Forecast]) -> None:
    """Print the forecast errors of a route."""
    errors = [f.first_ms - f.turn_ms - f.read_ms for f in forecasts]
    pauses = [f.pause_ms for f in forecasts]
    deciles = quantiles(errors, n=10)
    print(
        f"{route:14} {len(forecasts):8} {median(f.read_ms for f in forecasts):9.0f}"
        f" {median(errors):9.0f} {deciles[0]:9.0f} {deciles[-1]:9.0f}"
        f" {median(f.event_ms for f in forecasts):9.0f} {median(pauses):9.0f}"
    )


def run_benchmark(path: Path) -> None:
    """Print a table of forecasts and errors by route."""
    routes: dict[str, list[Forecast]] = defaultdict(list)
    for forecast in collect_forecasts(read_events(path)):
        routes[forecast.route].append(forecast)
    print(
        "route          requests   prefill     error error p10 error p90"
        "     event  longest pause"
    )
    for route, forecasts in sorted(routes.items()):
        if len(forecasts) >= MIN_SAMPLES:
            print_route(route, forecasts)


if __name__ == "__main__":
    run_benchmark(Path(sys.argv[1]))
