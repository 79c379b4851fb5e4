"""Tests of message round trips and of WireError for malformed frames."""

import random

import msgpack
import pytest

from cornelnotch.exceptions import WireError
from cornelnotch.testing.randominput import SEED, read_case_count
from cornelnotch.wire import FrameReader, decode_message, encode_message
from cornelnotch.wire.messages import (
    ClassOccupancy,
    HeldPermit,
    HeldPermits,
    MemberUpdate,
    PermitRefusal,
    Ping,
)

FUZZ_CASES = read_case_count(3000)
MESSAGES = [
    Ping(1, "a", 7, 3.5, [MemberUpdate("a", "h", "p", "x", "alive", 3)], []),
    HeldPermits("a", "s/r/0", [HeldPermit("r", "e", "quote", 1, "w")]),
    PermitRefusal("r", "s", "deadline", 5.0, [ClassOccupancy("q", 1, 2, 3, 1)], 0.0),
]


@pytest.mark.parametrize("message", MESSAGES)
def test_messages_round_trip_through_a_fragmented_stream(message):
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
def test_malformed_frames_raise_wire_error(body):
    with pytest.raises(WireError):
        decode_message(body)


@pytest.mark.fuzz
def test_corrupted_frames_decode_or_raise_wire_error():
    generator = random.Random(SEED)
    bodies = [encode_message(message)[4:] for message in MESSAGES]
    for _ in range(FUZZ_CASES):
        body = bytearray(generator.choice(bodies))
        for _ in range(generator.randint(1, 5)):
            body[generator.randrange(len(body))] = generator.randrange(256)
        try:
            decode_message(bytes(body))
        except WireError:
            continue


def test_oversized_frame_is_rejected_by_its_length_prefix():
    with pytest.raises(WireError):
        FrameReader().feed(b"\xff\xff\xff\xff")


@pytest.mark.parametrize("value", [2**64, -(2**63) - 1, 10**30])
def test_number_that_fits_no_frame_raises_wire_error(value):
    with pytest.raises(WireError):
        encode_message(Ping(value, "a", 7, 3.5, [], []))
