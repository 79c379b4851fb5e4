"""Convert values from outside the process, with bounds that hold everywhere inside."""

import math
import re
from typing import Annotated, Any, Protocol, TypeVar

import msgspec

from cornelnotch.exceptions import MalformedInputError

__all__ = [
    "MAX_AMOUNT",
    "Amount",
    "Count",
    "Integer",
    "decode",
    "is_header_value",
    "is_ipv4_address",
    "parse_address",
    "parse_amount",
    "parse_count",
    "parse_port",
]

# Messages between hosts hold integers of 64 bits.
MAX_INTEGER = 2**63 - 1
MAX_INTEGER_DIGITS = 19
# Sums and products of a few amounts stay finite, and convert to 64-bit integers.
MAX_AMOUNT = 1e15
MAX_AMOUNT_CHARACTERS = 400
MAX_PORT = 65535
# Latin-1 text without ASCII control characters except inner tabs and spaces.
HEADER_VALUE = re.compile(r"[!-~\x80-\xff]([\t -~\x80-\xff]*[!-~\x80-\xff])?")
# Hosts: an IP address, a name that a resolver takes, or nothing for all interfaces.
OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9][0-9]|[1-9]?[0-9])"
IPV4 = re.compile(rf"{OCTET}(\.{OCTET}){{3}}")
IPV6 = r"[0-9A-Fa-f:]{2,39}(\.[0-9]{1,3}){0,3}"
NAME = r"[0-9A-Za-z_-]{1,63}(\.[0-9A-Za-z_-]{1,63})*"
HOST = re.compile(rf"(\[{IPV6}\]|{IPV6}|{NAME})?")

Integer = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Amount = Annotated[float, msgspec.Meta(ge=-MAX_AMOUNT, le=MAX_AMOUNT)]

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


def parse_count(text: str, maximum: int = MAX_INTEGER) -> int | None:
    """Return the decimal number in `text`, or None if it is malformed or too large."""
    if not text.isascii() or not text.isdigit():
        return None
    digits = text.lstrip("0")
    # Python refuses to convert thousands of digits.
    if len(digits) > MAX_INTEGER_DIGITS:
        return None
    number = int(digits or "0")
    return number if number <= maximum else None


def parse_amount(text: str) -> float | None:
    """Return the number in `text`, or None if it is malformed or out of range."""
    if not text.isascii() or len(text) > MAX_AMOUNT_CHARACTERS:
        return None
    try:
        amount = float(text)
    except ValueError:
        return None
    return amount if math.isfinite(amount) and abs(amount) <= MAX_AMOUNT else None


def parse_port(text: str) -> int | None:
    """Return the port in `text`, or None if it is malformed or out of range."""
    return parse_count(text, MAX_PORT)


def is_ipv4_address(text: str) -> bool:
    """Return whether `text` is an IPv4 address, which needs no name resolution."""
    return IPV4.fullmatch(text) is not None


def is_header_value(text: str) -> bool:
    """Return whether `text` is not empty and a header can have it as its value."""
    return HEADER_VALUE.fullmatch(text) is not None


def parse_address(text: str) -> tuple[str, int] | None:
    """Return the host and the port in `text`, or None if it is malformed."""
    host, separator, digits = text.rpartition(":")
    port = parse_port(digits)
    if not separator or port is None or HOST.fullmatch(host) is None:
        return None
    return host.strip("[]"), port
