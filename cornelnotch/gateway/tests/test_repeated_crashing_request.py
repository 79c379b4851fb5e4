"""Test with several hosts that one request does not crash server after server."""

import asyncio

import pytest

from cornelnotch.gateway.tests.crashing_hosts import (
    DOWN_S,
    OTHER_KEY,
    CrashingHosts,
    Request,
)

BOUND_S = 4.0
MAX_LATE_SENDS = 3
MIN_SOUND_SHARE = 0.9
HOSTS = 3
DEADLY_PER_SECOND = 4.0
SOUND_PER_SECOND = 20.0
DURATION_S = 9.0
# A stream lasts long enough that some are at each server that crashes.
EVENT_MS = 60.0
PROMPTS = {"none": "", "one": "own:20", "several": "aa:100,bb:50,own:20"}


def create_stream(prompt, **fields):
    return Request("/stream/7/a?x=1", b"deadly text", PROMPTS[prompt], **fields)


DEADLY = {
    "prompt-of-no-part": create_stream("none"),
    "prompt-of-one-part": create_stream("one"),
    "prompt-of-several-parts": create_stream("several"),
    "chunked-body": create_stream("several", is_chunked=True),
    "call": Request("/read/7?x=1", method="GET"),
    "call-with-body": Request("/read/7", b"deadly text"),
    "unrepeatable-call": Request("/book/7", b"deadly text"),
}


def create_sound(deadly, number):
    """Return a request with the caller, the path or the prompt of the deadly one."""
    kind = number % 4
    if kind == 0:
        return Request(deadly.path, deadly.body, deadly.prompt, OTHER_KEY)
    if kind == 1 or not deadly.body:
        return Request(deadly.path + f"&n={number}", deadly.body, deadly.prompt)
    prompt = deadly.prompt.replace("own", f"own{number}")
    return Request(deadly.path, b"sound text %d" % number, prompt)


async def play(deadly, create_deadly=None, deadly_prompts=None, sound=create_sound):
    """Return hosts that got sound requests and, some times a second, the deadly one."""
    hosts = CrashingHosts(deadly, HOSTS, deadly_prompts)
    for server in hosts.engines:
        server.faults.event_ms = EVENT_MS
    await hosts.start()
    try:
        await asyncio.gather(
            hosts.send_repeatedly(
                create_deadly or (lambda number: deadly),
                DEADLY_PER_SECOND,
                DURATION_S,
                [],
            ),
            hosts.send_repeatedly(
                lambda number: sound(deadly, number),
                SOUND_PER_SECOND,
                DURATION_S,
                hosts.sound,
            ),
        )
        await hosts.wait_for_tasks()
    finally:
        await hosts.stop()
    return hosts


def check(hosts):
    assert len(hosts.crashes_s) >= 3
    assert hosts.count_late_sends(3, BOUND_S) <= MAX_LATE_SENDS
    settled_s = hosts.crashes_s[2] + BOUND_S + DOWN_S
    assert hosts.find_sound_share(settled_s) >= MIN_SOUND_SHARE


@pytest.mark.parametrize("kind", DEADLY)
def test_a_repeated_request_does_not_crash_server_after_server(kind):
    check(asyncio.run(play(DEADLY[kind])))


def test_a_crashing_request_is_recognized_by_its_content_under_changing_prompts():
    prompts = [f"aa:100,own{number}:20" for number in range(100)]
    deadly = create_stream("several")

    def create(number):
        return Request(deadly.path, deadly.body, prompts[number])

    check(asyncio.run(play(deadly, create, set(prompts))))


def test_a_sound_request_that_is_always_at_crashing_servers_is_served():
    poll = Request("/stream/poll", b"the same each time", "aa:100,poll:20")
    check(asyncio.run(play(DEADLY["prompt-of-one-part"], sound=lambda *_: poll)))
