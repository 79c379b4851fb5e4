"""Compare policies with an oracle during a burst at twice the capacity.

Run with ``python -m benchmarks.burst [SEEDS]``. The benchmark runs in virtual time, so
the results depend only on the seeds and not on the machine.
"""

import heapq
import sys

from benchmarks.policies import POLICIES, Policy
from cornelnotch.queueing.models import ShardConfig
from cornelnotch.testing.shardmodel import (
    Arrival,
    ModelClass,
    ModelEngine,
    ModelResult,
    ShardModel,
    create_arrivals,
    create_rule,
)

DURATION_MS = 60_000.0
DRAIN_MS = 40_000.0
BURST_START_MS = 10_000.0
BURST_END_MS = 40_000.0
ENGINES = 5
SLOTS = 8
TOKEN_MS = 20.0
PREFILL_MS = 60.0
QUOTE_TOKENS = 40.0
DRAFT_TOKENS = 150.0
WINDOW_MS = 10_000.0


def create_classes(load: float) -> list[ModelClass]:
    """Return the classes; the burst of class `quote` is `load` times the capacity."""
    service_ms = PREFILL_MS + QUOTE_TOKENS * 1.083 * TOKEN_MS
    capacity = ENGINES * SLOTS / service_ms * 1000.0
    quote = ModelClass(
        "quote",
        1,
        capacity * 0.4,
        QUOTE_TOKENS,
        460.0,
        8000.0,
        burst_rate=capacity * load,
        burst_start_ms=BURST_START_MS,
        burst_end_ms=BURST_END_MS,
    )
    draft = ModelClass("draft", 5, capacity * 0.1, DRAFT_TOKENS, 5000.0, 30_000.0)
    return [quote, draft]


def create_engines(faults: bool) -> list[ModelEngine]:
    """Return the engines; with faults, one is slow and one crashes in the burst."""
    engines = [
        ModelEngine(f"engine-{i}", SLOTS, TOKEN_MS, PREFILL_MS) for i in range(ENGINES)
    ]
    if faults:
        engines[1].slowdown = 4.0
        engines[2].crash_ms = 20_000.0
        engines[2].recover_ms = 30_000.0
    return engines


def count_attained_by_oracle(
    arrivals: list[Arrival], engines: list[ModelEngine], shortest_first: bool
) -> int:
    """Return how many requests meet their target if response lengths are known.

    The oracle serves only class `quote` and drops requests that can no longer meet
    their target. It serves the shortest first, or the oldest first for comparison with
    policies that do not know the lengths. Both orders are greedy.
    """
    places = [
        (0.0, index, engine)
        for index, engine in enumerate(engines)
        for _ in range(engine.slots)
    ]
    free = [(time, number, place) for number, (time, _, place) in enumerate(places)]
    heapq.heapify(free)
    quotes = [a for a in arrivals if a.model.name == "quote"]
    waiting: list[tuple[int, float]] = []
    position = 0
    attained = 0
    while position < len(quotes) or waiting:
        time_ms, number, engine = heapq.heappop(free)
        if not waiting and position < len(quotes):
            time_ms = max(time_ms, quotes[position].time_ms)
        while position < len(quotes) and quotes[position].time_ms <= time_ms:
            waiting.append((quotes[position].tokens, quotes[position].time_ms))
            position += 1
        if engine.is_down(time_ms):
            heapq.heappush(free, (engine.recover_ms, number, engine))
            continue
        if engine.token_ms * engine.slowdown > quotes[0].model.between_tokens_ms:
            continue
        first = (engine.prefill_ms + engine.token_ms) * engine.slowdown
        limit = quotes[0].model.first_token_ms - first
        waiting = [w for w in waiting if time_ms - w[1] <= limit]
        if not waiting:
            heapq.heappush(free, (time_ms + 1.0, number, engine))
            continue
        chosen = min(waiting) if shortest_first else waiting[0]
        waiting.remove(chosen)
        attained += 1
        busy = (engine.prefill_ms + chosen[0] * engine.token_ms) * engine.slowdown
        heapq.heappush(free, (time_ms + busy, number, engine))
    return attained


def count_tier_violations(result: ModelResult, rule: ShardConfig) -> int:
    """Return how many requests were refused while a lower tier exceeded its floor.

    The floor of a class is the number of slots or queue places reserved for it, at
    least 1. Refusals for a workspace limit are not counted.
    """
    slots = sum(server.slots for server in rule.servers.values())
    broken = 0
    for record in result.refusals:
        if record.reason == "workspace-limit":
            continue
        for row in record.occupancy:
            if row.tier <= record.arrival.model.tier:
                continue
            floor = rule.classes[row.class_name].floor
            places = max(1, int(floor * slots * rule.queue_per_slot))
            above_slots = row.running > max(row.floor_places, 1)
            # Queue places matter only if the request was refused for a full queue.
            above_queue = record.reason == "queue-full" and row.waiting > places
            if above_slots or above_queue:
                broken += 1
                break
    return broken


def run_policy(
    policy: Policy, seed: int, faults: bool
) -> tuple[ModelResult, ShardConfig]:
    """Run a policy with a seed."""
    classes = create_classes(2.0)
    engines = create_engines(faults)
    rule = create_rule(classes, engines, policy.discipline, policy.balancer)
    arrivals = create_arrivals(classes, DURATION_MS, seed)
    model = ShardModel(rule, engines)
    return model.run(arrivals, DURATION_MS + DRAIN_MS), rule


def print_comparison(seeds: range, faults: bool) -> None:
    """Print a table with one row for each policy."""
    print(f"faults: {'one straggler, one crash' if faults else 'none'}")
    print(
        f"{'policy':20} {'quote':>7} {'of short':>9} {'of old':>7} {'draft':>7} "
        f"{'goodput':>8} "
        f"{'wasted':>7} {'broken':>6} {'gap s':>6}"
    )
    for policy in POLICIES:
        rows = []
        for seed in seeds:
            result, rule = run_policy(policy, seed, faults)
            engines = create_engines(faults)
            attained = result.count_attained("quote")
            shortest = count_attained_by_oracle(result.arrivals, engines, True)
            oldest = count_attained_by_oracle(result.arrivals, engines, False)
            rows.append(
                (
                    result.compute_attainment("quote"),
                    attained / shortest,
                    attained / oldest,
                    result.compute_attainment("draft"),
                    result.compute_goodput(),
                    result.compute_waste(),
                    count_tier_violations(result, rule),
                    result.find_longest_gap("draft", BURST_START_MS, BURST_END_MS)
                    / 1000.0,
                )
            )
        mean = [sum(column) / len(rows) for column in zip(*rows, strict=True)]
        gap = max(row[7] for row in rows)
        broken = sum(row[6] for row in rows)
        print(
            f"{policy.name:20} {mean[0]:7.3f} {mean[1]:9.3f} {mean[2]:7.3f} "
            f"{mean[3]:7.3f} {mean[4]:8.0f} {mean[5]:7.4f} {broken:6d} {gap:6.1f}",
            flush=True,
        )


def run_benchmark(count: int) -> None:
    """Print the comparison without and with faults."""
    for faults in (False, True):
        print_comparison(range(count), faults)
        print()


if __name__ == "__main__":
    run_benchmark(int(sys.argv[1]) if len(sys.argv) > 1 else 3)
