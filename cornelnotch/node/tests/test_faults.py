"""Test the delivery guarantees with processes that are killed, frozen or cut off."""

import asyncio
import signal
import sys

import pytest

from cornelnotch.kernel import create_identifier
from cornelnotch.load.caller import CallResult
from cornelnotch.node.tests.conftest import (
    FAST_MEMBERSHIP,
    FAST_TIMING,
    start_sample_fleet,
)
from cornelnotch.standins.engine import create_expected_response
from cornelnotch.testing.proxy import FaultProxy
from cornelnotch.testing.samples import (
    create_sample_configuration,
    create_server_section,
)

BOOKINGS = 12


async def send_to_all_hosts(fleet, reference, key, **options):
    """Send a booking to all hosts concurrently with the same key."""
    calls = []
    for host in fleet.hosts.values():
        caller = fleet.create_caller(**options)
        caller.use_only_host(host.http)
        calls.append(
            caller.call(
                "counter-desk",
                "/book",
                {"reference": reference},
                "kind=booking",
                key,
                retry=False,
            )
        )
    return await asyncio.gather(*calls)


def test_booking_sent_to_three_hosts_runs_once(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet)
        for number in range(BOOKINGS):
            results = await send_to_all_hosts(
                fleet, f"slot-{number}", create_identifier()
            )
            bodies = {r.body for r in results if r.outcome == "ran"}
            assert len(bodies) == 1, results
            assert all(r.outcome in {"ran", "unknown"} for r in results)
        ledger = await fleet.read_ledger("desk-0")
        assert ledger == {f"slot-{n}": 1 for n in range(BOOKINGS)}

    run_fleet(scenario)


def test_booking_runs_once_with_lost_responses_and_slow_log(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet)
        await fleet.set_faults(fleet.platform.http, lose_answers=True, slow_ms=50)
        await fleet.set_faults(fleet.servers["desk-0"].http, lose_answers=True)
        keys = [create_identifier() for _ in range(4)]
        first = [
            await send_to_all_hosts(fleet, f"slot-{n}", key)
            for n, key in enumerate(keys)
        ]
        await fleet.set_faults(fleet.platform.http, lose_answers=False, slow_ms=0)
        await fleet.set_faults(fleet.servers["desk-0"].http, lose_answers=False)
        for number, key in enumerate(keys):
            again = await send_to_all_hosts(fleet, f"slot-{number}", key)
            assert all(r.outcome == "unknown" for r in [*first[number], *again])
        ledger = await fleet.read_ledger("desk-0")
        assert ledger == {f"slot-{n}": 1 for n in range(4)}

    run_fleet(scenario)


def test_not_run_outcome_is_correct_during_log_outage(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet)
        caller = fleet.create_caller(attempts=1, deadline_ms=3000)
        results: dict[str, CallResult] = {}

        async def book(number):
            key = create_identifier()
            await asyncio.sleep(number * 0.05)
            results[f"slot-{number}"] = await caller.call(
                "counter-desk",
                "/book",
                {"reference": f"slot-{number}"},
                "kind=booking",
                key,
            )

        async def interrupt_log():
            await asyncio.sleep(0.5)
            await fleet.set_faults(fleet.platform.http, down=True)
            await asyncio.sleep(2.5)
            await fleet.set_faults(fleet.platform.http, down=False)

        await asyncio.gather(interrupt_log(), *(book(n) for n in range(80)))
        ledger = await fleet.read_ledger("desk-0")
        refused = [name for name, r in results.items() if r.outcome == "not-run"]
        assert refused, "the outage caused no refusal, so the check is void"
        assert [name for name in refused if name in ledger] == []
        ran = [name for name, r in results.items() if r.outcome == "ran"]
        assert all(ledger[name] == 1 for name in ran)
        assert max(ledger.values()) == 1

    run_fleet(scenario)


