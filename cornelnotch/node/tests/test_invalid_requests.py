"""Test malformed requests and callers that disconnect early."""

import asyncio

import orjson

from cornelnotch.kernel import create_identifier
from cornelnotch.node.tests.conftest import start_sample_fleet
from cornelnotch.web import HttpClient

CHAT_PATH = "/v1/chat/completions"
BOOK_PATH = "/v1/services/counter-desk/book"
VALID_HEADERS = {"cornelnotch-workspace": "w", "cornelnotch-labels": "kind=quote"}


def create_body(tokens=10, stream=True):
    return orjson.dumps(
        {
            "messages": [{"role": "user", "content": "x"}],
            "max_tokens": tokens,
            "stream": stream,
        }
    )


INVALID_REQUESTS = [
    ("POST", CHAT_PATH, {}, create_body(), 400),
    ("POST", CHAT_PATH, VALID_HEADERS, b"{broken", 400),
    ("POST", CHAT_PATH, VALID_HEADERS, b"x" * 2_000_000, 413),
    ("POST", CHAT_PATH, {**VALID_HEADERS, "x": "y" * 40_000}, b"", 431),
    (
        "POST",
        CHAT_PATH,
        {**VALID_HEADERS, "cornelnotch-deadline-ms": "x"},
        create_body(),
        400,
    ),
    ("GET", CHAT_PATH, VALID_HEADERS, b"", 405),
    ("GET", "/nowhere", VALID_HEADERS, b"", 404),
    ("POST", "/v1/services/", VALID_HEADERS, b"", 400),
    ("POST", "/v1/services/unknown/x", VALID_HEADERS, b"", 422),
    ("POST", BOOK_PATH, {**VALID_HEADERS, "idempotency-key": "1"}, b"{}", 400),
]


def test_invalid_request_gets_typed_error_and_is_not_run(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet, hosts=1, engines=1)
        address = fleet.hosts["host-0"].http
        client = HttpClient()
        for method, target, headers, body, status in INVALID_REQUESTS:
            answer = await client.request(address, method, target, headers, body)
            content = orjson.loads(await answer.read())
            assert answer.status == status, (target, headers)
            assert answer.headers["cornelnotch-outcome"] == "not-run"
            assert content["error"]["kind"]
            assert "; " in content["error"]["message"]
        assert await fleet.read_ledger("desk-0") == {}
        counts = await fleet.wait_answer(fleet.servers["engine-0"].http, "/counts")
        assert counts["prefills"] == 0
        client.close()

    run_fleet(scenario)


def test_expired_and_reused_keys_have_distinct_errors(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet, hosts=1, engines=1)
        caller = fleet.create_caller()
        old = "01800000-0000-7000-8000-000000000000"
        labels = "kind=booking"
        expired = await caller.call(
            "counter-desk", "/book", {}, labels, old, retry=False
        )
        assert (expired.status, expired.kind) == (400, "key-expired")
        key = create_identifier()
        content = {"reference": "slot"}
        await caller.call("counter-desk", "/book", content, labels, key)
        reused = await caller.call(
            "counter-desk", "/book", {"reference": "other"}, labels, key
        )
        assert (reused.status, reused.kind) == (422, "key-reused")
        assert await fleet.read_ledger("desk-0") == {"slot": 1}

    run_fleet(scenario)


def test_caller_disconnect_stops_generation(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet, hosts=1, engines=1)
        engine = fleet.servers["engine-0"].http
        client = HttpClient()
        address = fleet.hosts["host-0"].http
        for stream in (True, False):
            body = create_body(500, stream)
            call = asyncio.create_task(
                client.request(address, "POST", CHAT_PATH, VALID_HEADERS, body)
            )
            await asyncio.sleep(0.4)
            if call.done():
                call.result().close()
            call.cancel()
        await asyncio.sleep(0.5)
        before = await fleet.wait_answer(engine, "/counts")
        await asyncio.sleep(0.5)
        after = await fleet.wait_answer(engine, "/counts")
        assert after["generated"] == before["generated"] < 100
        status = await fleet.read_status(fleet.hosts["host-0"])
        assert status["active"] == 1

    run_fleet(scenario)


def test_booking_completes_after_caller_disconnects(run_fleet):
    async def scenario(fleet):
        await start_sample_fleet(fleet, hosts=1, engines=1)
        await fleet.set_faults(fleet.servers["desk-0"].http, frozen_ms=500)
        key = create_identifier()
        caller = fleet.create_caller()
        content = {"reference": "slot"}
        first = asyncio.create_task(
            caller.call("counter-desk", "/book", content, "kind=booking", key)
        )
        await asyncio.sleep(0.3)
        first.cancel()
        again = await caller.call("counter-desk", "/book", content, "kind=booking", key)
        assert (again.status, again.outcome) == (200, "ran")
        assert await fleet.read_ledger("desk-0") == {"slot": 1}

    run_fleet(scenario)
