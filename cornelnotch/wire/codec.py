"""Encode messages with msgpack and validate incoming frames."""

import dataclasses
import struct
from typing import Any

import msgpack
import msgspec

from cornelnotch.exceptions import WireError
from cornelnotch.wire.messages import list_message_types

__all__ = ["FrameReader", "decode_message", "encode_message"]

MAX_FRAME_BYTES = 8 * 1024 * 1024
MAX_ITEMS = 65536
LENGTH_PREFIX = struct.Struct(">I")

_message_types = list_message_types()
_type_ids = {
    message_type: type_id for type_id, message_type in enumerate(_message_types)
}
_field_names = {
    message_type: [field.name for field in dataclasses.fields(message_type)]
    for message_type in _message_types
}


def _to_mapping(value: Any) -> Any:
    return {
        field.name: getattr(value, field.name) for field in dataclasses.fields(value)
    }


def encode_message(message: Any) -> bytes:
    """Return `message` as one frame: length prefix, type id, then field values.

    Raise WireError if it is too long, or contains a value that no frame can hold.
    """
    message_type = type(message)
    values = [getattr(message, name) for name in _field_names[message_type]]
    try:
        body = msgpack.packb([_type_ids[message_type], *values], default=_to_mapping)
    except (OverflowError, TypeError, ValueError) as error:
        raise WireError(
            f"a value of a {message_type.__name__} fits no frame: {error!r}",
            "report this message",
        ) from error
    if len(body) > MAX_FRAME_BYTES:
        raise WireError(
            f"a {message_type.__name__} of {len(body)} bytes exceeds the maximum frame",
            "write smaller records",
        )
    return LENGTH_PREFIX.pack(len(body)) + body


def decode_message(body: bytes) -> Any:
    """Return the message in a frame body; raise WireError if it is malformed."""
    try:
        values = msgpack.unpackb(
            body,
            max_array_len=MAX_ITEMS,
            max_map_len=MAX_ITEMS,
            max_str_len=MAX_FRAME_BYTES,
            max_bin_len=MAX_FRAME_BYTES,
        )
        type_id, *fields = values
        message_type = _message_types[type_id]
        names = _field_names[message_type]
        if type_id < 0 or len(fields) != len(names):
            raise ValueError("wrong number of fields")
        content = dict(zip(names, fields, strict=True))
        return msgspec.convert(content, message_type)
    except (
        ValueError,
        TypeError,
        IndexError,
        msgspec.ValidationError,
        msgpack.UnpackException,
        RecursionError,
    ) as error:
        raise WireError(
            f"malformed frame of {len(body)} bytes: {type(error).__name__}",
            "run the same release on all hosts",
        ) from error


class FrameReader:
    """Split a byte stream into length-prefixed frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def count_held_bytes(self) -> int:
        """Return the size of the frame that is not complete."""
        return len(self._buffer)

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames completed by `data`; raise WireError if one is too long."""
        self._buffer += data
        frames = []
        start = 0
        while len(self._buffer) - start >= LENGTH_PREFIX.size:
            (length,) = LENGTH_PREFIX.unpack_from(self._buffer, start)
            if length > MAX_FRAME_BYTES:
                raise WireError(
                    f"frame of {length} bytes exceeds the maximum frame size",
                    "run the same release on all hosts",
                )
            end = start + LENGTH_PREFIX.size + length
            if len(self._buffer) < end:
                break
            frames.append(bytes(self._buffer[start + LENGTH_PREFIX.size : end]))
            start = end
        del self._buffer[:start]
        return frames
