"""Tests of malformed responses, trimmed records and outages of the platform."""

import asyncio

import pytest

from cornelnotch.exceptions import LogTrimmedError, LogUnavailableError
from cornelnotch.kernel import SystemClock
from cornelnotch.logservice import HttpHostList, HttpLogService
from cornelnotch.standins.platform import PlatformFaults, PlatformStandin
from cornelnotch.web import HttpServer

ADDRESS = "127.0.0.1"


def run(scenario):
    asyncio.run(scenario())


@pytest.mark.parametrize(
    "body", [b"", b"{", b"[]", b'{"records": 3}', b'{"hosts": [{"name": 1}]}', b"null"]
)
def test_malformed_responses_raise_log_unavailable_error(body):
    async def scenario():
        async def respond_with_body(exchange):
            await exchange.read_body(1000)
            await exchange.respond(200, {}, body)

        server = HttpServer(respond_with_body)
        await server.start(ADDRESS, 0)
        address = f"{ADDRESS}:{server.port}"
        log = HttpLogService(address)
        for call in (log.read("s", 0), log.append("s", b"{}")):
            with pytest.raises(LogUnavailableError):
                await call
        with pytest.raises(LogUnavailableError):
            await HttpHostList(address).read()
        await server.stop()

    run(scenario)


def test_offsets_trimmed_records_and_outage():
    async def scenario():
        platform = PlatformStandin(SystemClock(), PlatformFaults(retention_ms=50.0))
        await platform.start(ADDRESS, 0)
        log = HttpLogService(f"{ADDRESS}:{platform.server.port}")
        assert [await log.append("s", b"{}") for _ in range(2)] == [0, 1]
        await asyncio.sleep(0.2)
        with pytest.raises(LogTrimmedError) as trimmed:
            await log.read("s", 0)
        assert trimmed.value.earliest == 2
        platform.faults.down = True
        with pytest.raises(LogUnavailableError):
            await log.append("s", b"{}")
        await platform.stop()

    run(scenario)
