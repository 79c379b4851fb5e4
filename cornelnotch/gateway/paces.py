"""Store the measured paces of engines and select changes to publish; no I/O."""

from collections.abc import Iterable, Mapping

from cornelnotch.gateway.engines import PRIOR_PACE, average_paces
from cornelnotch.wire.messages import EnginePace

__all__ = ["PaceBook", "PaceNews"]

# A pace is published when it changes by this share, and repeated after an interval for
# hosts that joined since.
MIN_CHANGE_SHARE = 0.1
REPEAT_MS = 10_000.0
# Early estimates fluctuate, so the pace of an engine is published at most this often.
MIN_NEWS_MS = 1000.0


class PaceBook:
    """Store the latest pace of each engine and the mean pace of each service."""

    def __init__(self) -> None:
        self._paces: dict[str, EnginePace] = {}
        self._averages: dict[str, EnginePace] = {}

    def take(self, paces: Iterable[EnginePace], services: Mapping[str, str]) -> None:
        """Store new paces; `services` maps the listed servers to their services."""
        news = {pace.server: pace for pace in paces}
        if not news:
            return
        known = {**self._paces, **news}
        self._paces = {name: pace for name, pace in known.items() if name in services}
        members: dict[str, list[EnginePace]] = {}
        for name, pace in self._paces.items():
            members.setdefault(services[name], []).append(pace)
        self._averages = {name: average_paces(found) for name, found in members.items()}

    def find(self, server: str, service: str) -> EnginePace:
        """Return the pace of an engine, or the mean pace of its service."""
        return self._paces.get(server) or self.find_usual(service)

    def find_usual(self, service: str) -> EnginePace:
        """Return the mean pace of a service, or the prior if none is known."""
        return self._averages.get(service, PRIOR_PACE)


class PaceNews:
    """Track the pace last published for each engine."""

    def __init__(self) -> None:
        self._published: dict[str, tuple[float, EnginePace]] = {}

    def select(self, paces: Iterable[EnginePace], now: float) -> list[EnginePace]:
        """Return the paces to publish now and mark them as published."""
        news = [pace for pace in paces if self._must_publish(pace, now)]
        self._published.update({pace.server: (now, pace) for pace in news})
        for name, (published_ms, _) in list(self._published.items()):
            if now - published_ms > 2 * REPEAT_MS:
                del self._published[name]
        return news

    def _must_publish(self, pace: EnginePace, now: float) -> bool:
        if not pace.server:
            return False
        published_ms, published = self._published.get(
            pace.server, (float("-inf"), pace)
        )
        if now - published_ms > REPEAT_MS:
            return True
        if now - published_ms < MIN_NEWS_MS:
            return False
        pairs = (
            (pace.read_rate, published.read_rate),
            (pace.chunk_rate, published.chunk_rate),
            (pace.event_ms, published.event_ms),
            (pace.ease, published.ease),
        )
        return any(abs(new - old) > MIN_CHANGE_SHARE * old for new, old in pairs)
