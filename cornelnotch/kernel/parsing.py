"""Convert values from outside the process, with bounds that hold everywhere inside."""

from typing import Any, Protocol, TypeVar

import msgspec

from cornelnotch.exceptions import MalformedInputError

__all__ = [
    "decode",
]

T = TypeVar("T", covariant=True)


class Decoder(Protocol[T]):
    """A decoder of msgspec."""

    def decode(self, buf: Any, /) -> T:
        """Return the decoded value."""
        ...


def decode(decoder: Decoder[T], data: bytes) -> T:
    """Return the decoded `data`; raise MalformedInputError if it is malformed."""
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise MalformedInputError("the value is nested too deeply") from error
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise MalformedInputError(str(error)) from error
