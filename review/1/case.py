"""Eight callers send bodies within the limit, one after another, to one host."""

import asyncio
import os
import signal
from pathlib import Path

import orjson
from lab import Client, create_route, run_case

CALLERS = 8
REQUESTS = 30
MEMORY_MB = 300
LARGE_BYTES = 4_000_000
SMALL_BYTES = 40_000
LIMIT_BYTES = 4_194_304
ALLOWED = 3
DEADLINE_MS = 8000
RESTART_S = 0.5


def read_memory_mb(pid):
    """Return the memory that a process has in use, in MB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def limit_memory(lab, name, peaks):
    """Do what the platform does: kill a process above `memory_mb`, start it again."""
    while True:
        process = lab.hosts[name]["process"]
        peaks.append(0.0)
        while process.poll() is None:
            peaks[-1] = max(peaks[-1], read_memory_mb(process.pid))
            if peaks[-1] > MEMORY_MB:
                lab.note("the platform kills", host=name, memory_mb=round(peaks[-1]))
                lab.send_signal(name, signal.SIGKILL)
                process.wait()
            await asyncio.sleep(0.005)
        await asyncio.sleep(RESTART_S)
        lab.start_host(name)
        await lab.wait_ready(name)


async def use(lab, address, name, body, answers):
    """Send requests one after another on a kept connection."""
    client = Client(lab, address)
    await client.send(f"{name}-0", "/book/x?work=20", DEADLINE_MS, b"b")
    for number in range(1, REQUESTS + 1):
        while not client.is_open():
            try:
                await client.connect()
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
            await client.send(
                f"{name}-{number}-new", "/book/x?work=20", DEADLINE_MS, b"b"
            )
        answer = await client.send(
            f"{name}-{number}", "/book/x?work=300", DEADLINE_MS, body
        )
        answers.append(answer)


async def case(lab, trouble):
    """Return whether LOST was broken."""
    book = create_route("book", "non_idempotent", DEADLINE_MS, "desk")
    lab.configure(1, [book], ["desk"])
    topic = lab.store.topics["keyed.op"]
    content = orjson.loads(topic.records[-1][1])
    content["version"] = 2
    content["limits"]["max_body_bytes"] = LIMIT_BYTES
    topic.write("config", orjson.dumps(content))
    for name in ("i-1", "i-2", "i-3"):
        await lab.start_server(name, "desk", 16)
    host = lab.plan_host("edge-1")
    lab.write_settings("edge-1", [host["control_plane"]])
    lab.start_host("edge-1")
    await lab.wait_ready("edge-1")
    peaks, answers = [], []
    watch = lab.spawn(limit_memory(lab, "edge-1", peaks))
    await asyncio.sleep(1.0)
    idle_mb = peaks[0]
    body = os.urandom(LARGE_BYTES if trouble else SMALL_BYTES)
    await asyncio.gather(
        *(use(lab, host["front_http"], f"c{n}", body, answers) for n in range(CALLERS))
    )
    watch.cancel()
    begun = {s["id"] for s in lab.read_ledger() if s["step"] == "begun"}
    lost = [
        answer
        for answer in answers
        if answer.request_id in begun and answer.how in {"closed", "reset"}
    ]
    listed = ", ".join(f"{peak:.0f}" for peak in peaks)
    verdict = [
        f"memory: {idle_mb:.0f} MB idle; most of each process: {listed} MB",
        f"requests with {len(body)} B: {len(answers)}, {CALLERS} at a time; answered:"
        f" {sum(answer.status == 200 for answer in answers)}",
        f"times the process exceeded {MEMORY_MB} MB: {len(peaks) - 1}",
        f"passed on from a kept connection, which then closed without an answer:"
        f" {len(lost)}, {ALLOWED} allowed",
    ]
    return len(lost) > ALLOWED, verdict


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
