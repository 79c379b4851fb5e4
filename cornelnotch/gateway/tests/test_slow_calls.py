"""Test calls at servers that send no response head for a while."""

import asyncio
from contextlib import suppress
from dataclasses import dataclass

import pytest

from cornelnotch.gateway.admission_client import AdmissionResult
from cornelnotch.gateway.durations import RequestDuration
from cornelnotch.gateway.rate_limits import RateLimit
from cornelnotch.gateway.tests.conftest import (
    create_configuration,
    run_second_host,
    wait_until,
)
from cornelnotch.gateway.tests.kept_connection import KeptConnection
from cornelnotch.gateway.tests.test_graceful_shutdown import run_scenario, start_drain
from cornelnotch.gateway.tests.test_silent_server_ends import is_idle
from cornelnotch.standins.upstream import UpstreamStandin

# A server counts as silent after 2.5 times the target of the route.
SILENT_S = 0.5
SLOW_S = 0.9
MARGIN_S = 0.35
NEVER_S = 60.0


@dataclass(frozen=True, slots=True)
class Answer:
    """What a server does with a call after a delay."""

    delay_s: float
    status: int = 200
    is_refusal: bool = False
    is_abort: bool = False


class Script:
    """Answers of the servers by the order in which the call reaches them."""

    def __init__(self, d, *answers):
        self.answers = list(answers)
        self.order: list[UpstreamStandin] = []
        for desk in d.desks:
            desk._answer = self._create_handler(desk)

    def _create_handler(self, desk):
        async def handle(exchange, headers):
            answer = self.answers[len(self.order)]
            self.order.append(desk)
            with suppress(TimeoutError):
                async with asyncio.timeout(answer.delay_s):
                    await exchange.disconnected.wait()
                    desk.disconnects += 1
                    exchange.abort()
                    return
            if answer.is_abort:
                exchange.abort()
                return
            if answer.is_refusal:
                del headers["x-server-signature"]
                headers["x-not-executed"] = "1"
            body = b"done by " + desk.name.encode()
            await exchange.respond(answer.status, headers, body)

        return handle

    def list_disconnects(self):
        return [desk.disconnects for desk in self.order]


REFUSAL = Answer(0.0, 503, is_refusal=True)


async def send_call(d, path="/read/x", deadline_ms="4000"):
    """Send a call; return its connection and task."""
    connection = await KeptConnection.open(d.settings.listen.callers)
    method = "POST" if path.startswith("/book") else "GET"
    headers = {"x-deadline-ms": deadline_ms}
    task = asyncio.create_task(connection.send("c1", path, method, **headers))
    return connection, task


async def configure(d, attempts=2, timeout_ms=9000):
    configuration = create_configuration(2)
    for route in configuration["routes"]:
        route["timeout_ms"] = timeout_ms
        route["max_attempts"] = attempts
    d.configure(configuration)
    await wait_until(lambda: d.host.context.table.version == 2)


async def add_desk(d):
    desk = UpstreamStandin("desk-3")
    await desk.start()
    d.desks.append(desk)
    d.list_server(desk, "desk")
    await wait_until(lambda: d.count_servers() == 5)


def count_acquired(d):
    """Return a list that grows with each use of the retry budget."""
    budget = d.host.context.find_retry_budget("desk")
    try_acquire = budget.try_acquire
    acquired: list[float] = []

    def acquire(now):
        allowed = try_acquire(now)
        if allowed:
            acquired.append(now)
        return allowed

    budget.try_acquire = acquire
    return acquired


def measure_s():
    return asyncio.get_running_loop().time()


def test_first_server_answers_while_the_second_one_runs():
    async def scenario(d):
        script = Script(d, Answer(SLOW_S), Answer(NEVER_S))
        connection, task = await send_call(d)
        reply = await task
        assert (reply.status, reply.whole) == (200, True)
        assert reply.body == b"done by " + script.order[0].name.encode()
        await wait_until(lambda: is_idle(d))
        await wait_until(lambda: script.list_disconnects() == [0, 1])

    run_scenario(scenario)


