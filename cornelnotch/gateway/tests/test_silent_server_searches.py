"""Test searches for another server, and what ends while they run."""

import asyncio
import gc

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.flow import RequestFlow
from cornelnotch.gateway.tests.conftest import create_configuration, wait_until
from cornelnotch.gateway.tests.kept_connection import KeptConnection
from cornelnotch.gateway.tests.test_graceful_shutdown import count_runs, run_scenario
from cornelnotch.gateway.tests.test_silent_servers import EVENTS, begin_stream, is_whole

BREAK_S = 1.5
BUSY_MS = 600.0
MAX_REFUSED = 4


class CountedBudget:
    """A retry budget whose use is noted."""

    def __init__(self, budget, try_acquire):
        self.can_retry = budget.can_retry
        self.try_acquire = try_acquire


def break_in_silence(server, delay_s=BREAK_S):
    """Make a server abort its stream after a silence."""

    async def stall(exchange):
        await asyncio.sleep(delay_s)
        exchange.abort()
        return True

    server._stall = stall


def count_in_flight(d):
    return sum(len(view.in_flight) for view in d.host.context.pool.servers.values())


def test_stream_goes_on_if_its_silent_server_breaks_off_during_the_search():
    async def scenario(d):
        task, running, other = await begin_stream(d)
        break_in_silence(running)
        other.faults.first_ms = 1000.0
        reply = await task
        assert is_whole(reply)
        assert other.executions["s1"] == 1

    run_scenario(scenario)


def test_comments_of_a_stalled_server_do_not_keep_its_stream_there():
    async def scenario(d):
        task, running, other = await begin_stream(d)

        async def send_comments(exchange):
            while not exchange.disconnected.is_set():
                await exchange.send(b": working\n\n")
                await asyncio.sleep(0.2)
            running.disconnects += 1
            exchange.abort()
            return True

        running._stall = send_comments
        other.faults.first_ms = 300.0
        reply = await task
        assert reply.whole
        assert reply.body.count(b"id: ") == EVENTS
        assert (running.disconnects, other.executions["s1"]) == (1, 1)

    run_scenario(scenario)


# Guards against a search that each comment ends and that begins anew.
def test_comments_of_a_stalled_server_do_not_end_the_search_for_another_one():
    async def scenario(d):
        task, running, other = await begin_stream(d)

        async def send_comments(exchange):
            while not exchange.disconnected.is_set():
                await exchange.send(b": working\n\n")
                await asyncio.sleep(0.2)

        running._stall = send_comments
        running.faults.stall_ms = None
        other.faults.first_ms = 1000.0
        reply = await task
        assert reply.body.count(b"id: ") == EVENTS
        assert len(other.received_s) == 1

    run_scenario(scenario)


def test_stream_of_a_slow_reader_is_not_sent_to_another_server():
    async def scenario(d):
        await open_connections(d)
        task, running, other = await begin_stream(d)
        running.faults.stall_after_events = None
        other.faults.first_ms = 300.0
        await slow_down_once(d)
        budget = d.host.context.find_retry_budget("llm")
        acquired = []
        try_acquire = budget.try_acquire

        def acquire(now):
            acquired.append(now)
            return try_acquire(now)

        d.host.context.find_retry_budget = lambda service: CountedBudget(
            budget, acquire
        )
        assert is_whole(await task)
        assert (running.executions["s1"], other.executions["s1"]) == (1, 0)
        assert not acquired

    async def slow_down_once(d):
        """Let one write to the caller take longer than a stall."""
        timing = find_flow(d).exchange
        send = timing.send

        async def send_slowly(data):
            timing.send = send
            await asyncio.sleep(1.6)
            await send(data)

        timing.send = send_slowly

    run_scenario(scenario)


async def open_connections(d):
    """Leave an idle connection of the host to each engine."""
    client = d.host.context.client
    for engine in d.engines:
        response = await client.request(engine.address, "GET", "/report", {}, b"")
        await response.read()


def find_flow(d):
    """Return the flow of the request that runs."""
    flows = [o for o in gc.get_objects() if isinstance(o, RequestFlow)]
    return next(
        flow
        for flow in flows
        if flow.context is d.host.context and flow.request.request_id == "s1"
    )


def test_stream_that_stays_silent_sends_few_requests_to_servers_that_refuse():
    async def scenario(d):
        configuration = create_configuration(2)
        for route in configuration["routes"]:
            route["timeout_ms"] = 9000
        d.configure(configuration)
        await wait_until(lambda: d.host.context.table.version == 2)
        task, running, other = await begin_stream(d)
        running.faults.stall_ms = 8000.0
        other.faults.refuse = True
        assert is_whole(await task)
        assert len(other.received_s) <= MAX_REFUSED

    run_scenario(scenario)


def test_replacement_is_closed_if_the_request_is_blamed_meanwhile():
    async def scenario(d):
        task, running, other = await begin_stream(d)
        running.faults.stall_ms = None
        other.faults.first_ms = 300.0
        other.faults.stall_after_events = 0
        other.faults.stall_ms = None
        blamed = False
        context = d.host.context
        context.crashes.list_blamed = lambda parts: ["part"] if blamed else []
        context.may_try_blamed = lambda request: False
        await wait_until(lambda: other.executions["s1"] == 1)
        blamed = True
        await task
        await asyncio.sleep(0.3)
        assert count_in_flight(d) == 0
        assert other.disconnects == 1

    run_scenario(scenario)


def test_stream_stays_if_the_other_server_answers_without_events():
    async def scenario(d):
        task, running, other = await begin_stream(d)

        async def answer(exchange, headers):
            other.executions["s1"] -= 1
            await exchange.respond(404, headers, b"")

        other._answer = answer
        assert is_whole(await task)

    run_scenario(scenario)


def test_stream_stays_if_another_process_answers_at_the_other_server():
    async def scenario(d):
        task, running, other = await begin_stream(d)
        views = d.host.context.pool.servers

        async def confirm(view):
            if view is views[other.name]:
                raise UpstreamError("restarted", "resume at another server")

        find_flow(d).continuation.confirm_server = confirm
        assert is_whole(await task)

    run_scenario(scenario)


def test_crash_of_the_other_server_is_evidence():
    async def scenario(d):
        task, running, other = await begin_stream(d)
        noted = []
        note_break = d.host.context.crash_watch.note_break

        async def note(view, request):
            noted.append(view.record.name)
            return await note_break(view, request)

        d.host.context.crash_watch.note_break = note
        other.faults.abort = True
        await task
        assert noted == [other.name]

    run_scenario(scenario)


def test_call_at_a_slow_server_is_answered_where_no_other_has_room():
    async def scenario(d):
        async def answer(exchange, headers):
            await asyncio.sleep(BUSY_MS / 1000.0)
            await exchange.respond(200, headers, b"done")

        for desk in d.desks:
            desk._answer = answer
        connection = await KeptConnection.open(d.settings.listen.callers)
        task = asyncio.create_task(connection.send("c1", "/read/x"))
        await wait_until(lambda: count_runs(d.desks) == 1)
        other = next(desk for desk in d.desks if not desk.executions["c1"])
        other.faults.refuse = True
        reply = await task
        assert (reply.status, reply.whole) == (200, True)

    run_scenario(scenario)
