"""Store the measured rates of engines and select changes to publish; no I/O."""

from collections.abc import Iterable, Mapping

from cornelnotch.gateway.engine_estimates import PRIOR_RATES, average_rates
from cornelnotch.wire.messages import EngineRates

__all__ = ["EngineRateTable", "RateUpdateFilter"]

# Rates are published when one changes by this share, and repeated after an interval for
# hosts that joined since.
MIN_CHANGE_SHARE = 0.1
REPUBLISH_INTERVAL_MS = 10_000.0
# Early estimates fluctuate, so the rates of an engine are published at most this often.
MIN_PUBLISH_INTERVAL_MS = 1000.0


class EngineRateTable:
    """Store the latest rates of each engine and the mean rates of each service."""

    def __init__(self) -> None:
        self._rates: dict[str, EngineRates] = {}
        self._averages: dict[str, EngineRates] = {}

    def update(
        self, engine_rates: Iterable[EngineRates], services: Mapping[str, str]
    ) -> None:
        """Store new rates; `services` maps the listed servers to their services."""
        updates = {rates.server: rates for rates in engine_rates}
        if not updates:
            return
        known = {**self._rates, **updates}
        self._rates = {name: rates for name, rates in known.items() if name in services}
        members: dict[str, list[EngineRates]] = {}
        for name, rates in self._rates.items():
            members.setdefault(services[name], []).append(rates)
        self._averages = {name: average_rates(found) for name, found in members.items()}

    def get(self, server: str, service: str) -> EngineRates:
        """Return the rates of an engine, or the mean rates of its service."""
        return self._rates.get(server) or self.get_average(service)

    def get_average(self, service: str) -> EngineRates:
        """Return the mean rates of a service, or the prior if none are known."""
        return self._averages.get(service, PRIOR_RATES)


class RateUpdateFilter:
    """Track the rates last published for each engine."""

    def __init__(self) -> None:
        self._published: dict[str, tuple[float, EngineRates]] = {}

    def select(
        self, engine_rates: Iterable[EngineRates], now: float
    ) -> list[EngineRates]:
        """Return the rates to publish now and mark them as published."""
        updates = [rates for rates in engine_rates if self._must_publish(rates, now)]
        self._published.update({rates.server: (now, rates) for rates in updates})
        for name, (published_ms, _) in list(self._published.items()):
            if now - published_ms > 2 * REPUBLISH_INTERVAL_MS:
                del self._published[name]
        return updates

    def _must_publish(self, rates: EngineRates, now: float) -> bool:
        if not rates.server:
            return False
        published_ms, published = self._published.get(
            rates.server, (float("-inf"), rates)
        )
        if now - published_ms > REPUBLISH_INTERVAL_MS:
            return True
        if now - published_ms < MIN_PUBLISH_INTERVAL_MS:
            return False
        pairs = (
            (rates.read_rate, published.read_rate),
            (rates.chunk_rate, published.chunk_rate),
            (rates.event_ms, published.event_ms),
            (rates.ease, published.ease),
        )
        return any(abs(new - old) > MIN_CHANGE_SHARE * old for new, old in pairs)
