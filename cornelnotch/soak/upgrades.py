"""Draw the plan of an upgrade from a seed; no I/O."""

import random
from dataclasses import dataclass, replace

from cornelnotch.soak.attempts import Work
from cornelnotch.soak.plan import (
    CALM_S,
    END_S,
    Action,
    Plan,
    Release,
    Step,
    create_plan,
    draw_silences,
)

__all__ = ["create_upgrade_plan"]

ROLLBACK_SHARE = 0.5
# Time from the end of a grace period to the next stop.
REPLACEMENT_GAP_S = (1.0, 4.0)
TROUBLE_SHARE = 0.5
CRASHING_SHARE = 0.5
LIMITED_SHARE = 0.5
# Requests per second that each server takes while it names a limit, and how long.
LIMITS_PER_SECOND = (2.0, 4.0, 8.0)
LIMITED_S = (8.0, 20.0)
CRASHING_WORKS = (
    Work("read", 20.0, crashes=True),
    Work("book", 20.0, crashes=True),
    Work("chat", 20.0, events=5, gap_ms=20.0, crashes=True),
    Work("draft", 20.0, events=5, gap_ms=20.0, crashes=True),
)
TROUBLES = (Action.LEAVE, Action.CRASH, Action.CONFIGURE)


@dataclass(frozen=True, slots=True)
class Replacement:
    """One host that stops and starts again with a release."""

    host: int
    release: Release


def draw_replacements(generator: random.Random, hosts: int) -> list[Replacement]:
    """Return the replacements in order; all hosts end with the new release."""
    order = generator.sample(range(hosts), hosts)
    forward = [Replacement(host, Release.NEW) for host in order]
    if generator.random() >= ROLLBACK_SHARE:
        return forward
    half = forward[: hosts // 2]
    back = [Replacement(r.host, Release.OLD) for r in reversed(half)]
    return [*half, *back, *forward]


def draw_crashing_work(seed: int) -> Work | None:
    """Return a request that crashes servers, or None in plans without one."""
    generator = random.Random(f"crashing/{seed}")
    if generator.random() >= CRASHING_SHARE:
        return None
    return generator.choice(CRASHING_WORKS)


def draw_limits(seed: int, end_s: float) -> list[Step]:
    """Return the times in which all servers name a limit."""
    generator = random.Random(f"limits/{seed}")
    steps: list[Step] = []
    at_s = CALM_S
    while at_s < end_s:
        duration_s = generator.uniform(*LIMITED_S)
        if generator.random() < LIMITED_SHARE:
            rate = generator.choice(LIMITS_PER_SECOND)
            limit = Step(at_s, Action.LIMIT, pause_s=duration_s, per_second=rate)
            steps.append(limit)
        at_s += duration_s
    return steps


def create_upgrade_plan(
    seed: int, hosts: int | None = None, grace_s: float | None = None
) -> Plan:
    """Return a plan that replaces all hosts, some of them after a rollback."""
    plan = create_plan(seed, 0.0, hosts, grace_s)
    generator = random.Random(f"upgrade/{seed}")
    steps, at_s = [], CALM_S
    for replacement in draw_replacements(generator, plan.hosts):
        host = replacement.host
        steps.append(Step(at_s, Action.TERMINATE, host))
        start_s = at_s + plan.grace_s
        steps.append(Step(start_s, Action.START, host, release=replacement.release))
        if generator.random() < TROUBLE_SHARE:
            trouble_s = generator.uniform(at_s, start_s)
            steps.append(Step(trouble_s, generator.choice(TROUBLES)))
        at_s = start_s + generator.uniform(*REPLACEMENT_GAP_S)
    stops = [step for step in steps if step.action is Action.TERMINATE]
    steps += draw_silences(seed, stops, plan.grace_s)
    steps += draw_limits(seed, at_s)
    return replace(
        plan,
        seconds=at_s + END_S,
        steps=tuple(sorted(steps, key=lambda step: step.at_s)),
        first_release=Release.OLD,
        crashing_work=draw_crashing_work(seed),
    )
