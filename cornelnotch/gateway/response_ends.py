"""Decide whether a response that ended is complete or was cut off."""

from enum import StrEnum

from cornelnotch.exceptions import UpstreamError
from cornelnotch.gateway.dispatch import UpstreamResponse
from cornelnotch.gateway.streams import EventSplitter

__all__ = ["ResponseEnd", "confirm_end"]


class ResponseEnd(StrEnum):
    """What shows that a response is complete.

    FRAMED is its length or last chunk, CONNECTION the end of its connection to a
    server that accepts further ones.
    """

    FRAMED = "framed"
    CONNECTION = "connection"


async def confirm_end(
    response: UpstreamResponse, splitter: EventSplitter | None = None
) -> ResponseEnd:
    """Return how a response ended; raise UpstreamError if it was cut off.

    A stream with a `splitter` must end after a complete event, whatever its framing.
    """
    if splitter is not None:
        splitter.check_end()
    if response.framed:
        return ResponseEnd.FRAMED
    if splitter is not None and not splitter.last_event_id and not splitter.count:
        raise UpstreamError(
            "the connection was closed before the first event", "check the server"
        )
    await response.confirm_end()
    return ResponseEnd.CONNECTION
