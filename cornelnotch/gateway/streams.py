"""Split a byte stream of server-sent events into complete events; pure."""

import re

from cornelnotch.exceptions import UpstreamError
from cornelnotch.kernel.parsing import is_header_value, parse_count

__all__ = ["EventSplitter"]

# Lines end with LF, CRLF or CR. A CRLF is never taken for two line ends.
EVENT_END = re.compile(rb"(?>\r\n|\r|\n){2}")
LINE_END = re.compile(rb"\r\n|\r|\n")
MAX_EVENT_END_BYTES = 4
FIELD_LINE = re.compile(rb"[A-Za-z0-9_-]*(:.*)?")
ID_FIELD = b"id:"
COMMENT = b":"
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
# Hosts buffer up to one event per stream, on machines with 128 MB.
MAX_EVENT_BYTES = 256 * 1024


class EventSplitter:
    """Buffer the incomplete end of a stream and track the last event ID.

    Events of a stream have increasing IDs. A server that resumes a stream continues
    after the last ID, at most one usual step further.
    """

    def __init__(self, last_event_id: str = "") -> None:
        self.last_event_id = last_event_id
        self.count = 0
        self._buffered = b""
        self._problem = ""
        self._longest_step = 0
        self._follows_own_event = False
        self._may_continue_line_end = False

    def feed(self, data: bytes) -> bytes:
        """Return all complete valid events; raise UpstreamError if one is too long.

        After an invalid event, `check` raises until `restart` is called.
        """
        if self._problem or not data:
            return b""
        line_end = b""
        if self._may_continue_line_end and data.startswith(b"\n"):
            line_end, data = data[:1], data[1:]
        self._may_continue_line_end = False
        buffer = self._buffered + data
        # The end of an event may span the buffered and the new data.
        end = max(len(self._buffered) - MAX_EVENT_END_BYTES + 1, 0)
        found = [match.end() for match in EVENT_END.finditer(buffer, end)]
        if not found:
            self._buffer(buffer)
            return line_end
        self._buffered = buffer[found[-1] :]
        complete = self._take_valid(buffer[: found[-1]])
        self._may_continue_line_end = complete.endswith(b"\r") and not self._buffered
        return line_end + complete

    def check(self) -> None:
        """Raise UpstreamError if the data contains an invalid event."""
        if self._problem:
            raise UpstreamError(self._problem, "check the server's event stream")

    def check_end(self) -> None:
        """Raise UpstreamError if the data does not end after a complete event."""
        self.check()
        if any(not line.startswith(COMMENT) for line in self._list_lines()):
            raise UpstreamError(
                "the stream ended within an event", "resume at another server"
            )

    def take_remainder(self) -> bytes:
        """Return and clear the data after the last complete event."""
        remainder, self._buffered = self._buffered, b""
        return remainder

    def restart(self) -> None:
        """Discard an incomplete event, as another server resumes the stream."""
        self._buffered = b""
        self._problem = ""
        self._follows_own_event = False
        self._may_continue_line_end = False

    def _buffer(self, buffer: bytes) -> None:
        self._buffered = buffer
        if len(buffer) > MAX_EVENT_BYTES:
            self._buffered = b""
            raise UpstreamError(
                f"an event is longer than {MAX_EVENT_BYTES} bytes",
                "check the server's event stream",
            )

    def _list_lines(self) -> list[bytes]:
        return [line for line in LINE_END.split(self._buffered) if line]

    def _take_valid(self, complete: bytes) -> bytes:
        """Track complete events and return those before the first invalid one."""
        start = 0
        for match in EVENT_END.finditer(complete):
            self._problem = self._track(complete[start : match.start()])
            if self._problem:
                self._buffered = b""
                return complete[:start]
            start = match.end()
        return complete

    def _track(self, event: bytes) -> str:
        """Count an event and store its ID; return what is wrong with it or ""."""
        if not self.count:
            event = event.removeprefix(BYTE_ORDER_MARK)
        lines = [line for line in LINE_END.split(event) if line]
        if any(FIELD_LINE.fullmatch(line) is None for line in lines):
            return "the stream contains text that is not an event"
        if all(line.startswith(COMMENT) for line in lines):
            return ""
        ids = [line for line in lines if line.startswith(ID_FIELD)]
        if ids:
            event_id = ids[-1][len(ID_FIELD) :].strip().decode("latin-1")
            if event_id and not is_header_value(event_id):
                # No server could be asked to resume after such an event.
                return "the ID of an event fits no header"
            problem = self._check_order(event_id)
            if problem:
                return problem
            self.last_event_id = event_id
        self.count += 1
        return ""

    def _check_order(self, event_id: str) -> str:
        is_resumed = not self._follows_own_event
        self._follows_own_event = True
        last, number = parse_count(self.last_event_id), parse_count(event_id)
        if last is None or number is None:
            repeated = bool(self.last_event_id) and event_id == self.last_event_id
            return f"event {event_id} comes twice" if repeated else ""
        step = number - last
        if step <= 0:
            return f"event {event_id} follows event {last}"
        if not is_resumed:
            self._longest_step = max(self._longest_step, step)
        elif 0 < self._longest_step < step:
            return f"events between {last} and {event_id} are missing"
        return ""
