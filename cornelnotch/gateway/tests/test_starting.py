"""Ask hosts that know no routes or servers yet."""

import asyncio

from cornelnotch.gateway.starting import MIN_RETURN_MS, STARTUP_MS, Startup
from cornelnotch.gateway.tests.conftest import Deployment, create_host, wait_until
from cornelnotch.kernel import ManualClock


def test_callers_without_an_answer_in_sight_return_as_late_as_they_honour():
    startup = Startup(ManualClock())
    assert startup.choose_return_ms(6000.0) == MIN_RETURN_MS
    startup.note_store_lost()
    assert startup.choose_return_ms(6000.0) == 2000.0
    assert startup.choose_return_ms(0.0) == MIN_RETURN_MS


def test_requests_wait_for_the_rest_of_the_startup_only():
    async def run():
        clock = ManualClock()
        startup = Startup(clock)
        clock.advance(STARTUP_MS - 50.0)
        loop = asyncio.get_running_loop()
        began = loop.time()
        assert not await startup.wait()
        assert 0.02 < loop.time() - began < 0.3
        clock.advance(50.0)
        began = loop.time()
        assert not await startup.wait()
        assert loop.time() - began < 0.02
        startup.note_known()
        assert await startup.wait()

    asyncio.run(run())


def play_restart(scenario):
    async def run():
        deployment = Deployment()
        await deployment.start()
        await deployment.host.stop()
        deployment.host = create_host(deployment.settings)
        try:
            await scenario(deployment)
        finally:
            await deployment.stop()

    asyncio.run(run())


def test_the_first_callers_of_a_host_that_starts_are_served():
    # They got 503 until the configuration was read.
    async def scenario(d):
        await d.host.start()
        answer = await d.send("/book/x", "POST", b"b")
        assert answer.status == 200
        await answer.read()

    play_restart(scenario)


def test_callers_that_come_in_an_outage_are_told_to_return_late():
    # All hosts had lost power while the store was down; callers came back after 0.3 s,
    # were refused once more and gave up.
    async def scenario(d):
        d.store.fault = "busy"
        await d.host.start()
        await asyncio.sleep(STARTUP_MS / 1000.0)
        answer = await d.send("/book/x", "POST", b"b")
        assert answer.status == 503
        assert 0.9 < float(answer.headers["retry-after"]) <= 1.0
        await answer.read()
        d.store.fault = ""
        await asyncio.sleep(0.9)
        answer = await d.send("/book/x", "POST", b"b", x_attempt_id="a2")
        assert answer.status == 200
        await answer.read()

    play_restart(scenario)


def test_a_host_that_knows_no_servers_is_not_ready():
    # Hosts took callers once they had routes, and found no server for them.
    async def scenario(d):
        d.store.silent_topics = {"keyed.servers"}
        await d.host.start()
        await wait_until(lambda: d.host.parts.table.version >= 0)
        assert not d.host.is_ready()
        d.store.silent_topics = set()
        await wait_until(d.host.is_ready)

    play_restart(scenario)
