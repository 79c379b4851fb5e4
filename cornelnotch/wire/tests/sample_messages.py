"""Create a message of each type, and write the frames of a build as test data."""

import dataclasses
import itertools
import json
import sys
import types
import typing
from pathlib import Path

from cornelnotch.wire import encode_message
from cornelnotch.wire.messages import list_message_types

__all__ = ["create_message", "write_frames"]


def create_message(message_type):
    """Return a message whose fields all have values, the same in each run."""
    return create_value(message_type, itertools.count(1))


def create_value(kind, numbers):
    """Return a value of a field type; no two scalars of a message are equal."""
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if isinstance(kind, type) and dataclasses.is_dataclass(kind):
        hints = typing.get_type_hints(kind)
        names = [field.name for field in dataclasses.fields(kind)]
        return kind(**{name: create_value(hints[name], numbers) for name in names})
    if origin is typing.Literal:
        return arguments[next(numbers) % len(arguments)]
    if origin in {types.UnionType, typing.Union}:
        return create_value(arguments[0], numbers)
    if origin is list:
        return [create_value(arguments[0], numbers) for _ in range(2)]
    if origin is dict:
        return {
            create_value(arguments[0], numbers): create_value(arguments[1], numbers)
        }
    if kind is bool:
        return next(numbers) % 2 == 0
    if kind is str:
        return f"text {next(numbers)}"
    if kind is bytes:
        return f"bytes {next(numbers)}".encode()
    return kind(next(numbers))


def write_frames(path):
    """Write the name, the fields and a frame of each message type, in order."""
    content = [
        {
            "type": message_type.__name__,
            "fields": [field.name for field in dataclasses.fields(message_type)],
            "frame": encode_message(create_message(message_type)).hex(),
        }
        for message_type in list_message_types()
    ]
    path.write_text(json.dumps(content, indent=1) + "\n")


if __name__ == "__main__":
    write_frames(Path(sys.argv[1]))
