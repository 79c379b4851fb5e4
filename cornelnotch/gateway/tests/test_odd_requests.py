"""Requests with odd heads are answered, and the requests after them too."""

import asyncio

import pytest

from cornelnotch.gateway.tests.conftest import HOST_NAME, KEY, run_deployment
from cornelnotch.testing.odd_input import NUMBER_TEXTS

WAIT_S = 3.0
ODD_NUMBERS = [text for text in NUMBER_TEXTS if text.strip() == text and text]
ODD_TARGETS = [
    "//[",
    "//[x]/",
    "http://[::1",
    "http://[/read/a",
    "/read/a//[",
    "//\u2100/",
    "*",
    "/read/[?region=[",
    "/read/%ff%00",
    "/read/" + "a" * 20_000,
]


async def send_raw(address, target, headers, method="GET"):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [f"{method} {target} HTTP/1.1", *[f"{k}: {v}" for k, v in headers.items()]]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    try:
        async with asyncio.timeout(WAIT_S):
            return await reader.readline()
    except (TimeoutError, ConnectionError):
        return b""
    finally:
        writer.transport.abort()


def create_headers(**fields):
    return {
        "host": HOST_NAME,
        "x-attempt-id": "a1",
        "x-key": KEY,
        "x-deadline-ms": "3000",
        **{name.replace("_", "-"): value for name, value in fields.items()},
    }


async def assert_answered(deployment):
    callers = deployment.settings.listen.callers
    line = await send_raw(callers, "/read/a", create_headers())
    assert line.startswith(b"HTTP/1.1 200")


@pytest.mark.parametrize("name", ["x-token-usage", "x-deadline-ms", "x-prompt-prefix"])
def test_requests_with_odd_numbers_in_their_heads_are_answered(name):
    async def run():
        async with run_deployment() as deployment:
            callers = deployment.settings.listen.callers
            # A deadline of a ms is well-formed, and too short to be met.
            late = {b"503", b"504"} if name == "x-deadline-ms" else set()
            unanswered = []
            for number in ODD_NUMBERS:
                for path in ("/read/a", "/book/a", "/stream/a"):
                    prefix = "p1:5,p2:" if name == "x-prompt-prefix" else ""
                    headers = {**create_headers(), name: prefix + number}
                    line = await send_raw(callers, path, headers)
                    if line[9:12] not in {b"200", *late}:
                        unanswered.append((path, number[:30], line))
            assert not unanswered
            await assert_answered(deployment)

    asyncio.run(run())


@pytest.mark.parametrize("target", ODD_TARGETS)
def test_requests_with_odd_targets_are_answered(target):
    async def run():
        async with run_deployment() as deployment:
            address = deployment.settings.listen.callers
            line = await send_raw(address, target, create_headers())
            assert line.startswith(b"HTTP/1.1 ")
            assert b" 500 " not in line
            await assert_answered(deployment)

    asyncio.run(run())
