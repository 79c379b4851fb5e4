"""Test that streams which hosts pass on to other hosts stay one run."""

import asyncio

from cornelnotch.gateway.tests.conftest import create_configuration, wait_until
from cornelnotch.gateway.tests.severed_hosts import Kind, Way, run_hosts

DRAFT_PATH = "/stream/draft/1"
EVENT_MS = 100.0
FIRST_EVENTS_S = 0.35
# Longer than a host takes to find that it is cut off, and a stream to be repeated.
REPEAT_S = 2.0
PROMPT = {"x_prompt_prefix": "p1:10", "x_token_usage": "10,20"}


def copy_streams(fleet):
    """Have streams that may not be repeated copied to a second engine."""
    for engine in fleet.engines:
        engine.backup_engines = {other.address: other for other in fleet.engines}
        engine.faults.event_ms = EVENT_MS
    services = [
        {"name": "desk"},
        {"name": "llm", "engine": {"kv_capacity": 9999, "backups": True}},
    ]
    fleet.configure(create_configuration(2, services=services))
    return wait_until(lambda: all(h.context.table.version == 2 for h in fleet.hosts))


def test_a_stream_with_a_copy_that_may_not_be_repeated_is_not_passed_on():
    async def run():
        async with run_hosts() as fleet:
            await copy_streams(fleet)
            # The first stream provides the expected duration.
            await fleet.send_to(0, Kind.STREAM, path=DRAFT_PATH, **PROMPT)
            sending = fleet.start_request(
                0, Kind.STREAM, request_id="draft", path=DRAFT_PATH, **PROMPT
            )
            await asyncio.sleep(FIRST_EVENTS_S)
            fleet.cut({0}, Way.REFUSE)
            attempt = await sending
            await asyncio.sleep(REPEAT_S)
            assert any("draft" in engine.backed_up_ids for engine in fleet.engines)
            assert not attempt.is_served
            assert fleet.count_executions()["draft"] == 1

    asyncio.run(run())
