"""Test that streams survive the reclaim of the server that they run at."""

import asyncio

from cornelnotch.gateway.tests.conftest import Deployment, wait_until
from cornelnotch.standins.scaling import ScalingStandin

EVENTS = 40
EVENT_MS = 60.0
# Longer than the period in which hosts read the entries of servers.
NOTICE_S = 1.2


async def reclaim_while_streaming(path):
    """Reclaim the only engine within a stream; return the body that came."""
    deployment = Deployment()
    await deployment.start()
    platform = ScalingStandin(deployment.store, notice_s=NOTICE_S)
    await platform.start()
    host = deployment.host
    try:
        for engine in deployment.engines:
            deployment.drop_server(engine)
        await platform.add("llm", "north-a", 1, spot=True)
        await wait_until(lambda: "i-1" in host.context.pool.servers)
        await wait_until(lambda: deployment.count_servers() == 3)
        platform.upstreams["i-1"].events = EVENTS
        platform.upstreams["i-1"].faults.event_ms = EVENT_MS
        response = await deployment.send(path)
        body = await response.read_chunk()
        await platform.add("llm", "north-a", 1)
        platform.upstreams["i-2"].events = EVENTS
        await wait_until(lambda: "i-2" in host.context.pool.servers)
        platform.reclaim("llm", "north-a")
        async for chunk in response.iterate_chunks():
            body += chunk
        return body, host.render_metrics().decode()
    finally:
        await deployment.stop()
        await platform.stop()


def test_a_resumable_stream_goes_on_at_another_server():
    body, metrics = asyncio.run(reclaim_while_streaming("/stream/x"))
    numbers = [line for line in body.splitlines() if line.startswith(b"id: ")]
    assert numbers == [b"id: %d" % number for number in range(1, EVENTS + 1)]
    # The server left as announced, so that no request is to blame for it.
    assert "cornelnotch_server_crashes_total{" not in metrics
