"""Interface to the list in which hosts find each other without seeds."""

from abc import ABC, abstractmethod

__all__ = ["HostRegistry"]


class HostRegistry(ABC):
    """List of the hosts that have started, those that have ended included."""

    @abstractmethod
    async def register_host(self, name: str, address: str) -> None:
        """List a host and its address for other hosts; raise LogUnavailableError."""

    @abstractmethod
    async def list_host_addresses(self) -> list[str]:
        """Return the addresses for other hosts; raise LogUnavailableError."""
