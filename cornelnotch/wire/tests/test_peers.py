"""Test that no message ends the stream between two hosts."""

import asyncio
import random
from contextlib import asynccontextmanager
from typing import Any

import msgpack
import pytest

from cornelnotch.kernel import Event, TaskSupervisor
from cornelnotch.wire import PeerNetwork, encode_message
from cornelnotch.wire.codec import LENGTH_PREFIX, MAX_FRAME_BYTES
from cornelnotch.wire.messages import Hello, RecordFetch, ServerLeaving

RANDOM_SEED = 20261205
FUZZ_CASES = 300
LAST_TOPIC = "last"


class RecordingLog:
    def __init__(self):
        self.recorded = []

    def record(self, event, **fields):
        self.recorded.append(event)


class Receiver:
    """A host that counts messages, and fails at those of one server."""

    def __init__(self):
        events: Any = RecordingLog()
        self.events = events
        self.tasks = TaskSupervisor(events)
        self.network = PeerNetwork("b", 1, events, self.tasks)
        self.network.subscribe(RecordFetch, self.receive_fetch)
        self.network.subscribe(ServerLeaving, self.receive_leaving)
        self.topics = []
        self.is_last_read = asyncio.Event()

    def receive_fetch(self, sender, fetch):
        self.topics.append(fetch.topic)
        if fetch.topic == LAST_TOPIC:
            self.is_last_read.set()

    def receive_leaving(self, sender, notice):
        raise OverflowError("unforeseen")

    def count(self, event):
        return self.events.recorded.count(event)


@asynccontextmanager
async def connect():
    receiver = Receiver()
    await receiver.network.start("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", receiver.network.port)
    writer.write(encode_message(Hello("a", 1)))
    try:
        yield receiver, reader, writer
    finally:
        writer.transport.abort()
        await receiver.network.stop()
        await receiver.tasks.stop()


async def assert_still_read(receiver, writer):
    writer.write(encode_message(RecordFetch("a", LAST_TOPIC, 1)))
    async with asyncio.timeout(2.0):
        await receiver.is_last_read.wait()


def create_frame(body):
    return LENGTH_PREFIX.pack(len(body)) + body


def test_failure_to_handle_a_message_does_not_end_the_stream():
    async def run():
        async with connect() as (receiver, _, writer):
            for _ in range(3):
                writer.write(encode_message(ServerLeaving("s", 1, [])))
            await assert_still_read(receiver, writer)
            assert receiver.count(Event.PEER_MESSAGE_FAILED) == 1

    asyncio.run(run())


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc1",
        b"\x91" * 100_000,
        msgpack.packb([999]),
        msgpack.packb([19, "a", "t", "x", 0]),
        msgpack.packb([19, "a", "t", 1.5, 0]),
    ],
)
def test_malformed_message_does_not_end_the_stream(body):
    async def run():
        async with connect() as (receiver, _, writer):
            for _ in range(3):
                writer.write(create_frame(body))
            await assert_still_read(receiver, writer)
            assert receiver.count(Event.PEER_MESSAGE_REFUSED) == 1

    asyncio.run(run())


def test_corrupted_messages_do_not_end_the_stream():
    async def run():
        generator = random.Random(RANDOM_SEED)
        whole = encode_message(RecordFetch("a", "topic", 2**40, 3))[4:]
        async with connect() as (receiver, _, writer):
            for _ in range(FUZZ_CASES):
                body = bytearray(whole)
                for _ in range(generator.randint(1, 4)):
                    body[generator.randrange(len(body))] = generator.randrange(256)
                writer.write(create_frame(bytes(body)))
            await assert_still_read(receiver, writer)

    asyncio.run(run())


def test_stream_that_does_not_name_its_host_is_closed():
    async def run():
        async with connect() as (receiver, _, _):
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", receiver.network.port
            )
            writer.write(encode_message(RecordFetch("a", "t", 1)))
            async with asyncio.timeout(2.0):
                try:
                    assert await reader.read() == b""
                except ConnectionResetError:
                    pass
            assert receiver.topics == []
            writer.transport.abort()

    asyncio.run(run())


def test_message_that_is_too_long_is_not_sent_and_does_not_end_the_stream():
    async def run():
        receiver, sender = Receiver(), Receiver()
        await receiver.network.start("127.0.0.1", 0)
        sender.network.set_address("b2", f"127.0.0.1:{receiver.network.port}")
        for size in (MAX_FRAME_BYTES, 0):
            topic = "x" * size or LAST_TOPIC
            sender.network.send("b2", RecordFetch("a", topic, 1))
        async with asyncio.timeout(2.0):
            await receiver.is_last_read.wait()
        assert receiver.topics == [LAST_TOPIC]
        assert sender.count(Event.PEER_MESSAGE_FAILED) == 1
        await receiver.network.stop()
        await sender.tasks.stop()
        await receiver.tasks.stop()

    asyncio.run(run())
