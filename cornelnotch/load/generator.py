"""Open-loop load generator with seeded arrivals and scheduled faults."""

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from cornelnotch.exceptions import UpstreamError
from cornelnotch.kernel import Clock, create_identifier
from cornelnotch.load.caller import Caller, CallerOptions, CallResult
from cornelnotch.load.results import RunResult, Sample
from cornelnotch.load.scenario import FaultEvent, Scenario, TrafficClass
from cornelnotch.standins.engine import create_expected_response
from cornelnotch.web import HttpClient

__all__ = ["FleetAddresses", "LoadGenerator", "PlannedCall", "plan_calls"]

SAMPLE_INTERVAL_MS = 500.0
DISCONNECT_SHARE_OF_DEADLINE = 0.1
MS_PER_SECOND = 1000.0

Progress = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class FleetAddresses:
    """Addresses of the hosts of a fleet and of its simulated servers."""

    hosts: list[str]
    platform: str = ""
    engines: dict[str, str] = field(default_factory=dict)
    services: dict[str, str] = field(default_factory=dict)

    def find_server(self, target: str) -> str | None:
        """Return the address of a simulated server, or None if it is unknown."""
        if target == "platform":
            return self.platform or None
        return self.engines.get(target) or self.services.get(target)


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """One scheduled call."""

    number: int
    class_name: str
    at_ms: float
    workspace: str
    tokens: int
    disconnects: bool