def test_silent_server_is_replaced_after_its_timeout_and_counts_as_failed():
    async def scenario(d):
        script = Script(d, Answer(NEVER_S), Answer(0.0))
        acquired = count_acquired(d)
        began_s = measure_s()
        connection, task = await send_call(d)
        reply = await task
        assert measure_s() - began_s < SILENT_S + MARGIN_S
        assert reply.body == b"done by " + script.order[1].name.encode()
        silent = d.host.context.pool.servers[script.order[0].name]
        assert silent.failures == 1
        assert len(acquired) == 1
        await wait_until(lambda: is_idle(d))
        await wait_until(lambda: script.list_disconnects() == [1, 0])

    run_scenario(scenario)


def test_silent_server_counts_as_failed_before_another_one_has_answered():
    async def scenario(d):
        script = Script(d, Answer(NEVER_S), Answer(NEVER_S))
        connection, task = await send_call(d, deadline_ms="1500")
        await wait_until(lambda: len(script.order) == 2)
        views = d.host.context.pool.servers
        assert [views[desk.name].failures for desk in script.order] == [1, 0]
        assert (await task).status == 504

    run_scenario(scenario)


def test_nothing_is_left_when_the_caller_of_a_slow_call_leaves():
    async def scenario(d):
        script = Script(d, Answer(NEVER_S), Answer(NEVER_S))
        connection, task = await send_call(d)
        await wait_until(lambda: len(script.order) == 2)
        assert not is_idle(d)
        connection.close()
        await wait_until(lambda: is_idle(d))
        await wait_until(lambda: script.list_disconnects() == [1, 1])
        await asyncio.gather(task, return_exceptions=True)

    run_scenario(scenario)


def test_nothing_is_left_when_the_deadline_of_a_slow_call_passes():
    async def scenario(d):
        script = Script(d, Answer(NEVER_S), Answer(NEVER_S))
        connection, task = await send_call(d, deadline_ms="1200")
        assert (await task).status == 504
        await wait_until(lambda: is_idle(d))
        await wait_until(lambda: script.list_disconnects() == [1, 1])

    run_scenario(scenario)


def test_nothing_is_left_when_the_host_stops_during_a_slow_call():
    async def scenario(d):
        script = Script(d, Answer(NEVER_S), Answer(NEVER_S))
        connection, task = await send_call(d)
        await wait_until(lambda: len(script.order) == 2)
        stopping = start_drain(d, 1.0)
        assert (await task).status == 504
        await wait_until(lambda: is_idle(d))
        await wait_until(lambda: script.list_disconnects() == [1, 1])
        await stopping

    run_scenario(scenario)


def test_nothing_is_left_when_the_caller_leaves_while_a_call_waits_for_admission():
    async def scenario(d):
        script = Script(d, Answer(NEVER_S))
        connection, task = await send_call(d)
        await wait_until(lambda: len(script.order) == 1)
        waiting = await delay_admission(d)
        await waiting.wait()
        connection.close()
        await wait_until(lambda: is_idle(d))
        await wait_until(lambda: script.list_disconnects() == [1])
        await asyncio.gather(task, return_exceptions=True)

    run_scenario(scenario)


def find_zero_limit(view):
    return RateLimit(view.record.name, view.record.boot_ms, 0.0, 0.0)


async def delay_admission(d):
    """Let no further call be admitted; return an event that is set once one waits."""
    waiting = asyncio.Event()

    async def wait_for_ever(*arguments):
        waiting.set()
        await asyncio.Event().wait()

    d.host.context.find_rate_limit = find_zero_limit
    d.host.context.admission.wait_for_admission = wait_for_ever
    return waiting


def test_call_at_a_slow_server_is_answered_where_no_other_admits_it():
    async def scenario(d):
        script = Script(d, Answer(SLOW_S))
        acquired = count_acquired(d)
        connection, task = await send_call(d)
        await wait_until(lambda: len(script.order) == 1)
        waiting = await delay_admission(d)
        assert (await task).status == 200
        assert waiting.is_set()
        assert not acquired
        assert len(script.order) == 1
        await wait_until(lambda: is_idle(d))

    run_scenario(scenario)


