"""A late stream leaves a server that was silent for one that then is."""

import asyncio
import signal
import time
from pathlib import Path

from lab import Client, create_route, run_case

CALLERS = 4
USUAL = 6
EVENTS = 22
GAP_MS = 100
GRACE_S = 8.0
LATE_S = 3.0
SENT_S = 3.15
LOSS_SLACK_S = 0.2
FIRST_SILENCE_S = 1.35
SECOND_SILENCE_S = 1.1
DEADLINE_MS = 15_000
SERVERS = ("i-1", "i-2")


async def ask(client, request_id, events):
    """Send a request whose reply has a number of events."""
    target = f"/chat/x?work=40&events={events}&gap={GAP_MS}"
    return await client.send(request_id, target, DEADLINE_MS, b"p")


async def use(client, name):
    """Send usual requests one after another, then keep the connection."""
    for number in range(USUAL):
        await ask(client, f"{name}-{number}", EVENTS - number % 2)


async def go_on(client, name, stop):
    """Send short requests, so that the host is not idle when the drain is young."""
    number = USUAL
    while not stop.is_set():
        number += 1
        answer = await ask(client, f"{name}-{number}", 6)
        await asyncio.sleep(float(answer.headers.get("retry-after", "0.05")))


async def kill_after_grace(lab):
    """Do what the platform does once the grace period is over."""
    await asyncio.sleep(GRACE_S)
    if lab.hosts["edge-1"]["process"].poll() is None:
        lab.send_signal("edge-1", signal.SIGKILL)


def find_server(lab, request_id, step="begun"):
    """Return the server that noted a step of a request last, or None."""
    steps = lab.read_ledger()
    found = [s for s in steps if s["id"] == request_id and s["step"] == step]
    return found[-1]["server"] if found else None


async def fall_silent(lab, request_id):
    """Let the server of a stream fall silent, and then the one that it went on at."""
    await asyncio.sleep(0.4)
    first = find_server(lab, request_id)
    if first is None:
        return
    await lab.command(first, silent_until_s=time.monotonic() + FIRST_SILENCE_S)
    end_s = time.monotonic() + FIRST_SILENCE_S + 0.5
    while time.monotonic() < end_s:
        await asyncio.sleep(0.02)
        second = find_server(lab, request_id)
        if second != first:
            await asyncio.sleep(0.25)
            silent_until_s = time.monotonic() + SECOND_SILENCE_S
            await lab.command(second, silent_until_s=silent_until_s)
            return


async def case(lab, trouble):
    """Return whether LOST was broken."""
    route = create_route(
        "chat", "streaming", DEADLINE_MS, "llm", target_itl_ms=200, stream_resume=True
    )
    lab.configure(1, [route], ["llm"])
    for name in SERVERS:
        await lab.start_server(name, "llm")
    host = lab.plan_host("edge-1")
    lab.write_settings("edge-1", [host["control_plane"]])
    lab.start_host("edge-1")
    await lab.wait_ready("edge-1")
    address, stop = host["front_http"], asyncio.Event()
    clients = {f"c{k}": Client(lab, address) for k in range(CALLERS)}
    await asyncio.gather(*(use(client, name) for name, client in clients.items()))
    others = [
        lab.spawn(go_on(Client(lab, address), f"o{k}", stop)) for k in range(CALLERS)
    ]
    stopped_s = time.monotonic()
    if trouble:
        lab.send_signal("edge-1", signal.SIGTERM)
        lab.spawn(kill_after_grace(lab))
    await asyncio.sleep(SENT_S)
    silences = lab.spawn(fall_silent(lab, "c0-late"))
    answer = await ask(clients["c0"], "c0-late", EVENTS)
    await silences
    stop.set()
    await asyncio.gather(*others)
    runs = [s for s in lab.read_ledger() if s["id"] == "c0-late"]
    sent_s = answer.sent_s - stopped_s
    lost = (
        any(s["step"] == "begun" for s in runs)
        and not answer.whole
        and answer.how in {"closed", "reset"}
        and sent_s > LATE_S
        and answer.ended_s - answer.sent_s > LOSS_SLACK_S
    )
    servers = [s["server"] for s in runs if s["step"] == "begun"]
    verdict = [
        f"sent {sent_s:.2f} s after the SIGTERM; began at {', '.join(servers)}",
        f"{answer.how} at {answer.ended_s - stopped_s:.2f} s, whole: {answer.whole},"
        f" status {answer.status}",
        f"passed on to a server and cut: {int(lost)}",
    ]
    return lost, verdict


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
