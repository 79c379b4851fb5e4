"""Test that a response which is cut off never reaches its caller as complete."""

import asyncio
from dataclasses import dataclass

import pytest

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.servers import InFlightRequest
from cornelnotch.gateway.tests.conftest import run_deployment, wait_until
from cornelnotch.standins.raw import ConnectionEnd, RawResponse, RawUpstream

BUSY_TOKENS = 5000
STATUS_LINES = {"http/1.0": b"HTTP/1.0 200 OK\r\n"}
STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
HEADERS = b"x-attempt-id: ID\r\nx-server-signature: s\r\n"
FRAMINGS = ("length", "chunks", "none", "http/1.0")
BREAKS = (
    "before the head",
    "within the head",
    "before the first byte",
    "between events",
    "within an event",
    "within a chunk",
    "after the last chunk, within an event",
)
ENDS = (ConnectionEnd.CLOSE, ConnectionEnd.RESET, ConnectionEnd.CLOSE_AND_EXIT)
KINDS = ("resumable stream", "stream", "repeatable", "once")
PATHS = {
    "resumable stream": ("/stream/x", "POST"),
    "stream": ("/stream/draft/x", "POST"),
    "repeatable": ("/read/x", "GET"),
    "once": ("/book/x", "POST"),
}
WHOLE, ELSEWHERE, CUT, FAILED = "whole", "whole elsewhere", "cut off", "failed"


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a caller got: status, body, and whether the response looked complete."""

    status: int
    body: bytes
    complete: bool


def create_event(number, line_end=b"\n"):
    lines = [b"id: %d" % number, b"data: piece %d" % number, b"", b""]
    return line_end.join(lines)


def create_body(numbers, line_end=b"\n"):
    return b"".join(create_event(n, line_end) for n in numbers)


def is_unframed(framing):
    return framing in {"none", "http/1.0"}


def exists(framing, place):
    """Return whether a response of a framing can break at a place."""
    return framing == "chunks" or "chunk" not in place


def create_response(framing, place, end, first=1):
    """Return a response that begins with event `first` and breaks off at a place."""
    head = STATUS_LINES.get(framing, STATUS_LINE) + HEADERS
    if place == "before the head":
        return RawResponse(b"", end=end)
    if place == "within the head":
        return RawResponse(head, end=end)
    bodies = {
        "before the first byte": b"",
        "between events": create_body([first, first + 1]),
    }
    incomplete = create_body([first, first + 1]) + b"id: %d\nda" % (first + 2)
    body = bodies.get(place, incomplete)
    if framing == "length":
        head += b"content-length: %d\r\n" % len(create_body(range(first, 7)))
    if framing == "chunks":
        head += b"transfer-encoding: chunked\r\n"
        size = len(body) + (place == "within a chunk")
        body = b"%x\r\n" % size + body + b"\r\n" if body else b""
        if place == "within a chunk":
            body = body.removesuffix(b"\r\n")
        if place.startswith("after the last chunk"):
            body += b"0\r\n\r\n"
    return RawResponse(head + b"\r\n" + body, end=end)


def is_proven_whole(kind, framing, place, end):
    """Return whether nothing shows that the server cut off a response."""
    if place in {"before the head", "within the head"} or end is ConnectionEnd.RESET:
        return place.startswith("after the last chunk") and "stream" not in kind
    if "stream" not in kind:
        by_connection = is_unframed(framing) and end is ConnectionEnd.CLOSE
        return by_connection or place.startswith("after the last chunk")
    ended = is_unframed(framing) and end is ConnectionEnd.CLOSE
    return ended and place == "between events"


def find_expected(kind, framing, place, end, other):
    """Return what the caller gets from the server that breaks, or from another."""
    if is_proven_whole(kind, framing, place, end):
        return WHOLE
    if other and kind in {"resumable stream", "repeatable"}:
        return ELSEWHERE
    begun = place not in {"before the head", "within the head"}
    return CUT if begun and "stream" in kind else FAILED


def name_outcome(outcome):
    if not outcome.complete:
        return CUT
    if outcome.status != 200:
        return FAILED
    whole_bodies = {create_body(range(1, 7)), b"done by desk-2"}
    return ELSEWHERE if outcome.body in whole_bodies else WHOLE


async def send(d, kind, number, **headers):
    """Send a request and return what the caller got."""
    path, method = PATHS[kind]
    response = await d.send(path, method, x_attempt_id=f"r{number}", **headers)
    body = b""
    try:
        async for chunk in response.iterate_chunks():
            body += chunk
    except UpstreamError:
        return Outcome(response.status, body, False)
    return Outcome(response.status, body, True)


async def prepare_servers(d, raw, answer):
    """Give the raw server its next answer and make it the first choice."""
    await raw.stop()
    await raw.start()
    raw.answer = answer
    raw.requests = 0
    d.host.context.client.close()
    for name, view in d.host.context.pool.servers.items():
        view.record_success()
        view.ejected_until_ms = 0.0
        if name != raw.name and not view.in_flight:
            for number in range(5):
                busy = InFlightRequest(f"busy {number}", 0.0, BUSY_TOKENS)
                view.start(busy)


async def use_raw_server(d, kind, other):
    """List a raw server for the service of a kind, with a healthy one if `other`."""
    service, healthy = ("llm", d.engines) if "stream" in kind else ("desk", d.desks)
    raw = RawUpstream("raw", RawResponse(b""))
    await raw.start()
    d.list_server(raw, service)
    dropped = healthy[:1] if other else healthy
    for server in dropped:
        d.drop_server(server)
    servers = d.host.context.pool.servers
    await wait_until(
        lambda: "raw" in servers and all(s.name not in servers for s in dropped)
    )
    return raw


@pytest.mark.parametrize("other", [True, False], ids=["another server", "alone"])
@pytest.mark.parametrize("framing", FRAMINGS)
@pytest.mark.parametrize("kind", KINDS)
def test_a_response_that_is_cut_off_never_looks_complete(kind, framing, other):
    cells = [(p, e) for p in BREAKS if exists(framing, p) for e in ENDS]

    async def run():
        wrong = []
        async with run_deployment() as d:
            raw = await use_raw_server(d, kind, other)
            for number, (place, end) in enumerate(cells):
                await prepare_servers(d, raw, create_response(framing, place, end))
                outcome = await send(d, kind, number)
                expected = find_expected(kind, framing, place, end, other)
                assert raw.requests == 1
                if name_outcome(outcome) != expected:
                    wrong.append((place, end.value, expected, outcome))
            await raw.stop()
        return wrong

    assert asyncio.run(run()) == []


def is_resumed_stream_whole(framing, place, end):
    """Return whether nothing shows that the second server cut off a stream.

    Whether a resumed stream has further events cannot be told from its last one.
    """
    is_ended = is_unframed(framing) and end is ConnectionEnd.CLOSE
    return is_ended and place in {"before the first byte", "between events"}


@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_resumed_stream_that_is_cut_off_again_never_looks_complete(framing):
    cells = [(p, e) for p in BREAKS if exists(framing, p) for e in ENDS]
    events = [create_body(range(1, last + 1)) for last in (2, 4)]

    async def run():
        wrong = []
        async with run_deployment() as d:
            raw = await use_raw_server(d, "resumable stream", True)
            first = d.engines[1]
            first.faults.abort_after_events = 2
            for number, (place, end) in enumerate(cells):
                answer = create_response(framing, place, end, first=3)
                await prepare_servers(d, raw, answer)
                views = d.host.context.pool.servers
                views[first.name].in_flight.clear()
                for busy in range(5):
                    request = InFlightRequest(f"busy {busy}", 0.0, BUSY_TOKENS)
                    views[raw.name].start(request)
                outcome = await send(d, "resumable stream", number)
                assert raw.requests == 1
                expected = is_resumed_stream_whole(framing, place, end)
                if outcome.complete != expected or outcome.body not in events:
                    wrong.append((place, end.value, expected, outcome))
                views[raw.name].in_flight.clear()
            await raw.stop()
        return wrong

    assert asyncio.run(run()) == []


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"], ids=["lf", "crlf", "cr"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_a_stream_with_any_line_ends_is_forwarded_whole(framing, line_end):
    body = create_body(range(1, 7), line_end)
    head = STATUS_LINES.get(framing, STATUS_LINE) + HEADERS
    if framing == "length":
        head += b"content-length: %d\r\n" % len(body)
    if framing == "chunks":
        head += b"transfer-encoding: chunked\r\n"
    sent = b"%x\r\n" % len(body) + body + b"\r\n0\r\n\r\n"
    answer = head + b"\r\n" + (sent if framing == "chunks" else body)
    end = ConnectionEnd.CLOSE if is_unframed(framing) else ConnectionEnd.KEEP

    async def run():
        async with run_deployment() as d:
            raw = await use_raw_server(d, "stream", False)
            await prepare_servers(d, raw, RawResponse(answer, end=end))
            outcome = await send(d, "stream", 0)
            await raw.stop()
        return outcome

    assert asyncio.run(run()) == Outcome(200, body, True)


@pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"], ids=["lf", "crlf", "cr"])
def test_a_stream_with_any_line_ends_resumes_after_its_last_whole_event(line_end):
    body = create_body([1, 2], line_end) + b"id: 3" + line_end + b"da"
    answer = RawResponse(
        STATUS_LINE + HEADERS + b"\r\n" + body, end=ConnectionEnd.CLOSE
    )

    async def run():
        async with run_deployment() as d:
            raw = await use_raw_server(d, "resumable stream", True)
            await prepare_servers(d, raw, answer)
            outcome = await send(d, "resumable stream", 0)
            await raw.stop()
            return outcome, d.engines[1].received_headers[0]["last-event-id"]

    outcome, resumed_at = asyncio.run(run())
    expected = create_body([1, 2], line_end) + create_body(range(3, 7))
    assert (outcome, resumed_at) == (Outcome(200, expected, True), "2")
