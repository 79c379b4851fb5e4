"""Encode messages with msgpack and validate what arrives."""

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
LENGTH = struct.Struct(">I")

_types = list_message_types()
_numbers = {kind: number for number, kind in enumerate(_types)}
_names = {kind: [field.name for field in dataclasses.fields(kind)] for kind in _types}


def _flatten(value: Any) -> Any:
    return {
        field.name: getattr(value, field.name) for field in dataclasses.fields(value)
    }


def encode_message(message: Any) -> bytes:
    """Return one frame: length, then number and fields of the message."""
    kind = type(message)
    values = [getattr(message, name) for name in _names[kind]]
    body = msgpack.packb([_numbers[kind], *values], default=_flatten)
    return LENGTH.pack(len(body)) + body


def decode_message(body: bytes) -> Any:
    """Return the message of one frame; raise WireError when it is malformed."""
    try:
        values = msgpack.unpackb(
            body,
            max_array_len=MAX_ITEMS,
            max_map_len=MAX_ITEMS,
            max_str_len=MAX_FRAME_BYTES,
            max_bin_len=MAX_FRAME_BYTES,
        )
        number, *fields = values
        kind = _types[number]
        names = _names[kind]
        if number < 0 or len(fields) != len(names):
            raise ValueError("wrong number of fields")
        content = dict(zip(names, fields, strict=True))
        return msgspec.convert(content, kind)
    except (
        ValueError,
        TypeError,
        IndexError,
        msgspec.ValidationError,
        msgpack.UnpackException,
        RecursionError,
    ) as error:
        raise WireError(
            f"a frame of {len(body)} bytes is malformed: {type(error).__name__}",
            "run the same release on all hosts",
        ) from error


class FrameReader:
    """Cut a byte stream into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the frames that `data` completes; raise WireError if too long."""
        self._buffer += data
        frames = []
        start = 0
        while len(self._buffer) - start >= LENGTH.size:
            (length,) = LENGTH.unpack_from(self._buffer, start)
            if length > MAX_FRAME_BYTES:
                raise WireError(
                    f"a frame of {length} bytes is too long",
                    "run the same release on all hosts",
                )
            end = start + LENGTH.size + length
            if len(self._buffer) < end:
                break
            frames.append(bytes(self._buffer[start + LENGTH.size : end]))
            start = end
        del self._buffer[:start]
        return frames
