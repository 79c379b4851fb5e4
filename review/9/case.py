"""Kill all processes once they know the part of prompts that crashes servers."""

import asyncio
import random
import sys
from collections.abc import Coroutine
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from lab2 import Case, HostProcess, Server, create_route, run_case

from cornelnotch.web import Exchange

# The rule BUDGET of the news page.
CONTACT_S = 4.0
CRASHES = 5
ALLOWED = 3
HOSTS = 5
SERVERS = 8
DOWN_S = 2.0
BAD_PART = "bad0bad0"
SHARED_PARTS = [f"5a{n:06x}" for n in range(4)]
SOUND_RATE = 12.0
CALM_S = 4.0
# Requests with the bad part come at all machines together, and again after this time.
BAD_PERIOD_S = 8.0
PERIODS_BEFORE = 4
PERIODS_AFTER = 5
KILL_DOWN_S = 1.0


class Engine(Server):
    """A server that crashes when it begins to write an answer on the bad part."""

    def __init__(self, case: Case, number: int, fleet: "Fleet") -> None:
        super().__init__(case, f"i-engine-{number}", "engine", 64)
        self._fleet = fleet

    async def work(
        self, exchange: Exchange, request_id: str, headers: dict[str, str]
    ) -> None:
        """Stream five events, or crash before the first one."""
        is_bad = BAD_PART in exchange.headers.get("x-prompt-prefix", "")
        if is_bad:
            self._fleet.note_bad(self.name, request_id)
        await asyncio.sleep(0.02)
        if is_bad:
            self._fleet.note_crash(self)
            await asyncio.sleep(60.0)
        headers["x-server-signature"] = f"{self.name}.{request_id}"
        headers["content-type"] = "text/event-stream"
        await exchange.start(200, headers)
        for number in range(1, 6):
            await exchange.send(f"id: {number}\ndata: {request_id}\n\n".encode())
            await asyncio.sleep(0.02)
        await exchange.finish()

    async def crash_for_a_while(self) -> None:
        """Crash, and come back after some seconds."""
        await self.crash()
        await asyncio.sleep(DOWN_S)
        await self.restart()


class Fleet:
    """What servers saw of requests with the bad part, and who sent them."""

    def __init__(self, case: Case) -> None:
        self.crashes_s: list[float] = []
        self.late = 0
        self.started_s: dict[str, float] = {}
        self.sound = [0, 0]
        self._case = case
        self._generator = random.Random(1)
        self._sent_to: dict[str, HostProcess] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def note_bad(self, server: str, request_id: str) -> None:
        """Note that a request with the bad part has reached a server."""
        now, host = self._case.now(), self._sent_to[request_id].name
        in_touch = now - self.started_s[host] >= CONTACT_S
        crashes = self.crashes_s
        is_late = len(crashes) >= CRASHES and now > crashes[CRASHES - 1] + CONTACT_S
        self._case.note(
            f"bad {request_id} reached {server} from {host}, "
            f"in touch: {in_touch}, after the bound: {is_late}"
        )
        self.late += in_touch and is_late

    def note_crash(self, engine: Engine) -> None:
        """Let a server crash, which happens once in each of its lives."""
        if not engine.is_up:
            return
        engine.is_up = False
        self._case.note(f"crash of {engine.name}")
        self.crashes_s.append(self._case.now())
        self._start(engine.crash_for_a_while())

    def send(self, host: HostProcess, *, is_bad: bool) -> None:
        """Send a request that is like no other to a host."""
        parts = [self._generator.choice(SHARED_PARTS), *([BAD_PART] if is_bad else [])]
        parts.append(f"{self._generator.getrandbits(32):08x}")
        self._start(self._send(host, ",".join(f"{p}:30" for p in parts), is_bad))

    async def _send(self, host: HostProcess, prompt: str, is_bad: bool) -> None:
        request_id = self._case.create_request_id()
        self._sent_to[request_id] = host
        headers = {
            "x-model": "m",
            "x-prompt-prefix": prompt,
            "x-token-usage": "100,10",
        }
        answer = await self._case.send(
            host, "POST", "/chat/1", 3000, headers, request_id.encode(), request_id
        )
        if not is_bad:
            self.sound[0] += answer.status == 200
            self.sound[1] += 1

    async def send_sound(self, hosts: list[HostProcess]) -> None:
        """Send sound requests to hosts, one after another."""
        while True:
            await asyncio.sleep(self._generator.expovariate(SOUND_RATE))
            self.send(self._generator.choice(hosts), is_bad=False)

    def _start(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


async def play(case: Case) -> str:
    """Return how the rule was broken, or an empty string."""
    fleet = Fleet(case)
    engines = [Engine(case, number, fleet) for number in range(1, SERVERS + 1)]
    case.servers.extend(engines)
    for engine in engines:
        await engine.start()
    route = create_route(
        "chat",
        "streaming",
        "engine",
        stream_resume=True,
        timeout_ms=8000,
        target_latency_ms=1500,
        target_itl_ms=200,
    )
    case.write_configuration([route])
    hosts = [case.add_host(f"edge-{n}") for n in range(1, HOSTS + 1)]
    seeds = [host.address("peers") for host in hosts[:3]]
    for host in hosts:
        host.write_settings(seeds)
        host.start()
        fleet.started_s[host.name] = case.now()
    await case.wait_until_ready(hosts)
    await case.wait_until_joined(hosts)
    sound = asyncio.create_task(fleet.send_sound(hosts))
    await asyncio.sleep(CALM_S)
    for period in range(PERIODS_BEFORE + PERIODS_AFTER):
        for host in hosts:
            fleet.send(host, is_bad=True)
        await asyncio.sleep(BAD_PERIOD_S / 4)
        if period == PERIODS_BEFORE - 1:
            case.say(f"{len(fleet.crashes_s)} crashes; {fleet.late} sent too late")
            if case.trouble:
                for host in hosts:
                    host.kill()
                case.say("all processes are killed")
                await asyncio.sleep(KILL_DOWN_S)
                for host in hosts:
                    host.start()
                    fleet.started_s[host.name] = case.now()
                await asyncio.sleep(BAD_PERIOD_S / 4 - KILL_DOWN_S)
            else:
                await asyncio.sleep(BAD_PERIOD_S / 4)
            await asyncio.sleep(BAD_PERIOD_S / 2)
        else:
            await asyncio.sleep(BAD_PERIOD_S * 3 / 4)
    sound.cancel()
    case.say(f"sound requests served: {fleet.sound[0]} of {fleet.sound[1]}")
    case.say(f"{len(fleet.crashes_s)} crashes; {fleet.late} sent too late")
    case.say(f"the rule allows {ALLOWED} from {CONTACT_S:g} s after the fifth crash")
    return f"BUDGET: {fleet.late} sent too late" if fleet.late > ALLOWED else ""


run_case(__file__, play)
