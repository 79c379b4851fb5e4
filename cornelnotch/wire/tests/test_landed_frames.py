"""Tests that hosts of landed builds and of this one read each other's messages.

A file in `frames` is named after the landed commit that wrote it. With the package of
that commit on the path: `python sample_messages.py frames/COMMIT.json`. A message that
landed never changes: what is new gets a type of its own, at the end of the list.
"""

import dataclasses
import json
from pathlib import Path

import pytest

from cornelnotch.wire import FrameReader, decode_message, encode_message
from cornelnotch.wire.messages import list_message_types
from cornelnotch.wire.tests.sample_messages import create_message

BUILDS = sorted((Path(__file__).parent / "frames").glob("*.json"))
LANDED = [
    pytest.param(index, entry, id=f"{path.stem}-{entry['type']}")
    for path in BUILDS
    for index, entry in enumerate(json.loads(path.read_text()))
]


def test_frames_of_a_landed_build_are_kept():
    assert BUILDS
    assert len(LANDED) >= len(BUILDS)


@pytest.mark.parametrize(("index", "entry"), LANDED)
def test_messages_of_landed_builds_have_not_changed(index, entry):
    message_type = list_message_types()[index]
    assert message_type.__name__ == entry["type"]
    fields = [field.name for field in dataclasses.fields(message_type)]
    assert fields == entry["fields"]
    message, frame = create_message(message_type), bytes.fromhex(entry["frame"])
    assert encode_message(message) == frame
    (body,) = FrameReader().feed(frame)
    assert decode_message(body) == message
