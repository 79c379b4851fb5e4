"""Test responses to callers whose requests pass through a host to fake servers."""

import asyncio

import pytest

from cornelnotch.exceptions import CallerDisconnectedError, UpstreamError
from cornelnotch.gateway.tests.conftest import (
    create_configuration,
    run_deployment,
    wait_until,
)
from cornelnotch.kernel.events import Event
from cornelnotch.web import Exchange


def run_scenario(scenario):
    async def run():
        async with run_deployment() as deployment:
            await scenario(deployment)

    asyncio.run(run())


def count_runs(servers, request_id="a1"):
    return sum(server.executions[request_id] for server in servers)


def test_a_call_and_its_answer_are_forwarded_unchanged():
    async def scenario(d):
        answer = await d.send("/book/x?y=1", "POST", b"body", x_other="kept")
        body = await answer.read()
        assert answer.status == 200
        assert body.startswith(b"done by desk")
        assert answer.headers["x-server-signature"].endswith(".a1")
        server = next(s for s in d.desks if s.received_headers)
        assert server.targets == ["/book/x?y=1"]
        assert server.bodies == [b"body"]
        seen = server.received_headers[0]
        assert seen["x-tenant"] == "acme"
        assert seen["x-other"] == "kept"
        assert "x-key" not in seen
        assert 0 < int(seen["x-deadline-ms"]) <= 3000

    run_scenario(scenario)


def test_headers_reserved_for_the_gateway_are_not_forwarded():
    async def scenario(d):
        answer = await d.send(
            "/read/x", x_tenant="other", kv_fetch="1.2.3.4:5", x_request_priority="0"
        )
        await answer.read()
        seen = next(s for s in d.desks if s.received_headers).received_headers[0]
        assert seen["x-tenant"] == "acme"
        assert seen["x-request-priority"] == "1"
        assert "kv-fetch" not in seen

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/x", "key-1", 404),
        ("/read/x", "wrong", 401),
        ("/read/x", "", 401),
        ("/open/x", "", 200),
    ],
)
def test_routes_and_api_keys_determine_the_status(path, key, status):
    async def scenario(d):
        answer = await d.send(path, x_key=key)
        await answer.read()
        assert answer.status == status

    run_scenario(scenario)


def test_non_repeatable_work_is_sent_once_when_its_answer_is_lost():
    async def scenario(d):
        for server in d.desks:
            server.faults.abort = True
        answer = await d.send("/book/x", "POST", b"b")
        await answer.read()
        assert answer.status == 502
        assert count_runs(d.desks) == 1

    run_scenario(scenario)


def test_repeatable_work_is_retried_at_another_server():
    async def scenario(d):
        d.desks[0].faults.abort = True
        for number in range(6):
            answer = await d.send("/read/x", x_attempt_id=f"r{number}")
            assert (await answer.read()) == b"done by desk-2"

    run_scenario(scenario)


def test_a_call_failed_by_the_only_server_is_retried_there_once():
    # Guards against responding 502 because no other server is left.
    async def scenario(d):
        d.drop_server(d.desks[1])
        await wait_until(lambda: d.count_servers() == 3)
        d.desks[0].faults.fail_times = 1
        answer = await d.send("/read/x")
        assert (answer.status, await answer.read()) == (200, b"done by desk-1")
        d.desks[0].faults.fail_times = 2
        answer = await d.send("/read/x", x_attempt_id="a2")
        await answer.read()
        assert answer.status == 500
        assert answer.headers["x-server-signature"] == "desk-1.a2"
        d.desks[0].faults.fail_times = 1
        answer = await d.send("/book/x", "POST", b"b", x_attempt_id="a3")
        await answer.read()
        assert answer.status == 500

    run_scenario(scenario)


def test_a_refusal_by_every_server_yields_503_with_a_retry_delay():
    async def scenario(d):
        for server in d.desks:
            server.faults.refuse = True
        answer = await d.send("/book/x", "POST", b"b")
        await answer.read()
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert count_runs(d.desks) == 0

    run_scenario(scenario)


def test_work_that_may_have_run_is_not_reported_as_refused():
    async def scenario(d):
        d.desks[0].faults.abort = True
        d.engines[0].faults.abort_after_events = 3
        for removed in (d.desks[1], d.engines[1]):
            d.drop_server(removed)
        await wait_until(lambda: d.count_servers() == 2)
        answer = await d.send("/read/x")
        await answer.read()
        assert answer.status == 502
        stream = await d.send("/stream/x", "POST", b"p", x_attempt_id="a2")
        with pytest.raises(UpstreamError):
            await stream.read()

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["wrong_id", "unsigned"])
def test_invalid_answers_never_reach_the_caller(fault):
    async def scenario(d):
        for server in d.desks:
            setattr(server.faults, fault, True)
        answer = await d.send("/read/x")
        assert b"done" not in await answer.read()
        assert answer.status == 502
        assert "x-server-signature" not in answer.headers

    run_scenario(scenario)


def test_a_server_error_is_forwarded_with_its_signature():
    async def scenario(d):
        for server in d.desks:
            server.faults.fail = True
        answer = await d.send("/book/x", "POST", b"b")
        assert answer.status == 500
        assert (await answer.read()).startswith(b"done by")
        assert "x-server-signature" in answer.headers

    run_scenario(scenario)


