"""Test that crowds of untrusted clients neither end nor exhaust a host process."""

import asyncio
from functools import partial

import pytest

from cornelnotch.platform.tests.crowds import (
    MAX_BODY_BYTES,
    TARGETS,
    Crowd,
    build_body_in_small_chunks,
    build_body_over_limit,
    build_chunks_over_limit,
    build_half_head,
    build_pipelined,
    build_short_fields,
    build_unfinished_body,
    build_unfinished_frame,
    run_crowded_host,
)

MEMORY_MB = 90
DESCRIPTORS = 700
# Descriptors of a process that are kept for files.
RESERVED_DESCRIPTORS = 200
HTTP_TARGETS = ["route", "no-route", "readiness", "directory", "metrics"]

pytestmark = [pytest.mark.alone, pytest.mark.timeout(120)]


def play(folder, target_name, size, build, descriptors=None):
    """Check what a host process takes during a crowd, and that it serves beside it."""
    target = TARGETS[target_name]

    async def scenario():
        async with run_crowded_host(folder, MEMORY_MB, descriptors) as host:
            crowd = Crowd(host.ports[target.listener], size, build(target))
            try:
                await crowd.send()
                opened = host.count_descriptors() if host.is_alive() else 0
                answered = await host.is_ordinary_answered("callers", "/open/x")
                ready = await host.is_ordinary_answered("readiness", "/readyz")
                assert host.is_alive()
                found = (round(host.find_most_mb(), 1), opened, answered, ready)
            finally:
                crowd.close()
        most_mb = found[0]
        print(f"most MB, descriptors, answered, ready: {found}")
        assert most_mb <= MEMORY_MB, found
        assert answered and ready, found
        if descriptors is not None:
            assert opened <= descriptors - RESERVED_DESCRIPTORS, found

    asyncio.run(scenario())


# Guards against hosts that read all requests of a connection ahead, and keep the
# responses that nobody reads.
@pytest.mark.parametrize("target", HTTP_TARGETS)
def test_pipelined_requests_whose_responses_are_not_read(tmp_path, target):
    play(tmp_path, target, 250, build_pipelined)


# Guards against hosts that count the text of header fields and not their objects.
@pytest.mark.parametrize("target", HTTP_TARGETS)
def test_heads_of_many_short_fields(tmp_path, target):
    play(tmp_path, target, 200, build_short_fields)


# Guards against hosts that hold what was read ahead of every connection.
@pytest.mark.parametrize("target", [*HTTP_TARGETS, "peers"])
def test_bodies_of_a_few_hundred_kb_that_do_not_end(tmp_path, target):
    build = partial(build_unfinished_body, size=262_144)
    play(tmp_path, target, 600, build)


# Guards against hosts that hold the largest bodies of many clients at once.
@pytest.mark.parametrize("target", HTTP_TARGETS)
def test_largest_bodies_that_do_not_end(tmp_path, target):
    build = partial(build_unfinished_body, size=MAX_BODY_BYTES)
    play(tmp_path, target, 60, build)


# Guards against hosts that hold the chunks of bodies unparsed.
@pytest.mark.parametrize("target", HTTP_TARGETS)
def test_bodies_in_chunks_of_one_byte(tmp_path, target):
    play(tmp_path, target, 400, build_body_in_small_chunks)


# Guards against hosts that take more of a body than its limit.
@pytest.mark.parametrize("target", HTTP_TARGETS)
@pytest.mark.parametrize("build", [build_body_over_limit, build_chunks_over_limit])
def test_bodies_far_over_the_limit(tmp_path, target, build):
    play(tmp_path, target, 80, build)


# Guards against hosts that hold unfinished heads of any number of clients.
@pytest.mark.parametrize("target", HTTP_TARGETS)
def test_heads_that_stop_half_way(tmp_path, target):
    play(tmp_path, target, 3500, build_half_head)


# Guards against hosts that collect a frame of a stranger before they know its sender.
def test_frames_of_strangers_that_do_not_end(tmp_path):
    play(tmp_path, "peers", 40, build_unfinished_frame)


# Guards against hosts that spend all descriptors on connections of one listener.
@pytest.mark.parametrize("target", ["route", "readiness", "directory", "metrics"])
def test_connections_without_a_byte(tmp_path, target):
    play(tmp_path, target, 800, lambda target: b"", DESCRIPTORS)


def test_connections_to_the_peers_listener_without_a_byte(tmp_path):
    play(tmp_path, "peers", 800, lambda target: b"", DESCRIPTORS)
