"""Interface through which arriving requests are counted; nothing is counted by default.

Demand is what callers ask for, whether or not servers have room for it.
"""

from abc import ABC, abstractmethod

from cornelnotch.gateway.models import CallerRequest

__all__ = ["DemandRecorder", "UnrecordedDemand"]


class DemandRecorder(ABC):
    """Receives each request of a caller at its arrival and at its end."""

    @abstractmethod
    def record_arrival(
        self, service: str, priority: int, request: CallerRequest
    ) -> None:
        """Record a request that has arrived."""

    @abstractmethod
    def record_prefill(
        self, service: str, prompt_tokens: int, prefill_tokens: int
    ) -> None:
        """Record how many tokens of a prompt a server did not have in its cache."""

    @abstractmethod
    def record_refusal(self, service: str, priority: int) -> None:
        """Record that a request got nothing, as servers had no room for it."""

    @abstractmethod
    def record_served(self, service: str, priority: int, duration_ms: float) -> None:
        """Record that a request was served in `duration_ms` from its arrival."""


class UnrecordedDemand(DemandRecorder):
    """Records nothing."""

    def record_arrival(
        self, service: str, priority: int, request: CallerRequest
    ) -> None:
        """Do nothing."""

    def record_prefill(
        self, service: str, prompt_tokens: int, prefill_tokens: int
    ) -> None:
        """Do nothing."""

    def record_refusal(self, service: str, priority: int) -> None:
        """Do nothing."""

    def record_served(self, service: str, priority: int, duration_ms: float) -> None:
        """Do nothing."""
