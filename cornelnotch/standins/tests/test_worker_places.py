"""Tests of prompts and places of the simulated server."""

import asyncio
import time
from collections import defaultdict

import pytest

from cornelnotch.standins.worker import PROMPT_TOKENS_PER_MS, WorkerStandin
from cornelnotch.web import HttpClient

QUERY = "?work=5&size={size}&events={events}&gap={gap}"
PROMPT = {"x-prompt-prefix": "a1:9000,b1:3000"}


async def call(worker, client, request_id="r1", events=0, size=8, gap=100, **headers):
    headers |= {"x-attempt-id": request_id, "x-target-instance": worker.name}
    target = f"/read/x{QUERY.format(events=events, size=size, gap=gap)}"
    return await client.request(worker.address, "POST", target, headers, b"")


def run_scenario(scenario, places=0):
    async def run():
        worker = WorkerStandin("s1", defaultdict(list), places)
        client = HttpClient()
        await worker.start()
        try:
            await scenario(worker, client)
        finally:
            client.close()
            await worker.stop()

    asyncio.run(run())


@pytest.mark.parametrize(("places", "status"), [(1, 503), (2, 200), (0, 200)])
def test_full_server_turns_requests_away(places, status):
    async def scenario(worker, client):
        stream = await call(worker, client, "r1", events=3)
        response = await call(worker, client, "r2")
        assert response.status == status
        assert worker.ledger["r2"][0].executed == (status == 200)
        if status == 503:
            assert response.headers["x-not-executed"] == "1"
            assert response.headers["x-server-load"] == "1,0,1"
        await stream.read()
        assert (await call(worker, client, "r3")).status == 200

    run_scenario(scenario, places)


def test_prompt_takes_time_to_read_unless_it_is_cached():
    async def scenario(worker, client):
        before_s = time.monotonic()
        await (await call(worker, client, "r1", **PROMPT)).read()
        read_s = time.monotonic() - before_s
        assert read_s >= 12_000 / PROMPT_TOKENS_PER_MS / 1000.0
        await (await call(worker, client, "r2", **PROMPT)).read()
        assert time.monotonic() - before_s - read_s < read_s / 2

    run_scenario(scenario)


def test_run_that_is_dropped_tells_when_it_would_have_ended():
    async def scenario(worker, client):
        response = await call(worker, client, "r1", events=20)
        begun_s = time.monotonic()
        worker.fall_silent(1.0)
        response.close()
        run = worker.ledger["r1"][0]
        while run.ended_s == float("inf"):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        assert run.ended_s - begun_s < 0.5
        assert 2.5 < run.due_s - begun_s < 3.2

    run_scenario(scenario)


def test_run_that_is_dropped_while_an_event_is_sent_is_due_later():
    async def scenario(worker, client):
        response = await call(worker, client, "r1", events=2000, size=200_000, gap=1)
        await asyncio.sleep(0.3)
        response.close()
        run = worker.ledger["r1"][0]
        while run.ended_s == float("inf"):  # noqa: ASYNC110
            await asyncio.sleep(0.01)
        assert run.due_s - run.ended_s > 1.0

    run_scenario(scenario)
