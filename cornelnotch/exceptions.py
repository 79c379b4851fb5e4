"""Exceptions of the package; each message states the remedy."""

__all__ = [
    "BodyTooLargeError",
    "CallerDisconnectedError",
    "ConfigurationError",
    "CornelnotchError",
    "LogResponseError",
    "LogTrimmedError",
    "LogUnavailableError",
    "MalformedInputError",
    "RepeatedRunError",
    "RequestError",
    "ResponseMismatchError",
    "SettingsError",
    "StreamKeptError",
    "UpstreamError",
    "UpstreamStalledError",
    "UpstreamUnreachableError",
    "WireError",
]


class CornelnotchError(Exception):
    """Base class of errors, with a problem and its remedy."""

    kind = "internal"

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


class SettingsError(CornelnotchError):
    """Raised if a settings file is invalid."""

    kind = "settings"


class MalformedInputError(CornelnotchError):
    """Raised if a value from outside the process is malformed or out of range."""

    kind = "malformed"

    def __init__(self, problem: str, remedy: str = "correct its writer") -> None:
        super().__init__(problem, remedy)


class ConfigurationError(CornelnotchError):
    """Raised if a configuration change is invalid."""

    kind = "configuration"


class RequestError(CornelnotchError):
    """Raised if a request of a caller is malformed."""

    kind = "bad-request"

    def __init__(
        self, problem: str, remedy: str, status: int = 400, kind: str = "bad-request"
    ) -> None:
        super().__init__(problem, remedy)
        self.status = status
        self.kind = kind


class BodyTooLargeError(RequestError):
    """Raised if a body exceeds its size limit."""

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(
            f"the body is larger than {limit_bytes} bytes",
            "send a smaller body",
            413,
            "body-too-large",
        )


class LogUnavailableError(CornelnotchError):
    """Raised if the log service did not respond; an append may have succeeded.

    `timeline` is the timeline given in the response, if any.
    """

    kind = "log-unavailable"

    def __init__(self, problem: str, remedy: str, timeline: int | None = None) -> None:
        super().__init__(problem, remedy)
        self.timeline = timeline


class LogResponseError(LogUnavailableError):
    """Raised if a response of the log service is malformed."""

    kind = "log-malformed"


class LogTrimmedError(CornelnotchError):
    """Raised if the log no longer has records at the requested offset.

    `timeline` is the timeline given in the response, if any.
    """

    kind = "log-trimmed"

    def __init__(self, earliest: int, timeline: int | None = None) -> None:
        super().__init__(
            f"records before offset {earliest} were removed",
            "read from the earliest offset or from a snapshot",
        )
        self.earliest = earliest
        self.timeline = timeline


class WireError(CornelnotchError):
    """Raised if a message of another host is malformed."""

    kind = "wire"


class HostMemoryError(CornelnotchError):
    """Raised if a host has no memory for a further part of a body."""

    kind = "host-memory"


class UpstreamError(CornelnotchError):
    """Raised if a server failed after bytes of the request were sent."""

    kind = "broken"


class UpstreamUnreachableError(UpstreamError):
    """Raised if no byte of the request reached the server."""

    kind = "unreachable"


class StreamKeptError(CornelnotchError):
    """Raised before a stream is sent to another server, if it stays where it is."""

    kind = "stream-kept"


class RepeatedRunError(UpstreamError):
    """Raised before a request is sent, if that could run it a second time."""

    kind = "repeated-run"


class UpstreamStalledError(UpstreamError):
    """Raised if a server sent no data within the time limit."""

    kind = "stalled"


class ResponseMismatchError(UpstreamError):
    """Raised if a response belongs to another request."""

    kind = "mismatched"


class CallerDisconnectedError(CornelnotchError):
    """Raised if the caller closed its connection."""

    kind = "caller-gone"
