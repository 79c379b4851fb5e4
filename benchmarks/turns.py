"""Compare the fraction of requests in time with and without admission queues.

Run with ``python -m benchmarks.turns [PLOT]``. Chats and long prompts with shared
prefixes are sent to ten engines in virtual time, the same requests for each policy. A
chart of the fraction in time at each load is written to PLOT, an ``.svg`` file. In the
results, "turns" means that engines have admission queues.
"""

import random
import sys
from dataclasses import dataclass
from pathlib import Path

import pygal
from pygal.style import CleanStyle

from cornelnotch.gateway.placement import Placer
from cornelnotch.testing.enginemodel import (
    Outcome,
    PlacedRequest,
    create_engines,
    play_requests,
)

ENGINES = 10
SECONDS = 12.0
SEED = 7
SHARED_PREFIXES = 220
CHATS_PER_S = 12.0
# Long prompts per second; ten engines prefill about 22 uncached ones per second.
LOADS = (8.0, 14.0, 20.0, 26.0, 32.0, 38.0)
CHAT_TARGET_MS = 1500.0
CHAT_GAP_MS = 150.0
LONG_TARGET_MS = 2500.0
LONG_GAP_MS = 600.0


@dataclass(frozen=True, slots=True)
class TurnPolicy:
    """Whether engines have admission queues and some are reserved for chats."""

    name: str
    turns: bool
    reserve: bool


POLICIES = (
    TurnPolicy("no turns", False, False),
    TurnPolicy("no turns, engines reserved", False, True),
    TurnPolicy("turns", True, False),
    TurnPolicy("turns, engines reserved", True, True),
)


def create_load(prompts_per_s: float) -> list[PlacedRequest]:
    """Return a seeded mix of chats and long prompts."""
    generator = random.Random(SEED)
    requests: list[PlacedRequest] = []
    for latency_sensitive, rate in ((True, CHATS_PER_S), (False, prompts_per_s)):
        at_ms = generator.expovariate(rate) * 1000.0
        while at_ms < SECONDS * 1000.0:
            requests.append(
                _create_request(generator, len(requests), at_ms, latency_sensitive)
            )
            at_ms += generator.expovariate(rate) * 1000.0
    return requests


def _create_request(
    generator: random.Random, number: int, at_ms: float, latency_sensitive: bool
) -> PlacedRequest:
    if latency_sensitive:
        return PlacedRequest(
            f"chat {number}", at_ms, True, "greeting", 350, 1110, 170, 0
        )
    prefix = f"thing {generator.randrange(SHARED_PREFIXES)}"
    own = min(int(generator.lognormvariate(7.7, 1.1)), 53_200)
    return PlacedRequest(f"long {number}", at_ms, False, prefix, 13_300, own, 120, 2)


def compute_share_in_time(outcomes: list[Outcome], latency_sensitive: bool) -> float:
    """Return the fraction of chats or long prompts that met both latency targets."""
    target = CHAT_TARGET_MS if latency_sensitive else LONG_TARGET_MS
    gap = CHAT_GAP_MS if latency_sensitive else LONG_GAP_MS
    kind = [o for o in outcomes if o.request.latency_sensitive is latency_sensitive]
    in_time = [o for o in kind if o.first_ms <= target and o.longest_gap_ms <= gap]
    return len(in_time) / len(kind)


def simulate_policy(policy: TurnPolicy, prompts_per_s: float) -> list[Outcome]:
    """Simulate a load under a policy."""
    engines = create_engines(ENGINES, policy.turns)
    requests = create_load(prompts_per_s)
    return play_requests(requests, engines, Placer("a", {}), policy.reserve)


def write_chart(rows: dict[str, list[float]], path: Path) -> None:
    """Write a chart with the fraction of requests in time at each load."""
    chart = pygal.Line(
        title="Share in time by long prompts per second, ten engines",
        style=CleanStyle,
        range=(0, 1),
        legend_at_bottom=True,
        legend_at_bottom_columns=2,
        x_title="long prompts per second",
        js=[],
    )
    chart.x_labels = [f"{load:g}" for load in LOADS]
    for name, values in rows.items():
        chart.add(name, values)
    chart.render_to_file(str(path))


def run_benchmark(plot: Path | None) -> None:
    """Print the results as a table and write the chart."""
    rows: dict[str, list[float]] = {}
    for policy in POLICIES:
        for load in LOADS:
            outcomes = simulate_policy(policy, load)
            for kind, latency_sensitive in (("chats", True), ("long prompts", False)):
                share = compute_share_in_time(outcomes, latency_sensitive)
                rows.setdefault(f"{kind}: {policy.name}", []).append(share)
    print("long prompts per second".ljust(44), *(f"{load:6g}" for load in LOADS))
    for name, values in sorted(rows.items()):
        print(name.ljust(44), *(f"{value:6.3f}" for value in values))
    if plot is not None:
        write_chart(rows, plot)


if __name__ == "__main__":
    run_benchmark(Path(sys.argv[1]) if len(sys.argv) > 1 else None)
