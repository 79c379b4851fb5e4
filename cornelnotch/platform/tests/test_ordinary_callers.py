"""Test that callers inside the limits notice nothing of the bounds of a host."""

import asyncio
import itertools
from typing import Any

import pytest

from cornelnotch.platform.tests.crowds import (
    ADDRESS,
    MAX_BODY_BYTES,
    TARGETS,
    build_head,
    run_crowded_host,
)

# The smallest machine.
MEMORY_MB = 200
DESCRIPTORS = 4100
KEPT_CONNECTIONS = 3000
CONNECTS_AT_ONCE = 50
IDLE_LIMIT_S = 20.0
# Far longer than a request takes, so that nothing depends on the speed of the machine.
TIMEOUT_MS = 90_000
# Four fifths of the limit.
IDLE_S = 16.0
LARGE_BODIES = 6
LARGE_HEADS = 20
FIELD_BYTES = 84
HEAD_FIELDS = 340
SLOW_PIECES = 40
SLOW_PIECE_BYTES = 2000
SLOW_PAUSE_S = 0.1
CONTINUE = b"HTTP/1.1 100"

pytestmark = [pytest.mark.alone, pytest.mark.timeout(180)]
numbers = itertools.count()


def create_head(method, *fields):
    name = f"x-attempt-id: c{next(numbers)}"
    return build_head(
        method, TARGETS["route"], name, f"x-deadline-ms: {TIMEOUT_MS}", *fields
    )


async def read_status(reader):
    """Read one response and return its status."""
    head = await reader.readuntil(b"\r\n\r\n")
    if head.startswith(CONTINUE):
        return 100
    if b"chunked" in head.lower():
        while size := int(await reader.readline(), 16):
            await reader.readexactly(size + 2)
        await reader.readline()
    else:
        fields = dict(
            line.lower().split(b":", 1) for line in head.splitlines()[1:] if line
        )
        await reader.readexactly(int(fields[b"content-length"]))
    return int(head.split()[1])


async def connect(host):
    return await asyncio.open_connection(ADDRESS, host.ports["callers"])


async def send(connection, data):
    connection[1].write(data)
    await connection[1].drain()
    return await read_status(connection[0])


async def send_alone(host, data):
    connection = await connect(host)
    status = await send(connection, data)
    connection[1].close()
    return status


async def send_large_body(host):
    head = create_head("POST", f"content-length: {MAX_BODY_BYTES}")
    return await send_alone(host, head + b"x" * MAX_BODY_BYTES)


async def send_large_head(host):
    fields = [
        f"x-field-{number:04}: " + "y" * (FIELD_BYTES - 14)
        for number in range(HEAD_FIELDS)
    ]
    return await send_alone(host, create_head("GET", *fields))


async def send_after_continue(host):
    connection = await connect(host)
    fields = ("content-length: 100000", "expect: 100-continue")
    assert await send(connection, create_head("POST", *fields)) == 100
    status = await send(connection, b"x" * 100_000)
    connection[1].close()
    return status


async def send_slowly(host):
    connection = await connect(host)
    size = SLOW_PIECES * SLOW_PIECE_BYTES
    connection[1].write(create_head("POST", f"content-length: {size}"))
    for _ in range(SLOW_PIECES):
        connection[1].write(b"x" * SLOW_PIECE_BYTES)
        await asyncio.sleep(SLOW_PAUSE_S)
    status = await read_status(connection[0])
    connection[1].close()
    return status


async def keep_connections(host):
    kept: list[Any] = []
    while len(kept) < KEPT_CONNECTIONS:
        opened = await asyncio.gather(*(connect(host) for _ in range(CONNECTS_AT_ONCE)))
        statuses = await asyncio.gather(
            *(send(connection, create_head("GET")) for connection in opened)
        )
        assert set(statuses) == {200}
        kept += opened
    return kept


# Guards against bounds that callers meet who are within the limits.
def test_callers_within_the_limits_are_served_all_at_once(tmp_path):
    limits = {"idle_timeout_ms": IDLE_LIMIT_S * 1000.0}

    async def scenario():
        async with run_crowded_host(
            tmp_path, MEMORY_MB, DESCRIPTORS, limits, TIMEOUT_MS
        ) as host:
            kept = await keep_connections(host)
            idle = kept[-CONNECTS_AT_ONCE:]
            waited = asyncio.create_task(asyncio.sleep(IDLE_S))
            statuses = await asyncio.gather(
                *(send_large_body(host) for _ in range(LARGE_BODIES)),
                *(send_large_head(host) for _ in range(LARGE_HEADS)),
                *(send_after_continue(host) for _ in range(LARGE_HEADS)),
                *(send_slowly(host) for _ in range(LARGE_HEADS)),
            )
            await waited
            again = [await send(c, create_head("GET")) for c in idle]
            found = (round(host.find_most_mb(), 1), host.count_descriptors())
            print("most MB, descriptors:", found)
            assert set(statuses) == {200}
            assert set(again) == {200}
            assert found[0] <= MEMORY_MB
            for _, writer in kept:
                writer.close()

    asyncio.run(scenario())
