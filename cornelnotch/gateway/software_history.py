"""Track which software versions may have begun the streams of a service; no I/O."""

from cornelnotch.gateway.stream_origins import StreamOrigin

__all__ = ["SoftwareHistory"]


class SoftwareHistory:
    """The software versions that served of late, and how far back that is known."""

    def __init__(self, now: float) -> None:
        self._known_since_ms = now
        self._confirmed_ms = float("-inf")
        self._seen: dict[StreamOrigin, float] = {}
        self._heard: dict[StreamOrigin, float] = {}

    def note(self, origin: StreamOrigin, now: float) -> None:
        """Note that a software version serves, or that it began a stream."""
        self._seen[origin] = now

    def hear(self, origin: StreamOrigin, now: float) -> None:
        """Note that another host names a version, which may not be listed here yet."""
        if origin not in self._seen:
            self._heard.setdefault(origin, now)

    def may_be_unlisted(self, origin: StreamOrigin, listed_ms: float) -> bool:
        """Return whether a version was heard of after the records of `listed_ms`."""
        return self._heard.get(origin, float("-inf")) > listed_ms

    def extend(self, since_ms: float) -> None:
        """Note that all versions since `since_ms` are known."""
        self._known_since_ms = min(self._known_since_ms, since_ms)

    def restart(self, now: float) -> None:
        """Note that versions may have served unseen until now."""
        self._known_since_ms = now

    def measure_known_ms(self, now: float) -> float:
        """Return the length of the span of which all versions are known, in ms."""
        return now - self._known_since_ms

    def list_since(self, since_ms: float) -> list[StreamOrigin]:
        """Return the versions that served at some time since `since_ms`."""
        return [o for o, seen_ms in self._seen.items() if seen_ms >= since_ms]

    def confirm(self, until_ms: float) -> None:
        """Note that all versions that were listed until `until_ms` are noted."""
        self._confirmed_ms = max(self._confirmed_ms, until_ms)

    def find_only(
        self, service: str, since_ms: float, until_ms: float
    ) -> StreamOrigin | None:
        """Return the only version of a service that served in a span.

        None if there were several, or if not all of that span is known.
        """
        if self._confirmed_ms < until_ms:
            return None
        return self.find_only_seen(service, since_ms)

    def find_only_seen(self, service: str, since_ms: float) -> StreamOrigin | None:
        """Return the only version that this host has seen since `since_ms`.

        Another one may serve that it has not heard of yet.
        """
        if self._known_since_ms > since_ms:
            return None
        found = [o for o in self.list_since(since_ms) if o.service == service]
        return found[0] if len(found) == 1 else None

    def has_several(self, since_ms: float) -> bool:
        """Return whether a service had several versions since `since_ms`."""
        found = self.list_since(since_ms)
        return len({origin.service for origin in found}) < len(found)

    def expire(self, before_ms: float) -> None:
        """Forget the versions that last served before a time."""
        for versions in (self._seen, self._heard):
            old = [o for o, known_ms in versions.items() if known_ms < before_ms]
            for origin in old:
                del versions[origin]
