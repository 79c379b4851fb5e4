"""Stop two hosts while callers hold connections, and send a long request late."""

import asyncio
import signal
import time
from pathlib import Path

from lab import Client, create_route, run_case

HOSTS = ("edge-1", "edge-2")
CALLERS = 4
USUAL = 24
GRACE_S = 8.0
LATE_S = 3.0
LOSS_SLACK_S = 0.2
GAP_MS = 60
LONG_EVENTS = 85
DEADLINE_MS = 15_000
PROMPT = {"X_Model": "m", "X_Token_Usage": "1460,400"}


async def ask(client, request_id, events):
    """Send a request whose reply has a number of events."""
    target = f"/chat/x?work=40&events={events}&gap={GAP_MS}"
    prefix = f"5c1e07a2:800,{abs(hash(request_id)) % 2**32:08x}:660"
    return await client.send(
        request_id, target, DEADLINE_MS, b"p", X_Prompt_Prefix=prefix, **PROMPT
    )


async def use(client, name):
    """Send usual requests one after another, then keep the connection."""
    for number in range(USUAL):
        await ask(client, f"{name}-{number}", 8 + number % 7)


async def go_on(client, name, stop):
    """Send usual requests until told to stop, over a new connection if need be."""
    number = USUAL
    while not stop.is_set():
        number += 1
        answer = await ask(client, f"{name}-{number}", 8 + number % 7)
        await asyncio.sleep(float(answer.headers.get("retry-after", "0.05")))


async def send_late(client, name, delay_s):
    """Send a request with a long reply on the kept connection."""
    await asyncio.sleep(delay_s)
    if not client.is_open():
        return None
    return await ask(client, f"{name}-late", LONG_EVENTS)


async def kill_after_grace(lab):
    """Do what the platform does once the grace period is over."""
    await asyncio.sleep(GRACE_S)
    for name in HOSTS:
        if lab.hosts[name]["process"].poll() is None:
            lab.send_signal(name, signal.SIGKILL)


async def case(lab, trouble):
    """Return whether LOST was broken."""
    route = create_route("chat", "streaming", DEADLINE_MS, "llm", target_itl_ms=200)
    lab.configure(1, [route], ["llm"])
    for name in ("i-1", "i-2", "i-3"):
        await lab.start_server(name, "llm")
    hosts = [lab.plan_host(name) for name in HOSTS]
    for name in HOSTS:
        lab.write_settings(name, [host["control_plane"] for host in hosts])
        lab.start_host(name)
    await lab.wait_ready(*HOSTS)
    await asyncio.sleep(2.0)
    clients = {
        f"{host['name']}-{k}": Client(lab, host["front_http"])
        for host in hosts
        for k in range(CALLERS)
    }
    await asyncio.gather(*(use(client, name) for name, client in clients.items()))
    stopped_s = time.monotonic()
    if trouble:
        for name in HOSTS:
            lab.send_signal(name, signal.SIGTERM)
        lab.spawn(kill_after_grace(lab))
    stop = asyncio.Event()
    others = [
        lab.spawn(go_on(Client(lab, host["front_http"]), f"{host['name']}-{k}", stop))
        for host in hosts
        for k in range(CALLERS, 2 * CALLERS)
    ]
    late = [
        asyncio.create_task(send_late(client, name, LATE_S + 0.1 * (1 + n % 4)))
        for n, (name, client) in enumerate(clients.items())
    ]
    await asyncio.sleep(LATE_S)
    if trouble:
        for name in HOSTS:
            lab.note("directory lists", host=name, hosts=await lab.resolve(name))
    answers = [answer for answer in await asyncio.gather(*late) if answer is not None]
    stop.set()
    await asyncio.gather(*others)
    begun = {s["id"] for s in lab.read_ledger() if s["step"] == "begun"}
    lost = [
        answer
        for answer in answers
        if answer.request_id in begun
        and not answer.whole
        and answer.how in {"reset", "closed"}
        and answer.sent_s - stopped_s > LATE_S
        and answer.ended_s - answer.sent_s > LOSS_SLACK_S
        and answer.ended_s - answer.sent_s < DEADLINE_MS / 1000.0
    ]
    verdict = [
        f"requests sent later than 3 s after the SIGTERM: {len(answers)}",
        f"answered whole: {sum(answer.whole for answer in answers)}, refused as not"
        f" run: {sum(answer.status == 503 for answer in answers)}",
        f"passed on to a server and cut: {len(lost)}",
    ]
    for answer in lost:
        verdict.append(
            f"  {answer.request_id}: sent {answer.sent_s - stopped_s:.2f} s after the"
            f" SIGTERM, {answer.how} at {answer.ended_s - stopped_s:.2f} s"
        )
    return bool(lost), verdict


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