def test_a_broken_stream_resumes_elsewhere_without_gap_or_repeat():
    async def scenario(d):
        for server in d.engines:
            server.faults.abort_after_events = 3
        answer = await d.send("/stream/x", "POST", b"p")
        first = d.engines[0] if d.engines[0].received_headers else d.engines[1]
        other = d.engines[1] if first is d.engines[0] else d.engines[0]
        other.faults.abort_after_events = None
        body = await answer.read()
        numbers = [line for line in body.split(b"\n") if line.startswith(b"id:")]
        assert numbers == [b"id: %d" % n for n in range(1, 7)]
        assert other.received_headers[0]["last-event-id"] == "3"

    run_scenario(scenario)


def test_a_stream_that_may_not_resume_ends_incomplete():
    async def scenario(d):
        for server in d.engines:
            server.faults.abort_after_events = 3
        answer = await d.send("/stream/draft/x", "POST", b"p")
        with pytest.raises(UpstreamError):
            await answer.read()
        assert count_runs(d.engines) == 1

    run_scenario(scenario)


def test_a_caller_disconnecting_cancels_the_work_of_its_server():
    async def scenario(d):
        for server in d.engines:
            server.faults.hang = True
        task = asyncio.create_task(d.send("/stream/x", "POST", b"p"))
        await wait_until(lambda: count_runs(d.engines) == 1)
        task.cancel()
        await wait_until(lambda: sum(s.disconnects for s in d.engines) == 1, 1.0)

    run_scenario(scenario)


def test_a_caller_disconnecting_during_a_stream_cancels_the_work():
    async def scenario(d):
        for server in d.engines:
            server.events = 10_000
        answer = await d.send("/stream/x", "POST", b"p")
        chunks = answer.iterate_chunks()
        await anext(chunks)
        answer.connection.abort()
        await wait_until(lambda: sum(s.disconnects for s in d.engines) == 1, 1.0)

    run_scenario(scenario)


def test_a_stalled_stream_resumes_elsewhere():
    async def scenario(d):
        for server in d.engines:
            server.faults.stall_after_events = 3
        answer = await d.send("/stream/x", "POST", b"p", x_deadline_ms="6000")
        first = d.engines[0] if d.engines[0].received_headers else d.engines[1]
        other = d.engines[1] if first is d.engines[0] else d.engines[0]
        other.faults.stall_after_events = None
        body = await answer.read()
        numbers = [line for line in body.split(b"\n") if line.startswith(b"id:")]
        assert numbers == [b"id: %d" % n for n in range(1, 7)]
        # The silent server must not continue the stream.
        await wait_until(lambda: first.disconnects == 1, 0.4)

    run_scenario(scenario)


def test_a_call_without_an_answer_is_retried_elsewhere_in_time():
    async def scenario(d):
        d.desks[0].faults.hang = True
        for number in range(4):
            answer = await d.send("/read/x", x_attempt_id=f"r{number}")
            assert (await answer.read()) == b"done by desk-2"

    run_scenario(scenario)


def test_the_final_answer_is_sent_by_the_deadline():
    async def scenario(d):
        for server in d.desks:
            server.faults.hang = True
        began = asyncio.get_running_loop().time()
        answer = await d.send("/read/x", x_deadline_ms="300")
        await answer.read()
        assert answer.status == 504
        assert asyncio.get_running_loop().time() - began < 1.0

    run_scenario(scenario)


def test_a_newer_configuration_is_applied_and_an_older_one_is_not():
    async def scenario(d):
        d.configure(create_configuration(5, tenants=[]))
        await wait_until(lambda: d.host.context.table.version == 5, 3.0)
        d.configure(create_configuration(4))
        await asyncio.sleep(0.3)
        answer = await d.send("/read/x")
        assert answer.status == 401
        assert d.host.context.table.version == 5

    run_scenario(scenario)


def test_a_leaving_server_gets_no_new_work():
    async def scenario(d):
        d.list_server(d.desks[0], "desk", state="draining")
        view = d.host.context.pool.servers["desk-1"]
        await wait_until(lambda: view.record.leaving, 3.0)
        for number in range(4):
            answer = await d.send("/read/x", x_attempt_id=f"r{number}")
            assert (await answer.read()) == b"done by desk-2"

    run_scenario(scenario)


def test_a_server_at_a_reused_address_is_not_used_again():
    async def scenario(d):
        d.desks[0].name = "someone-else"
        for number in range(6):
            answer = await d.send("/book/x", "POST", b"b", x_attempt_id=f"b{number}")
            assert (await answer.read()) == b"done by desk-2"
        assert len(d.desks[0].received_headers) <= 1

    run_scenario(scenario)


def test_a_draining_host_answers_requests_and_then_stops():
    async def scenario(d):
        d.host.start_drain()
        assert not d.host.is_ready()
        answer = await d.send("/read/x")
        assert answer.status == 200
        assert answer.headers["connection"] == "close"
        await answer.read()
        async with asyncio.timeout(6.0):
            await d.host.stopped.wait()

    run_scenario(scenario)


# Guards against requests whose end no line of the log names.
def test_caller_that_is_gone_when_its_response_is_written_is_logged(monkeypatch):
    async def scenario(d):
        recorded = []
        record = d.host.context.events.record

        def note(event, **fields):
            recorded.append((event, fields.get("request_id")))
            record(event, **fields)

        async def fail(exchange, *arguments):
            exchange.disconnected.set()
            raise CallerDisconnectedError("the caller is gone", "retry the request")

        monkeypatch.setattr(d.host.context.events, "record", note)
        monkeypatch.setattr(Exchange, "respond", fail)
        with pytest.raises(UpstreamError):
            await d.send("/book/x", "POST", b"b", x_attempt_id="b1")
        await wait_until(lambda: (Event.CALLER_LEFT, "b1") in recorded)

    run_scenario(scenario)
