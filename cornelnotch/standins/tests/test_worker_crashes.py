"""Tests of simulated servers that requests crash."""

import asyncio
from collections import defaultdict

import pytest

from cornelnotch.exceptions import UpstreamError
from cornelnotch.standins import worker as worker_module
from cornelnotch.standins.worker import WorkerStandin
from cornelnotch.web import HttpClient

TARGET = "/read/x?work=1&events=0&gap=0&size=64"


async def send(worker, target, request_id):
    headers = {"x-attempt-id": request_id, "x-target-instance": worker.name}
    client = HttpClient()
    try:
        response = await client.request(worker.address, "POST", target, headers)
        await response.read()
        return response.status
    finally:
        client.close()


def test_a_crashed_server_is_back_at_its_address_as_another_process(monkeypatch):
    monkeypatch.setattr(worker_module, "DOWN_S", 0.2)

    async def run():
        worker, starts = WorkerStandin("s1", defaultdict(list)), []
        worker.note_start = lambda: starts.append(worker.starts)
        await worker.start()
        try:
            sends = [send(worker, f"{TARGET}&crash=1", f"r{n}") for n in range(2)]
            for result in await asyncio.gather(*sends, return_exceptions=True):
                assert isinstance(result, UpstreamError)
            with pytest.raises(UpstreamError):
                await send(worker, TARGET, "r3")
            assert worker.restart is not None
            async with asyncio.timeout(5.0):
                await worker.restart
            assert starts == [2]
            assert await send(worker, TARGET, "r4") == 200
            assert all(worker.ledger[f"r{n}"][0].broke for n in range(2))
        finally:
            await worker.stop()

    asyncio.run(run())
