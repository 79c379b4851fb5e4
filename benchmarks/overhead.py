"""Measure the peak rate of a node and its latency overhead over a direct call.

Run with ``python -m benchmarks.overhead``.
"""

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path

import orjson

from cornelnotch.kernel import Clock, create_clock
from cornelnotch.testing.processes import ProcessFleet
from cornelnotch.testing.samples import (
    create_sample_configuration,
    create_server_section,
)
from cornelnotch.web import HttpClient

SHORT_TOKENS = 1
LONG_TOKENS = 200
WARM_UP_REQUESTS = 200
PEAK_REQUESTS = 1500
PEAK_WORKERS = 16
LATENCY_REQUESTS = 1000
STREAM_WORKERS = 24
ENGINE_OPTIONS = ("--batch", "512", "--token-ms", "1", "--prefill-ms", "0")
TARGET = "/v1/chat/completions"
HEADERS = {
    "cornelnotch-workspace": "bench",
    "cornelnotch-labels": "kind=quote",
    "content-type": "application/json",
}


@dataclass(slots=True)
class Sample:
    """Latencies and total duration of a run, in ms."""

    latencies: list[float]
    elapsed_ms: float

    def find_percentile(self, share: float) -> float:
        """Return the latency at the quantile `share`."""
        ordered = sorted(self.latencies)
        return ordered[min(int(len(ordered) * share), len(ordered) - 1)]

    @property
    def rate(self) -> float:
        """Return the rate in requests per second."""
        return len(self.latencies) / self.elapsed_ms * 1000.0


def create_body(tokens: int, stream: bool) -> bytes:
    """Return the body of a chat request."""
    return orjson.dumps(
        {
            "messages": [{"role": "user", "content": "bench"}],
            "max_tokens": tokens,
            "stream": stream,
        }
    )


async def send(client: HttpClient, address: str, body: bytes) -> int:
    """Send a chat request and return the size of the response."""
    answer = await client.request(address, "POST", TARGET, HEADERS, body)
    content = await answer.read()
    if answer.status != 200:
        raise RuntimeError(f"unexpected status {answer.status}: {content!r}")
    return len(content)


async def run_closed_loop(
    client: HttpClient, address: str, body: bytes, count: int, workers: int
) -> Sample:
    """Send `count` requests with `workers` concurrent clients (closed loop)."""
    clock = create_clock()
    latencies: list[float] = []

    async def send_requests(share: int) -> None:
        for _ in range(share):
            started = clock.read()
            await send(client, address, body)
            latencies.append(clock.read() - started)

    started = clock.read()
    await asyncio.gather(*(send_requests(count // workers) for _ in range(workers)))
    return Sample(latencies, clock.read() - started)


async def run_open_loop(
    client: HttpClient, address: str, body: bytes, count: int, rate: float, clock: Clock
) -> Sample:
    """Send `count` requests at a fixed rate per second (open loop)."""
    latencies: list[float] = []

    async def send_requests(due_ms: float) -> None:
        await clock.sleep(due_ms - clock.read())
        started = clock.read()
        await send(client, address, body)
        latencies.append(clock.read() - started)

    begin = clock.read()
    interval = 1000.0 / rate
    await asyncio.gather(*(send_requests(begin + i * interval) for i in range(count)))
    return Sample(latencies, clock.read() - begin)


def read_processor_ms(process_id: int) -> float:
    """Return the processor time that a process has used, in ms."""
    fields = Path(f"/proc/{process_id}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) * 10.0


async def start_fleet(folder: Path) -> tuple[ProcessFleet, str, str, int]:
    """Start one host with one fast engine."""
    fleet = ProcessFleet(folder)
    fleet.settings = "[logging]\nlevel = WARNING\n"
    await fleet.start_platform()
    engine = await fleet.start_engine("engine-0", *ENGINE_OPTIONS)
    section = create_server_section(
        "engine-0", "cobbler-assist", engine.http, slots=512
    )
    version = await fleet.publish(create_sample_configuration(section))
    host = await fleet.start_host("host-0")
    await fleet.wait_ready(version)
    return fleet, host.http, engine.http, host.process.pid


async def measure(folder: Path) -> None:
    """Measure peak rate, latency and streaming, and print the results."""
    fleet, routed, direct, process_id = await start_fleet(folder)
    client = HttpClient()
    clock = create_clock()
    try:
        short = create_body(SHORT_TOKENS, False)
        await run_closed_loop(client, routed, short, WARM_UP_REQUESTS, PEAK_WORKERS)
        before = read_processor_ms(process_id)
        peak = await run_closed_loop(client, routed, short, PEAK_REQUESTS, PEAK_WORKERS)
        spent = read_processor_ms(process_id) - before
        print(f"peak rate of one node, short non-streaming requests: {peak.rate:.0f}/s")
        print(f"processor time of the node: {spent / PEAK_REQUESTS:.2f} ms/request")
        rate = peak.rate / 2
        direct_sample = await run_open_loop(
            client, direct, short, LATENCY_REQUESTS, rate, clock
        )
        routed_sample = await run_open_loop(
            client, routed, short, LATENCY_REQUESTS, rate, clock
        )
        for name, share in (("p50", 0.5), ("p99", 0.99)):
            direct_ms = direct_sample.find_percentile(share)
            routed_ms = routed_sample.find_percentile(share)
            print(
                f"{name} at {rate:.0f}/s: direct {direct_ms:.2f} ms, "
                f"routed {routed_ms:.2f} ms, added {routed_ms - direct_ms:.2f} ms, "
                f"ratio {routed_ms / direct_ms:.2f}"
            )
        long = create_body(LONG_TOKENS, True)
        before = read_processor_ms(process_id)
        streams = await run_closed_loop(
            client, routed, long, STREAM_WORKERS * 3, STREAM_WORKERS
        )
        spent = read_processor_ms(process_id) - before
        chunks = STREAM_WORKERS * 3 * LONG_TOKENS
        print(f"streamed chunks: {chunks / streams.elapsed_ms * 1000.0:.0f}/s")
        print(f"processor time of the node: {spent / chunks * 1000.0:.0f} us/chunk")
    finally:
        client.close()
        await fleet.stop()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary:
        asyncio.run(measure(Path(temporary)))
