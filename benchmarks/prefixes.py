"""Compare the usual choice of servers for prompts with weighed cached prefixes.

Run with ``python -m benchmarks.prefixes [--full] [PLOT]``. Prompts with shared prefixes
are sent by several hosts to engines in virtual time, the same for each rule. PLOT, an
``.svg`` file, shows the time to first token against the share of the prompt that was
cached. With ``--full``, 70 hosts and 45 engines are played, which takes minutes.
"""

import sys
from dataclasses import dataclass, replace
from pathlib import Path

import pygal
from pygal.style import CleanStyle

from cornelnotch.testing.prefix_fleet import (
    FleetShape,
    PrefixFleet,
    PrefixOutcome,
    create_prompts,
)

SEED = 5
SECONDS = 30.0
# Caches are empty at first, so outcomes count from here on.
WARM_UP_MS = 12_000.0
SMALL = FleetShape(engines=8, hosts=12)
FULL = FleetShape(engines=45, hosts=70)
PROMPTS_PER_ENGINE_S = 3.75
PREFIXES_PER_ENGINE = 16
HOT_SHARES = (0.0, 0.25)
CACHED_SHARES = 5
PERCENTILES = (0.5, 0.9, 0.95, 0.99)


@dataclass(frozen=True, slots=True)
class Result:
    """What one rule gave at one share of hot prompts."""

    name: str
    outcomes: list[PrefixOutcome]
    read_tokens: int


def find_percentile(values: list[float], share: float) -> float:
    """Return the value below which `share` of the values are."""
    return sorted(values)[int(len(values) * share)] if values else 0.0


def play_rule(shape: FleetShape, weighed: bool, hot_share: float) -> Result:
    """Play one rule."""
    prompts = create_prompts(
        SEED,
        SECONDS,
        PROMPTS_PER_ENGINE_S * shape.engines,
        PREFIXES_PER_ENGINE * shape.engines,
        hot_share=hot_share,
    )
    fleet = PrefixFleet(replace(shape, weighed=weighed))
    fleet.play(prompts)
    rule = "weighed" if weighed else "usual rule"
    outcomes = [o for o in fleet.outcomes if o.request.at_ms >= WARM_UP_MS]
    read = sum(engine.read_tokens for engine in fleet.engines.values())
    return Result(f"{rule}, {hot_share:.0%} hot", outcomes, read)


def list_by_cached_share(result: Result) -> list[float | None]:
    """Return the median time to first token by the share of the prompt cached."""
    groups: list[list[float]] = [[] for _ in range(CACHED_SHARES)]
    for outcome in result.outcomes:
        group = min(int(outcome.cached_share * CACHED_SHARES), CACHED_SHARES - 1)
        groups[group].append(outcome.first_ms)
    return [round(find_percentile(g, 0.5), 1) if g else None for g in groups]


def write_chart(results: list[Result], path: Path) -> None:
    """Write a chart of the time to first token against the cached share."""
    chart = pygal.Line(
        title="Median time to first token by cached share of the prompt",
        style=CleanStyle,
        legend_at_bottom=True,
        legend_at_bottom_columns=2,
        x_title="cached share of the prompt",
        y_title="ms",
        js=[],
    )
    width = 1.0 / CACHED_SHARES
    chart.x_labels = [
        f"{n * width:.1f} to {(n + 1) * width:.1f}" for n in range(CACHED_SHARES)
    ]
    for result in results:
        chart.add(result.name, list_by_cached_share(result))
    chart.render_to_file(str(path))


def run_benchmark(shape: FleetShape, plot: Path | None) -> None:
    """Print the results as a table and write the chart."""
    results = [
        play_rule(shape, weighed, hot_share)
        for hot_share in HOT_SHARES
        for weighed in (False, True)
    ]
    titles = [f"p{share * 100:g} ms" for share in PERCENTILES]
    print("rule".ljust(24), *(title.rjust(8) for title in titles), "  read tokens")
    for result in results:
        times = [outcome.first_ms for outcome in result.outcomes]
        figures = (f"{find_percentile(times, s):8.0f}" for s in PERCENTILES)
        print(result.name.ljust(24), *figures, f"{result.read_tokens:12d}")
    if plot is not None:
        write_chart(results, plot)


if __name__ == "__main__":
    arguments = [a for a in sys.argv[1:] if a != "--full"]
    run_benchmark(
        FULL if "--full" in sys.argv else SMALL,
        Path(arguments[0]) if arguments else None,
    )
