"""Interface to ask which process answers at a server's address."""

from abc import ABC, abstractmethod

__all__ = ["ServerIdentity", "UnknownIdentity"]


class ServerIdentity(ABC):
    """Source of the boot times of servers."""

    @abstractmethod
    async def read_boot_ms(self, address: str) -> int | None:
        """Return the boot time of the process at `address`, or None if unknown."""


class UnknownIdentity(ServerIdentity):
    """Source that knows no server."""

    async def read_boot_ms(self, address: str) -> int | None:
        """Return None."""
        return None
