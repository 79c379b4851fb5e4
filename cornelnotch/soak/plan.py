"""Draw the plan of a soak from a seed; no I/O."""

import random
from dataclasses import dataclass, replace
from enum import Enum

from cornelnotch.soak.attempts import Work, WorkMix, draw_mix, draw_work
from cornelnotch.soak.profile import (
    CALLERS_PER_HOST,
    LONG_REPLIES,
    LoadProfile,
    draw_profile,
    draw_users_work,
)

__all__ = [
    "CALM_S",
    "END_S",
    "Action",
    "Plan",
    "Release",
    "Step",
    "create_plan",
    "draw_silences",
    "lengthen_replies",
]

CALM_S = 4.0
# Time after the last stop in which hosts restart and requests end.
END_S = 3.0
GRACE_S = (8.0, 8.0, 5.0)
MAX_STOPPED_SHARE = 0.5
# Length of the silence of a server, and time from one to the next of a stop.
SILENCE_S = (0.7, 1.6)
SILENCE_GAP_S = (0.5, 2.5)
MAX_CALLERS = 240
# Callers of each host with long replies; most of them wait.
CALLERS_PER_LONG_HOST = 25
# Times after a stop between which callers ask for long replies.
LONG_REPLIES_S = (2.5, 7.0)


class Action(Enum):
    """What a step does to a host, the servers or the configuration."""

    TERMINATE = "terminate"
    START = "start"
    HANG_UP = "hang up"
    PAUSE = "pause"
    CONFIGURE = "configure"
    LEAVE = "leave"
    CRASH = "crash"
    SILENCE = "silence"
    LIMIT = "limit"


class Release(Enum):
    """Which build of an upgrade a host runs."""

    OLD = "old"
    NEW = "new"


@dataclass(frozen=True, slots=True)
class Step:
    """One step at `at_s` after the start.

    `pause_s` is the length of a pause of a host, of a silence of a server, or of the
    time in which all servers name a limit of `per_second`. A host that starts without a
    `release` runs that of its last process.
    """

    at_s: float
    action: Action
    host: int = 0
    pause_s: float = 0.0
    release: Release | None = None
    per_second: float = 0.0


@dataclass(frozen=True, slots=True)
class Plan:
    """Fleet, load and steps of one soak."""

    seed: int
    seconds: float
    hosts: int
    callers: int
    servers: int
    grace_s: float
    think_s: float
    mix: WorkMix
    steps: tuple[Step, ...]
    profile: LoadProfile
    first_release: Release = Release.NEW
    crashing_work: Work | None = None

    def draw_work(
        self, generator: random.Random, read_rate: float, at_s: float
    ) -> Work:
        """Return a random request that is sent at `at_s` after the start.

        Its caller usually reads at `read_rate`.
        """
        if self.profile.like_users:
            is_stopping = self._is_stopping(at_s)
            return draw_users_work(generator, self.profile, is_stopping=is_stopping)
        return draw_work(generator, self.mix, read_rate)

    def _is_stopping(self, at_s: float) -> bool:
        first_s, last_s = LONG_REPLIES_S
        return any(
            step.action is Action.TERMINATE
            and step.at_s + first_s <= at_s < step.at_s + last_s
            for step in self.steps
        )


