"""Define every error kind; each message names the remedy."""

__all__ = [
    "CornelnotchError",
    "SettingsError",
    "ConfigurationError",
    "RequestError",
    "BodyTooLargeError",
    "LogUnavailableError",
    "LogTrimmedError",
    "WireError",
    "UpstreamError",
    "UpstreamStalledError",
    "UpstreamUnreachableError",
    "AnswerMismatchError",
    "CallerGoneError",
]


class CornelnotchError(Exception):
    """Carry what went wrong and what to do about it."""

    kind = "internal"

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


class SettingsError(CornelnotchError):
    """Report a settings file that cannot be used."""

    kind = "settings"


class ConfigurationError(CornelnotchError):
    """Report a configuration that must not come into force."""

    kind = "configuration"


class RequestError(CornelnotchError):
    """Report a caller's request that is malformed."""

    kind = "bad-request"

    def __init__(
        self, problem: str, remedy: str, status: int = 400, kind: str = "bad-request"
    ) -> None:
        super().__init__(problem, remedy)
        self.status = status
        self.kind = kind


class BodyTooLargeError(RequestError):
    """Report a body above its limit."""

    def __init__(self, limit_bytes: int) -> None:
        super().__init__(
            f"the body is larger than {limit_bytes} bytes",
            "send a smaller body",
            413,
            "body-too-large",
        )


class LogUnavailableError(CornelnotchError):
    """Report that the log service did not answer; an append may have landed.

    `timeline` is that of an answer which names it.
    """

    kind = "log-unavailable"

    def __init__(self, problem: str, remedy: str, timeline: int | None = None) -> None:
        super().__init__(problem, remedy)
        self.timeline = timeline


class LogTrimmedError(CornelnotchError):
    """Report that the log does not hold records at the requested offset.

    `timeline` is that of an answer which names it.
    """

    kind = "log-trimmed"

    def __init__(self, earliest: int, timeline: int | None = None) -> None:
        super().__init__(
            f"records before offset {earliest} are gone",
            "read from the earliest offset or from a snapshot",
        )
        self.earliest = earliest
        self.timeline = timeline


class WireError(CornelnotchError):
    """Report a malformed message from another host."""

    kind = "wire"


class UpstreamError(CornelnotchError):
    """Report that a server failed after bytes of the request were sent."""

    kind = "broken"


class UpstreamUnreachableError(UpstreamError):
    """Report that no byte of the request reached the server."""

    kind = "unreachable"


class UpstreamStalledError(UpstreamError):
    """Report a server that sent nothing for too long."""

    kind = "stalled"


class AnswerMismatchError(UpstreamError):
    """Report an answer that belongs to another request."""

    kind = "mismatched"


class CallerGoneError(CornelnotchError):
    """Report that the caller closed its connection."""

    kind = "caller-gone"
