"""Round-trip every message and refuse malformed frames with a typed error."""

import os
import random

import msgpack
import pytest

from cornelnotch.exceptions import WireError
from cornelnotch.wire import FrameReader, decode_message, encode_message
from cornelnotch.wire.messages import (
    HeldPermit,
    HeldPermits,
    MemberUpdate,
    Occupancy,
    PermitRefusal,
    Ping,
)

SEED = 20261204
CASES = int(os.environ.get("CORNELNOTCH_FUZZ", "3000"))
MESSAGES = [
    Ping(1, "a", 7, 3.5, [MemberUpdate("a", "h", "p", "x", "alive", 3)], []),
    HeldPermits("a", "s/r/0", [HeldPermit("r", "e", "quote", 1, "w")]),
    PermitRefusal("r", "s", "deadline", 5.0, [Occupancy("q", 1, 2, 3, 1)], 0.0),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_survive_any_cutting_of_the_stream(message):
    data = encode_message(message) * 3
    reader = FrameReader()
    frames = [f for i in range(0, len(data), 7) for f in reader.feed(data[i : i + 7])]
    assert [decode_message(frame) for frame in frames] == [message] * 3


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc1",
        msgpack.packb([]),
        msgpack.packb([-1, 2]),
        msgpack.packb([999]),
        msgpack.packb([1, "x"]),
        msgpack.packb({"a": 1}),
        msgpack.packb(["x"]),
    ],
)
def test_malformed_frames_are_typed_errors(body):
    with pytest.raises(WireError):
        decode_message(body)


def test_random_frames_give_a_message_or_a_typed_error():
    generator = random.Random(SEED)
    bodies = [encode_message(message)[4:] for message in MESSAGES]
    for _ in range(CASES):
        body = bytearray(generator.choice(bodies))
        for _ in range(generator.randint(1, 5)):
            body[generator.randrange(len(body))] = generator.randrange(256)
        try:
            decode_message(bytes(body))
        except WireError:
            continue


def test_too_long_a_frame_is_refused_before_it_is_read():
    with pytest.raises(WireError):
        FrameReader().feed(b"\xff\xff\xff\xff")