@pytest.mark.parametrize("number", [signal.SIGSTOP, signal.SIGKILL])
def test_claim_of_stopped_host_is_not_dispatched_by_another(run_fleet, number):
    async def scenario(fleet):
        await start_sample_fleet(fleet)
        host = fleet.hosts["host-0"]
        key = create_identifier()
        # Without a free slot, the winner of the claim waits before its dispatch.
        await fleet.set_faults(fleet.servers["desk-0"].http, frozen_ms=1500)
        blocking_calls = [
            fleet.create_caller(deadline_ms=9000).book(
                "counter-desk", "/book", {"reference": f"filler-{n}"}, "kind=booking"
            )
            for n in range(8)
        ]
        blocking_tasks = [asyncio.create_task(f) for f in blocking_calls]
        await asyncio.sleep(0.6)
        winner = fleet.create_caller(deadline_ms=9000)
        winner.use_only_host(host.http)
        content = {"reference": "slot"}
        first = asyncio.create_task(
            winner.call(
                "counter-desk", "/book", content, "kind=booking", key, retry=False
            )
        )
        await asyncio.sleep(0.5)
        fleet.send_signal(host, number)
        other = fleet.create_caller(deadline_ms=2000)
        other.use_only_host(fleet.hosts["host-1"].http)
        second = await other.call(
            "counter-desk", "/book", content, "kind=booking", key, retry=False
        )
        fleet.send_signal(host, signal.SIGCONT)
        assert second.outcome == "unknown"
        await asyncio.gather(*blocking_tasks, first)
        ledger = await fleet.read_ledger("desk-0")
        assert ledger.get("slot", 0) <= 1
        assert max(ledger.values()) == 1

    run_fleet(scenario)


def test_killed_hosts_and_engines_lose_no_response(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet, hosts=3, engines=3)
        callers = [fleet.create_caller() for _ in range(24)]

        async def ask(number, caller):
            await asyncio.sleep(number * 0.04)
            prompt = f"boots of owner {number}"
            result = await caller.chat(prompt, 40, "kind=quote")
            return result.complete and result.text == create_expected_response(
                prompt, 40
            )

        async def kill():
            await asyncio.sleep(0.6)
            fleet.send_signal(fleet.servers["engine-1"], signal.SIGKILL)
            await asyncio.sleep(0.3)
            fleet.send_signal(fleet.hosts["host-2"], signal.SIGKILL)

        asked = [ask(n, caller) for n, caller in enumerate(callers)]
        answers, _ = await asyncio.gather(asyncio.gather(*asked), kill())
        assert answers.count(False) == 0

    run_fleet(scenario)


def test_streams_of_killed_engine_resume_on_another(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet, hosts=2, engines=3)
        caller = fleet.create_caller(attempts=1)
        prompts = [f"owner {n}" for n in range(9)]
        asked = [
            asyncio.create_task(caller.chat(p, 60, "kind=quote", retry=False))
            for p in prompts
        ]
        await asyncio.sleep(0.7)
        fleet.send_signal(fleet.servers["engine-1"], signal.SIGKILL)
        results = await asyncio.gather(*asked)
        for prompt, result in zip(prompts, results, strict=True):
            assert result.complete
            assert result.text == create_expected_response(prompt, 60)
        traces = [await fleet.explain(r.request_id) for r in results]
        stages = [d["stage"] for t in traces for d in t["decisions"]]
        assert "failed" in stages, "no stream ran on the killed engine"

    run_fleet(scenario)


def test_mismatched_responses_are_not_delivered(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet, hosts=2, engines=3, slots=100)
        caller = fleet.create_caller()
        prompts = [f"case {n}" for n in range(200)]
        asked = [asyncio.create_task(caller.chat(p, 40, "kind=quote")) for p in prompts]
        await asyncio.sleep(0.5)
        # From now on, new streams of this engine carry another caller's text.
        await fleet.set_faults(fleet.servers["engine-0"].http, cross_answers=True)
        prompts += [f"later case {n}" for n in range(100)]
        asked += [
            asyncio.create_task(caller.chat(p, 40, "kind=quote")) for p in prompts[200:]
        ]
        results = await asyncio.gather(*asked)
        for prompt, result in zip(prompts, results, strict=True):
            assert result.complete, result
            assert result.text == create_expected_response(prompt, 40)

    run_fleet(scenario)


def test_leaving_server_gets_no_new_requests_after_three_seconds(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet, hosts=3, engines=2)
        caller = fleet.create_caller()
        await fleet.list_server("engine-0", "leaving")
        await asyncio.sleep(3.0)
        address = fleet.servers["engine-0"].http
        before = await fleet.wait_answer(address, "/counts")
        results = await asyncio.gather(
            *(caller.chat(f"p{n}", 4, "kind=quote") for n in range(30))
        )
        after = await fleet.wait_answer(address, "/counts")
        assert all(r.complete for r in results)
        assert after["prefills"] == before["prefills"]

    run_fleet(scenario)