def _choose_workspace(generator: random.Random, count: int, large: float) -> str:
    """Return a random workspace; a fraction `large` of calls goes to a few of them."""
    few = max(count // 5, 1)
    if generator.random() < large:
        return f"w{generator.randrange(few)}"
    return f"w{generator.randrange(count)}"


def plan_calls(scenario: Scenario) -> list[PlannedCall]:
    """Return all calls of the scenario by time of arrival."""
    general = scenario.general
    calls: list[PlannedCall] = []
    for name, traffic in scenario.classes.items():
        generator = random.Random(f"{general.seed}/{name}")
        at_s = 0.0
        while True:
            bursting = traffic.burst_start_s <= at_s < traffic.burst_end_s
            rate = traffic.burst_rate if bursting else None
            at_s += generator.expovariate(rate or traffic.rate)
            if at_s >= general.duration_s:
                break
            length = generator.lognormvariate(0.0, traffic.spread) * traffic.tokens
            calls.append(
                PlannedCall(
                    len(calls),
                    name,
                    at_s * MS_PER_SECOND,
                    _choose_workspace(
                        generator, general.workspaces, general.large_share
                    ),
                    max(int(length), 1),
                    generator.random() < traffic.leave_share,
                )
            )
    return sorted(calls, key=lambda call: call.at_ms)


class LoadGenerator:
    """Sends the calls of one scenario and records their results."""

    def __init__(self, scenario: Scenario, fleet: FleetAddresses, clock: Clock) -> None:
        self._scenario = scenario
        self._fleet = fleet
        self._clock = clock
        self._client = HttpClient()
        self._callers: dict[tuple[str, str], Caller] = {}
        self._result = RunResult(scenario.general.name, scenario.general.seed)

    async def run(self, progress: Progress) -> RunResult:
        """Run the scenario and return its result."""
        start_ms = self._clock.read()
        watchers = [
            asyncio.create_task(self._watch_versions(start_ms)),
            *(
                asyncio.create_task(self._inject_fault(event, start_ms))
                for event in self._scenario.faults.values()
            ),
        ]
        generated_before = await self._read_engines()
        watchers.append(
            asyncio.create_task(self._watch_tokens(start_ms, generated_before))
        )
        calls = plan_calls(self._scenario)
        running = []
        last_progress_ms = 0.0
        for index, call in enumerate(calls):
            await self._clock.sleep(start_ms + call.at_ms - self._clock.read())
            running.append(asyncio.create_task(self._run_call(call)))
            if call.at_ms - last_progress_ms >= 5 * MS_PER_SECOND:
                last_progress_ms = call.at_ms
                progress(f"{call.at_ms / MS_PER_SECOND:.0f} s: {index} calls")
        await asyncio.gather(*running)
        for watcher in watchers:
            watcher.cancel()
        await self._collect_totals(generated_before)
        return self._result

    async def _collect_totals(self, generated_before: int) -> None:
        self._result.tokens_generated = await self._read_engines() - generated_before
        for name, address in self._fleet.services.items():
            self._result.ledgers[name] = await self._read_ledger(address)
        for caller in self._callers.values():
            caller.close()
        self._client.close()

    def _find_caller(self, call: PlannedCall, traffic: TrafficClass) -> Caller:
        key = (call.class_name, call.workspace)
        caller = self._callers.get(key)
        if caller is None:
            options = CallerOptions(
                call.workspace,
                attempts=traffic.attempts,
                deadline_ms=traffic.deadline_ms,
                total_timeout_ms=float(traffic.deadline_ms),
            )
            caller = Caller(self._fleet.hosts, options, self._clock)
            self._callers[key] = caller
        return caller

    async def _run_call(self, call: PlannedCall) -> None:
        traffic = self._scenario.classes[call.class_name]
        caller = self._find_caller(call, traffic)
        work = asyncio.create_task(self._send(call, traffic, caller))
        if call.disconnects:
            wait_s = traffic.deadline_ms * DISCONNECT_SHARE_OF_DEADLINE / MS_PER_SECOND
            done, _ = await asyncio.wait({work}, timeout=wait_s)
            if not done:
                work.cancel()
                await asyncio.wait({work})
                self._record_disconnect(call)
                return
        result = await work
        self._record(call, traffic, result)

    async def _send(
        self, call: PlannedCall, traffic: TrafficClass, caller: Caller
    ) -> CallResult:
        reference = f"{call.class_name}-{call.number}"
        if traffic.kind == "chat":
            return await caller.chat(reference, call.tokens, traffic.labels)
        key = create_identifier() if traffic.kind == "once" else None
        content = {"reference": reference}
        return await caller.call(
            traffic.service, traffic.path, content, traffic.labels, key
        )

    def _record_disconnect(self, call: PlannedCall) -> None:
        sample = Sample(call.class_name, call.at_ms, "left", False, False)
        self._result.samples.append(sample)

    def _record(
        self, call: PlannedCall, traffic: TrafficClass, result: CallResult
    ) -> None:
        reference = f"{call.class_name}-{call.number}"
        wrong = False
        if traffic.kind == "chat" and result.complete:
            wrong = result.text != create_expected_response(reference, call.tokens)
        sample = Sample(
            call.class_name,
            call.at_ms,
            "complete" if result.complete else result.kind or "failed",
            result.complete and _is_attained(traffic, result),
            wrong,
            result.outcome,
            reference if traffic.kind == "once" else "",
            tuple(result.outcomes),
            result.first_token_ms,
            result.between_tokens_ms,
            result.whole_ms,
            call.tokens if traffic.kind == "chat" else 0,
        )
        self._result.samples.append(sample)

    async def _inject_fault(self, event: FaultEvent, start_ms: float) -> None:
        await self._clock.sleep(
            start_ms + event.at_s * MS_PER_SECOND - self._clock.read()
        )
        address = self._fleet.find_server(event.target)
        if address is None:
            self._result.notes.append(f"there is no simulated server {event.target}")
            return
        await self._client.request_json(
            address, "POST", "/faults", _parse_faults(event.set)
        )

    async def _watch_versions(self, start_ms: float) -> None:
        while True:
            queued: Counter[str] = Counter()
            for address in self._fleet.hosts:
                status = await self._read(address, "/status")
                if status is not None:
                    at_ms = self._clock.read() - start_ms
                    self._result.add_version(status["host"], at_ms, status["version"])
                    queued.update(status["queued"])
            self._result.queued.append((self._clock.read() - start_ms, dict(queued)))
            await self._clock.sleep(SAMPLE_INTERVAL_MS)

    async def _watch_tokens(self, start_ms: float, generated_before: int) -> None:
        while True:
            total = await self._read_engines() - generated_before
            self._result.generated.append((self._clock.read() - start_ms, total))
            await self._clock.sleep(SAMPLE_INTERVAL_MS)

    async def _read(self, address: str, target: str) -> dict | None:
        try:
            _, content = await self._client.request_json(
                address, "GET", target, timeout_ms=1000.0
            )
        except UpstreamError:
            return None
        return content if isinstance(content, dict) else None

    async def _read_engines(self) -> int:
        counts = [await self._read(a, "/counts") for a in self._fleet.engines.values()]
        return sum(c["generated"] for c in counts if c is not None)

    async def _read_ledger(self, address: str) -> dict[str, int]:
        return await self._read(address, "/ledger") or {}


def _is_attained(traffic: TrafficClass, result: CallResult) -> bool:
    limits = (
        (traffic.first_token_ms, result.first_token_ms),
        (traffic.between_tokens_ms, result.between_tokens_ms),
        (traffic.whole_ms, result.whole_ms),
    )
    return all(limit is None or measured <= limit for limit, measured in limits)


def _parse_faults(text: str) -> dict[str, object]:
    """Return ``name=value`` pairs with numbers and booleans decoded."""
    faults: dict[str, object] = {}
    for part in text.split(","):
        name, _, value = part.strip().partition("=")
        if value in {"true", "false"}:
            faults[name] = value == "true"
        else:
            faults[name] = float(value)
    return faults
