"""Four hosts whose seeds were stale when they started share a server's limit."""

import asyncio
import signal
import time
from pathlib import Path

from lab import Client, create_route, run_case

HOSTS = ("edge-1", "edge-2", "edge-3", "edge-4")
SERVERS = ("i-1", "i-2")
SEED_LAG_S = 3.0
CALM_S = 12.0
LIMITED_S = 22.0
CONTACT_S = 4.0
WINDOW_S = 4.0
KNOWN_S = 0.5
LIMIT = 5.0


async def use(lab, address, name, stop, answers):
    """Send lookups one after another and come back when told to."""
    client, number = Client(lab, address), 0
    while not stop.is_set():
        number += 1
        answer = await client.send(f"{name}-{number}", "/ticket/x?work=20", 3000)
        answers.append((name, answer))
        await asyncio.sleep(float(answer.headers.get("retry-after", "0.2")))
    client.close()


def find_worst_window(lab, server, host_of, named_s, knew_s):
    """Return the most requests in a window that count, and the window's start."""
    times = sorted(
        step["t"]
        for step in lab.read_ledger()
        if step["server"] == server
        and step["step"] == "arrived"
        and step["t"] >= named_s + CONTACT_S
        and step["t"] >= knew_s.get((host_of(step["id"]), server), 1e18) + KNOWN_S
    )
    counted = [
        (sum(start <= t < start + WINDOW_S for t in times[i:]), start)
        for i, start in enumerate(times)
    ]
    return max(counted, default=(0, 0.0))


async def case(lab, trouble):
    """Return whether LIMIT was broken."""
    lab.configure(1, [create_route("ticket", "idempotent", 3000, "desk")], ["desk"])
    for name in SERVERS:
        await lab.start_server(name, "desk", 16)
    hosts = [lab.plan_host(name) for name in HOSTS]
    sound = [host["control_plane"] for host in hosts[:3]]
    stale = [f"127.0.0.1:{lab.reserve_port()}" for _ in range(3)]
    for name in HOSTS:
        lab.write_settings(name, stale if trouble else sound)
    for name in HOSTS:
        lab.start_host(name)
    if trouble:
        await asyncio.sleep(SEED_LAG_S)
        for name in HOSTS:
            lab.write_settings(name, sound)
            lab.note("settings file has the seeds that are up", host=name)
    await lab.wait_ready(*HOSTS)
    if trouble:
        for name in HOSTS:
            lab.send_signal(name, signal.SIGHUP)
    stop, answers = asyncio.Event(), []
    users = [
        asyncio.create_task(
            use(lab, host["front_http"], f"{host['name']}-{k}", stop, answers)
        )
        for host in hosts
        for k in range(4)
    ]
    await asyncio.sleep(CALM_S)
    listed = {name: len(await lab.resolve(name)) for name in HOSTS}
    for server in SERVERS:
        await lab.command(server, limit=str(LIMIT))
    await asyncio.sleep(LIMITED_S)
    stop.set()
    await asyncio.gather(*users)
    named_s, knew_s = {}, {}
    for name, answer in answers:
        server = answer.headers.get("x-server-signature", "").split(".")[0]
        if "server-limit" in answer.headers and server:
            named_s[server] = min(named_s.get(server, 1e18), answer.ended_s)
            key = (name[:6], server)
            knew_s[key] = min(knew_s.get(key, 1e18), answer.ended_s)
    allowed = 1.5 * LIMIT * WINDOW_S + 5
    verdict = [f"hosts that each directory lists: {listed}"]
    broken = False
    for server in SERVERS:
        most, start_s = find_worst_window(
            lab, server, lambda i: i[:6], named_s.get(server, time.monotonic()), knew_s
        )
        verdict.append(
            f"{server}: {most} requests in {WINDOW_S:.0f} s from"
            f" {start_s - lab.began_s:.1f}, {allowed:.0f} allowed"
        )
        broken = broken or most > allowed
    served = sum(answer.status == 200 for _, answer in answers)
    verdict.append(f"requests: {len(answers)}, served: {served}")
    return broken, verdict


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