def test_rolling_replacement_of_hosts_breaks_no_request(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet, hosts=3, engines=2)
        stop = asyncio.Event()
        broken = []

        async def load(number):
            caller = fleet.create_caller(f"w{number}", attempts=1)
            while not stop.is_set():
                result = await caller.chat(f"w{number}", 20, "kind=quote")
                if not result.complete:
                    broken.append(result)
                await asyncio.sleep(0.05)

        loads = [asyncio.create_task(load(n)) for n in range(6)]
        for number in range(3):
            old = fleet.hosts.pop(f"host-{number}")
            await fleet.start_host(f"new-{number}")
            await fleet.wait_ready(0, 3)
            fleet.send_signal(old, signal.SIGTERM)
            await fleet.list_host(old, "leaving")
            code = await asyncio.wait_for(old.process.wait(), 20)
            assert code == 0
        stop.set()
        await asyncio.gather(*loads)
        assert broken == []

    run_fleet(scenario)


def test_drain_command_cuts_no_request_and_ends_the_process(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet, hosts=2)
        await fleet.set_faults(fleet.servers["desk-0"].http, frozen_ms=3500)
        host = fleet.hosts["host-0"]
        caller = fleet.create_caller(deadline_ms=9000)
        caller.use_only_host(host.http)
        content = {"reference": "slot"}
        booking = asyncio.create_task(
            caller.book("counter-desk", "/book", content, "kind=booking")
        )
        await asyncio.sleep(0.5)
        command = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "cornelnotch", "drain", host.http
        )
        assert await command.wait() == 0
        assert (await booking).outcome == "ran"
        assert await asyncio.wait_for(host.process.wait(), 10) == 0

    run_fleet(scenario)


async def sample_versions(fleet, versions, stop):
    """Record each host's configuration version until `stop` is set."""
    while not stop.is_set():
        await sample_versions_once(fleet, versions)
        await asyncio.sleep(0.05)


async def sample_versions_once(fleet, versions):
    """Record each host's configuration version once."""
    for host in list(fleet.hosts.values()):
        status = await fleet.read_status(host)
        if status:
            versions.setdefault(host.name, []).append(status["version"])


def test_versions_are_monotonic_across_race_outage_and_late_start(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet, hosts=3)
        versions: dict[str, list[int]] = {}
        stop = asyncio.Event()
        sampling = asyncio.create_task(sample_versions(fleet, versions, stop))
        base = (await fleet.read_status(fleet.hosts["host-0"]))["version"]
        race = await asyncio.gather(
            fleet.publish("[workspace w]\nconcurrent = 3\n", base),
            fleet.publish("[workspace w]\nconcurrent = 5\n", base),
        )
        await fleet.wait_ready(min(race))
        await fleet.set_faults(fleet.platform.http, down=True)
        # A host that starts during the outage gets the configuration from a peer.
        late = await fleet.start_host("late")
        await fleet.wait_answer(late.http, "/readyz")
        await fleet.set_faults(fleet.platform.http, down=False)
        await fleet.list_host(late, "live")
        last = await fleet.publish("[workspace x]\nconcurrent = 9\n")
        await fleet.wait_ready(last)
        stop.set()
        await sampling
        await sample_versions_once(fleet, versions)
        for host, seen in versions.items():
            assert seen == sorted(seen), host
        assert all(seen[-1] == last for seen in versions.values())

    run_fleet(scenario)


def test_isolated_host_refuses_requests_with_its_reason(run_fleet):
    async def scenario(fleet):
        fleet.settings = FAST_TIMING + "isolation_ms = 1500\n"
        fleet.membership = FAST_MEMBERSHIP
        await fleet.start_platform()
        engine = await fleet.start_engine("engine-0")
        section = create_server_section("engine-0", "cobbler-assist", engine.http)
        version = await fleet.publish(create_sample_configuration(section))
        proxy = FaultProxy(fleet.log_address)
        await proxy.start()
        await fleet.start_host("host-0")
        await fleet.start_host("host-1", log=proxy.address)
        await fleet.wait_ready(version)
        isolated = fleet.hosts["host-1"]
        proxy.cut()
        fleet.send_signal(fleet.hosts["host-0"], signal.SIGSTOP)
        await asyncio.sleep(3.0)
        caller = fleet.create_caller(attempts=1)
        caller.use_only_host(isolated.http)
        refused = await caller.chat("boots", 4, "kind=quote", retry=False)
        assert (refused.status, refused.kind) == (503, "isolated")
        assert refused.outcome == "not-run"
        assert refused.retry_after_ms > 0
        fleet.send_signal(fleet.hosts["host-0"], signal.SIGCONT)
        proxy.heal()
        await fleet.wait_ready(version)
        served = await caller.chat("boots", 4, "kind=quote", retry=False)
        assert served.complete
        await proxy.stop()

    run_fleet(scenario)
