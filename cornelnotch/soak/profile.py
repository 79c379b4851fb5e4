"""Draw load like that of the users' deployments."""

import random
from dataclasses import dataclass, replace

from cornelnotch.soak.attempts import Prompt, Work

__all__ = [
    "CALLERS_PER_HOST",
    "LONG_REPLIES",
    "LoadProfile",
    "draw_profile",
    "draw_users_work",
]

USERS_SHARE = 0.4
PROMPTS_SHARE = 0.75
LIMITED_SHARE = 0.6
# Places of all servers for each caller, where servers have a limited number.
PLACES_PER_CALLER = (0.8, 1.0, 1.3)
# Callers of each host at most; users' hosts serve a few requests at a time.
CALLERS_PER_HOST = 10
STREAM_SHARE = 0.6
STREAM_ROUTES = ("chat", "chat", "draft")
CALL_ROUTES = ("read", "book")
CALL_WORK_MS = 22.0
STREAM_WORK_MS = 20.0
EVENTS = (17, 26, 40, 57, 60, 86)
EVENT_MS = (20.0, 40.0)
PROMPTS = (
    Prompt("a", 13_300, 3_720),
    Prompt("b", 6_300, 2_890),
    Prompt("c", 350, 1_110),
)
SHARED_PARTS = 4
# Bytes per second that callers read (0: no limit), and how long slow ones take.
READ_RATES = (0.0, 0.0, 0.0, 4e5, 1e5, 3e4)
READ_S = (0.3, 2.0)
PLAIN_BYTES = 64
# Share of the streams of a stop that are longer than all of their route before, in
# events, and the length of those.
LONG_SHARE = 0.7
SHORT_EVENTS = (8, 14)
LONG_EVENTS = (170, 230)
LONG_REPLY_PROMPT = PROMPTS[-1]


@dataclass(frozen=True, slots=True)
class LoadProfile:
    """What requests and servers of a plan are like.

    `places` is the number of requests that a server takes at once, 0 for any number.
    With `long_replies` streams that are sent during stops are longer than all before,
    and callers often wait before they use a connection again.
    """

    like_users: bool = False
    has_prompts: bool = False
    places: int = 0
    long_replies: bool = False


LONG_REPLIES = LoadProfile(like_users=True, has_prompts=True, long_replies=True)


def draw_profile(seed: int, callers: int, servers: int) -> LoadProfile:
    """Return the profile of a plan; most plans have none."""
    generator = random.Random(f"profile/{seed}")
    if generator.random() >= USERS_SHARE:
        return LoadProfile()
    has_prompts = generator.random() < PROMPTS_SHARE
    if generator.random() >= LIMITED_SHARE:
        return LoadProfile(True, has_prompts)
    places = generator.choice(PLACES_PER_CALLER) * callers / servers
    return LoadProfile(True, has_prompts, max(2, round(places)))


def draw_users_work(
    generator: random.Random, profile: LoadProfile, *, is_stopping: bool = False
) -> Work:
    """Return a random request like those of the users, sent during a stop or not."""
    if profile.long_replies:
        return draw_long_replies_work(generator, is_stopping=is_stopping)
    rate = generator.choice(READ_RATES)
    size = round(rate * generator.uniform(*READ_S)) or PLAIN_BYTES
    if generator.random() >= STREAM_SHARE:
        route = generator.choice(CALL_ROUTES)
        return Work(route, CALL_WORK_MS, size=size, read_rate=rate)
    route, events = generator.choice(STREAM_ROUTES), generator.choice(EVENTS)
    gap_ms = round(generator.uniform(*EVENT_MS), 1)
    size = max(size // events, PLAIN_BYTES)
    work = Work(route, STREAM_WORK_MS, events, gap_ms, size, read_rate=rate)
    return replace(work, prompt=draw_prompt(generator) if profile.has_prompts else None)


def draw_long_replies_work(generator: random.Random, *, is_stopping: bool) -> Work:
    """Return a short request, or a long stream if it is sent during a stop."""
    if generator.random() >= STREAM_SHARE:
        return Work(generator.choice(CALL_ROUTES), CALL_WORK_MS)
    is_long = is_stopping and generator.random() < LONG_SHARE
    events = generator.randint(*(LONG_EVENTS if is_long else SHORT_EVENTS))
    return Work(
        generator.choice(STREAM_ROUTES),
        STREAM_WORK_MS,
        events,
        round(generator.uniform(*EVENT_MS), 1),
        PLAIN_BYTES,
        prompt=draw_prompt(generator, LONG_REPLY_PROMPT),
        max_events=max(LONG_EVENTS),
    )


def draw_prompt(generator: random.Random, kind: Prompt | None = None) -> Prompt:
    """Return a prompt that shares its first part with others of its kind."""
    kind = kind or generator.choice(PROMPTS)
    part = f"{kind.shared_part}{generator.randrange(SHARED_PARTS)}"
    own_tokens = round(kind.own_tokens * generator.uniform(0.5, 1.5))
    return replace(kind, shared_part=part, own_tokens=own_tokens)
