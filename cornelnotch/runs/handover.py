"""Pass a stream on from its silent server to the next one.

A stream that may not be repeated belongs to the next server once it is sent there.
What the silent one sends from then on is held back, and its connection is closed within
`MAX_OVERLAP_S`, unless the next server proves before that it did not run the stream.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING

from cornelnotch.exceptions import StreamKeptError, UpstreamStalledError
from cornelnotch.kernel.events import Event
from cornelnotch.runs.request_runs import RequestRuns

if TYPE_CHECKING:
    from cornelnotch.gateway.dispatch import UpstreamResponse
    from cornelnotch.gateway.servers import InFlightRequest

__all__ = ["MAX_OVERLAP_S", "Handover", "MoveOutcome"]

# Time for which two servers may have a stream. A refusal takes a few round trips.
MAX_OVERLAP_S = 0.2


class MoveOutcome(StrEnum):
    """What became of a stream that was sent on from a silent server."""

    MOVED = "moved"
    RETURNED = "returned"
    LOST = "lost"


class Handover:
    """One stream at its silent server `server`, whose response is `response`.

    `is_sending` is set while bytes of that server are forwarded; the stream is sent to
    no other server then. `was_claimed` is set if the search sent it to another server,
    `is_closed` once the connection to the silent one is closed.
    """

    def __init__(
        self,
        runs: RequestRuns,
        server: str,
        in_flight: InFlightRequest,
        response: UpstreamResponse,
        record_event: Callable[..., None],
        count_move: Callable[[str], None],
    ) -> None:
        self._runs = runs
        self._server = server
        self._in_flight = in_flight
        self._response = response
        self._record_event = record_event
        self._count_move = count_move
        self._events = 0
        self._is_claimed = False
        self._timer: asyncio.TimerHandle | None = None
        self.is_sending = False
        self.was_claimed = False
        self.is_closed = False

    @property
    def is_final(self) -> bool:
        """Return whether only the next server can go on with the stream."""
        return self._is_claimed and not self._runs.may_repeat

    def begin(self) -> None:
        """Note that the search for the next server begins."""
        self._events = self._in_flight.events
        self._is_claimed = self.was_claimed = False

    def claim(self) -> None:
        """Take the stream from the silent server, as the next one is about to get it.

        Raise StreamKeptError if the silent server goes on. Bytes that are forwarded may
        hold a whole event, after which only a stream that may be repeated is sent on.
        """
        is_sending = self.is_sending and not self._runs.may_repeat
        if is_sending or self._in_flight.events != self._events:
            raise StreamKeptError("the silent server goes on", "send it nowhere else")
        self._is_claimed = self.was_claimed = True
        if self.is_final:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(MAX_OVERLAP_S, self._close)

    def give_back(self) -> None:
        """Give the stream back to the silent server, as the next one did not run it."""
        if self.is_final:
            self._count_move(MoveOutcome.RETURNED)
        self._is_claimed = False
        self.end()

    def end(self) -> None:
        """Note that the search has ended; its result decides on the silent server."""
        if self._timer is not None:
            self._timer.cancel()

    def find_hold_s(self) -> float | None:
        """Return how long bytes of the silent server are held back.

        The next server may run the stream already. None is until the search ends.
        """
        if not self._is_claimed:
            return 0.0
        return None if self.is_final else MAX_OVERLAP_S

    def require_owner(self) -> None:
        """Raise UpstreamError if the silent server must not go on with the stream."""
        if self.is_closed or not self._runs.may_go_on(self._server):
            self._count_move(MoveOutcome.LOST)
            raise UpstreamStalledError(
                "another server may run the stream", "send the request again"
            )

    def note_moved(self) -> None:
        """Note that the stream goes on at the next server; its own is closed now."""
        self._count_move(MoveOutcome.MOVED)
        self._note_closed()

    def _note_closed(self) -> None:
        if not self.is_closed:
            self.is_closed = True
            self._record_event(
                Event.DISPATCH_CLOSED, server=self._server, answered=True
            )

    def _close(self) -> None:
        if not self._response.is_complete():
            self._note_closed()
            self._response.close()
