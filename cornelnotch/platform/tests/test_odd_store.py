"""Test that odd responses of the store raise only what its readers expect."""

import asyncio
import struct
from typing import Any

import msgspec
import pytest
from hypothesis import given, strategies as st

from cornelnotch.exceptions import (
    LogResponseError,
    LogTrimmedError,
    LogUnavailableError,
)
from cornelnotch.gateway.tests.conftest import (
    run_deployment,
    wait_until,
)
from cornelnotch.platform import store as platform_store
from cornelnotch.platform.store import MAX_ORIGIN_PAGES, PlatformStore, parse_timeline
from cornelnotch.platform.tests.test_odd_records import list_numeric_types
from cornelnotch.testing.odd_input import (
    DEEP_JSON,
    FUZZ,
    HUGE_NUMBERS,
    header_values,
    json_values,
    number_texts,
)

MAX_MESSAGE_INTEGER = 2**63


class ScriptedClient:
    """Answer each request with the same response."""

    def __init__(self, status, body, headers, most_calls=19):
        self.status = status
        self.body = body
        self.headers = headers
        self.calls = 0
        self.most_calls = most_calls

    async def request(self, address, method, target, body=b""):
        self.calls += 1
        assert self.calls <= self.most_calls
        return self

    async def read(self):
        return self.body


def read_store(status, body, headers, is_newest):
    client: Any = ScriptedClient(status, body, headers)
    source = PlatformStore("127.0.0.1:1", client)
    reading = source.read_newest("servers")
    if not is_newest:
        reading.close()
        reading = source.read_from("servers", 7, 0.0)
    try:
        page = asyncio.run(reading)
    except (LogTrimmedError, LogUnavailableError):
        return
    numbers = [record.offset for record in page.records]
    numbers += [page.next_offset, page.timeline or 0]
    assert all(0 <= number < MAX_MESSAGE_INTEGER for number in numbers)


@st.composite
def newest_pages(draw):
    numbers = st.one_of(st.sampled_from(HUGE_NUMBERS), st.integers(), st.just(3))
    entries = [
        {
            "key": draw(st.sampled_from(["", "a", "b"])),
            "value": draw(st.one_of(st.just("eA=="), st.text(max_size=6))),
            "offset": draw(st.one_of(st.just(1), numbers)),
        }
        for _ in range(draw(st.integers(0, 2)))
    ]
    page = {
        "entries": draw(st.one_of(*[st.just(entries)] * 4, json_values())),
        "end_offset": draw(st.one_of(st.just(1), numbers)),
        "earliest_offset": draw(st.one_of(st.just(1), numbers)),
        "has_more": draw(st.booleans()),
    }
    names = st.sampled_from([*page, "x"])
    if draw(st.integers(0, 9)) == 0:
        page[draw(names)] = "odd"
        return msgspec.json.encode(page).replace(b'"odd"', DEEP_JSON.encode())
    return msgspec.json.encode(page)


@FUZZ
@given(st.sampled_from([200, 410, 503]), newest_pages(), header_values(), st.booleans())
def test_odd_pages_raise_only_log_errors(status, body, era, is_newest):
    read_store(status, body, {"store-era": era}, is_newest)


@FUZZ
@given(st.binary(max_size=60), st.integers(0, 2**64 - 1), st.booleans())
def test_odd_reads_raise_only_log_errors(body, end, has_head):
    head = struct.pack(">QQ", end, 0) if has_head else b""
    read_store(200, head + body, {}, False)


@FUZZ
@given(
    st.sampled_from([200, 410, 503]),
    st.binary(max_size=60),
    st.integers(0, 2**64 - 1),
    st.booleans(),
)
def test_odd_logs_of_origins_raise_only_log_errors(status, body, end, has_head):
    head = struct.pack(">QQ", end, 0) if has_head else b""
    client: Any = ScriptedClient(status, head + body, {}, MAX_ORIGIN_PAGES)
    try:
        history = asyncio.run(PlatformStore("127.0.0.1:1", client).read_origins())
    except LogUnavailableError:
        return
    assert not history.batches


@FUZZ
@given(number_texts())
def test_odd_timelines_fit_into_messages(text):
    timeline = parse_timeline({"store-era": text})
    assert timeline is None or 0 <= timeline < MAX_MESSAGE_INTEGER


@pytest.mark.parametrize("name", ["NewestEntry", "NewestPage", "TrimmedResponse"])
def test_every_number_of_a_response_is_bounded(name):
    model = getattr(platform_store, name)
    found = list_numeric_types(msgspec.inspect.type_info(model))
    assert found
    assert all(node.ge is not None and node.le is not None for node in found)


@pytest.mark.parametrize("era", ["9" * 30, "9" * 5000])
def test_store_with_an_odd_timeline_is_followed(era):
    async def run():
        async with run_deployment() as deployment:
            deployment.store.timeline = era
            deployment.drop_server(deployment.desks[1])
            await wait_until(lambda: deployment.count_servers() == 3)

    asyncio.run(run())


def test_newest_page_with_an_undecodable_value_lists_the_other_servers():
    async def run():
        async with run_deployment() as deployment:
            store = deployment.store
            respond = store._answer_newest

            async def respond_oddly(exchange, topic):
                respond_json = exchange.respond_json

                async def respond_changed(status, content, headers):
                    entries = content["entries"]
                    if entries and entries[0]["key"] == "desk-1":
                        odd = {"key": "a", "value": "a", "offset": 1}
                        entries.insert(0, odd)
                    await respond_json(status, content, headers)

                exchange.respond_json = respond_changed
                await respond(exchange, topic)

            store._answer_newest = respond_oddly
            store.timeline = "2"
            follower = deployment.host.follower
            await wait_until(lambda: follower.timeline == 2)
            await wait_until(lambda: not follower.views["servers"].needs_full_read)
            deployment.drop_server(deployment.desks[1])
            await wait_until(lambda: deployment.count_servers() == 3)

    asyncio.run(run())


def test_response_that_ends_within_its_first_record_is_malformed():
    head = struct.pack(">QQ", 9, 0)
    for rest in (b"\x00", b"\x00\x00\x00\x09\x01a"):
        client: Any = ScriptedClient(200, head + rest, {})
        with pytest.raises(LogResponseError):
            asyncio.run(PlatformStore("a:1", client).read_from("servers", 7, 0.0))
