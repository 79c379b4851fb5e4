"""Cut a stream of events into whole events; pure."""

from cornelnotch.exceptions import UpstreamError

__all__ = ["EventCutter"]

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
# The longest event: hosts hold so much of each stream, on machines with 128 MB.
MAX_EVENT_BYTES = 256 * 1024


class EventCutter:
    """Hold back the unfinished end of a stream and remember the last event."""

    def __init__(self, last_event: str = "") -> None:
        self.last_event = last_event
        self.count = 0
        self._rest = b""

    def feed(self, data: bytes) -> bytes:
        """Return all whole events at hand; raise UpstreamError if one has no end."""
        buffer = self._rest + data
        # The end may stand astride what is known and what is new.
        known = max(len(self._rest) - len(EVENT_END) + 1, 0)
        end = buffer.rfind(EVENT_END, known)
        if end < 0:
            if len(buffer) > MAX_EVENT_BYTES:
                self._rest = b""
                raise UpstreamError(
                    f"an event is longer than {MAX_EVENT_BYTES} bytes",
                    "check the server",
                )
            self._rest = buffer
            return b""
        end += len(EVENT_END)
        self._rest = buffer[end:]
        whole = buffer[:end]
        self._note(whole)
        return whole

    def take_rest(self) -> bytes:
        """Return what follows the last whole event and forget it."""
        rest, self._rest = self._rest, b""
        return rest

    def _note(self, whole: bytes) -> None:
        self.count += whole.count(EVENT_END)
        start = 0 if whole.startswith(ID_FIELD) else whole.rfind(b"\n" + ID_FIELD)
        later = whole.rfind(b"\n" + ID_FIELD)
        if later >= 0:
            start = later + 1
        elif start < 0:
            return
        line = whole[start:].split(b"\n", 1)[0]
        self.last_event = line[len(ID_FIELD) :].strip().decode("latin-1")
