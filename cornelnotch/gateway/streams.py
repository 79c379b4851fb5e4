"""Split a byte stream of server-sent events into complete events; pure."""

from cornelnotch.exceptions import UpstreamError

__all__ = ["EventSplitter"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
# Hosts buffer up to one event per stream, on machines with 128 MB.
MAX_EVENT_BYTES = 256 * 1024


class EventSplitter:
    """Buffer the incomplete end of a stream and track the last event ID."""

    def __init__(self, last_event_id: str = "") -> None:
        self.last_event_id = last_event_id
        self.count = 0
        self._buffered = b""

    def feed(self, data: bytes) -> bytes:
        """Return all complete events; raise UpstreamError if one is too long."""
        buffer = self._buffered + data
        # The end of an event may span the buffered and the new data.
        searched = max(len(self._buffered) - len(EVENT_END) + 1, 0)
        end = buffer.rfind(EVENT_END, searched)
        if end < 0:
            if len(buffer) > MAX_EVENT_BYTES:
                self._buffered = b""
                raise UpstreamError(
                    f"an event is longer than {MAX_EVENT_BYTES} bytes",
                    "check the server's event stream",
                )
            self._buffered = buffer
            return b""
        end += len(EVENT_END)
        self._buffered = buffer[end:]
        complete = buffer[:end]
        self._track(complete)
        return complete

    def take_remainder(self) -> bytes:
        """Return and clear the data after the last complete event."""
        remainder, self._buffered = self._buffered, b""
        return remainder

    def _track(self, complete: bytes) -> None:
        self.count += complete.count(EVENT_END)
        start = 0 if complete.startswith(ID_FIELD) else complete.rfind(b"\n" + ID_FIELD)
        later = complete.rfind(b"\n" + ID_FIELD)
        if later >= 0:
            start = later + 1
        elif start < 0:
            return
        line = complete[start:].split(b"\n", 1)[0]
        self.last_event_id = line[len(ID_FIELD) :].strip().decode("latin-1")