def test_call_is_not_sent_to_a_limited_server_without_a_permit():
    async def scenario(d):
        script = Script(d, Answer(SLOW_S))
        connection, task = await send_call(d)
        await wait_until(lambda: len(script.order) == 1)
        asked = []

        async def refuse(request, view, *arguments):
            asked.append(view.record.name)
            return AdmissionResult.RATE_LIMITED

        d.host.context.admission.wait_for_admission = refuse
        find_rate_limit = d.host.context.find_rate_limit
        d.host.context.find_rate_limit = find_zero_limit
        assert (await task).status == 200
        d.host.context.find_rate_limit = find_rate_limit
        assert len(asked) == 1
        assert len(script.order) == 1

    run_scenario(scenario)


def test_call_at_a_slow_server_is_answered_without_a_retry_budget():
    async def scenario(d):
        script = Script(d, Answer(SLOW_S))
        budget = d.host.context.find_retry_budget("desk")
        budget.can_retry = lambda now: False
        connection, task = await send_call(d)
        assert (await task).status == 200
        assert len(script.order) == 1

    run_scenario(scenario)


def test_call_that_may_not_be_repeated_stays_at_its_slow_server():
    async def scenario(d):
        script = Script(d, Answer(SLOW_S))
        connection, task = await send_call(d, "/book/x")
        assert (await task).status == 200
        assert len(script.order) == 1

    run_scenario(scenario)


def test_call_of_a_stop_is_not_sent_to_a_server_that_cannot_end_it_in_time():
    async def scenario(d):
        await configure(d)
        for _ in range(60):
            d.host.context.durations.record("read", RequestDuration(3500.0))
        script = Script(d, Answer(SLOW_S))
        connection, task = await send_call(d, deadline_ms="9000")
        await wait_until(lambda: len(script.order) == 1)
        stopping = start_drain(d, 4.0)
        assert (await task).status == 200
        assert len(script.order) == 1
        await stopping

    run_scenario(scenario)


def test_late_call_of_a_stop_is_sent_to_another_server_if_that_can_end_it():
    async def scenario(d):
        await configure(d)
        for _ in range(60):
            d.host.context.durations.record("read", RequestDuration(50.0))
        busy = Script(d, Answer(5.0, 200), Answer(NEVER_S), Answer(0.0))
        connection, task = await send_call(d, "/book/x", deadline_ms="9000")
        await wait_until(lambda: len(busy.order) == 1)
        kept = await KeptConnection.open(d.settings.listen.callers)
        stopping = start_drain(d, 6.0)
        await asyncio.sleep(3.6)
        headers = {"x-deadline-ms": "9000"}
        reply = await kept.send("c2", "/read/x", **headers)
        assert (reply.status, len(busy.order)) == (200, 3)
        assert (await task).status == 200
        await stopping

    run_scenario(scenario)


@pytest.mark.parametrize(
    "second",
    [REFUSAL, Answer(0.0, is_abort=True), Answer(0.1, 500)],
    ids=["refuses", "aborts", "fails"],
)
def test_first_server_is_waited_for_after_the_second_one_failed(second):
    async def scenario(d):
        script = Script(d, Answer(SLOW_S), *[second] * 6)
        acquired = count_acquired(d)
        connection, task = await send_call(d)
        reply = await task
        assert (reply.status, reply.whole) == (200, True)
        assert len(acquired) == len(script.order) - 1
        assert len(script.order) <= (3 if second.is_refusal else 2)
        await wait_until(lambda: is_idle(d))

    run_scenario(scenario)


@pytest.mark.parametrize(
    "first",
    [
        Answer(SLOW_S, 503, is_refusal=True),
        Answer(SLOW_S, is_abort=True),
        Answer(SLOW_S, 500),
    ],
    ids=["refuses", "aborts", "fails"],
)
def test_second_server_answers_after_the_slow_first_one_failed(first):
    async def scenario(d):
        script = Script(d, first, Answer(2 * SLOW_S))
        connection, task = await send_call(d)
        reply = await task
        assert reply.body == b"done by " + script.order[1].name.encode()
        await wait_until(lambda: is_idle(d))
        assert script.list_disconnects() == [0, 0]

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("first", "second", "status"),
    [
        (Answer(SLOW_S, 503, is_refusal=True), REFUSAL, 503),
        (Answer(SLOW_S, 503, is_refusal=True), Answer(0.0, is_abort=True), 502),
        (Answer(SLOW_S, is_abort=True), REFUSAL, 502),
    ],
    ids=["none ran it", "second may have run it", "first may have run it"],
)
def test_call_is_refused_as_not_run_only_if_no_server_may_have_run_it(
    first, second, status
):
    async def scenario(d):
        script = Script(d, first, *[second] * 6)
        connection, task = await send_call(d)
        reply = await task
        assert (reply.status, reply.whole) == (status, True)
        assert len(script.order) >= 2
        await wait_until(lambda: is_idle(d))

    run_scenario(scenario)


