"""Track which servers may be running one request; pure.

A request that may not be repeated has one owner: the last server to which it was
written. The server before gets it back only if the owner proves that it did not run it.
"""

from cornelnotch.exceptions import RepeatedRunError

__all__ = ["RequestRuns"]


class RequestRuns:
    """Servers that may be running a request, in the order in which they got it."""

    def __init__(self, *, may_repeat: bool) -> None:
        self.may_repeat = may_repeat
        self._holders: list[str] = []

    def claim(self, server: str, *, copied: bool = False) -> None:
        """Note that the request is about to be written to a server.

        Raise RepeatedRunError if that could run it a second time. A request that is
        `copied` goes on from a copy of its KV cache, as the same run.
        """
        if self._holders and not self.may_repeat and not copied:
            raise RepeatedRunError(
                f"{self._holders[-1]} may be running the request",
                "report this as a defect of the router",
            )
        self._holders.append(server)

    def release(self, server: str) -> None:
        """Note that a server has proved that it did not run the request."""
        if server in self._holders:
            last = len(self._holders) - 1 - self._holders[::-1].index(server)
            del self._holders[last]

    def may_go_on(self, server: str) -> bool:
        """Return whether the caller may get the response of a server."""
        return self.may_repeat or self._holders[-1:] == [server]
