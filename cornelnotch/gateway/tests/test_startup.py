"""Test requests to hosts that know no routes or servers yet."""

import asyncio

from cornelnotch.gateway.startup import MIN_RETRY_AFTER_MS, STARTUP_MS, Startup
from cornelnotch.gateway.tests.conftest import Deployment, create_host, wait_until
from cornelnotch.kernel import ManualClock


def test_retry_delay_is_the_longest_honoured_while_the_store_is_unavailable():
    startup = Startup(ManualClock())
    assert startup.choose_retry_after_ms(6000.0) == MIN_RETRY_AFTER_MS
    startup.note_store_unavailable()
    assert startup.choose_retry_after_ms(6000.0) == 2000.0
    assert startup.choose_retry_after_ms(0.0) == MIN_RETRY_AFTER_MS


def test_requests_wait_only_for_the_rest_of_the_startup():
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
        startup.set_ready()
        assert await startup.wait()

    asyncio.run(run())


def run_restart_scenario(scenario):
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


def test_first_callers_of_a_starting_host_are_served():
    # Guards against responding 503 until the configuration has been read.
    async def scenario(d):
        await d.host.start()
        answer = await d.send("/book/x", "POST", b"b")
        assert answer.status == 200
        await answer.read()

    run_restart_scenario(scenario)


def test_callers_during_an_outage_get_a_long_retry_delay():
    # Guards against a retry delay of 0.3 s after all hosts lost power while the store
    # is down: callers came back too soon, were refused once more and gave up.
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

    run_restart_scenario(scenario)


def test_a_host_without_known_servers_is_not_ready():
    # Guards against accepting callers with routes but without any server for them.
    async def scenario(d):
        d.store.silent_topics = {"keyed.servers"}
        await d.host.start()
        await wait_until(lambda: d.host.context.table.version >= 0)
        assert not d.host.is_ready()
        d.store.silent_topics = set()
        await wait_until(d.host.is_ready)

    run_restart_scenario(scenario)