def test_slow_call_is_sent_to_no_more_servers_than_its_route_allows():
    async def scenario(d):
        await add_desk(d)
        script = Script(d, *[Answer(NEVER_S)] * 3)
        connection, task = await send_call(d, deadline_ms="2500")
        assert (await task).status == 504
        assert len(script.order) == 2
        await wait_until(lambda: is_idle(d))

    run_scenario(scenario)


@pytest.mark.parametrize("winner", [0, 1, 2])
def test_call_at_slow_servers_is_answered_by_the_first_of_three_to_answer(winner):
    async def scenario(d):
        await add_desk(d)
        await configure(d, attempts=3)
        delays_s = [NEVER_S] * 3
        delays_s[winner] = 3 * SILENT_S if winner < 2 else 0.1
        script = Script(d, *map(Answer, delays_s))
        acquired = count_acquired(d)
        connection, task = await send_call(d)
        reply = await task
        assert reply.body == b"done by " + script.order[winner].name.encode()
        assert len(set(map(id, script.order))) == 3
        assert len(acquired) == 2
        await wait_until(lambda: is_idle(d))
        left = [int(number != winner) for number in range(3)]
        await wait_until(lambda: script.list_disconnects() == left)

    run_scenario(scenario)


def test_nothing_is_left_when_the_caller_leaves_during_a_second_search():
    async def scenario(d):
        await add_desk(d)
        await configure(d, attempts=3)
        script = Script(d, *[Answer(NEVER_S)] * 3)
        connection, task = await send_call(d)
        await wait_until(lambda: len(script.order) == 3)
        connection.close()
        await wait_until(lambda: is_idle(d))
        await wait_until(lambda: script.list_disconnects() == [1, 1, 1])
        await asyncio.gather(task, return_exceptions=True)

    run_scenario(scenario)


def test_crash_of_the_second_server_of_a_call_is_evidence():
    async def scenario(d):
        await add_desk(d)
        await configure(d, attempts=3)
        script = Script(d, Answer(2.0), Answer(0.0, is_abort=True), Answer(0.0))
        noted = []

        async def note(view, request):
            noted.append(view.record.name)
            return True

        d.host.context.crash_watch.note_break = note
        d.host.context.crashes.is_suspected = lambda parts: True
        connection, task = await send_call(d)
        assert (await task).status == 200
        assert noted == [script.order[1].name]
        assert len(script.order) == 2

    run_scenario(scenario)


def test_slow_call_of_a_host_that_is_cut_off_goes_on_at_another_host():
    async def scenario(d):
        await configure(d)
        async with run_second_host(d):
            script = Script(d, Answer(NEVER_S), Answer(0.0))
            connection, task = await send_call(d)
            await wait_until(lambda: len(script.order) == 1)
            d.host.context.links.is_cut_off = lambda service: True
            began_s = measure_s()
            reply = await task
            assert (reply.status, reply.whole) == (200, True)
            assert measure_s() - began_s < SILENT_S + MARGIN_S
            await wait_until(lambda: is_idle(d))

    run_scenario(scenario)


def test_slow_call_of_a_host_that_is_cut_off_later_goes_on_at_another_host():
    async def scenario(d):
        await configure(d)
        async with run_second_host(d):
            script = Script(d, Answer(NEVER_S), Answer(0.0))
            has_room = d.host.context.pool.list_usable
            d.host.context.pool.list_usable = lambda *arguments: (
                [] if script.order else has_room(*arguments)
            )
            connection, task = await send_call(d)
            await wait_until(lambda: len(script.order) == 1)
            await asyncio.sleep(2 * SILENT_S)
            assert not task.done()
            d.host.context.links.is_cut_off = lambda service: True
            reply = await task
            assert (reply.status, reply.whole) == (200, True)
            await wait_until(lambda: is_idle(d))

    run_scenario(scenario)
