"""Compare who is served in time with and without turns, over the load of prompts.

Run with ``python -m benchmarks.turns [PLOT]``. Chats and long prompts with shared
parts reach ten engines in virtual time; the same requests meet each policy. A plot
of the share in time is written to PLOT, a file that ends with ``.svg``.
"""

import random
import sys
from dataclasses import dataclass
from pathlib import Path

import pygal
from pygal.style import CleanStyle

from cornelnotch.gateway.placing import Placer
from cornelnotch.testing.enginemodel import (
    Outcome,
    PlacedRequest,
    create_engines,
    play_requests,
)

ENGINES = 10
SECONDS = 12.0
SEED = 7
THINGS = 220
CHATS_PER_S = 12.0
# Long prompts a second; ten engines read about 22 cold ones a second.
LOADS = (8.0, 14.0, 20.0, 26.0, 32.0, 38.0)
CHAT_TARGET_MS = 1500.0
CHAT_GAP_MS = 150.0
LONG_TARGET_MS = 2500.0
LONG_GAP_MS = 600.0


@dataclass(frozen=True, slots=True)
class TurnPolicy:
    """Name whether prompts wait for turns and engines are kept for chats."""

    name: str
    turns: bool
    reserve: bool


POLICIES = (
    TurnPolicy("sent at once", False, False),
    TurnPolicy("sent at once, engines kept", False, True),
    TurnPolicy("turns", True, False),
    TurnPolicy("turns, engines kept", True, True),
)


def create_load(prompts_per_s: float) -> list[PlacedRequest]:
    """Return chats beside long prompts, the same for each policy."""
    generator = random.Random(SEED)
    requests: list[PlacedRequest] = []
    for tight, rate in ((True, CHATS_PER_S), (False, prompts_per_s)):
        at_ms = generator.expovariate(rate) * 1000.0
        while at_ms < SECONDS * 1000.0:
            requests.append(_create_request(generator, len(requests), at_ms, tight))
            at_ms += generator.expovariate(rate) * 1000.0
    return requests


def _create_request(
    generator: random.Random, number: int, at_ms: float, tight: bool
) -> PlacedRequest:
    if tight:
        return PlacedRequest(
            f"chat {number}", at_ms, True, "greeting", 350, 1110, 170, 0
        )
    thing = f"thing {generator.randrange(THINGS)}"
    own = min(int(generator.lognormvariate(7.7, 1.1)), 53_200)
    return PlacedRequest(f"long {number}", at_ms, False, thing, 13_300, own, 120, 2)


def measure_in_time(outcomes: list[Outcome], tight: bool) -> float:
    """Return the share of a kind that began in time and kept its pauses."""
    target = CHAT_TARGET_MS if tight else LONG_TARGET_MS
    gap = CHAT_GAP_MS if tight else LONG_GAP_MS
    kind = [o for o in outcomes if o.request.tight is tight]
    good = [o for o in kind if o.first_ms <= target and o.longest_gap_ms <= gap]
    return len(good) / len(kind)


def play_policy(policy: TurnPolicy, prompts_per_s: float) -> list[Outcome]:
    """Play one load under one policy."""
    engines = create_engines(ENGINES, policy.turns)
    requests = create_load(prompts_per_s)
    return play_requests(requests, engines, Placer("a", {}), policy.reserve)


def draw_plot(rows: dict[str, list[float]], path: Path) -> None:
    """Write the share in time over the load, a line for each kind and policy."""
    chart = pygal.Line(
        title="In time, over long prompts a second at ten engines",
        style=CleanStyle,
        range=(0, 1),
        legend_at_bottom=True,
        legend_at_bottom_columns=2,
        x_title="long prompts a second",
        js=[],
    )
    chart.x_labels = [f"{load:g}" for load in LOADS]
    for name, values in rows.items():
        chart.add(name, values)
    chart.render_to_file(str(path))


def run_benchmark(plot: Path | None) -> None:
    """Print a table and draw the plot."""
    rows: dict[str, list[float]] = {}
    for policy in POLICIES:
        for load in LOADS:
            outcomes = play_policy(policy, load)
            for kind, tight in (("chats", True), ("long prompts", False)):
                share = measure_in_time(outcomes, tight)
                rows.setdefault(f"{kind}: {policy.name}", []).append(share)
    print("long prompts a second".ljust(44), *(f"{load:6g}" for load in LOADS))
    for name, values in sorted(rows.items()):
        print(name.ljust(44), *(f"{value:6.3f}" for value in values))
    if plot is not None:
        draw_plot(rows, plot)


if __name__ == "__main__":
    run_benchmark(Path(sys.argv[1]) if len(sys.argv) > 1 else None)
