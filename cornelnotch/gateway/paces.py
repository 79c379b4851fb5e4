"""Keep what is known of engines' paces, and choose what is news of them; pure."""

from collections.abc import Iterable, Mapping

from cornelnotch.gateway.engines import PRIOR_PACE, average_paces
from cornelnotch.wire.messages import EnginePace

__all__ = ["PaceBook", "PaceNews"]

# A change of a pace by this share is news; what is not is told again after a time, for
# hosts that came since.
NEWS_SHARE = 0.1
REPEAT_MS = 10_000.0
# Estimates sway at first; an engine is told of at most this often.
MIN_NEWS_MS = 1000.0


class PaceBook:
    """Hold the newest pace of each engine and the usual one of each service."""

    def __init__(self) -> None:
        self._paces: dict[str, EnginePace] = {}
        self._usual: dict[str, EnginePace] = {}

    def take(self, paces: Iterable[EnginePace], services: Mapping[str, str]) -> None:
        """Take in news; `services` maps the servers that are listed to services."""
        news = {pace.server: pace for pace in paces}
        if not news:
            return
        known = {**self._paces, **news}
        self._paces = {name: pace for name, pace in known.items() if name in services}
        members: dict[str, list[EnginePace]] = {}
        for name, pace in self._paces.items():
            members.setdefault(services[name], []).append(pace)
        self._usual = {name: average_paces(found) for name, found in members.items()}

    def find(self, server: str, service: str) -> EnginePace:
        """Return the pace of an engine, or what is usual beside it."""
        return self._paces.get(server) or self.find_usual(service)

    def find_usual(self, service: str) -> EnginePace:
        """Return what to assume of an engine of a service."""
        return self._usual.get(service, PRIOR_PACE)


class PaceNews:
    """Remember what was told of each engine."""

    def __init__(self) -> None:
        self._told: dict[str, tuple[float, EnginePace]] = {}

    def select(self, paces: Iterable[EnginePace], now: float) -> list[EnginePace]:
        """Return the paces that are to be told now."""
        news = [pace for pace in paces if self._is_news(pace, now)]
        self._told.update({pace.server: (now, pace) for pace in news})
        for name, (at_ms, _) in list(self._told.items()):
            if now - at_ms > 2 * REPEAT_MS:
                del self._told[name]
        return news

    def _is_news(self, pace: EnginePace, now: float) -> bool:
        if not pace.server:
            return False
        at_ms, told = self._told.get(pace.server, (float("-inf"), pace))
        if now - at_ms > REPEAT_MS:
            return True
        if now - at_ms < MIN_NEWS_MS:
            return False
        pairs = (
            (pace.read_rate, told.read_rate),
            (pace.chunk_rate, told.chunk_rate),
            (pace.event_ms, told.event_ms),
            (pace.ease, told.ease),
        )
        return any(abs(new - old) > NEWS_SHARE * old for new, old in pairs)
