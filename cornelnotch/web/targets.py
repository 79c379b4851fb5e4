"""Split the targets of requests."""

from urllib.parse import SplitResult, urlsplit

from cornelnotch.exceptions import RequestError

__all__ = ["split_target"]


def split_target(target: str) -> SplitResult:
    """Return the parts of a target; raise RequestError if it is malformed."""
    try:
        return urlsplit(target)
    except ValueError as error:
        raise RequestError(
            f"malformed target: {error}", "send an absolute path", kind="bad-target"
        ) from error