class PlanWriter:
    """Add steps of groups of stops."""

    def __init__(self, generator: random.Random, hosts: int, grace_s: float) -> None:
        self._generator = generator
        self._hosts = hosts
        self._grace_s = grace_s
        self._free_s = dict.fromkeys(range(hosts), 0.0)
        self.steps: list[Step] = []

    def add_group(self, at_s: float) -> None:
        """Add stops of some hosts from `at_s` on, and what happens beside them."""
        generator = self._generator
        free = [host for host, until_s in self._free_s.items() if until_s <= at_s]
        limit = int(self._hosts * MAX_STOPPED_SHARE) - (self._hosts - len(free))
        if limit < 1:
            return
        count = min(generator.choice((1, 1, 2, 2, 3, max(3, limit))), limit)
        gap_s = generator.choice((0.0, 0.0, 0.3, 1.5, 3.0))
        for index, host in enumerate(generator.sample(free, count)):
            self._add_stop(at_s + index * gap_s, host)
        if generator.random() < 0.4:
            action = generator.choice((Action.LEAVE, Action.CRASH))
            self.steps.append(Step(at_s + generator.uniform(-0.5, 4.0), action))
        if generator.random() < 0.4:
            self.steps.append(
                Step(at_s + generator.uniform(-0.3, 4.0), Action.CONFIGURE)
            )

    def _add_stop(self, at_s: float, host: int) -> None:
        generator = self._generator
        self.steps.append(Step(at_s, Action.TERMINATE, host))
        if generator.random() < 0.25:
            again_s = generator.uniform(0.0, 4.0)
            self.steps.append(Step(at_s + again_s, Action.TERMINATE, host))
        if generator.random() < 0.25:
            hang_up_s = generator.uniform(-0.2, 4.0)
            self.steps.append(Step(at_s + hang_up_s, Action.HANG_UP, host))
        if generator.random() < 0.2:
            pause_s = generator.uniform(0.2, 1.5)
            offset_s = generator.uniform(0.1, self._grace_s - 2.5)
            self.steps.append(Step(at_s + offset_s, Action.PAUSE, host, pause_s))
        start_s = at_s + self._grace_s + generator.uniform(0.1, 1.0)
        self.steps.append(Step(start_s, Action.START, host))
        if generator.random() < 0.3:
            early_s = start_s + generator.uniform(0.1, 3.0)
            self.steps.append(Step(early_s, Action.TERMINATE, host))
            start_s = early_s + self._grace_s + 0.5
            self.steps.append(Step(start_s, Action.START, host))
        self._free_s[host] = start_s + 3.0


def draw_silences(seed: int, stops: list[Step], grace_s: float) -> list[Step]:
    """Return silences of servers, one after another, from each stop on."""
    generator = random.Random(f"silences/{seed}")
    silences = []
    for stop in stops:
        at_s = stop.at_s + generator.uniform(-1.0, 1.0)
        while at_s < stop.at_s + grace_s:
            pause_s = generator.uniform(*SILENCE_S)
            silences.append(Step(at_s, Action.SILENCE, pause_s=pause_s))
            at_s += generator.uniform(*SILENCE_GAP_S)
    return silences


def create_plan(
    seed: int, seconds: float, hosts: int | None = None, grace_s: float | None = None
) -> Plan:
    """Return the plan of `seed`; `hosts` and `grace_s` replace what it draws."""
    generator = random.Random(f"stops/{seed}")
    drawn_hosts, drawn_grace_s = generator.randint(3, 6), generator.choice(GRACE_S)
    hosts, grace_s = hosts or drawn_hosts, grace_s or drawn_grace_s
    is_heavy = generator.random() < 0.5
    callers = hosts * (
        generator.randint(20, 40) if is_heavy else generator.randint(3, 8)
    )
    writer = PlanWriter(generator, hosts, grace_s)
    at_s = CALM_S
    while at_s < seconds - grace_s - END_S:
        writer.add_group(at_s)
        at_s += generator.uniform(2.0, grace_s + 4.0)
    stops = [step for step in writer.steps if step.action is Action.TERMINATE]
    steps = [*writer.steps, *draw_silences(seed, stops, grace_s)]
    servers = max(4, hosts // 4)
    callers = min(callers, MAX_CALLERS)
    users_callers = min(callers, hosts * CALLERS_PER_HOST)
    profile = draw_profile(seed, users_callers, servers)
    if profile.like_users:
        callers = users_callers
    return Plan(
        seed,
        seconds,
        hosts,
        callers,
        servers,
        grace_s,
        0.1 if is_heavy else 0.4,
        draw_mix(generator),
        tuple(
            sorted(
                (step for step in steps if step.at_s < seconds),
                key=lambda step: step.at_s,
            )
        ),
        profile,
    )


def lengthen_replies(plan: Plan) -> Plan:
    """Return the plan with short streams in calm and long ones during stops."""
    callers = min(plan.hosts * CALLERS_PER_LONG_HOST, MAX_CALLERS)
    return replace(plan, profile=LONG_REPLIES, callers=callers)
