"""Draw the plan of a soak of copies from a seed; no I/O."""

import random
from dataclasses import dataclass
from enum import Enum

from cornelnotch.soak.attempts import Prompt, Work

__all__ = [
    "BOOK",
    "RESUMABLE",
    "SINGLE",
    "CopyPlan",
    "CopyStep",
    "Trouble",
    "create_copy_plan",
    "draw_copy_work",
]

# Routes of calls, and of streams that may and may not be repeated.
BOOK, RESUMABLE, SINGLE = "book", "chat", "draft"
CALM_S = 5.0
END_S = 3.0
# Time from one disturbance to the next; some follow at once.
GAP_S = (0.4, 1.8)
SERIES_GAP_S = (0.05, 0.9)
SERIES_SHARE = 0.35
PAUSE_S = (0.6, 2.5)
# Hosts ask another engine after 1.25 s without an event.
LIMIT_PAUSE_S = (1.2, 1.6)
LIMIT_SHARE = 0.5
DOWN_S = (0.5, 1.5)
DELAY_S = (0.1, 0.8)
DELAYED_S = (1.5, 4.0)
EVENTS = (40, 160)
MAX_EVENTS = 200
GAP_MS = (20.0, 40.0)
WORK_MS = (10.0, 60.0)
CALL_MS = (20.0, 300.0)
SHARED_PARTS = 3
SHARED_TOKENS, OWN_TOKENS = 60, 40


class Trouble(Enum):
    """What happens to an engine."""

    STAND_STILL = "stands still"
    SILENCE = "is silent"
    KILL = "is killed"
    DELAY = "admits slowly"


TROUBLES = (
    *[Trouble.STAND_STILL] * 5,
    *[Trouble.SILENCE] * 4,
    *[Trouble.KILL] * 1,
    *[Trouble.DELAY] * 2,
)


@dataclass(frozen=True, slots=True)
class CopyStep:
    """Disturbance of an engine for `duration_s`, `at_s` after the start."""

    at_s: float
    trouble: Trouble
    engine: int
    duration_s: float
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CopyPlan:
    """Fleet, callers and disturbances of one soak."""

    seed: int
    seconds: float
    hosts: int
    engines: int
    single_callers: int
    resumable_callers: int
    call_callers: int
    steps: tuple[CopyStep, ...]


def create_copy_plan(
    seed: int, seconds: float, hosts: int = 3, engines: int = 5
) -> CopyPlan:
    """Return a plan whose disturbances come in series and overlap."""
    generator = random.Random(f"copies/{seed}")
    steps: list[CopyStep] = []
    at_s = CALM_S
    while at_s < seconds - END_S:
        steps.append(draw_step(generator, at_s, engines))
        follows = generator.random() < SERIES_SHARE
        at_s += generator.uniform(*(SERIES_GAP_S if follows else GAP_S))
    return CopyPlan(seed, seconds, hosts, engines, 36, 8, 4, tuple(steps))


def draw_step(generator: random.Random, at_s: float, engines: int) -> CopyStep:
    """Return a random disturbance at `at_s`."""
    trouble = generator.choice(TROUBLES)
    engine = generator.randrange(engines)
    if trouble is Trouble.KILL:
        return CopyStep(at_s, trouble, engine, generator.uniform(*DOWN_S))
    if trouble is Trouble.DELAY:
        delay_s = generator.uniform(*DELAY_S)
        duration_s = generator.uniform(*DELAYED_S)
        return CopyStep(at_s, trouble, engine, duration_s, delay_s)
    is_limit = generator.random() < LIMIT_SHARE
    duration_s = generator.uniform(*(LIMIT_PAUSE_S if is_limit else PAUSE_S))
    return CopyStep(at_s, trouble, engine, duration_s)


def draw_copy_work(generator: random.Random, route: str) -> Work:
    """Return a random request of a route; streams have short prompts."""
    if route == BOOK:
        return Work(route, round(generator.uniform(*CALL_MS), 1))
    part = f"a{generator.randrange(SHARED_PARTS)}"
    return Work(
        route,
        round(generator.uniform(*WORK_MS), 1),
        generator.randint(*EVENTS),
        round(generator.uniform(*GAP_MS), 1),
        prompt=Prompt(part, SHARED_TOKENS, OWN_TOKENS),
        max_events=MAX_EVENTS,
    )
